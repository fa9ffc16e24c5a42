//! One run: a proxy process with clients, changes and signals, which is stopped and started again.

use crate::client::{Client, Habit, Traffic};
use crate::judge::{Finding, Stop};
use crate::random::Random;
use crate::{controller, task};
use rustix::process::{Pid, Signal, kill_process};
use std::cell::{Cell, RefCell};
use std::fmt::{Display, Formatter};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const FRONT_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;
const INTERNAL_PORT: u16 = 7720;
const INSTANCES: usize = 3;
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How long after its grace period a process is reported instead of waited for.
const KILL_DELAY: Duration = Duration::from_millis(300);
/// Longer than a run: while a process starts, nothing has to be served.
const NEVER_READY: Duration = Duration::from_secs(3_600);
/// How long clients go on after the process is gone, to read what it left behind.
const AFTERMATH: Duration = Duration::from_millis(1_600);

/// What a seed stands for.
pub struct Scenario {
    seed: u64,
    stops: usize,
    random: Random,
    ip: Ipv4Addr,
    folder: PathBuf,
}

/// The result of a run.
pub struct Summary {
    pub seed: u64,
    pub findings: Vec<String>,
    pub answered: usize,
    pub refused: usize,
    pub closed: usize,
    /// How long each process lived after SIGTERM, in seconds.
    pub ends_s: Vec<f64>,
}

impl Display for Summary {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "seed {}: {} findings; {} answered, {} refused, {} closed; ended {:.2?} s after SIGTERM",
            self.seed,
            self.findings.len(),
            self.answered,
            self.refused,
            self.closed,
            self.ends_s
        )?;
        for finding in &self.findings {
            write!(formatter, "\n    {finding}")?;
        }
        Ok(())
    }
}

impl Scenario {
    /// `stops` is how often the process is stopped.
    pub fn new(seed: u64, stops: usize) -> Self {
        let process = std::process::id();
        let octet = |number: u64| (number % 250 + 1) as u8;
        let ip = Ipv4Addr::new(
            127,
            octet(u64::from(process / 250)),
            octet(process.into()),
            octet(seed),
        );
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{process}-{seed}"));
        Self {
            seed,
            stops,
            random: Random::new(seed),
            ip,
            folder,
        }
    }

    pub async fn run(mut self) -> Summary {
        std::fs::create_dir_all(&self.folder).unwrap();
        let record = Rc::default();
        let mut instances = Vec::new();
        for _ in 0..INSTANCES {
            instances.push(task::start(self.ip, Rc::clone(&record)).await);
        }
        controller::start(SocketAddrV4::new(self.ip, INTERNAL_PORT), instances).await;
        let traffic = Rc::new(Traffic {
            address: SocketAddrV4::new(self.ip, FRONT_PORT),
            record,
            ready_at: Cell::new(Instant::now()),
            ended_processes: Cell::new(0),
            stops: RefCell::default(),
            is_over: Cell::new(false),
            findings: RefCell::default(),
            answered: Cell::new(0),
            refused: Cell::new(0),
            closed: Cell::new(0),
        });
        let mut ends_s = Vec::new();
        let mut other_findings = Vec::new();
        for stop in 0..self.stops {
            traffic.ready_at.set(Instant::now() + NEVER_READY);
            let process = self.start_process(stop).await;
            traffic.ready_at.set(Instant::now());
            if stop == 0 {
                self.start_clients(&traffic);
            }
            let stopped = self.stop_process(process, &traffic).await;
            traffic.ended_processes.set(stop + 1);
            match stopped {
                Ok(took) => ends_s.push(took.as_secs_f64()),
                Err(finding) => other_findings.push(finding),
            }
        }
        sleep(AFTERMATH).await;
        traffic.is_over.set(true);
        _ = std::fs::remove_dir_all(&self.folder);
        let findings = traffic.findings.borrow();
        let findings = findings.iter().map(Finding::to_string);
        Summary {
            seed: self.seed,
            findings: findings.chain(other_findings).collect(),
            answered: traffic.answered.get(),
            refused: traffic.refused.get(),
            closed: traffic.closed.get(),
            ends_s,
        }
    }

