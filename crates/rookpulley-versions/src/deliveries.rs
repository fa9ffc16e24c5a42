//! Tracks, per dispatcher and table, which versions were sent, confirmed and claimed, and derives the
//! synchronization state from them.
//!
//! A mark is a number sent with a message that the dispatcher returns as an acknowledgement. A dispatcher that
//! reports versions also states with each acknowledgement which tables it holds. For one that does not, an
//! acknowledgement confirms everything written earlier on the same stream.

use crate::history::History;
use crate::table::Digest;
use crate::version::Version;
use crate::{DispatcherId, TableId};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of unacknowledged marks per dispatcher; the oldest are dropped beyond it.
pub const MAX_PENDING_MARKS: usize = 256;

/// Whether a dispatcher holds the newest version of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SyncState {
    /// Nothing received on this stream shows what the dispatcher holds.
    Unknown,
    /// The dispatcher holds an older version, or the newest one is not acknowledged yet.
    Behind,
    InSync,
    /// A version sent to the dispatcher did not arrive.
    Lost,
    /// The dispatcher holds a table that is not in the history.
    Diverged,
}

/// An input of the synchronization state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SyncEvent {
    /// An order for the table was written to the stream.
    Sent,
    ConfirmedNewest,
    ConfirmedOlder,
    /// The dispatcher holds an older version than it confirmed, or than the acknowledged order carried.
    LossDetected,
    /// The claimed digest is not in the history.
    UnknownTable,
    /// A newer version was issued and is not written yet.
    NewerIssued,
    /// No acknowledgement arrived within `AckTimeouts::ack_ms`.
    AckTimeout,
    /// The stream ended or was replaced.
    Disconnected,
}

/// The effect of a state transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Cancels a pending resend and resets the backoff.
    Clear,
    /// Cancels a pending resend and waits for an acknowledgement.
    AwaitAck,
    /// Schedules a resend of the table.
    Resend,
}

/// State, event, next state, effect. Combinations not listed leave the state unchanged.
pub const SYNC_TRANSITIONS: &[(SyncState, SyncEvent, SyncState, Action)] = &[
    (
        SyncState::Unknown,
        SyncEvent::Sent,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::Unknown,
        SyncEvent::ConfirmedNewest,
        SyncState::InSync,
        Action::Clear,
    ),
    (
        SyncState::Unknown,
        SyncEvent::ConfirmedOlder,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::Unknown,
        SyncEvent::LossDetected,
        SyncState::Lost,
        Action::Resend,
    ),
    (
        SyncState::Unknown,
        SyncEvent::UnknownTable,
        SyncState::Diverged,
        Action::Resend,
    ),
    (
        SyncState::Behind,
        SyncEvent::Sent,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::Behind,
        SyncEvent::ConfirmedNewest,
        SyncState::InSync,
        Action::Clear,
    ),
    (
        SyncState::Behind,
        SyncEvent::ConfirmedOlder,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::Behind,
        SyncEvent::LossDetected,
        SyncState::Lost,
        Action::Resend,
    ),
    (
        SyncState::Behind,
        SyncEvent::UnknownTable,
        SyncState::Diverged,
        Action::Resend,
    ),
    (
        SyncState::Behind,
        SyncEvent::AckTimeout,
        SyncState::Lost,
        Action::Resend,
    ),
    (
        SyncState::Behind,
        SyncEvent::Disconnected,
        SyncState::Unknown,
        Action::Clear,
    ),
    (
        SyncState::InSync,
        SyncEvent::Sent,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::InSync,
        SyncEvent::NewerIssued,
        SyncState::Behind,
        Action::Clear,
    ),
    (
        SyncState::InSync,
        SyncEvent::LossDetected,
        SyncState::Lost,
        Action::Resend,
    ),
    (
        SyncState::InSync,
        SyncEvent::UnknownTable,
        SyncState::Diverged,
        Action::Resend,
    ),
    (
        SyncState::InSync,
        SyncEvent::AckTimeout,
        SyncState::Unknown,
        Action::Clear,
    ),
    (
        SyncState::InSync,
        SyncEvent::Disconnected,
        SyncState::Unknown,
        Action::Clear,
    ),
    (
        SyncState::Lost,
        SyncEvent::Sent,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::Lost,
        SyncEvent::ConfirmedNewest,
        SyncState::InSync,
        Action::Clear,
    ),
    (
        SyncState::Lost,
        SyncEvent::ConfirmedOlder,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::Lost,
        SyncEvent::LossDetected,
        SyncState::Lost,
        Action::Resend,
    ),
    (
        SyncState::Lost,
        SyncEvent::UnknownTable,
        SyncState::Diverged,
        Action::Resend,
    ),
    (
        SyncState::Lost,
        SyncEvent::Disconnected,
        SyncState::Unknown,
        Action::Clear,
    ),
    (
        SyncState::Diverged,
        SyncEvent::Sent,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::Diverged,
        SyncEvent::ConfirmedNewest,
        SyncState::InSync,
        Action::Clear,
    ),
    (
        SyncState::Diverged,
        SyncEvent::ConfirmedOlder,
        SyncState::Behind,
        Action::AwaitAck,
    ),
    (
        SyncState::Diverged,
        SyncEvent::LossDetected,
        SyncState::Lost,
        Action::Resend,
    ),
    (
        SyncState::Diverged,
        SyncEvent::UnknownTable,
        SyncState::Diverged,
        Action::Resend,
    ),
    (
        SyncState::Diverged,
        SyncEvent::Disconnected,
        SyncState::Unknown,
        Action::Clear,
    ),
];

