//! A trial: runs clients and applications while a controller is killed, a route is added and a task is drained.

use crate::clients::Clients;
use crate::cluster::{Cluster, STEP_TIMEOUT};
use crate::control_client::send_once;
use crate::coordination::Applications;
use crate::coordination_checks;
use crate::environment::MACHINE_COUNT;
use crate::errors::ClusterError;
use crate::gateway_configuration::{SECOND, configuration};
use crate::node_settings::{CATCH_UP_S, CONFIG_APPLY_MS, DRAIN_MS, Role, node_settings};
use crate::record::Moment;
use crate::request_checks::{Check, RequestChecks};
use crate::task::Stage;
use bytes::Bytes;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// Requests that must be served before the first failure is injected.
const WARMUP_REQUESTS: usize = 60;
/// Requests that a trial sends at least.
const MIN_REQUESTS: u32 = 400;
/// Requests that the new route must have served before the trial ends.
const MIN_NEW_ROUTE_REQUESTS: usize = 20;
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The results of a trial.
pub struct Trial {
    pub checks: Vec<Check>,
    pub lines: Vec<String>,
}

impl Trial {
    pub fn passed(&self) -> bool {
        self.checks.iter().all(Check::passed)
    }
}

fn log_step(cluster: &Cluster, message: &str) {
    print_line!(
        "trial: {:5.2} s  {message}",
        cluster.record.now().as_secs_f64()
    );
}

/// Aborts a background task on drop, also when the trial fails early.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs the trial; `machine` is the one whose controller is killed.
pub async fn run(cluster: &mut Cluster, machine: usize) -> Result<Trial, ClusterError> {
    let proxies = (0..MACHINE_COUNT)
        .map(|machine| cluster.environment.front(machine))
        .collect();
    let clients = Clients::new(proxies, cluster.record.clone());
    let applications = Rc::new(Applications::new(
        cluster.environment.controls(),
        cluster.record.clone(),
    ));
    let (requests, api_clients) = (clients.clone(), applications.clone());
    let mut load = AbortOnDrop(spawn_local(requests.run()));
    let mut control = AbortOnDrop(spawn_local(async move { api_clients.run().await }));
    let scenario = run_scenario(cluster, machine, &clients, &applications).await;
    write_history(cluster, &clients);
    let second_version_applies_at = scenario?;
    clients.stopped.set(true);
    applications.stopped.set(true);
    log_step(cluster, "waiting for the last answers");
    let both = async { _ = tokio::join!(&mut load.0, &mut control.0) };
    let mut checks = Vec::new();
    let mut finished = Check::new("clients and applications finish in time");
    finished.examine(timeout(STEP_TIMEOUT, both).await.is_ok(), || {
        format!("still running after {} s", STEP_TIMEOUT.as_secs())
    });
    let configurations = check_configurations(cluster).await;

    let (tries, record) = (clients.tries.borrow(), cluster.record.clone());
    let (arrivals, drains) = (record.arrivals.borrow(), record.drains.borrow());
    let bounds = node_settings(&cluster.environment, 0, Role::Proxy, false).bounds;
    let requests = RequestChecks {
        tries: &tries,
        arrivals: &arrivals,
        drains: &drains,
        drain_period: Duration::from_millis(DRAIN_MS),
        second_version_applies_at: Some(second_version_applies_at),
        retry_ratio: bounds.retry_budget_ratio,
        retry_slack: bounds.retry_budget_slack,
    };
    checks.extend(requests.checks());
    checks.extend(coordination_checks::checks(&applications.observations));
    checks.extend([configurations, finished]);
    let (median, p99) = requests.latency_percentiles();
    let outcomes = requests
        .outcomes()
        .into_iter()
        .map(|(outcome, count)| format!("{outcome}: {count}"));
    let lines = vec![
        format!(
            "answers to {} tries: {}",
            tries.len(),
            outcomes.collect::<Vec<_>>().join(", ")
        ),
        format!(
            "latency of successes: median {} ms, 99th percentile {} ms",
            median.as_millis(),
            p99.as_millis()
        ),
    ];
    Ok(Trial { checks, lines })
}

