//! A soak of recovery: controllers are frozen, killed and terminated in overlap, and one of them loses its disk for good
//! close to the end of another's absence. Afterwards all that was acknowledged must be read back at each controller.

use crate::cluster::Cluster;
use crate::control_client::{REPLY_TIMEOUT, field};
use crate::environment::MACHINE_COUNT;
use crate::errors::ClusterError;
use crate::gateway_configuration::{SECOND, configuration};
use crate::kept_connections::KeptConnections;
use crate::node_settings::{CATCH_UP_S, Role};
use crate::processes::erase_data;
use crate::record::{Moment, Record};
use crate::request_checks::Check;
use crate::transport::Answer;
use crate::trial::Trial;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

const WRITERS: usize = 24;
const ABSENCES: Range<usize> = 2..6;
/// When absences begin.
const BEGIN_MS: Range<u64> = 0..9_000;
const SHORT_ABSENCE_MS: Range<u64> = 10..2_500;
const LONG_ABSENCE_MS: Range<u64> = 3_000..8_000;
/// How long before the end of a long absence a disk is lost.
const LOSS_BEFORE_RETURN_MS: Range<u64> = 0..1_500;
const REPLACEMENT_MS: Range<u64> = 0..3_000;
/// The machine whose controller replaces a lost one.
const SPARE: usize = MACHINE_COUNT;
const PAUSE_MS: Range<u64> = 5..120;
/// Upper bound for the recovery once all controllers are back, as on the users' sites.
const RECOVERY: Duration = Duration::from_secs(15);
/// Upper bound for reading everything back at one controller.
const READ_BACK: Duration = Duration::from_secs(5);

/// What all clients share.
struct Shared {
    controllers: RefCell<Vec<SocketAddrV4>>,
    record: Rc<Record>,
    stopped: Cell<bool>,
    numbers: RefCell<Vec<u64>>,
    /// The newest acknowledged configuration.
    configuration: Cell<u64>,
}

/// What one writer has done with its key. Values are counted up from 1.
#[derive(Default)]
struct KeyLog {
    sent: Cell<u64>,
    acknowledged: Cell<u64>,
    /// When the acknowledged put was sent.
    acknowledged_sent: Cell<Moment>,
}

/// A client that keeps its connections open as long as they work.
struct Client {
    rng: ChaCha8Rng,
    connections: KeptConnections,
    shared: Rc<Shared>,
}

impl Client {
    fn new(seed: u64, number: u64, shared: &Rc<Shared>) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64((seed << 16) | (number + 1)),
            connections: KeptConnections::default(),
            shared: shared.clone(),
        }
    }

    async fn pause(&mut self) {
        sleep(draw(&mut self.rng, PAUSE_MS)).await;
    }

    /// Sends a call to a random controller. None: the outcome is unknown.
    async fn call(&mut self, method: &str, path: &str, body: &str) -> Option<Answer> {
        let controllers = self.shared.controllers.borrow().clone();
        let to = controllers[self.rng.random_range(0..controllers.len())];
        self.connections.call(to, method, path, body).await
    }

    /// Counts the value of a key up, and draws a number now and then.
    async fn write(mut self, key: String, log: Rc<KeyLog>) {
        while !self.shared.stopped.get() {
            let value = log.sent.get() + 1;
            log.sent.set(value);
            let sent = self.shared.record.now();
            let body = format!(r#"{{"value":"{value}"}}"#);
            match self.call("PUT", &key, &body).await {
                Some(answer) if answer.status == 200 => {
                    log.acknowledged.set(value);
                    log.acknowledged_sent.set(sent);
                }
                Some(_) => {}
                // A put without an answer may still take effect, but no later than a caller waits for one.
                None => sleep(REPLY_TIMEOUT).await,
            }
            if self.rng.random_range(0..4u32) == 0 {
                self.draw_number().await;
            }
            self.pause().await;
        }
    }

    async fn draw_number(&mut self) {
        let answer = self.call("POST", "/rookpulley/numbers/soak", "{}").await;
        let value = answer.filter(|answer| answer.status == 200);
        let value = value.and_then(|answer| field(&answer.body, "value"));
        if let Some(value) = value.and_then(|value| value.get::<f64>().copied()) {
            self.shared.numbers.borrow_mut().push(value as u64);
        }
    }

    /// Sends ever newer configurations.
    async fn configure(mut self) {
        let mut version = SECOND;
        while !self.shared.stopped.get() {
            version += 1;
            let body = configuration(version);
            let answer = self.call("PUT", "/rookpulley/configuration", &body).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                self.shared.configuration.set(version);
            }
            for _ in 0..6 {
                self.pause().await;
            }
        }
    }

    /// Repeats a read at one controller until it is answered with 200.
    async fn read_back(
        &mut self,
        at: SocketAddrV4,
        path: &str,
        deadline: Instant,
    ) -> Option<Bytes> {
        while Instant::now() < deadline {
            match self.connections.call(at, "GET", path, "").await {
                Some(answer) if answer.status == 200 => return Some(answer.body),
                _ => self.pause().await,
            }
        }
        None
    }
}

