//! Instance updates that controllers replicate to each other and persist.

use crate::heartbeat::Heartbeat;
use rookpulley_protocol::IncarnationId;
use serde::{Deserialize, Serialize};

/// A change of instances. Carries ages instead of timestamps because controller clocks are not synchronised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum InstanceUpdate {
    /// A heartbeat that changed something.
    Heartbeat {
        /// The heartbeat as received.
        heartbeat: Heartbeat,
        /// Time since it was received, in milliseconds.
        age_ms: f64,
    },
    /// An incarnation has ended.
    Gone {
        /// The id of the incarnation.
        incarnation: IncarnationId,
        /// Time since it ended, in milliseconds.
        age_ms: f64,
    },
    /// A batch of later heartbeats that changed nothing.
    Refreshed {
        /// One entry for each incarnation.
        incarnations: Vec<Refresh>,
    },
}

impl InstanceUpdate {
    /// The update with its age set to 0, for replay after a restart, when its actual age is unknown.
    pub fn with_zero_age(self) -> Self {
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
    /// Incarnation that sent it.
    pub incarnation: IncarnationId,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Time since it was received, in milliseconds.
    pub age_ms: f64,
}

/// How an accepted update is propagated to the other controllers.
#[derive(Clone, Debug, PartialEq)]
pub enum Propagation {
    /// Send immediately.
    Immediate(InstanceUpdate),
    /// Include in the next batch of refreshes, if any.
    Batched,
    /// Do not propagate: the update was outdated and changed nothing.
    Stale,
}

/// Result of applying a heartbeat or an update.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateOutcome {
    /// How to propagate it to the other controllers.
    pub propagation: Propagation,
    /// An incarnation that must get no new requests from now on. All proxies must learn of it before the
    /// acknowledgement.
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
