//! The state machine of a listed server. A server that drains, or that is dropped from the list, returns to
//! service only after a later start.

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Not listed yet.
    Unknown,
    Serving,
    /// Drained by a list or by removal from it; requests in flight finish.
    Draining,
    /// The drain grace period has expired, and the server has not started since.
    Drained,
}

/// An input of the server state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberEvent {
    /// Listed as serving, without a new start.
    Listed,
    /// Listed as serving, with a start later than the last known start and drain.
    Restarted,
    /// Listed as draining.
    Drains,
    /// No longer listed.
    Dropped,
    GraceExpired,
}

/// The effect of a transition on the list reported to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Keep,
    /// Reports the server as ready.
    Serve,
    /// Reports the server as draining.
    Drain,
    /// Reports the server as gone.
    Remove,
    /// The state stays; the list contradicts a known drain.
    Reject,
}

/// State, event, next state, effect. Combinations not listed leave the state unchanged.
pub const MEMBERSHIP: &[(State, MemberEvent, State, Effect)] = &[
    (
        State::Unknown,
        MemberEvent::Listed,
        State::Serving,
        Effect::Serve,
    ),
    (
        State::Unknown,
        MemberEvent::Restarted,
        State::Serving,
        Effect::Serve,
    ),
    (
        State::Unknown,
        MemberEvent::Drains,
        State::Draining,
        Effect::Drain,
    ),
    (
        State::Serving,
        MemberEvent::Listed,
        State::Serving,
        Effect::Keep,
    ),
    (
        State::Serving,
        MemberEvent::Restarted,
        State::Serving,
        Effect::Serve,
    ),
    (
        State::Serving,
        MemberEvent::Drains,
        State::Draining,
        Effect::Drain,
    ),
    (
        State::Serving,
        MemberEvent::Dropped,
        State::Draining,
        Effect::Drain,
    ),
    (
        State::Draining,
        MemberEvent::Listed,
        State::Draining,
        Effect::Reject,
    ),
    (
        State::Draining,
        MemberEvent::Restarted,
        State::Serving,
        Effect::Serve,
    ),
    (
        State::Draining,
        MemberEvent::GraceExpired,
        State::Drained,
        Effect::Remove,
    ),
    (
        State::Drained,
        MemberEvent::Listed,
        State::Drained,
        Effect::Reject,
    ),
    (
        State::Drained,
        MemberEvent::Restarted,
        State::Serving,
        Effect::Serve,
    ),
    (
        State::Drained,
        MemberEvent::Drains,
        State::Drained,
        Effect::Keep,
    ),
];

/// The remembered state of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub state: State,
    /// The latest known start.
    pub started_ms: f64,
    /// When the drain began. Only a later start returns the server to service.
    pub drained_ms: f64,
}

impl Member {
    pub fn new() -> Self {
        Self {
            state: State::Unknown,
            started_ms: 0.0,
            drained_ms: 0.0,
        }
    }

    /// The event caused by listing the server as serving with this start.
    pub fn listing_event(&self, started_ms: f64) -> MemberEvent {
        let drained = matches!(self.state, State::Draining | State::Drained);
        let restarted = started_ms
            > if drained {
                self.drained_ms.max(self.started_ms)
            } else {
                self.started_ms
            };
        if restarted {
            MemberEvent::Restarted
        } else {
            MemberEvent::Listed
        }
    }

    /// Applies an event according to `MEMBERSHIP`.
    pub fn step(&mut self, now: f64, event: MemberEvent, started_ms: f64) -> Effect {
        let Some(transition) = MEMBERSHIP
            .iter()
            .find(|transition| transition.0 == self.state && transition.1 == event)
        else {
            return Effect::Keep;
        };
        if transition.2 == State::Draining && self.state != State::Draining {
            self.drained_ms = now;
        }
        self.state = transition.2;
        if transition.3 != Effect::Reject {
            self.started_ms = self.started_ms.max(started_ms);
        }
        transition.3
    }
}

impl Default for Member {
    fn default() -> Self {
        Self::new()
    }
}
