//! What can happen on a day: faults of machines, of the network and of tasks, and what operators do.

use rookpulley_routes::RouteKind;

/// Something that happens at a moment of a day.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A machine's processes end and are started again. `power`: what was not synced may be gone.
    Kill {
        machine: usize,
        power: bool,
        down_ms: u64,
    },
    /// Only its controller ends, or only its proxy.
    KillOne {
        machine: usize,
        controller: bool,
        down_ms: u64,
    },
    /// A machine of the core loses power and its disk.
    Wipe {
        machine: usize,
        down_ms: u64,
    },
    Freeze {
        machine: usize,
        ms: u64,
    },
    /// What these machines say to all others, to controllers and tasks, doesn't come; `both`: nor the other way.
    Cut {
        machines: Vec<usize>,
        both: bool,
        ms: u64,
    },
    /// What others say to these machines doesn't come.
    Deaf {
        machines: Vec<usize>,
        ms: u64,
    },
    /// One machine doesn't reach the tasks of a zone.
    CutTasks {
        machine: usize,
        zone: usize,
        ms: u64,
    },
    /// All connections of a machine are reset.
    Reset {
        machine: usize,
    },
    /// Packets of a machine are lost now and then.
    Lossy {
        machine: usize,
        ms: u64,
    },
    /// The whole core is killed at one moment.
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
    /// The time of day jumps. Nothing that decides is told it.
    ClockStep {
        machine: usize,
        by_s: i64,
    },
    /// SIGTERM to a machine's processes, and a start.
    Term {
        machine: usize,
    },
    /// The same for one machine after the other.
    RollingRestart {
        pause_ms: u64,
    },
    /// Another machine with the same roles comes, and this one goes for good.
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
    /// Tasks of a service answer badly for a while.
    BadTasks {
        service: usize,
        how: BadTask,
        ms: u64,
    },
    /// The same of these places alone.
    BadPlaces {
        places: Vec<usize>,
        how: BadTask,
        ms: u64,
    },
    /// So many tasks of a service are replaced, one after the other: another begins at a new address, and the oldest
    /// drains for good. `bad`: how the new ones answer.
    Release {
        service: usize,
        count: u32,
        pause_ms: u64,
        bad: Option<BadTask>,
    },
    /// Tasks of these places end, and their addresses go to another service's at once.
    PassOn {
        places: Vec<usize>,
    },
    /// These machines and all others don't hear each other; tasks and clients they reach.
    CutControllers {
        machines: Vec<usize>,
        ms: u64,
    },
    /// These machines of the core and its others don't hear each other; all other machines, tasks and clients they reach.
    CutCore {
        machines: Vec<usize>,
        ms: u64,
    },
    /// Most answers to operators are lost: the same order is sent again to another controller.
    LoseAnswers {
        ms: u64,
    },
    /// Clients come that much more often.
    Burst {
        times: u32,
        ms: u64,
    },
    /// The operator changes the configuration.
    Change,
    /// The routes of a kind get another service as their only target.
    Retarget {
        kind: RouteKind,
    },
    /// Two operators change it at the same moment at two controllers.
    Race,
    /// Several changes, one right after the other.
    Storm {
        count: u32,
    },
    Invalid,
    /// An earlier change arrives again.
    Again,
    /// The operator reads the configuration at each controller.
    ReadEverywhere,
    /// A change, and what strikes at the moment that it is acknowledged.
    Closing {
        how: Closing,
    },
}

/// What strikes at the moment that a change is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Closing {
    /// All machines lose power.
    Dark,
    /// All processes are killed.
    Killed,
    /// As many machines of the core as may be lost lose their disks; at times all others lose power with them.
    Disks { others: bool },
}

/// How a task answers badly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BadTask {
    /// No answer comes.
    Mute,
    /// Answers break off.
    Cuts,
    /// Bytes that are no answer, or another request's answer in the place of the next.
    Garbles,
    /// Everything takes ten times as long.
    Slow,
    /// They turn most requests away.
    Sheds,
    Fails,
    /// Two requests of five fail.
    Errs,
    /// All fail, in no time.
    Quick,
}

impl Event {
    /// Whether a machine of the core may be lost by it.
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
            Event::Cut { machines, .. } | Event::Deaf { machines, .. } => {
                machines.iter().any(|machine| *machine < controllers)
            }
            Event::Herd { .. }
            | Event::Dark { .. }
            | Event::RollingRestart { .. }
            | Event::CutCore { .. } => true,
            _ => false,
        }
    }
}
