//! A soak of locks: holders that crash while their release is on its way and start again under the same name, while
//! controllers are killed, terminated, frozen and restarted in a series of overlapping faults.

use crate::cluster::Cluster;
use crate::control_client::field;
use crate::coordination::Hold;
use crate::coordination_checks::exclusive_holds;
use crate::environment::MACHINE_COUNT;
use crate::errors::ClusterError;
use crate::kept_connections::KeptConnections;
use crate::node_settings::{CATCH_UP_S, Role};
use crate::record::{Moment, Record};
use crate::request_checks::Check;
use crate::trial::Trial;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const LOCKS: usize = 60;
const HOLDERS_PER_LOCK: usize = 3;
/// How long faults are injected.
const FAULTS_FOR: Duration = Duration::from_secs(16);
/// How long a holder that wants to end its hold repeats a release without an answer.
const RELEASE_FOR: Duration = Duration::from_secs(4);
/// Upper bound for the acquisition of a lock once all faults are over: the longest lease, and the time for a view.
const ACQUIRED_WITHIN: Duration = Duration::from_secs(10);

// Ranges of random durations, in milliseconds.
const LEASE_MS: Range<u64> = 400..3_000;
const PAUSE_MS: Range<u64> = 10..150;
const HOLD_STEP_MS: Range<u64> = 0..400;
const CRASH_AFTER_MS: Range<u64> = 2..60;
const RESTART_MS: Range<u64> = 5..250;
const FAULT_INTERVAL_MS: Range<u64> = 200..2_200;
const DOWN_MS: Range<u64> = 100..1_800;

/// What the holders of one lock saw.
#[derive(Default)]
struct LockLog {
    holds: RefCell<Vec<Hold>>,
    crashes: Cell<usize>,
    refused_releases: Cell<usize>,
}

/// The part of an answer that a holder needs.
struct LockAnswer {
    status: u16,
    fence: u64,
    sent: Moment,
    received: Moment,
}

/// One holder of one lock. It keeps its connections open as long as they work.
struct Holder {
    index: usize,
    path: String,
    rng: ChaCha8Rng,
    controllers: Vec<SocketAddrV4>,
    connections: KeptConnections,
    record: Rc<Record>,
    log: Rc<LockLog>,
    stopped: Rc<Cell<bool>>,
}

/// What a holder does next with its lock.
enum HoldStep {
    Renew,
    Release,
    CrashAmidRelease,
    CrashWhileHolding,
}

