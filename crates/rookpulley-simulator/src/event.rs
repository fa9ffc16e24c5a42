//! Scenario events: machine, network and task faults, and operator actions.

use rookpulley_routes::RouteKind;

/// A scheduled event. Its debug form appears in reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Kills the processes of a machine and restarts them. With `power`, unsynced data can be lost.
    Kill {
        machine: usize,
        power: bool,
        down_ms: u64,
    },
    /// Kills only the controller or only the proxy.
    KillOne {
        machine: usize,
        controller: bool,
        down_ms: u64,
    },
    /// A machine that runs a controller loses power and its disk.
    Wipe {
        machine: usize,
        down_ms: u64,
    },
    Freeze {
        machine: usize,
        ms: u64,
    },
    /// Blocks traffic from these machines to all other machines and tasks, and with `both` the reverse direction too.
    Cut {
        machines: Vec<usize>,
        both: bool,
        ms: u64,
    },
    /// Blocks traffic from all other machines and tasks to these machines.
    Deaf {
        machines: Vec<usize>,
        ms: u64,
    },
    /// Partitions one machine from the tasks of a zone.
    CutTasks {
        machine: usize,
        zone: usize,
        ms: u64,
    },
    /// Resets all connections of a machine.
    Reset {
        machine: usize,
    },
    /// Adds packet loss at a machine.
    Lossy {
        machine: usize,
        ms: u64,
    },
    /// Kills all machines that run a controller at the same time.
    Herd {
        power: bool,
        down_ms: u64,
    },
    /// All machines lose power.
    Dark {
        down_ms: u64,
    },
    SlowDisk {
        machine: usize,
        hangs: bool,
        ms: u64,
    },
    /// Steps the wall clock, which must not affect any decision.
    ClockStep {
        machine: usize,
        by_s: i64,
    },
    /// Shuts down the processes of a machine with SIGTERM and restarts them.
    Term {
        machine: usize,
    },
    /// Shuts down one machine after another.
    RollingRestart {
        pause_ms: u64,
    },
    /// Replaces a machine with a new one that has the same roles.
    Replace {
        machine: usize,
        orderly: bool,
    },
    CrashTasks {
        share: u32,
        silent: bool,
    },
    DrainTasks {
        share: u32,
    },
    /// Makes the tasks of a service misbehave for a while.
    BadTasks {
        service: usize,
        how: BadTask,
        ms: u64,
    },
    /// Makes only the tasks at these indexes misbehave.
    BadPlaces {
        places: Vec<usize>,
        how: BadTask,
        ms: u64,
    },
    /// Replaces `count` tasks of a service one by one: a new task starts at a new address and the oldest one drains.
    /// `bad`: how the new tasks misbehave.
    Release {
        service: usize,
        count: u32,
        pause_ms: u64,
        bad: Option<BadTask>,
    },
    /// Ends these tasks and reuses their addresses at once for tasks of another service.
    PassOn {
        places: Vec<usize>,
    },
    /// Partitions these machines from all other machines, but not from tasks and clients.
    CutControllers {
        machines: Vec<usize>,
        ms: u64,
    },
    /// Blocks traffic from all other machines, but not from tasks and clients, to these machines.
    DeafToMachines {
        machines: Vec<usize>,
        ms: u64,
    },
    /// Partitions these controller machines from the other controller machines only.
    CutCore {
        machines: Vec<usize>,
        ms: u64,
    },
    /// Loses most responses to operators, who then retry at another controller.
    LoseAnswers {
        ms: u64,
    },
    /// Multiplies the request rate.
    Burst {
        times: u32,
        ms: u64,
    },
    /// The operator changes the configuration.
    Change,
    /// Changes all routes of a kind to another service as their only target.
    Retarget {
        kind: RouteKind,
    },
    /// Two operators change the configuration concurrently at two controllers.
    Race,
    /// Several changes in quick succession.
    Storm {
        count: u32,
    },
    Invalid,
    /// The operator takes a key away from a tenant that has others, or with `last` all keys of a tenant.
    Revoke {
        last: bool,
    },
    /// The operator passes a key from one tenant to another.
    PassKey,
    /// The operator removes a tenant.
    RemoveTenant,
    /// Makes the platform fail for a while.
    Platform {
        fault: PlatformFault,
        ms: u64,
    },
    /// A fault of the machine that makes the next report to the platform, once the report reaches this stage.
    AtNextReport {
        stage: ReportStage,
        fault: HolderFault,
    },
    /// Repeats an earlier change.
    Again,
    /// The operator reads the configuration at each controller.
    ReadEverywhere,
    /// A change, followed by a fault as soon as it is acknowledged.
    Closing {
        how: Closing,
    },
}

/// The fault that follows an acknowledged change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Closing {
    /// All machines lose power.
    Dark,
    /// All processes are killed.
    Killed,
    /// As many controllers as the gateway tolerates lose their disks. With `others`, all machines lose power as well.
    Disks { others: bool },
}

/// How the platform fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlatformFault {
    /// Connections can't be opened and calls get no answer.
    Silent,
    /// Calls are refused and not executed.
    Busy,
    /// Connections are reset before a call is read.
    Resets,
    /// Calls are executed and answered later.
    Slow { by_ms: u64 },
    /// Calls are executed, and their answers are lost.
    LosesAnswers,
}

/// A stage of a report to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStage {
    /// The connection is being opened; the lease has not been checked for the last time.
    Connecting,
    /// The lease was checked for the last time; the report is not written yet.
    Checked,
    /// The platform has accepted the report; its answer is on its way.
    Accepted,
}

/// A fault of the machine that reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HolderFault {
    Freeze {
        ms: u64,
    },
    Kill {
        down_ms: u64,
    },
    Term,
    /// All machines lose power.
    Dark {
        down_ms: u64,
    },
}

impl HolderFault {
    /// The event that applies the fault to a machine.
    pub(crate) fn at(self, machine: usize) -> Event {
        match self {
            HolderFault::Freeze { ms } => Event::Freeze { machine, ms },
            HolderFault::Kill { down_ms } => Event::Kill {
                machine,
                power: false,
                down_ms,
            },
            HolderFault::Term => Event::Term { machine },
            HolderFault::Dark { down_ms } => Event::Dark { down_ms },
        }
    }
}

/// How a task misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BadTask {
    /// Sends no response.
    Mute,
    /// Sends truncated responses.
    Cuts,
    /// Sends invalid bytes or the response of another request.
    Garbles,
    /// Takes ten times as long.
    Slow,
    /// Rejects most requests.
    Sheds,
    Fails,
    /// Fails two of five requests.
    Errs,
    /// Fails every request immediately.
    Quick,
}

impl Event {
    /// Whether the event can make a controller unavailable.
    pub fn touches_core(&self, controllers: usize) -> bool {
        match self {
            Event::Kill { machine, .. }
            | Event::KillOne { machine, .. }
            | Event::Wipe { machine, .. }
            | Event::Freeze { machine, .. }
            | Event::Reset { machine }
            | Event::Lossy { machine, .. }
            | Event::SlowDisk { machine, .. }
            | Event::Term { machine }
            | Event::Replace { machine, .. } => *machine < controllers,
            Event::Cut { machines, .. }
            | Event::Deaf { machines, .. }
            | Event::DeafToMachines { machines, .. } => {
                machines.iter().any(|machine| *machine < controllers)
            }
            Event::Herd { .. }
            | Event::Dark { .. }
            | Event::RollingRestart { .. }
            | Event::CutCore { .. }
            | Event::AtNextReport { .. } => true,
            _ => false,
        }
    }
}
