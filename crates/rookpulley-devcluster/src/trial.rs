//! A trial: clients and applications at work while a controller is killed, a route added and a task drained.

use crate::caller::once;
use crate::clients::Clients;
use crate::cluster::{Cluster, WITHIN};
use crate::coordination::Applications;
use crate::environment::MACHINES;
use crate::faults::ClusterError;
use crate::judge::{Check, Requests};
use crate::operator::{SECOND, configuration};
use crate::order;
use crate::record::Moment;
use crate::sheet::{CATCH_UP_S, CONFIG_APPLY_MS, DRAIN_MS, Role, sheet};
use crate::task::Stage;
use bytes::Bytes;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// Requests served before the first trouble, and sent until the end at least.
const BEFORE: usize = 60;
const REQUESTS_LEAST: u32 = 400;
/// Requests for the new route that are waited for.
const NEW_ROUTE: usize = 20;
const ANSWERS: Duration = Duration::from_secs(1);

pub struct Trial {
    pub checks: Vec<Check>,
    pub lines: Vec<String>,
}

impl Trial {
    pub fn passed(&self) -> bool {
        self.checks.iter().all(Check::passed)
    }
}

fn say(cluster: &Cluster, what: &str) {
    tell!(
        "trial: {:5.2} s  {what}",
        cluster.record.now().as_secs_f64()
    );
}

/// Ends what it runs also where the trial is broken off.
struct Beside(JoinHandle<()>);