impl Holder {
    fn draw_ms(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Sends a call to a random controller, on the connection kept to it if there is one.
    async fn send(&mut self, method: &str, body: &str) -> Option<LockAnswer> {
        let to = self.controllers[self.rng.random_range(0..self.controllers.len())];
        self.connections.connect(to).await?;
        let sent = self.record.now();
        let answer = self.connections.call(to, method, &self.path, body).await?;
        let fence = field(&answer.body, "fence").and_then(|fence| fence.get::<f64>().copied());
        Some(LockAnswer {
            status: answer.status,
            fence: fence.unwrap_or_default() as u64,
            sent,
            received: self.record.now(),
        })
    }

    fn body(&self, fence: Option<u64>, lease: Option<Duration>) -> String {
        let fence = fence.map_or(String::new(), |fence| format!(r#","fence":{fence}"#));
        let lease = lease.map_or(String::new(), |lease| {
            format!(r#","holdMs":{}"#, lease.as_millis())
        });
        format!(r#"{{"holder":"holder-{}"{fence}{lease}}}"#, self.index)
    }

    async fn run(mut self) {
        while !self.stopped.get() {
            let lease = self.draw_ms(LEASE_MS);
            match self.acquire(lease).await {
                Some(hold) => self.hold(hold, lease).await,
                None => sleep(self.draw_ms(PAUSE_MS)).await,
            }
        }
    }

    /// Asks for the lock once. A caller is its holder until its lease, counted from the call, is over.
    async fn acquire(&mut self, lease: Duration) -> Option<Hold> {
        let body = self.body(None, Some(lease));
        let answer = self.send("POST", &body).await?;
        let until = answer.sent + lease;
        (answer.status == 200 && answer.received < until).then_some(Hold {
            holder: self.index,
            fence: answer.fence,
            sent: answer.sent,
            from: answer.received,
            until,
        })
    }

    fn draw_step(&mut self) -> HoldStep {
        match self.rng.random_range(0..8u32) {
            0..3 => HoldStep::Renew,
            3..5 => HoldStep::Release,
            5..7 => HoldStep::CrashAmidRelease,
            _ => HoldStep::CrashWhileHolding,
        }
    }

    async fn hold(&mut self, mut hold: Hold, lease: Duration) {
        loop {
            sleep(self.draw_ms(HOLD_STEP_MS)).await;
            if self.record.now() >= hold.until {
                return self.log.holds.borrow_mut().push(hold);
            }
            match self.draw_step() {
                HoldStep::Renew if self.renew(&mut hold, lease).await => {}
                HoldStep::Renew => return self.end(hold),
                HoldStep::Release => return self.release(hold).await,
                HoldStep::CrashAmidRelease => return self.crash_amid_release(hold).await,
                HoldStep::CrashWhileHolding => {
                    self.end(hold);
                    return self.restart().await;
                }
            }
        }
    }

    /// Records that the hold ends now, or has ended before.
    fn end(&self, mut hold: Hold) {
        hold.until = hold.until.min(self.record.now());
        self.log.holds.borrow_mut().push(hold);
    }

    /// Extends the hold. Returns false if the lock is lost.
    async fn renew(&mut self, hold: &mut Hold, lease: Duration) -> bool {
        let body = self.body(Some(hold.fence), Some(lease));
        match self.send("PUT", &body).await {
            Some(answer) if answer.status == 200 && answer.received < hold.until => {
                hold.until = hold.until.max(answer.sent + lease);
                true
            }
            Some(answer) => answer.status != 409,
            None => true,
        }
    }

    /// Releases the lock, and repeats that until it is answered.
    async fn release(&mut self, hold: Hold) {
        let body = self.body(Some(hold.fence), None);
        self.end(hold);
        let deadline = Instant::now() + RELEASE_FOR;
        while Instant::now() < deadline {
            match self.send("DELETE", &body).await {
                Some(answer) if answer.status < 500 => return,
                Some(_) => self
                    .log
                    .refused_releases
                    .set(self.log.refused_releases.get() + 1),
                None => {}
            }
            sleep(self.draw_ms(PAUSE_MS)).await;
        }
    }

    /// Sends a release and crashes without waiting for the answer.
    async fn crash_amid_release(&mut self, hold: Hold) {
        self.log.crashes.set(self.log.crashes.get() + 1);
        let body = self.body(Some(hold.fence), None);
        self.end(hold);
        let crashes_after = self.draw_ms(CRASH_AFTER_MS);
        _ = timeout(crashes_after, self.send("DELETE", &body)).await;
        self.restart().await;
    }

    async fn restart(&mut self) {
        self.connections.close();
        sleep(self.draw_ms(RESTART_MS)).await;
    }
}

/// A controller that is down or frozen, and when that ends.
struct ActiveFault {
    machine: usize,
    is_frozen: bool,
    until: Instant,
}

/// Kills, terminates and freezes random controllers and undoes it. Returns how many faults there were.
async fn inject_faults(cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Result<usize, ClusterError> {
    let mut active: Vec<ActiveFault> = Vec::new();
    let end = Instant::now() + FAULTS_FOR;
    let mut count = 0;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS))).await;
        recover(cluster, &mut active, Instant::now()).await?;
        let machine = rng.random_range(0..MACHINE_COUNT);
        if active.iter().any(|fault| fault.machine == machine) {
            continue;
        }
        count += 1;
        let name = Role::Controller.name(machine);
        let is_frozen = match rng.random_range(0..4u32) {
            0 => {
                cluster.processes.signal(&name, Signal::TERM);
                false
            }
            1 => {
                cluster.processes.signal(&name, Signal::STOP);
                true
            }
            _ => {
                cluster.processes.kill(&name).await;
                false
            }
        };
        let until = Instant::now() + Duration::from_millis(rng.random_range(DOWN_MS));
        active.push(ActiveFault {
            machine,
            is_frozen,
            until,
        });
    }
    sleep(Duration::from_millis(DOWN_MS.end)).await;
    recover(cluster, &mut active, Instant::now()).await?;
    Ok(count)
}

/// Undoes the faults that end by this time. A controller that still runs after SIGTERM is killed first.
async fn recover(
    cluster: &mut Cluster,
    active: &mut Vec<ActiveFault>,
    now: Instant,
) -> Result<(), ClusterError> {
    for fault in active.extract_if(.., |fault| fault.until <= now) {
        let name = Role::Controller.name(fault.machine);
        if fault.is_frozen {
            cluster.processes.signal(&name, Signal::CONT);
            continue;
        }
        cluster.processes.kill(&name).await;
        cluster.processes.start(&cluster.environment, &name)?;
    }
    Ok(())
}

/// Starts the holders of all locks.
fn start_holders(
    cluster: &Cluster,
    seed: u64,
    stopped: &Rc<Cell<bool>>,
) -> (Vec<Rc<LockLog>>, Vec<JoinHandle<()>>) {
    let mut logs = Vec::new();
    let mut running = Vec::new();
    for lock in 0..LOCKS {
        let log = Rc::new(LockLog::default());
        for index in 0..HOLDERS_PER_LOCK {
            let number = (lock * HOLDERS_PER_LOCK + index) as u64;
            let holder = Holder {
                index,
                path: format!("/rookpulley/locks/soak-{lock}"),
                rng: ChaCha8Rng::seed_from_u64((seed << 16) | (number + 1)),
                controllers: cluster.environment.controls(),
                connections: KeptConnections::default(),
                record: cluster.record.clone(),
                log: log.clone(),
                stopped: stopped.clone(),
            };
            running.push(spawn_local(holder.run()));
        }
        logs.push(log);
    }
    (logs, running)
}

/// Checks that each lock is acquired again once the faults are over.
async fn wait_for_holds(cluster: &Cluster, logs: &[Rc<LockLog>]) -> Check {
    let mut check = Check::new("each lock is acquired again after the last fault");
    let calm = cluster.record.now();
    let is_acquired = |log: &Rc<LockLog>| {
        let holds = log.holds.borrow();
        holds.iter().any(|hold| hold.sent > calm)
    };
    let deadline = Instant::now() + ACQUIRED_WITHIN;
    while !logs.iter().all(is_acquired) && Instant::now() < deadline {
        sleep(Duration::from_millis(PAUSE_MS.end)).await;
    }
    for (lock, log) in logs.iter().enumerate() {
        check.examine(is_acquired(log), || format!("lock {lock} was not acquired"));
    }
    check
}

/// Runs the soak of a seed.
pub async fn run(cluster: &mut Cluster, seed: u64) -> Result<Trial, ClusterError> {
    // The machines count as lost for a while after their first start.
    sleep(Duration::from_secs_f64(CATCH_UP_S)).await;
    let stopped = Rc::new(Cell::new(false));
    let (logs, running) = start_holders(cluster, seed, &stopped);
    let mut rng = ChaCha8Rng::seed_from_u64(seed << 16);
    let faults = inject_faults(cluster, &mut rng).await?;
    let acquired = wait_for_holds(cluster, &logs).await;
    stopped.set(true);
    for holder in running {
        _ = holder.await;
    }
    let crashes: usize = logs.iter().map(|log| log.crashes.get()).sum();
    let mut crashed = Check::new("holders crash while their release is on its way");
    crashed.examine(crashes > LOCKS, || format!("{crashes} crashes"));
    let checks = vec![acquired, crashed, check_all_holds(&logs)];
    let holds: usize = logs.iter().map(|log| log.holds.borrow().len()).sum();
    let refused: usize = logs.iter().map(|log| log.refused_releases.get()).sum();
    let lines = vec![format!(
        "seed {seed}: {faults} faults, {holds} holds, {crashes} crashes amid a release, {refused} releases answered with 5xx"
    )];
    Ok(Trial { checks, lines })
}

/// Checks the holds of each lock, and adds the results up.
fn check_all_holds(logs: &[Rc<LockLog>]) -> Check {
    let checks = logs.iter().map(|log| exclusive_holds(&log.holds.borrow()));
    checks
        .reduce(Check::merge)
        .unwrap_or_else(|| exclusive_holds(&[]))
}
