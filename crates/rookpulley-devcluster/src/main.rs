//! A complete gateway on one machine with stand-in tasks, for manual use and end-to-end tests.
//!
//! `environment`, `node_settings` and `processes` start the controllers and proxies; `task` and `heartbeats` implement
//! the tasks; `gateway_configuration` and `control_client` configure the gateway; `cluster` combines them. `trial` runs
//! `clients` and `coordination` against the cluster, `lock_soak` holders of locks and `recovery_soak` writers while a disk
//! is lost, both on `kept_connections`; `request_checks` and `coordination_checks` verify the results.

/// Prints a line and ignores errors such as a closed pipe.
macro_rules! print_line {
    ($($line:tt)*) => {{
        use std::io::Write;
        _ = writeln!(std::io::stdout(), $($line)*);
    }};
}

mod clients;
mod cluster;
mod control_client;
mod coordination;
mod coordination_checks;
mod environment;
mod errors;
mod gateway_configuration;
mod heartbeats;
mod kept_connections;
mod lock_soak;
mod node_settings;
mod processes;
mod record;
mod recovery_soak;
mod request_checks;
mod task;
#[cfg(test)]
mod tests;
mod transport;
mod trial;

use cluster::Cluster;
use environment::MACHINE_COUNT;
use errors::ClusterError;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;
use trial::Trial;

xflags::xflags! {
    /// Starts a gateway of three proxies and three controllers on 127.0.0.1, 127.0.0.2 and 127.0.0.3, with stand-in
    /// tasks, and serves until Ctrl-C.
    cmd rookpulley-devcluster {
        /// Generates load, injects failures, checks the results, prints a table, and exits with 0 or 1.
        optional --trial
        /// Soaks the locks instead: holders crash while controllers are killed, terminated and frozen, as drawn from this
        /// seed. It takes some 40 seconds.
        optional --lock-soak seed: u64
        /// Soaks the recovery instead: controllers are frozen, killed and terminated in overlap, and one disk is lost, as drawn
        /// from this seed; then everything acknowledged is read back. It takes up to 60 seconds.
        optional --recovery-soak seed: u64
        /// Stops after this many seconds; --for is an alias. A trial that has not finished by then fails.
        optional --seconds seconds: u64
        /// The machine, 1 to 3, whose controller the trial kills; 1 by default.
        optional --kill machine: usize
        /// Keeps the folder with the settings, logs and data of the processes.
        optional --keep
        /// Enables verbose logging in the processes.
        optional --verbose
    }
}

/// Default time limits of a trial, and of a soak of recovery.
const TRIAL_S: u64 = 60;
const RECOVERY_SOAK_S: u64 = 90;
/// How often exited processes are looked for, to restart them as a service manager would.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

fn main() -> miette::Result<ExitCode> {
    // xflags cannot define a flag named after the keyword `for`.
    let arguments = std::env::args_os().skip(1).map(|argument| {
        if argument == "--for" {
            "--seconds".into()
        } else {
            argument
        }
    });
    let flags =
        RookpulleyDevcluster::from_vec(arguments.collect()).unwrap_or_else(|fault| fault.exit());
    _ = miette::set_hook(Box::new(|_| {
        Box::new(miette::NarratableReportHandler::new())
    }));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(ClusterError::system("cannot create the runtime"))?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, run(flags))?)
}

/// SIGINT, SIGTERM and SIGHUP.
struct StopSignals([Signal; 3]);

impl StopSignals {
    fn listen() -> Result<Self, ClusterError> {
        let listen =
            |kind| signal(kind).map_err(ClusterError::system("cannot install a signal handler"));
        Ok(Self([
            listen(SignalKind::interrupt())?,
            listen(SignalKind::terminate())?,
            listen(SignalKind::hangup())?,
        ]))
    }

    async fn received(&mut self) {
        let Self([interrupt, terminate, hangup]) = self;
        tokio::select! { _ = interrupt.recv() => {}, _ = terminate.recv() => {}, _ = hangup.recv() => {} }
    }
}

enum Completion {
    Trial(Trial),
    Stopped,
    TimeLimit,
}