/// Timeouts for acknowledgements and resends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AckTimeouts {
    /// A message not acknowledged within this time is considered lost.
    pub ack_ms: f64,
    /// The first backoff between resends; it doubles each time.
    pub resend_ms: f64,
    pub resend_max_ms: f64,
}

/// The acknowledgement timeout is a round trip of the maximum transit time plus processing time.
const ACK_TRANSIT_FACTOR: f64 = 2.0;
const ACK_PROCESSING_MS: f64 = 100.0;
const RESEND_MAX_MS: f64 = 30_000.0;
/// The number of timeout checks per acknowledgement timeout.
const CHECKS_PER_ACK_TIMEOUT: f64 = 8.0;

impl AckTimeouts {
    /// Derives the timeouts from the maximum one-way transit time of the channel.
    pub fn for_transit(max_transit_ms: f64) -> Self {
        let ack_ms = ACK_TRANSIT_FACTOR * max_transit_ms + ACK_PROCESSING_MS;
        Self {
            ack_ms,
            resend_ms: max_transit_ms,
            resend_max_ms: RESEND_MAX_MS,
        }
    }
}

/// The table that a dispatcher reports to hold. The digest identifies the table; the version is shown to
/// operators and must match only where orders may be in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    pub version: Option<Version>,
    pub digest: Digest,
}

/// The delivery state of one table of one dispatcher.
#[derive(Clone, Debug)]
pub struct TableState {
    pub sync_state: SyncState,
    /// The newest version written on this stream.
    pub sent: Option<u64>,
    /// The version that the dispatcher has confirmed to hold on this stream.
    pub confirmed: Option<u64>,
    pub claimed: Option<Claim>,
    /// Unacknowledged versions: position of the message in the stream, number, and time of writing.
    in_flight: VecDeque<(u64, u64, f64)>,
    resend_pending: bool,
    resend_at_ms: f64,
    backoff_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct PendingMark {
    mark: u64,
    /// The position of its message in the stream.
    position: u64,
    at_ms: f64,
}

/// The state of one dispatcher: its stream, its unacknowledged marks and its tables.
#[derive(Clone, Debug, Default)]
pub struct DispatcherState {
    pub joined: bool,
    /// Whether it reports the versions it holds.
    pub reports_versions: bool,
    pub last_seen_ms: f64,
    position: u64,
    pending_marks: VecDeque<PendingMark>,
    /// Sorted by id; a dispatcher has only a few.
    tables: Vec<(TableId, TableState)>,
}

/// The delivery state of all dispatchers.
pub struct DeliveryTracker {
    timeouts: AckTimeouts,
    entries: BTreeMap<DispatcherId, DispatcherState>,
}

impl TableState {
    fn new() -> Self {
        let (sent, confirmed, claimed) = (None, None, None);
        let (in_flight, resend_pending, resend_at_ms, backoff_ms) =
            (VecDeque::new(), false, 0.0, 0.0);
        Self {
            sync_state: SyncState::Unknown,
            sent,
            confirmed,
            claimed,
            in_flight,
            resend_pending,
            resend_at_ms,
            backoff_ms,
        }
    }

    /// Applies an event according to `SYNC_TRANSITIONS`.
    fn step(&mut self, now: f64, event: SyncEvent, timeouts: &AckTimeouts) {
        let Some(row) = SYNC_TRANSITIONS
            .iter()
            .find(|row| row.0 == self.sync_state && row.1 == event)
        else {
            return;
        };
        self.sync_state = row.2;
        match row.3 {
            Action::Clear => (self.resend_pending, self.backoff_ms) = (false, 0.0),
            Action::AwaitAck => self.resend_pending = false,
            Action::Resend if self.resend_pending => {}
            Action::Resend => {
                // The first resend is immediate, later ones use exponential backoff.
                (self.resend_pending, self.resend_at_ms) = (true, now + self.backoff_ms);
                self.backoff_ms =
                    (2.0 * self.backoff_ms).clamp(timeouts.resend_ms, timeouts.resend_max_ms);
            }
        }
    }