fn draw(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

#[derive(Clone, Copy)]
enum Absence {
    Frozen,
    Killed,
    Terminated,
}

/// What happens to the controller of a machine.
#[derive(Clone, Copy)]
enum Event {
    Leave(usize, Absence),
    Return(usize, Absence),
    Lose(usize),
    /// It returns to its address with an empty disk.
    ReturnEmpty(usize),
    /// Another one comes at another address.
    Replace(usize),
}

/// The events of one soak, by time since its start.
struct Timetable {
    events: BTreeMap<(Duration, usize), Event>,
    lost: usize,
}

impl Timetable {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let lost = rng.random_range(0..MACHINE_COUNT);
        let mut timetable = Self {
            events: BTreeMap::new(),
            lost,
        };
        // The first absence is a long one of another controller, and the disk is lost before it ends.
        let absent = (lost + rng.random_range(1..MACHINE_COUNT)) % MACHINE_COUNT;
        let end = timetable.add_absence(rng, absent, LONG_ABSENCE_MS);
        let loss = end.saturating_sub(draw(rng, LOSS_BEFORE_RETURN_MS));
        timetable.add(loss, Event::Lose(lost));
        let replacement = if rng.random() {
            Event::ReturnEmpty(lost)
        } else {
            Event::Replace(lost)
        };
        timetable.add(loss + draw(rng, REPLACEMENT_MS), replacement);
        for _ in 0..rng.random_range(ABSENCES) {
            let machine = rng.random_range(0..MACHINE_COUNT);
            let length = if rng.random() {
                SHORT_ABSENCE_MS
            } else {
                LONG_ABSENCE_MS
            };
            timetable.add_absence(rng, machine, length);
        }
        timetable
    }

    fn add(&mut self, at: Duration, event: Event) {
        let number = self.events.len();
        self.events.insert((at, number), event);
    }

    /// Adds an absence and returns its end.
    fn add_absence(
        &mut self,
        rng: &mut ChaCha8Rng,
        machine: usize,
        length: Range<u64>,
    ) -> Duration {
        let kind = match rng.random_range(0..4u32) {
            0 | 1 => Absence::Frozen,
            2 => Absence::Killed,
            _ => Absence::Terminated,
        };
        let begin = draw(rng, BEGIN_MS);
        let end = begin + draw(rng, length);
        self.add(begin, Event::Leave(machine, kind));
        self.add(end, Event::Return(machine, kind));
        end
    }

    /// Plays all events. Returns how many there were.
    async fn play(self, cluster: &mut Cluster, shared: &Shared) -> Result<usize, ClusterError> {
        let start = Instant::now();
        let count = self.events.len();
        let mut is_lost = false;
        for ((at, _), event) in self.events {
            sleep_until(start + at).await;
            let concerns_lost = |machine: usize| is_lost && machine == self.lost;
            match event {
                Event::Leave(machine, _) | Event::Return(machine, _) if concerns_lost(machine) => {}
                Event::Leave(machine, kind) => leave(cluster, machine, kind).await,
                Event::Return(machine, kind) => come_back(cluster, machine, kind).await?,
                Event::Lose(machine) => {
                    is_lost = true;
                    cluster
                        .processes
                        .kill(&Role::Controller.name(machine))
                        .await;
                }
                Event::ReturnEmpty(machine) => {
                    erase_data(&cluster.environment, machine)?;
                    start_controller(cluster, machine)?;
                }
                Event::Replace(machine) => {
                    cluster.environment.replace_controller(machine, SPARE);
                    start_controller(cluster, SPARE)?;
                    shared.controllers.replace(cluster.environment.controls());
                }
            }
        }
        Ok(count)
    }
}

async fn leave(cluster: &mut Cluster, machine: usize, kind: Absence) {
    let name = Role::Controller.name(machine);
    match kind {
        Absence::Frozen => cluster.processes.signal(&name, Signal::STOP),
        Absence::Killed => cluster.processes.kill(&name).await,
        Absence::Terminated => cluster.processes.signal(&name, Signal::TERM),
    }
}

/// Ends an absence. A controller that was frozen and killed in overlap, or still runs after SIGTERM, is started anew.
async fn come_back(
    cluster: &mut Cluster,
    machine: usize,
    kind: Absence,
) -> Result<(), ClusterError> {
    let name = Role::Controller.name(machine);
    cluster.processes.signal(&name, Signal::CONT);
    if matches!(kind, Absence::Killed | Absence::Terminated) {
        cluster.processes.kill(&name).await;
        start_controller(cluster, machine)?;
    }
    Ok(())
}

