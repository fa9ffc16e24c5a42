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
pub enum Cue {
    /// A list names it as serving, with a start that is not later than its drain.
    Named,
    /// The same, with a later start.
    Starts,
    /// A list names it as draining.
    Drains,
    /// The list that named it does not any more.
    Dropped,
    GraceEnds,
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
    Leave,
    /// It stays as it is, and the list that names it so is at odds with what is known.
    Refuse,
}

/// State, input, next state, effect. What is not here changes nothing.
pub const MEMBERSHIP: &[(State, Cue, State, Effect)] = &[
    (State::Unknown, Cue::Named, State::Serving, Effect::Serve),
    (State::Unknown, Cue::Starts, State::Serving, Effect::Serve),
    (State::Unknown, Cue::Drains, State::Draining, Effect::Drain),
    (State::Serving, Cue::Named, State::Serving, Effect::Keep),
    (State::Serving, Cue::Starts, State::Serving, Effect::Serve),
    (State::Serving, Cue::Drains, State::Draining, Effect::Drain),
    (State::Serving, Cue::Dropped, State::Draining, Effect::Drain),
    (State::Draining, Cue::Named, State::Draining, Effect::Refuse),
    (State::Draining, Cue::Starts, State::Serving, Effect::Serve),
    (
        State::Draining,
        Cue::GraceEnds,
        State::Drained,
        Effect::Leave,
    ),
    (State::Drained, Cue::Named, State::Drained, Effect::Refuse),
    (State::Drained, Cue::Starts, State::Serving, Effect::Serve),
    (State::Drained, Cue::Drains, State::Drained, Effect::Keep),
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
    pub fn named(&self, started_ms: f64) -> Cue {
        let drained = matches!(self.state, State::Draining | State::Drained);
        let later = started_ms
            > if drained {
                self.drained_ms.max(self.started_ms)
            } else {
                self.started_ms
            };
        if later { Cue::Starts } else { Cue::Named }
    }

    /// Takes one step of the table above.
    pub fn step(&mut self, now: f64, cue: Cue, started_ms: f64) -> Effect {
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
        if row.3 != Effect::Refuse {
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