    fn pinned_versions(&self) -> [Option<u64>; 2] {
        [self.sent, self.confirmed.filter(|c| Some(*c) != self.sent)]
    }
}

impl DispatcherState {
    /// The delivery state by table.
    pub fn tables(&self) -> impl Iterator<Item = (TableId, &TableState)> {
        self.tables.iter().map(|(id, state)| (*id, state))
    }

    pub fn table(&self, id: TableId) -> Option<&TableState> {
        let at = self.tables.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(&self.tables[at].1)
    }

    fn table_mut(&mut self, id: TableId) -> Option<&mut TableState> {
        let at = self.tables.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(&mut self.tables[at].1)
    }

    fn table_or_new(&mut self, id: TableId) -> &mut TableState {
        let at = self
            .tables
            .binary_search_by_key(&id, |(id, _)| *id)
            .unwrap_or_else(|at| {
                self.tables.reserve_exact(1);
                self.tables.insert(at, (id, TableState::new()));
                at
            });
        &mut self.tables[at].1
    }

    /// When the oldest unacknowledged mark was sent.
    pub fn oldest_pending_since_ms(&self) -> Option<f64> {
        self.pending_marks.front().map(|a| a.at_ms)
    }

    pub fn pending_mark_count(&self) -> usize {
        self.pending_marks.len()
    }
}

/// Applies a change to the state of a table and updates the pins in the history accordingly.
fn update_pins(
    state: &mut TableState,
    history: &mut History,
    change: impl FnOnce(&mut TableState),
) {
    let before = state.pinned_versions();
    change(state);
    let after = state.pinned_versions();
    after.into_iter().flatten().for_each(|n| history.pin(n));
    before.into_iter().flatten().for_each(|n| history.unpin(n));
}

impl DeliveryTracker {
    pub fn new(timeouts: AckTimeouts) -> Self {
        Self {
            timeouts,
            entries: BTreeMap::new(),
        }
    }

    /// The interval at which `due_resends` should be called.
    pub fn check_interval_ms(&self) -> f64 {
        self.timeouts.ack_ms / CHECKS_PER_ACK_TIMEOUT
    }

    pub fn entries(&self) -> impl Iterator<Item = (DispatcherId, &DispatcherState)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    pub fn entry(&self, dispatcher: DispatcherId) -> Option<&DispatcherState> {
        self.entries.get(&dispatcher)
    }

    /// Registers a new stream. The state of an earlier stream of the dispatcher is discarded.
    pub fn join(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        reports_versions: bool,
        history: &mut History,
    ) {
        self.disconnect(now, dispatcher, history);
        let dispatcher_state = DispatcherState {
            joined: true,
            reports_versions,
            last_seen_ms: now,
            ..DispatcherState::default()
        };
        self.entries.insert(dispatcher, dispatcher_state);
    }

    /// Marks the stream of a dispatcher as ended and releases its pins. The entry itself stays.
    pub fn disconnect(&mut self, now: f64, dispatcher: DispatcherId, history: &mut History) {
        let Some(entry) = self.entries.get_mut(&dispatcher) else {
            return;
        };
        (entry.joined, entry.last_seen_ms) = (false, now);
        entry.pending_marks.clear();
        for (_, state) in &mut entry.tables {
            update_pins(state, history, |state| {
                (state.sent, state.confirmed) = (None, None)
            });
            state.in_flight.clear();
            state.step(now, SyncEvent::Disconnected, &self.timeouts);
        }
    }

    /// Records that a message with these versions and an optional mark was written.
    pub fn record_sent(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        versions: &[(TableId, u64)],
        mark: Option<u64>,
        history: &mut History,
    ) {
        let Some(entry) = self.entries.get_mut(&dispatcher).filter(|e| e.joined) else {
            return;
        };
        entry.position += 1;
        for (id, number) in versions {
            let position = entry.position;
            let state = entry.table_or_new(*id);
            update_pins(state, history, |state| state.sent = Some(*number));
            if matches!(state.sync_state, SyncState::Lost | SyncState::Diverged) {
                state.in_flight.clear();
            }
            state.in_flight.push_back((position, *number, now));
            let over = state.in_flight.len().saturating_sub(MAX_PENDING_MARKS);
            state.in_flight.drain(..over);
            state.step(now, SyncEvent::Sent, &self.timeouts);
        }
        if let Some(mark) = mark {
            let over = (entry.pending_marks.len() + 1).saturating_sub(MAX_PENDING_MARKS);
            entry.pending_marks.drain(..over);
            entry.pending_marks.push_back(PendingMark {
                mark,
                position: entry.position,
                at_ms: now,
            });
        }
    }

