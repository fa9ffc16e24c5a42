//! What controllers tell each other of tasks.

use crate::heartbeat::Heartbeat;
use rookpulley_protocol::IncarnationId;
use serde::{Deserialize, Serialize};

/// Ages instead of times: controllers share no clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    Heartbeat {
        heartbeat: Heartbeat,
        age_ms: f64,
    },
    Gone {
        incarnation: IncarnationId,
        age_ms: f64,
    },
    /// Later heartbeats of incarnations that are known, many at once.
    Heard {
        incarnations: Vec<Still>,
    },
}

impl News {
    /// What was kept, told as if it came now: how long ago it was heard isn't known after a start.
    pub fn as_of_now(self) -> Self {
        match self {
            News::Heartbeat { heartbeat, .. } => News::Heartbeat {
                heartbeat,
                age_ms: 0.0,
            },
            News::Gone { incarnation, .. } => News::Gone {
                incarnation,
                age_ms: 0.0,
            },
            News::Heard { incarnations } => News::Heard { incarnations },
        }
    }
}

/// An incarnation that keeps sending heartbeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Still {
    pub incarnation: IncarnationId,
    pub sequence: u64,
    pub age_ms: f64,
}

/// How soon the others must know of what came in.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    Now(News),
    /// It goes with the next batch, or need not go at all.
    Later,
    /// It came too late and changed nothing.
    Late,
}

/// What became of what came in.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub word: Word,
    /// This incarnation is to get nothing new from now on: all proxies must know before it is acknowledged.
    pub newly_draining: Option<IncarnationId>,
}

impl Outcome {
    pub(crate) const LATE: Self = Self {
        word: Word::Late,
        newly_draining: None,
    };
    pub(crate) const LATER: Self = Self {
        word: Word::Later,
        newly_draining: None,
    };
}