async fn run(flags: RookpulleyDevcluster) -> Result<ExitCode, ClusterError> {
    let mut stop = StopSignals::listen()?;
    let mut cluster = Cluster::new(flags.keep, flags.verbose)?;
    let is_trial = flags.trial || flags.lock_soak.is_some() || flags.recovery_soak.is_some();
    let default_limit = match flags.recovery_soak {
        Some(_) => RECOVERY_SOAK_S,
        None => TRIAL_S,
    };
    let limit = flags.seconds.or(is_trial.then_some(default_limit));
    let time_limit = async {
        match limit {
            Some(seconds) => sleep(Duration::from_secs(seconds)).await,
            None => std::future::pending().await,
        }
    };
    let work = async {
        cluster.start().await?;
        print_addresses(&cluster);
        let machine = flags.kill.unwrap_or(1).clamp(1, MACHINE_COUNT) - 1;
        if let Some(seed) = flags.lock_soak {
            lock_soak::run(&mut cluster, seed)
                .await
                .map(Completion::Trial)
        } else if let Some(seed) = flags.recovery_soak {
            recovery_soak::run(&mut cluster, seed)
                .await
                .map(Completion::Trial)
        } else if flags.trial {
            trial::run(&mut cluster, machine)
                .await
                .map(Completion::Trial)
        } else {
            supervise(&mut cluster).await
        }
    };
    let ended = tokio::select! {
        ended = work => ended,
        () = stop.received() => Ok(Completion::Stopped),
        () = time_limit => Ok(Completion::TimeLimit),
    };
    print_line!("cluster: shutting down: draining the tasks, then terminating the processes");
    let faults = tokio::select! {
        faults = cluster.shut_down() => faults,
        // A second signal skips the ordered shutdown; processes still running are killed on drop.
        () = stop.received() => return Err(ClusterError::Stopped),
    };
    faults
        .iter()
        .for_each(|fault| print_line!("cluster: {fault}"));
    if flags.keep {
        print_line!(
            "cluster: settings, logs and data are kept in {}",
            cluster.environment.folder().display()
        );
    }
    let succeeded = match ended? {
        Completion::Trial(trial) => {
            print_report(&trial, &processes::warnings(cluster.environment.folder()));
            trial.passed()
        }
        Completion::Stopped | Completion::TimeLimit if is_trial => {
            print_line!("trial: interrupted before it finished, so it failed");
            false
        }
        Completion::Stopped | Completion::TimeLimit => true,
    };
    Ok(if succeeded && faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Restarts exited processes until cancelled.
async fn supervise(cluster: &mut Cluster) -> Result<Completion, ClusterError> {
    loop {
        while let Some((name, status)) = cluster.processes.take_exited() {
            print_line!("cluster: {name} exited ({status}); restarting it");
            cluster.processes.start(&cluster.environment, &name)?;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn print_addresses(cluster: &Cluster) {
    let environment = &cluster.environment;
    print_line!(
        "cluster: up; settings, logs and data are in {}",
        environment.folder().display()
    );
    for machine in 0..MACHINE_COUNT {
        let (front, control) = (environment.front(machine), environment.control(machine));
        print_line!(
            "cluster: machine {}: proxy at {front}, controller at {control}",
            machine + 1
        );
    }
    for task in &cluster.tasks {
        print_line!(
            "cluster: task {} at {}, {} slots",
            task.incarnation,
            task.address,
            task.slots
        );
    }
    print_line!("try it:");
    let (front, control) = (environment.front(0), environment.control(0));
    print_line!(
        "    curl -i -H 'Host: letters.example' -H 'Request-Id: my-first' http://{front}/read/hello"
    );
    print_line!("    curl -i -X POST -d '{{}}' http://{control}/rookpulley/numbers/mine");
}

fn print_report(trial: &Trial, warnings: &[String]) {
    print_line!(
        "\n{:<70} {:>6} {:>6}",
        "what was checked",
        "looked",
        "faults"
    );
    for check in &trial.checks {
        let mark = if check.passed() { "" } else { "  <--" };
        print_line!(
            "{:<70} {:>6} {:>6}{mark}",
            check.name,
            check.examined,
            check.faults
        );
    }
    trial.lines.iter().for_each(|line| print_line!("{line}"));
    warnings.iter().for_each(|line| print_line!("log: {line}"));
    for check in trial.checks.iter().filter(|check| !check.passed()) {
        print_line!("fault: {}", check.name);
        check
            .fault_details
            .iter()
            .for_each(|fault| print_line!("    {fault}"));
    }
    print_line!(
        "trial: {}",
        if trial.passed() { "passed" } else { "FAILED" }
    );
}