    /// Removes an acknowledged mark and all older ones; returns the acknowledged position in the stream.
    fn acknowledge_mark(entry: &mut DispatcherState, now: f64, mark: u64) -> Option<u64> {
        entry.last_seen_ms = now;
        let at = entry.pending_marks.iter().position(|a| a.mark == mark)?;
        entry
            .pending_marks
            .drain(..=at)
            .next_back()
            .map(|a| a.position)
    }

    /// Records that a newer version of a table of this dispatcher was issued.
    pub fn newer_issued(&mut self, now: f64, dispatcher: DispatcherId, id: TableId) {
        if let Some(state) = self
            .entries
            .get_mut(&dispatcher)
            .and_then(|e| e.table_mut(id))
        {
            state.step(now, SyncEvent::NewerIssued, &self.timeouts);
        }
    }

    /// Handles an acknowledgement without version reports: everything written up to the mark is confirmed.
    pub fn acknowledge(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        mark: u64,
        history: &mut History,
    ) {
        let Some(entry) = self
            .entries
            .get_mut(&dispatcher)
            .filter(|e| e.joined && !e.reports_versions)
        else {
            return;
        };
        let Some(position) = Self::acknowledge_mark(entry, now, mark) else {
            return;
        };
        for (id, state) in &mut entry.tables {
            let applied_count = state.in_flight.partition_point(|(at, ..)| *at <= position);
            let number = state
                .in_flight
                .drain(..applied_count)
                .next_back()
                .map(|(_, number, _)| number);
            let Some(number) = number.or(state.confirmed) else {
                continue;
            };
            update_pins(state, history, |state| state.confirmed = Some(number));
            let newest = history
                .newest(*id)
                .is_some_and(|i| i.version.number == number);
            state.step(
                now,
                if newest {
                    SyncEvent::ConfirmedNewest
                } else {
                    SyncEvent::ConfirmedOlder
                },
                &self.timeouts,
            );
        }
    }

    /// Handles an acknowledgement with version reports, by table. Duplicate acknowledgements and unknown marks
    /// have no effect.
    pub fn acknowledge_with_claims(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        mark: u64,
        claims: &BTreeMap<TableId, Claim>,
        history: &mut History,
    ) {
        let Some(entry) = self
            .entries
            .get_mut(&dispatcher)
            .filter(|e| e.joined && e.reports_versions)
        else {
            return;
        };
        let Some(position) = Self::acknowledge_mark(entry, now, mark) else {
            return;
        };
        for (id, state) in &mut entry.tables {
            match claims.get(id) {
                Some(claim) => Self::evaluate_claim(
                    now,
                    *id,
                    state,
                    claim.clone(),
                    position,
                    &self.timeouts,
                    history,
                ),
                // A version was sent, but the dispatcher does not hold the table.
                None if state.in_flight.iter().any(|(at, ..)| *at <= position) => {
                    update_pins(state, history, |state| state.confirmed = None);
                    state.claimed = None;
                    state.step(now, SyncEvent::LossDetected, &self.timeouts);
                }
                None => {}
            }
        }
    }

    /// Records what a newly joined dispatcher reports to hold, before anything is written to it.
    pub fn record_initial_claim(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        id: TableId,
        claim: Claim,
        history: &mut History,
    ) {
        let Some(entry) = self
            .entries
            .get_mut(&dispatcher)
            .filter(|e| e.joined && e.reports_versions)
        else {
            return;
        };
        let position = entry.position;
        Self::evaluate_claim(
            now,
            id,
            entry.table_or_new(id),
            claim,
            position,
            &self.timeouts,
            history,
        );
    }

