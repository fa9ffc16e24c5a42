//! What controllers tell each other of instances, and write to their disks.

use crate::heartbeat::Heartbeat;
use rookpulley_protocol::IncarnationId;
use serde::{Deserialize, Serialize};

/// News of instances. It carries ages instead of times, since controllers share no clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum InstanceUpdate {
    /// A heartbeat that changed something.
    Heartbeat {
        /// As it came.
        heartbeat: Heartbeat,
        /// How long ago, in milliseconds.
        age_ms: f64,
    },
    /// An incarnation has ended.
    Gone {
        /// Which.
        incarnation: IncarnationId,
        /// How long ago, in milliseconds.
        age_ms: f64,
    },
    /// Later heartbeats that changed nothing, many at once.
    Refreshed {
        /// Of which incarnations.
        incarnations: Vec<Refresh>,
    },
}

impl InstanceUpdate {
    /// What was stored, as if it were heard now: how long ago it was isn't known after a start.
    pub fn as_of_now(self) -> Self {
        match self {
            Self::Heartbeat { heartbeat, .. } => Self::Heartbeat {
                heartbeat,
                age_ms: 0.0,
            },
            Self::Gone { incarnation, .. } => Self::Gone {
                incarnation,
                age_ms: 0.0,
            },
            Self::Refreshed { incarnations } => Self::Refreshed { incarnations },
        }
    }
}

/// A heartbeat that changed nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refresh {
    /// Whose it was.
    pub incarnation: IncarnationId,
    /// Its number.
    pub sequence: u64,
    /// How long ago it came, in milliseconds.
    pub age_ms: f64,
}

/// How soon the other controllers must know what came in.
#[derive(Clone, Debug, PartialEq)]
pub enum Propagation {
    /// At once.
    Immediate(InstanceUpdate),
    /// With the next batch, or not at all.
    Batched,
    /// Not at all: it came too late and changed nothing.
    Stale,
}

/// What came of a heartbeat or an update.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateOutcome {
    /// How soon the other controllers must know.
    pub propagation: Propagation,
    /// This incarnation gets nothing new from now on. All proxies must know before it is acknowledged.
    pub newly_draining: Option<IncarnationId>,
}

impl UpdateOutcome {
    pub(crate) const STALE: Self = Self {
        propagation: Propagation::Stale,
        newly_draining: None,
    };
    pub(crate) const BATCHED: Self = Self {
        propagation: Propagation::Batched,
        newly_draining: None,
    };
}