/// Plays the scenario and returns when every proxy must have applied the second configuration version.
async fn run_scenario(
    cluster: &mut Cluster,
    machine: usize,
    clients: &Rc<Clients>,
    applications: &Rc<Applications>,
) -> Result<Moment, ClusterError> {
    let controller = Role::Controller.name(machine);
    log_step(
        cluster,
        "sending requests through all proxies and calls to all controllers",
    );
    let served = |proxy: Option<usize>| {
        let tries = clients.tries.borrow();
        tries
            .iter()
            .filter(|one| one.served() && proxy.is_none_or(|index| index == one.proxy))
            .count()
    };
    cluster
        .wait_for("every proxy to serve requests", async || {
            served(None) >= WARMUP_REQUESTS
                && (0..MACHINE_COUNT).all(|index| served(Some(index)) > 0)
        })
        .await?;
    let observations = &applications.observations;
    let coordinated = async || {
        !observations.holds.borrow().is_empty() && !observations.events.borrow().is_empty()
    };
    cluster
        .wait_for("a completed lock hold and a watch event", coordinated)
        .await?;

    let record = cluster.record.clone();
    let caught_up = Duration::from_secs_f64(CATCH_UP_S);
    cluster
        .wait_for("the catch-up period of all machines to pass", async || {
            record.now() > caught_up
        })
        .await?;

    cluster.processes.kill(&controller).await;
    let killed = cluster.record.now();
    log_step(cluster, &format!("killed {controller}"));
    let number_received = async || {
        observations
            .numbers
            .borrow()
            .iter()
            .any(|number| number.sent > killed)
    };
    cluster
        .wait_for("a number from the remaining controllers", number_received)
        .await?;
    let elapsed_ms = cluster.record.now().saturating_sub(killed).as_millis();
    log_step(
        cluster,
        &format!("the remaining controllers answer after {elapsed_ms} ms"),
    );

    cluster.configure(SECOND).await?;
    let applies_at = cluster.record.now() + Duration::from_millis(CONFIG_APPLY_MS);
    log_step(cluster, &format!("configuration {SECOND} is acknowledged"));
    cluster.processes.start(&cluster.environment, &controller)?;
    log_step(cluster, &format!("restarted {controller}"));
    let (control, newest) = (
        cluster.environment.control(machine),
        (200, Bytes::from(configuration(SECOND))),
    );
    let configuration_read = async || read_configuration(control).await.as_ref() == Some(&newest);
    cluster
        .wait_for(
            &format!("{controller} to return configuration {SECOND}"),
            configuration_read,
        )
        .await?;
    log_step(
        cluster,
        &format!("{controller} returns configuration {SECOND}"),
    );
    cluster
        .wait_for(
            "the deadline for applying the new route to pass",
            async || record.now() > applies_at,
        )
        .await?;
    clients.use_second_version();

    let Some(task) = cluster.tasks.first().cloned() else {
        return Ok(applies_at);
    };
    task.stage.send_replace(Stage::Draining);
    log_step(cluster, &format!("draining {}", task.incarnation));
    let acknowledged = async || {
        record
            .drains
            .borrow()
            .iter()
            .any(|drain| drain.incarnation == task.incarnation)
    };
    cluster
        .wait_for("the acknowledgement of the drain", acknowledged)
        .await?;
    log_step(cluster, "the drain is acknowledged");
    cluster
        .wait_for("the task to leave", async || task.stage() == Stage::Gone)
        .await?;
    log_step(cluster, "the task has left");

    let new_route_served = Cell::new(0);
    let enough = async || {
        let tries = clients.tries.borrow();
        new_route_served.set(
            tries
                .iter()
                .filter(|one| one.served() && one.route.since == SECOND)
                .count(),
        );
        clients.sent.get() >= MIN_REQUESTS && new_route_served.get() >= MIN_NEW_ROUTE_REQUESTS
    };
    cluster
        .wait_for("enough requests, including some on the new route", enough)
        .await?;
    Ok(applies_at)
}

/// Writes what clients and tasks observed to files beside the logs, for inspection with --keep.
fn write_history(cluster: &Cluster, clients: &Clients) {
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

/// Reads a controller's configuration, with the status of the answer.
async fn read_configuration(controller: SocketAddrV4) -> Option<(u16, Bytes)> {
    send_once(
        controller,
        "GET",
        "/rookpulley/configuration",
        "",
        READ_TIMEOUT,
    )
    .await
}

/// Checks that every controller returns the newest configuration unchanged.
async fn check_configurations(cluster: &Cluster) -> Check {
    let mut check = Check::new("every controller returns the newest configuration");
    let sent = (200, Bytes::from(configuration(SECOND)));
    for (machine, controller) in cluster.environment.controls().into_iter().enumerate() {
        let answer = read_configuration(controller).await;
        let status = answer.as_ref().map(|(status, _)| *status);
        check.examine(answer.as_ref() == Some(&sent), || {
            format!("{}: {status:?}", Role::Controller.name(machine))
        });
    }
    check
}
