//! Each server's part in the list. A server that drains, or that a list drops, stays drained: only a later start
//! makes it usable again, whatever list names it.

/// What a server is to us.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Never named.
    Unknown,
    Serving,
    /// Told to drain, by a list or by being dropped; it finishes what it has.
    Draining,
    /// Its grace is over, and no list names it as serving since.
    Drained,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberEvent {
    /// A list names it as serving, with a start that is not later than its drain.
    Listed,
    /// The same, with a later start.
    Restarted,
    /// A list names it as draining.
    Drains,
    /// The list that named it does not any more.
    Dropped,
    GraceExpired,
}

/// What follows for the list that the module is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Keep,
    /// Told as ready.
    Serve,
    /// Told as draining.
    Drain,
    /// Told as gone.
    Remove,
    /// It stays as it is, and the list that names it so is at odds with what is known.
    Reject,
}

/// State, input, next state, effect. What is not here changes nothing.
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

/// One server, as far as it is remembered.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub state: State,
    /// When it last started, as far as any list says.
    pub started_ms: f64,
    /// Since when it drains; the start that makes it usable again is later.
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

    /// The cue that naming it as serving, with this start, is.
    pub fn named(&self, started_ms: f64) -> MemberEvent {
        let drained = matches!(self.state, State::Draining | State::Drained);
        let later = started_ms
            > if drained {
                self.drained_ms.max(self.started_ms)
            } else {
                self.started_ms
            };
        if later {
            MemberEvent::Restarted
        } else {
            MemberEvent::Listed
        }
    }

    /// Takes one step of the table above.
    pub fn step(&mut self, now: f64, cue: MemberEvent, started_ms: f64) -> Effect {
        let Some(row) = MEMBERSHIP
            .iter()
            .find(|row| row.0 == self.state && row.1 == cue)
        else {
            return Effect::Keep;
        };
        if row.2 == State::Draining && self.state != State::Draining {
            self.drained_ms = now;
        }
        self.state = row.2;
        if row.3 != Effect::Reject {
            self.started_ms = self.started_ms.max(started_ms);
        }
        row.3
    }
}

impl Default for Member {
    fn default() -> Self {
        Self::new()
    }
}