fn start_controller(cluster: &mut Cluster, machine: usize) -> Result<(), ClusterError> {
    let name = Role::Controller.name(machine);
    cluster.processes.start(&cluster.environment, &name)
}

/// Waits until each writer has an acknowledgement of a put that was sent after the last event.
async fn wait_for_recovery(cluster: &Cluster, logs: &[Rc<KeyLog>]) -> Check {
    let mut check = Check::new("each writer is answered again after all controllers are back");
    let calm = cluster.record.now();
    let is_served = |log: &Rc<KeyLog>| log.acknowledged_sent.get() > calm;
    let deadline = Instant::now() + RECOVERY;
    while !logs.iter().all(is_served) && Instant::now() < deadline {
        sleep(Duration::from_millis(PAUSE_MS.end)).await;
    }
    for (writer, log) in logs.iter().enumerate() {
        check.examine(is_served(log), || format!("writer {writer}"));
    }
    check
}

fn key_path(writer: usize) -> String {
    format!("/rookpulley/cells/soak.{writer}")
}

/// Reads each key and the configuration back at each controller.
async fn check_read_back(client: &mut Client, logs: &[Rc<KeyLog>]) -> Check {
    let mut check = Check::new("what was acknowledged is read back at each controller");
    let controllers = client.shared.controllers.borrow().clone();
    for at in controllers {
        let deadline = Instant::now() + READ_BACK;
        for (writer, log) in logs.iter().enumerate() {
            let body = client.read_back(at, &key_path(writer), deadline).await;
            let value = body.and_then(|body| field(&body, "value"));
            let value = value.and_then(|value| value.get::<String>()?.parse::<u64>().ok());
            let expected = log.acknowledged.get()..=log.sent.get();
            let is_valid = value.is_some_and(|value| expected.contains(&value));
            check.examine(is_valid, || {
                format!("key {writer} at {at}: {value:?}, not in {expected:?}")
            });
        }
        let body = client
            .read_back(at, "/rookpulley/configuration", deadline)
            .await;
        let version = body.and_then(|body| field(&body, "configVersion"));
        let version = version.and_then(|version| version.get::<f64>().copied());
        let expected = client.shared.configuration.get();
        let is_valid = version.is_some_and(|version| version as u64 >= expected);
        check.examine(is_valid, || {
            format!("configuration at {at}: {version:?}, not {expected} or newer")
        });
    }
    check
}

fn check_numbers(numbers: &[u64]) -> Check {
    let mut check = Check::new("no number is handed out twice");
    let mut sorted = numbers.to_vec();
    sorted.sort_unstable();
    for pair in sorted.windows(2) {
        check.examine(pair[0] < pair[1], || format!("{}", pair[0]));
    }
    check
}

/// Starts all writers and the operator.
fn start_clients(seed: u64, shared: &Rc<Shared>) -> (Vec<Rc<KeyLog>>, Vec<JoinHandle<()>>) {
    let logs: Vec<Rc<KeyLog>> = (0..WRITERS).map(|_| Rc::default()).collect();
    let writers = logs.iter().enumerate().map(|(writer, log)| {
        let client = Client::new(seed, writer as u64, shared);
        spawn_local(client.write(key_path(writer), log.clone()))
    });
    let mut running: Vec<JoinHandle<()>> = writers.collect();
    let operator = Client::new(seed, WRITERS as u64, shared);
    running.push(spawn_local(operator.configure()));
    (logs, running)
}

/// Runs the soak of a seed.
pub async fn run(cluster: &mut Cluster, seed: u64) -> Result<Trial, ClusterError> {
    // The machines count as lost for a while after their first start.
    sleep(Duration::from_secs_f64(CATCH_UP_S)).await;
    let shared = Rc::new(Shared {
        controllers: RefCell::new(cluster.environment.controls()),
        record: cluster.record.clone(),
        stopped: Cell::new(false),
        numbers: RefCell::default(),
        configuration: Cell::new(0),
    });
    let (logs, running) = start_clients(seed, &shared);
    let mut rng = ChaCha8Rng::seed_from_u64(seed << 16);
    let events = Timetable::draw(&mut rng).play(cluster, &shared).await?;
    let recovered = wait_for_recovery(cluster, &logs).await;
    shared.stopped.set(true);
    for client in running {
        _ = client.await;
    }
    let mut reader = Client::new(seed, WRITERS as u64 + 1, &shared);
    let read_back = check_read_back(&mut reader, &logs).await;
    let numbers = shared.numbers.borrow();
    let puts: u64 = logs.iter().map(|log| log.acknowledged.get()).sum();
    let lines = vec![format!(
        "seed {seed}: {events} events, {puts} puts up to the last acknowledged ones, {} numbers, configuration {}",
        numbers.len(),
        shared.configuration.get()
    )];
    let checks = vec![recovered, read_back, check_numbers(&numbers)];
    Ok(Trial { checks, lines })
}