    /// Evaluates a claim made after all messages up to `position` arrived or were lost. The claimed digest must
    /// match a version in the history. Once something was written on the stream, the claimed version must match
    /// as well: a holder of the newest content under an older version would still accept a delayed older order.
    fn evaluate_claim(
        now: f64,
        id: TableId,
        state: &mut TableState,
        claim: Claim,
        position: u64,
        timeouts: &AckTimeouts,
        history: &mut History,
    ) {
        let digest = |n: u64| history.get(n).map(|(_, i)| i.table.digest());
        let answered = state
            .in_flight
            .iter()
            .rev()
            .find(|(at, ..)| *at <= position)
            .map(|(_, n, _)| *n);
        let pending = state.in_flight.iter().any(|(at, ..)| *at > position);
        let expected = answered.or(state.confirmed);
        let matches_expected = expected.filter(|n| digest(*n) == Some(claim.digest));
        let known = matches_expected.or(history
            .with_digest(id, claim.digest)
            .map(|i| i.version.number));
        let newest = history
            .newest(id)
            .filter(|i| i.table.digest() == claim.digest);
        let confirmed_newest =
            newest.filter(|i| state.sent.is_none() || claim.version.as_ref() == Some(&i.version));
        let (event, confirmed) = match (known, confirmed_newest) {
            (None, _) => (SyncEvent::UnknownTable, None),
            (_, Some(i)) if !pending => (SyncEvent::ConfirmedNewest, Some(i.version.number)),
            // Nothing is in flight that could bring the dispatcher to the version sent.
            (known, _) if !pending && state.sent.is_some() && known != state.sent => {
                (SyncEvent::LossDetected, known)
            }
            (known, _) if !pending && newest.is_some() && state.sent.is_some() => {
                (SyncEvent::LossDetected, known)
            }
            (Some(number), _)
                if matches_expected.is_none() && expected.is_some_and(|l| number < l) =>
            {
                (SyncEvent::LossDetected, Some(number))
            }
            (known, _) => (SyncEvent::ConfirmedOlder, known),
        };
        update_pins(state, history, |state| state.confirmed = confirmed);
        state.in_flight.retain(|(at, ..)| *at > position);
        state.claimed = Some(claim);
        state.step(now, event, timeouts);
    }

    /// Handles a refused order; `claim` is the table held, if any. A refusal always counts as a loss, never as
    /// being in sync, because it may predate messages in flight.
    pub fn record_refusal(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        id: TableId,
        claim: Option<Claim>,
        history: &mut History,
    ) {
        let Some(entry) = self
            .entries
            .get_mut(&dispatcher)
            .filter(|e| e.joined && e.reports_versions)
        else {
            return;
        };
        entry.last_seen_ms = now;
        let Some(state) = entry.table_mut(id) else {
            return;
        };
        let known = claim
            .as_ref()
            .and_then(|c| history.with_digest(id, c.digest))
            .map(|i| i.version.number);
        let event = if claim.is_some() && known.is_none() {
            SyncEvent::UnknownTable
        } else {
            SyncEvent::LossDetected
        };
        update_pins(state, history, |state| state.confirmed = known);
        state.claimed = claim;
        state.step(now, event, &self.timeouts);
    }

    /// Applies acknowledgement timeouts and returns the tables to resend now.
    pub fn due_resends(&mut self, now: f64) -> Vec<(DispatcherId, TableId)> {
        let mut due = Vec::new();
        for (id, entry) in self.entries.iter_mut().filter(|(_, e)| e.joined) {
            let oldest_pending_ms = entry.pending_marks.front().map(|a| a.at_ms);
            for (table, state) in &mut entry.tables {
                // Waits from the oldest version in flight, or else from the oldest pending mark.
                let since = state
                    .in_flight
                    .front()
                    .map(|(_, _, at_ms)| *at_ms)
                    .or(oldest_pending_ms);
                if !state.resend_pending
                    && since.is_some_and(|at_ms| now - at_ms > self.timeouts.ack_ms)
                {
                    state.step(now, SyncEvent::AckTimeout, &self.timeouts);
                }
                if state.resend_pending && now >= state.resend_at_ms {
                    state.resend_pending = false;
                    // Without version reports the stream is reliable; the state changes, but nothing is resent.
                    due.extend(entry.reports_versions.then_some((*id, *table)));
                }
            }
        }
        due
    }

    /// The version that the next order for a table may be a delta on: the last one sent, or else the confirmed
    /// one. After a loss there is none, and the whole table must be sent.
    pub fn delta_base(&self, dispatcher: DispatcherId, id: TableId) -> Option<u64> {
        let state = self.entries.get(&dispatcher)?.table(id)?;
        match state.sync_state {
            SyncState::Behind | SyncState::InSync => state.sent.or(state.confirmed),
            SyncState::Unknown | SyncState::Lost | SyncState::Diverged => None,
        }
    }

    /// Removes dispatchers that left before this time.
    pub fn forget_departed(&mut self, before_ms: f64) {
        self.entries
            .retain(|_, e| e.joined || e.last_seen_ms >= before_ms);
    }
}
