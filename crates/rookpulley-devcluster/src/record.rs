//! What the stand-in tasks saw, to be held against what the clients saw.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Since the cluster began.
pub type Moment = Duration;

/// The same value in every run, so that two sides can compare what they saw.
pub fn digest(what: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

/// What a task gives for a request that it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Given {
    pub status: u16,
    pub signature: String,
    pub body: u64,
}

/// A request as it came to a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub id: String,
    pub incarnation: String,
    pub service: &'static str,
    pub method: String,
    pub target: String,
    pub body: u64,
    pub at: Moment,
    /// None: it was turned away.
    pub given: Option<Given>,
    /// The way in which it was turned away that counts for nothing: it was meant for another task.
    pub foreign: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    pub incarnation: String,
    /// When the task had the acknowledgement in hand.
    pub acknowledged: Moment,
}

pub struct Record {
    began: Instant,
    pub arrivals: RefCell<Vec<Arrival>>,
    pub drains: RefCell<Vec<Drain>>,
    /// Incarnations that told of their leaving and got no answer.
    pub unheard: RefCell<Vec<String>>,
}

impl Record {
    pub fn begin() -> Self {
        Self {
            began: Instant::now(),
            arrivals: RefCell::default(),
            drains: RefCell::default(),
            unheard: RefCell::default(),
        }
    }

    pub fn now(&self) -> Moment {
        self.began.elapsed()
    }
}
