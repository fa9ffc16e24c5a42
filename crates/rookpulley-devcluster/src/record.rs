//! What the stand-in tasks observed, for comparison with what the clients observed.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Time since the cluster started.
pub type Moment = Duration;

/// A deterministic hash, so that clients and tasks can compare what they sent and received.
pub fn digest(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The answer of a task to a request that it executed.
#[derive(Clone, Debug, PartialEq)]
pub struct Given {
    pub status: u16,
    pub signature: String,
    pub body: u64,
}

/// A request as a task received it; a trial with --keep writes it to arrivals.txt.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub id: String,
    pub incarnation: String,
    pub service: &'static str,
    pub method: String,
    pub target: String,
    pub body: u64,
    pub at: Moment,
    /// None if the task rejected the request.
    pub given: Option<Given>,
    /// Whether the request was addressed to another task; the route and drain checks skip it.
    pub foreign: bool,
}

/// An acknowledged drain of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    pub incarnation: String,
    /// When the task received the acknowledgement.
    pub acknowledged: Moment,
}

/// Everything that the tasks observed in one run.
pub struct Record {
    started: Instant,
    pub arrivals: RefCell<Vec<Arrival>>,
    pub drains: RefCell<Vec<Drain>>,
    /// Incarnations whose leaving no controller acknowledged.
    pub unacknowledged: RefCell<Vec<String>>,
}

impl Record {
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            arrivals: RefCell::default(),
            drains: RefCell::default(),
            unacknowledged: RefCell::default(),
        }
    }

    pub fn now(&self) -> Moment {
        self.started.elapsed()
    }
}
