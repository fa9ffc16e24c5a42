//! A whole gateway with its tasks: brought up, looked after, ended in order.

use crate::caller::{Caller, once};
use crate::environment::{Environment, MACHINES};
use crate::faults::ClusterError;
use crate::heartbeats::begin;
use crate::operator::{FIRST, LETTERS, PARCELS, configuration};
use crate::processes::{Processes, tails};
use crate::record::Record;
use crate::sheet::{Role, ZONES};
use crate::task::{Stage, Task};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// What must have come within this time of being asked for.
pub const WITHIN: Duration = Duration::from_secs(12);
/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(25);
const ANSWERS: Duration = Duration::from_millis(500);
/// Tasks of each service, with their slots.
const SERVICES: [(&str, &[usize]); 2] = [(LETTERS, &[4, 4, 3, 2]), (PARCELS, &[4, 3])];

pub struct Cluster {
    pub environment: Environment,
    pub processes: Processes,
    pub tasks: Vec<Rc<Task>>,
    pub record: Rc<Record>,
}

impl Cluster {
    pub fn new(keep: bool, verbose: bool) -> Result<Self, ClusterError> {
        let processes = Processes::find(verbose)?;
        let environment = Environment::find(keep)?;
        Ok(Self {
            environment,
            processes,
            tasks: Vec::new(),
            record: Rc::new(Record::begin()),
        })
    }

    /// Returns once all proxies say that they are ready.
    pub async fn start(&mut self) -> Result<(), ClusterError> {
        self.processes.start_all(&self.environment)?;
        self.start_tasks().await?;
        self.configure(FIRST).await?;
        for machine in 0..MACHINES {
            let to = self.environment.readiness(machine);
            let ready = || async move {
                let answer = once(to, "GET", "/rookpulley/readiness", "", ANSWERS).await;
                answer.is_some_and(|(status, _)| status == 200)
            };
            self.wait(
                &format!("that {} is ready", Role::Proxy.name(machine)),
                ready,
            )
            .await?;
        }
        Ok(())
    }

    async fn start_tasks(&mut self) -> Result<(), ClusterError> {
        for (service, tasks) in SERVICES {
            for (at, slots) in tasks.iter().enumerate() {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
                let listener = listener.map_err(ClusterError::system("a task can't listen"))?;
                let port = listener
                    .local_addr()
                    .map_err(ClusterError::system("a task can't listen"))?
                    .port();
                let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
                let incarnation = format!("i-{service}-{}-{port}", at + 1);
                let zone = ZONES.get(at % MACHINES).copied().unwrap_or_default();
                let task = Task::new(
                    incarnation,
                    service,
                    zone,
                    address,
                    *slots,
                    self.record.clone(),
                );
                begin(&task, listener, self.environment.controls());
                self.tasks.push(task);
            }
        }
        Ok(())
    }

    /// The operator sends a version until it is acknowledged.
    pub async fn configure(&mut self, version: u64) -> Result<(), ClusterError> {
        let caller = Caller::new(
            self.environment.controls(),
            version as usize,
            self.record.clone(),
        );
        let body = configuration(version);
        let sent = async {
            let until = Instant::now() + WITHIN;
            let reply = caller
                .call("PUT", "/rookpulley/configuration", &body, until)
                .await;
            reply.is_some_and(|reply| reply.status == 200)
        };
        let taken = self.while_all_run(sent).await?;
        if taken {
            Ok(())
        } else {
            Err(self.late(&format!("an acknowledgement of configuration {version}")))
        }
    }

    /// Does something that ends by itself, but no longer than the processes run.
    async fn while_all_run<T>(&mut self, work: impl Future<Output = T>) -> Result<T, ClusterError> {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                done = work.as_mut() => return Ok(done),
                () = sleep(LOOK) => self.processes.all_run(&self.environment)?,
            }
        }
    }

    /// Looks at a condition until it holds.
    pub async fn wait<F: Future<Output = bool>>(
        &mut self,
        what: &str,
        holds: impl Fn() -> F,
    ) -> Result<(), ClusterError> {
        let until = Instant::now() + WITHIN;
        while !self.while_all_run(holds()).await? {
            if Instant::now() > until {
                return Err(self.late(what));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    fn late(&self, what: &str) -> ClusterError {
        ClusterError::Late {
            what: what.into(),
            seconds: WITHIN.as_secs(),
            tails: tails(&self.environment),
        }
    }

    /// The tasks take their leave, then the processes are told to end. Gives back what didn't go as it should.
    pub async fn end(&mut self) -> Vec<String> {
        let leaving = |task: &Rc<Task>| {
            task.stage.send_if_modified(|stage| {
                let begins = *stage == Stage::Available;
                *stage = if begins { Stage::Draining } else { *stage };
                begins
            });
        };
        self.tasks.iter().for_each(leaving);
        let until = Instant::now() + WITHIN;
        while self.tasks.iter().any(|task| task.stage() != Stage::Gone) && Instant::now() < until {
            sleep(LOOK).await;
        }
        let mut faults: Vec<String> = Vec::new();
        while let Some((name, status)) = self.processes.ended() {
            faults.push(format!("{name} had ended by itself ({status})"));
        }
        faults.extend(self.processes.end().await);
        let unheard = self.record.unheard.borrow();
        faults.extend(
            unheard
                .iter()
                .map(|incarnation| format!("nobody acknowledged that {incarnation} left")),
        );
        faults
    }
}
