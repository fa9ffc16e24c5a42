//! A whole gateway on one machine against stand-in tasks: to be tried by hand, and to be tested from end to end.
//!
//! `environment`, `sheet` and `processes` start the controllers and proxies; `task` and `heartbeats` are the tasks, `operator` and
//! `caller` the operator; `cluster` holds all of it together. `trial` runs `clients` and `coordination` against it,
//! `judge` and `order` decide what comes of that.

/// Prints a line, also where nobody reads any more.
macro_rules! tell {
    ($($line:tt)*) => {{
        use std::io::Write;
        _ = writeln!(std::io::stdout(), $($line)*);
    }};
}

mod caller;
mod clients;
mod cluster;
mod coordination;
mod environment;
mod faults;
mod heartbeats;
mod judge;
mod operator;
mod order;
mod processes;
mod record;
mod sheet;
mod task;
#[cfg(test)]
mod tests;
mod trial;
mod wire;

use cluster::Cluster;
use environment::MACHINES;
use faults::ClusterError;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;
use trial::Trial;

xflags::xflags! {
    /// Starts a gateway of three proxies and three controllers on 127.0.0.1, 127.0.0.2 and 127.0.0.3, with stand-in
    /// tasks, and serves until Ctrl-C.
    cmd rookpulley-devcluster {
        /// Sends requests and calls itself, makes some trouble, checks what comes of it, prints a table, and ends with 0 or 1.
        optional --trial
        /// Ends after so many seconds; --for means the same. A trial that isn't through by then has failed.
        optional --seconds seconds: u64
        /// The machine, 1 to 3, whose controller the trial kills; 1 where none is told.
        optional --kill machine: usize
        /// Leaves the folder with the settings, logs and data of the processes.
        optional --keep
        /// The processes log lines of the ordinary path, too.
        optional --verbose
    }
}

/// A trial that takes longer has failed, unless it is given more.
const TRIAL_S: u64 = 60;
/// A process that ended by itself starts again, as on real machines.
const LOOK: Duration = Duration::from_millis(200);

fn main() -> miette::Result<ExitCode> {
    // `for` is a word of the language, so the parser can't have a flag of that name.
    let said = std::env::args_os().skip(1).map(|word| {
        if word == "--for" {
            "--seconds".into()
        } else {
            word
        }
    });
    let flags = RookpulleyDevcluster::from_vec(said.collect()).unwrap_or_else(|fault| fault.exit());
    _ = miette::set_hook(Box::new(|_| {
        Box::new(miette::NarratableReportHandler::new())
    }));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(ClusterError::system("the runtime can't be made"))?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, run(flags))?)
}

/// Ctrl-C, SIGTERM, and the end of the terminal.
struct Stop([Signal; 3]);

impl Stop {
    fn hear() -> Result<Self, ClusterError> {
        let hear = |kind| signal(kind).map_err(ClusterError::system("signals can't be heard"));
        Ok(Self([
            hear(SignalKind::interrupt())?,
            hear(SignalKind::terminate())?,
            hear(SignalKind::hangup())?,
        ]))
    }

    async fn comes(&mut self) {
        let Self([interrupt, terminate, hangup]) = self;
        tokio::select! { _ = interrupt.recv() => {}, _ = terminate.recv() => {}, _ = hangup.recv() => {} }
    }
}

enum End {
    Trial(Trial),
    Asked,
    Over,
}

async fn run(flags: RookpulleyDevcluster) -> Result<ExitCode, ClusterError> {
    let mut stop = Stop::hear()?;
    let mut cluster = Cluster::new(flags.keep, flags.verbose)?;
    let limit = flags.seconds.or(flags.trial.then_some(TRIAL_S));
    let over = async {
        match limit {
            Some(seconds) => sleep(Duration::from_secs(seconds)).await,
            None => std::future::pending().await,
        }
    };
    let work = async {
        cluster.start().await?;
        show(&cluster);
        let machine = flags.kill.unwrap_or(1).clamp(1, MACHINES) - 1;
        if flags.trial {
            trial::run(&mut cluster, machine).await.map(End::Trial)
        } else {
            stay(&mut cluster).await
        }
    };
    let ended = tokio::select! {
        ended = work => ended,
        () = stop.comes() => Ok(End::Asked),
        () = over => Ok(End::Over),
    };
    tell!("cluster: ending; the tasks leave, then the processes end");
    let faults = tokio::select! {
        faults = cluster.end() => faults,
        // Asked again: what still runs is killed as it is dropped.
        () = stop.comes() => return Err(ClusterError::Stopped),
    };
    faults.iter().for_each(|fault| tell!("cluster: {fault}"));
    if flags.keep {
        tell!(
            "cluster: settings, logs and data stay in {}",
            cluster.environment.folder().display()
        );
    }
    let fine = match ended? {
        End::Trial(trial) => {
            report(&trial, &processes::warnings(cluster.environment.folder()));
            trial.passed()
        }
        End::Asked | End::Over if flags.trial => {
            tell!("trial: broken off, so it has failed");
            false
        }
        End::Asked | End::Over => true,
    };
    Ok(if fine && faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Until something else ends it.
async fn stay(cluster: &mut Cluster) -> Result<End, ClusterError> {
    loop {
        while let Some((name, status)) = cluster.processes.ended() {
            tell!("cluster: {name} ended ({status}) and starts again");
            cluster.processes.start(&cluster.environment, &name)?;
        }
        sleep(LOOK).await;
    }
}

fn show(cluster: &Cluster) {
    let environment = &cluster.environment;
    tell!(
        "cluster: up; settings, logs and data are in {}",
        environment.folder().display()
    );
    for machine in 0..MACHINES {
        let (front, control) = (environment.front(machine), environment.control(machine));
        tell!(
            "cluster: machine {}: requests at {front}, calls at {control}",
            machine + 1
        );
    }
    for task in &cluster.tasks {
        tell!(
            "cluster: task {} at {}, {} slots",
            task.incarnation,
            task.address,
            task.slots
        );
    }
    tell!("try it:");
    let (front, control) = (environment.front(0), environment.control(0));
    tell!(
        "    curl -i -H 'Host: letters.example' -H 'Request-Id: my-first' http://{front}/read/hello"
    );
    tell!("    curl -i -X POST -d '{{}}' http://{control}/rookpulley/numbers/mine");
}

fn report(trial: &Trial, warnings: &[String]) {
    tell!(
        "\n{:<70} {:>6} {:>6}",
        "what was checked",
        "looked",
        "faults"
    );
    for check in &trial.checks {
        let mark = if check.passed() { "" } else { "  <--" };
        tell!(
            "{:<70} {:>6} {:>6}{mark}",
            check.what,
            check.looked,
            check.faults
        );
    }
    trial.lines.iter().for_each(|line| tell!("{line}"));
    warnings.iter().for_each(|line| tell!("log: {line}"));
    for check in trial.checks.iter().filter(|check| !check.passed()) {
        tell!("fault: {}", check.what);
        check.told.iter().for_each(|fault| tell!("    {fault}"));
    }
    tell!(
        "trial: {}",
        if trial.passed() { "passed" } else { "FAILED" }
    );
}