impl Drop for Beside {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// `machine`: whose controller is killed.
pub async fn run(cluster: &mut Cluster, machine: usize) -> Result<Trial, ClusterError> {
    let proxies = (0..MACHINES)
        .map(|machine| cluster.environment.front(machine))
        .collect();
    let clients = Clients::new(proxies, cluster.record.clone());
    let applications = Rc::new(Applications::new(
        cluster.environment.controls(),
        cluster.record.clone(),
    ));
    let (requests, calls) = (clients.clone(), applications.clone());
    let mut load = Beside(spawn_local(requests.run()));
    let mut control = Beside(spawn_local(async move { calls.run().await }));
    let played = script(cluster, machine, &clients, &applications).await;
    write_down(cluster, &clients);
    let second_holds = played?;
    clients.over.set(true);
    applications.over.set(true);
    say(cluster, "the last answers are waited for");
    let both = async { _ = tokio::join!(&mut load.0, &mut control.0) };
    let mut checks = Vec::new();
    let mut through = Check::new("clients and applications come to their end");
    through.look(timeout(WITHIN, both).await.is_ok(), || {
        format!("not within {} s", WITHIN.as_secs())
    });
    let read_back = read_back(cluster).await;

    let (tries, record) = (clients.tries.borrow(), cluster.record.clone());
    let (arrivals, drains) = (record.arrivals.borrow(), record.drains.borrow());
    let bounds = sheet(&cluster.environment, 0, Role::Proxy, false).bounds;
    let requests = Requests {
        tries: &tries,
        arrivals: &arrivals,
        drains: &drains,
        drain: Duration::from_millis(DRAIN_MS),
        second_holds: Some(second_holds),
        retry_ratio: bounds.retry_budget_ratio,
        retry_slack: bounds.retry_budget_slack,
    };
    checks.extend(requests.checks());
    checks.extend(order::checks(&applications.told));
    checks.extend([read_back, through]);
    let (usual, slowest) = requests.times();
    let outcomes = requests
        .outcomes()
        .into_iter()
        .map(|(what, count)| format!("{what}: {count}"));
    let lines = vec![
        format!(
            "answers to {} tries: {}",
            tries.len(),
            outcomes.collect::<Vec<_>>().join(", ")
        ),
        format!(
            "successes took {} ms in the middle, {} ms for 1 of 100",
            usual.as_millis(),
            slowest.as_millis()
        ),
    ];
    Ok(Trial { checks, lines })
}

/// Gives back when the second version must hold everywhere.
async fn script(
    cluster: &mut Cluster,
    machine: usize,
    clients: &Rc<Clients>,
    applications: &Rc<Applications>,
) -> Result<Moment, ClusterError> {
    let controller = Role::Controller.name(machine);
    say(
        cluster,
        "requests go through all proxies, applications call all controllers",
    );
    let served = |proxy: Option<usize>| {
        let tries = clients.tries.borrow();
        tries
            .iter()
            .filter(|one| one.served() && proxy.is_none_or(|at| at == one.proxy))
            .count()
    };
    cluster
        .wait("that every proxy serves", async || {
            served(None) >= BEFORE && (0..MACHINES).all(|at| served(Some(at)) > 0)
        })
        .await?;
    let told = &applications.told;
    let hold_seen = async || !told.holds.borrow().is_empty() && !told.events.borrow().is_empty();
    cluster
        .wait("a lock held and a put seen by its watch", hold_seen)
        .await?;

    let record = cluster.record.clone();
    let caught_up = Duration::from_secs_f64(CATCH_UP_S);
    cluster
        .wait("the time by which all have caught up", async || {
            record.now() > caught_up
        })
        .await?;

    cluster.processes.kill(&controller).await;
    let killed = cluster.record.now();
    say(cluster, &format!("{controller} is killed"));
    let numbered = async || {
        told.numbers
            .borrow()
            .iter()
            .any(|number| number.sent > killed)
    };
    cluster
        .wait("a number from the controllers that are left", numbered)
        .await?;
    let waited = cluster.record.now().saturating_sub(killed).as_millis();
    say(
        cluster,
        &format!("the controllers that are left answer, {waited} ms later"),
    );

    cluster.configure(SECOND).await?;
    let holds = cluster.record.now() + Duration::from_millis(CONFIG_APPLY_MS);
    say(
        cluster,
        &format!("configuration {SECOND} is acknowledged by them"),
    );
    cluster.processes.start(&cluster.environment, &controller)?;
    say(cluster, &format!("{controller} starts again"));
    let (control, newest) = (
        cluster.environment.control(machine),
        (200, Bytes::from(configuration(SECOND))),
    );
    let knows = async || held_by(control).await.as_ref() == Some(&newest);
    cluster
        .wait(
            &format!("that {controller} is back and knows configuration {SECOND}"),
            knows,
        )
        .await?;
    say(cluster, &format!("{controller} is back and knows it"));
    cluster
        .wait("the time by which the new route must hold", async || {
            record.now() > holds
        })
        .await?;
    clients.use_second();

    let Some(task) = cluster.tasks.first().cloned() else {
        return Ok(holds);
    };
    task.stage.send_replace(Stage::Draining);
    say(cluster, &format!("{} drains", task.incarnation));
    let acknowledged = async || {
        record
            .drains
            .borrow()
            .iter()
            .any(|drain| drain.incarnation == task.incarnation)
    };
    cluster
        .wait("an acknowledgement of the drain", acknowledged)
        .await?;
    say(cluster, "its drain is acknowledged");
    cluster
        .wait("the end of the task", async || task.stage() == Stage::Gone)
        .await?;
    say(cluster, "it has left");

    let new_route = Cell::new(0);
    let enough = async || {
        let tries = clients.tries.borrow();
        new_route.set(
            tries
                .iter()
                .filter(|one| one.served() && one.route.since == SECOND)
                .count(),
        );
        clients.sent.get() >= REQUESTS_LEAST && new_route.get() >= NEW_ROUTE
    };
    cluster
        .wait("enough requests, some by the new route", enough)
        .await?;
    Ok(holds)
}

/// Leaves what clients and tasks saw beside the logs, for whoever keeps the folder.
fn write_down(cluster: &Cluster, clients: &Clients) {
    let lines = |items: Vec<String>| items.join("\n") + "\n";
    let tries = clients
        .tries
        .borrow()
        .iter()
        .map(|one| format!("{one:?}"))
        .collect();
    let arrivals = cluster
        .record
        .arrivals
        .borrow()
        .iter()
        .map(|one| format!("{one:?}"))
        .collect();
    for (name, text) in [
        ("tries.txt", lines(tries)),
        ("arrivals.txt", lines(arrivals)),
    ] {
        _ = std::fs::write(cluster.environment.folder().join(name), text);
    }
}

/// The status and configuration that a controller gives back.
async fn held_by(controller: SocketAddrV4) -> Option<(u16, Bytes)> {
    once(controller, "GET", "/rookpulley/configuration", "", ANSWERS).await
}

/// Every controller must give back the newest configuration as it was sent.
async fn read_back(cluster: &Cluster) -> Check {
    let mut check = Check::new("every controller reads the newest configuration back");
    let sent = (200, Bytes::from(configuration(SECOND)));
    for (machine, controller) in cluster.environment.controls().into_iter().enumerate() {
        let held = held_by(controller).await;
        let status = held.as_ref().map(|(status, _)| *status);
        check.look(held.as_ref() == Some(&sent), || {
            format!("{}: {status:?}", Role::Controller.name(machine))
        });
    }
    check
}
