//! A complete gateway with its tasks: startup, supervision and ordered shutdown.

use crate::control_client::{ControlClient, send_once};
use crate::environment::{Environment, MACHINE_COUNT};
use crate::errors::ClusterError;
use crate::gateway_configuration::{FIRST, LETTERS, PARCELS, configuration};
use crate::heartbeats::spawn_task;
use crate::node_settings::{Role, ZONES};
use crate::processes::{Processes, all_log_tails};
use crate::record::Record;
use crate::task::{Stage, Task};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time limit for each step that the cluster waits for.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(12);
/// How often a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The slot counts of each service's tasks.
const SERVICES: [(&str, &[usize]); 2] = [(LETTERS, &[4, 4, 3, 2]), (PARCELS, &[4, 3])];

/// The processes and tasks of a running gateway.
pub struct Cluster {
    pub environment: Environment,
    pub processes: Processes,
    pub tasks: Vec<Rc<Task>>,
    pub record: Rc<Record>,
}

impl Cluster {
    pub fn new(keep: bool, verbose: bool) -> Result<Self, ClusterError> {
        let processes = Processes::locate(verbose)?;
        let environment = Environment::create(keep)?;
        Ok(Self {
            environment,
            processes,
            tasks: Vec::new(),
            record: Rc::new(Record::start()),
        })
    }

    /// Starts processes and tasks and returns once all proxies report that they are ready.
    pub async fn start(&mut self) -> Result<(), ClusterError> {
        self.processes.start_all(&self.environment)?;
        self.start_tasks().await?;
        self.configure(FIRST).await?;
        for machine in 0..MACHINE_COUNT {
            let address = self.environment.readiness(machine);
            let ready = || async move {
                let answer =
                    send_once(address, "GET", "/rookpulley/readiness", "", PROBE_TIMEOUT).await;
                answer.is_some_and(|(status, _)| status == 200)
            };
            self.wait_for(
                &format!("{} to become ready", Role::Proxy.name(machine)),
                ready,
            )
            .await?;
        }
        Ok(())
    }

    async fn start_tasks(&mut self) -> Result<(), ClusterError> {
        for (service, tasks) in SERVICES {
            for (index, slots) in tasks.iter().enumerate() {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
                let listener =
                    listener.map_err(ClusterError::system("cannot open a listener for a task"))?;
                let port = listener
                    .local_addr()
                    .map_err(ClusterError::system("cannot open a listener for a task"))?
                    .port();
                let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
                let incarnation = format!("i-{service}-{}-{port}", index + 1);
                let zone = ZONES
                    .get(index % MACHINE_COUNT)
                    .copied()
                    .unwrap_or_default();
                let task = Task::new(
                    incarnation,
                    service,
                    zone,
                    address,
                    *slots,
                    self.record.clone(),
                );
                spawn_task(&task, listener, self.environment.controls());
                self.tasks.push(task);
            }
        }
        Ok(())
    }

    /// Sends a configuration version until a controller acknowledges it.
    pub async fn configure(&mut self, version: u64) -> Result<(), ClusterError> {
        let client = ControlClient::new(
            self.environment.controls(),
            version as usize,
            self.record.clone(),
        );
        let body = configuration(version);
        let sent = async {
            let deadline = Instant::now() + STEP_TIMEOUT;
            let reply = client
                .call("PUT", "/rookpulley/configuration", &body, deadline)
                .await;
            reply.is_some_and(|reply| reply.status == 200)
        };
        let accepted = self.while_processes_run(sent).await?;
        if accepted {
            Ok(())
        } else {
            Err(self.timed_out(&format!("the acknowledgement of configuration {version}")))
        }
    }

    /// Runs a future to completion, or fails as soon as a process exits.
    async fn while_processes_run<T>(
        &mut self,
        work: impl Future<Output = T>,
    ) -> Result<T, ClusterError> {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                done = work.as_mut() => return Ok(done),
                () = sleep(POLL_INTERVAL) => self.processes.check_running(&self.environment)?,
            }
        }
    }

    /// Polls a condition until it holds or the step times out.
    pub async fn wait_for<F: Future<Output = bool>>(
        &mut self,
        what: &str,
        condition: impl Fn() -> F,
    ) -> Result<(), ClusterError> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !self.while_processes_run(condition()).await? {
            if Instant::now() > deadline {
                return Err(self.timed_out(what));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn timed_out(&self, what: &str) -> ClusterError {
        ClusterError::Timeout {
            what: what.into(),
            seconds: STEP_TIMEOUT.as_secs(),
            log_tails: all_log_tails(&self.environment),
        }
    }

    /// Drains the tasks, then terminates the processes. Returns a message for each failure.
    pub async fn shut_down(&mut self) -> Vec<String> {
        let begin_drain = |task: &Rc<Task>| {
            task.stage.send_if_modified(|stage| {
                let changed = *stage == Stage::Available;
                *stage = if changed { Stage::Draining } else { *stage };
                changed
            });
        };
        self.tasks.iter().for_each(begin_drain);
        let deadline = Instant::now() + STEP_TIMEOUT;
        while self.tasks.iter().any(|task| task.stage() != Stage::Gone) && Instant::now() < deadline
        {
            sleep(POLL_INTERVAL).await;
        }
        let mut faults: Vec<String> = Vec::new();
        while let Some((name, status)) = self.processes.take_exited() {
            faults.push(format!("{name} exited unexpectedly ({status})"));
        }
        faults.extend(self.processes.terminate().await);
        let unacknowledged = self.record.unacknowledged.borrow();
        faults.extend(
            unacknowledged
                .iter()
                .map(|incarnation| format!("no controller acknowledged that {incarnation} left")),
        );
        faults
    }
}