    fn start_clients(&mut self, traffic: &Rc<Traffic>) {
        for habit in Habit::ALL {
            for number in 0..self.random.between(2, 6) {
                let client = Client {
                    traffic: traffic.clone(),
                    name: format!("{}-{habit:?}-{number}", self.seed),
                    habit,
                    random: self.random.fork(),
                };
                tokio::task::spawn_local(client.run());
            }
        }
    }

    /// Starts the proxy and waits until it is ready.
    async fn start_process(&self, stop: usize) -> Child {
        let settings = self.folder.join("node.toml");
        self.write_settings(0);
        let log = std::fs::File::create(self.folder.join(format!("{stop}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_rookpulley-proxy"))
            .env(rookpulley_settings::BOOT_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let readiness = SocketAddrV4::new(self.ip, READINESS_PORT);
        while !is_ready(readiness).await {
            sleep(Duration::from_millis(10)).await;
        }
        child
    }

    fn write_settings(&self, change: u64) {
        let ip = self.ip;
        let text = format!(
            "nodeName = \"soak-{seed}\"\nserves = [\"edge\"]\nipAddress = \"{ip}\"\nzone = \"east\"\n\
             region = \"r\"\ninternalPortRange = [{INTERNAL_PORT}, {INTERNAL_PORT}]\nseedNodes = [\"{ip}:1\"]\n\
             change = {change}\n[zones]\neast = \"r\"\n[listenAddresses]\nfrontHttp = \"{ip}:{FRONT_PORT}\"\n\
             readiness = \"{ip}:{READINESS_PORT}\"\n[limits]\nmemoryMb = 260\nmaxOpenFiles = 1000\n\
             linkMbps = 1000.0\n[bounds]\nretryBudgetRatio = 10.0\nretryBudgetSlack = 64\ngracePeriodS = {grace}\n",
            seed = self.seed,
            grace = self.grace().as_secs_f64(),
        );
        // Replaced as a whole, so that the proxy doesn't read a part of it.
        let (file, new) = (self.folder.join("node.toml"), self.folder.join("new.toml"));
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, file).unwrap();
    }

    fn grace(&self) -> Duration {
        Duration::from_secs(if self.seed.is_multiple_of(3) { 8 } else { 6 })
    }

    /// Sends signals in series around SIGTERM. Returns how long the process lived after it.
    async fn stop_process(
        &mut self,
        mut process: Child,
        traffic: &Traffic,
    ) -> Result<Duration, String> {
        let pid = Pid::from_child(&process);
        let grace = self.grace();
        for change in 1..self.random.between(1, 4) {
            sleep(Duration::from_millis(self.random.between(50, 500))).await;
            self.write_settings(change);
            kill_process(pid, Signal::HUP).unwrap();
        }
        sleep(Duration::from_millis(self.random.between(0, 300))).await;
        let at = Instant::now();
        traffic.stops.borrow_mut().push(Stop {
            at,
            grace,
            has_ended: false,
        });
        kill_process(pid, Signal::TERM).unwrap();
        let mut next_signal = at + Duration::from_millis(self.random.between(0, 900));
        loop {
            if let Some(status) = process.try_wait().unwrap() {
                let mut stops = traffic.stops.borrow_mut();
                stops.last_mut().unwrap().has_ended = true;
                return if status.success() {
                    Ok(at.elapsed())
                } else {
                    Err(format!("the process ended with {status}"))
                };
            }
            if at.elapsed() > grace + KILL_DELAY {
                process.kill().unwrap();
                process.wait().unwrap();
                return Err("the process outlived its grace period".to_owned());
            }
            if Instant::now() >= next_signal {
                next_signal += Duration::from_millis(self.random.between(100, 1_200));
                let is_hang_up = self.random.one_in(2);
                let signal = if is_hang_up {
                    Signal::HUP
                } else {
                    Signal::TERM
                };
                kill_process(pid, signal).unwrap();
            }
            sleep(EXIT_CHECK_INTERVAL).await;
        }
    }
}

async fn is_ready(address: SocketAddrV4) -> bool {
    let Some(mut exchange) = crate::exchange::Exchange::connect(address).await else {
        return false;
    };
    let request = b"GET /rookpulley/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    exchange.send(request).await
        && exchange
            .read_answer()
            .await
            .is_ok_and(|answer| answer.status == 200)
}
