//! What each dispatcher was told, has confirmed and claims, and the judgement on each of its tables.
//!
//! A dispatcher that speaks of versions says with each answer what it holds. One that does not (the
//! platform's) answers marks alone: an answer proves all that was written before it on that stream.

use crate::history::History;
use crate::table::Digest;
use crate::version::Version;
use crate::{DispatcherId, TableId};
use std::collections::{BTreeMap, VecDeque};

/// So many marks wait for an answer at most; of a dispatcher that answers none the oldest are given up.
pub const MAX_PENDING_MARKS: usize = 256;

/// Whether a dispatcher holds the newest version of its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SyncState {
    /// Nothing it said on this stream tells.
    Unknown,
    /// It holds an older one, or what it was told is still on its way.
    Behind,
    InSync,
    /// What it was told has not reached it.
    Lost,
    /// It holds what was never issued here.
    Diverged,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SyncEvent {
    /// An order for this table was written to it.
    Sent,
    ConfirmedNewest,
    ConfirmedOlder,
    /// It holds something older than what it has proved, or than the answered order says.
    LossDetected,
    /// It names what was never issued here.
    UnknownTable,
    /// A newer version was issued, and is not written yet.
    NewerIssued,
    /// It answers nothing for longer than an answer takes.
    AckTimeout,
    /// Its stream ended, or a new one began.
    Disconnected,
}

/// What follows from a judgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing is owed; no answer is waited for on this account.
    Clear,
    /// An answer is waited for.
    AwaitAck,
    /// It is owed the table.
    Resend,
}

/// State, input, next state, effect. What is not here changes nothing.
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

/// How long answers are waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AckTimeouts {
    /// An answer that takes longer shows a loss.
    pub ack_ms: f64,
    /// What is owed again is owed after this, then after twice as long each time.
    pub resend_ms: f64,
    pub resend_max_ms: f64,
}

/// An answer is late after twice the longest way, and what a dispatcher's own work takes.
const ANSWER_WAYS: f64 = 2.0;
const ANSWER_WORK_MS: f64 = 100.0;
const AGAIN_MOST_MS: f64 = 30_000.0;
/// In the time that an answer takes, those that are late are looked for so often.
const LOOKS: f64 = 8.0;

impl AckTimeouts {
    /// For a channel that takes so long at most.
    pub fn for_transit(most_ms: f64) -> Self {
        let ack_ms = ANSWER_WAYS * most_ms + ANSWER_WORK_MS;
        Self {
            ack_ms,
            resend_ms: most_ms,
            resend_max_ms: AGAIN_MOST_MS,
        }
    }
}

/// What a dispatcher says it holds. The digest decides; the version is for the operators' eyes.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    pub version: Option<Version>,
    pub digest: Digest,
}

/// One dispatcher and one of its tables.
#[derive(Clone, Debug)]
pub struct TableState {
    pub sync_state: SyncState,
    /// The newest version written to it on this stream.
    pub sent: Option<u64>,
    /// The newest that it has proved to hold on this stream.
    pub confirmed: Option<u64>,
    pub claimed: Option<Claim>,
    /// Versions written since: the place of their messages in the stream, the number, and when.
    on_way: VecDeque<(u64, u64, f64)>,
    owed: bool,
    owed_at_ms: f64,
    wait_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    mark: u64,
    /// The place of its message in the stream.
    place: u64,
    at_ms: f64,
}

/// One dispatcher: its stream, the marks it was asked for, its tables.
#[derive(Clone, Debug, Default)]
pub struct DispatcherState {
    pub joined: bool,
    /// It says what it holds.
    pub reports_versions: bool,
    pub last_seen_ms: f64,
    place: u64,
    asked: VecDeque<Asked>,
    /// In the order of their ids; a dispatcher has a few.
    tables: Vec<(TableId, TableState)>,
}

pub struct DeliveryTracker {
    patience: AckTimeouts,
    entries: BTreeMap<DispatcherId, DispatcherState>,
}

impl TableState {
    fn new() -> Self {
        let (sent, confirmed, claimed) = (None, None, None);
        let (on_way, owed, owed_at_ms, wait_ms) = (VecDeque::new(), false, 0.0, 0.0);
        Self {
            sync_state: SyncState::Unknown,
            sent,
            confirmed,
            claimed,
            on_way,
            owed,
            owed_at_ms,
            wait_ms,
        }
    }

    /// Takes one step of the table above.
    fn step(&mut self, now: f64, cue: SyncEvent, patience: &AckTimeouts) {
        let Some(row) = SYNC_TRANSITIONS
            .iter()
            .find(|row| row.0 == self.sync_state && row.1 == cue)
        else {
            return;
        };
        self.sync_state = row.2;
        match row.3 {
            Action::Clear => (self.owed, self.wait_ms) = (false, 0.0),
            Action::AwaitAck => self.owed = false,
            Action::Resend if self.owed => {}
            Action::Resend => {
                // The first time at once; a dispatcher that stays lost is not written to ever faster.
                (self.owed, self.owed_at_ms) = (true, now + self.wait_ms);
                self.wait_ms =
                    (2.0 * self.wait_ms).clamp(patience.resend_ms, patience.resend_max_ms);
            }
        }
    }

    fn is_pinned(&self) -> [Option<u64>; 2] {
        [self.sent, self.confirmed.filter(|c| Some(*c) != self.sent)]
    }
}

impl DispatcherState {
    /// By table: what is held of it.
    pub fn tables(&self) -> impl Iterator<Item = (TableId, &TableState)> {
        self.tables.iter().map(|(id, held)| (*id, held))
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

    /// Since when the oldest unanswered mark waits.
    pub fn oldest_pending_since_ms(&self) -> Option<f64> {
        self.asked.front().map(|a| a.at_ms)
    }

    pub fn pending_mark_count(&self) -> usize {
        self.asked.len()
    }
}

/// Changes what is held of a table, and moves the pins in the history along.
fn repin(held: &mut TableState, history: &mut History, change: impl FnOnce(&mut TableState)) {
    let before = held.is_pinned();
    change(held);
    let after = held.is_pinned();
    after.into_iter().flatten().for_each(|n| history.pin(n));
    before.into_iter().flatten().for_each(|n| history.unpin(n));
}

impl DeliveryTracker {
    pub fn new(patience: AckTimeouts) -> Self {
        Self {
            patience,
            entries: BTreeMap::new(),
        }
    }

    /// So often it is worth while to ask who is due.
    pub fn check_interval_ms(&self) -> f64 {
        self.patience.ack_ms / LOOKS
    }

    pub fn entries(&self) -> impl Iterator<Item = (DispatcherId, &DispatcherState)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    pub fn entry(&self, dispatcher: DispatcherId) -> Option<&DispatcherState> {
        self.entries.get(&dispatcher)
    }

    /// A new stream: what was told on the one before proves nothing here.
    pub fn join(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        reports_versions: bool,
        history: &mut History,
    ) {
        self.disconnect(now, dispatcher, history);
        let fresh = DispatcherState {
            joined: true,
            reports_versions,
            last_seen_ms: now,
            ..DispatcherState::default()
        };
        self.entries.insert(dispatcher, fresh);
    }

    /// Its stream ended: nothing is pinned for it, and it is not forgotten before it comes again.
    pub fn disconnect(&mut self, now: f64, dispatcher: DispatcherId, history: &mut History) {
        let Some(entry) = self.entries.get_mut(&dispatcher) else {
            return;
        };
        (entry.joined, entry.last_seen_ms) = (false, now);
        entry.asked.clear();
        for (_, held) in &mut entry.tables {
            repin(held, history, |held| {
                (held.sent, held.confirmed) = (None, None)
            });
            held.on_way.clear();
            held.step(now, SyncEvent::Disconnected, &self.patience);
        }
    }

    /// One message was written to it: these versions, and a mark to be answered.
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
        entry.place += 1;
        for (id, number) in versions {
            let place = entry.place;
            let held = entry.table_or_new(*id);
            repin(held, history, |held| held.sent = Some(*number));
            if matches!(held.sync_state, SyncState::Lost | SyncState::Diverged) {
                held.on_way.clear();
            }
            held.on_way.push_back((place, *number, now));
            let over = held.on_way.len().saturating_sub(MAX_PENDING_MARKS);
            held.on_way.drain(..over);
            held.step(now, SyncEvent::Sent, &self.patience);
        }
        if let Some(mark) = mark {
            let over = (entry.asked.len() + 1).saturating_sub(MAX_PENDING_MARKS);
            entry.asked.drain(..over);
            entry.asked.push_back(Asked {
                mark,
                place: entry.place,
                at_ms: now,
            });
        }
    }

    /// Takes the answer to a mark; gives the place in the stream that it answers for.
    fn take_answer(entry: &mut DispatcherState, now: f64, mark: u64) -> Option<u64> {
        entry.last_seen_ms = now;
        let at = entry.asked.iter().position(|a| a.mark == mark)?;
        entry.asked.drain(..=at).next_back().map(|a| a.place)
    }

    /// A newer version of this table was issued, which this dispatcher has.
    pub fn newer_issued(&mut self, now: f64, dispatcher: DispatcherId, id: TableId) {
        if let Some(held) = self
            .entries
            .get_mut(&dispatcher)
            .and_then(|e| e.table_mut(id))
        {
            held.step(now, SyncEvent::NewerIssued, &self.patience);
        }
    }

    /// An answer to a mark, from one that says nothing of versions: all written before it has been applied.
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
        let Some(place) = Self::take_answer(entry, now, mark) else {
            return;
        };
        for (id, held) in &mut entry.tables {
            let done = held.on_way.partition_point(|(at, ..)| *at <= place);
            let number = held
                .on_way
                .drain(..done)
                .next_back()
                .map(|(_, number, _)| number);
            let Some(number) = number.or(held.confirmed) else {
                continue;
            };
            repin(held, history, |held| held.confirmed = Some(number));
            let newest = history
                .newest(*id)
                .is_some_and(|i| i.version.number == number);
            held.step(
                now,
                if newest {
                    SyncEvent::ConfirmedNewest
                } else {
                    SyncEvent::ConfirmedOlder
                },
                &self.patience,
            );
        }
    }

    /// The answer to a mark, from one that speaks of versions, with what it holds by table. An answer that
    /// comes twice, or to a mark never asked for, proves nothing.
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
        let Some(place) = Self::take_answer(entry, now, mark) else {
            return;
        };
        for (id, held) in &mut entry.tables {
            match claims.get(id) {
                Some(claim) => Self::weigh(
                    now,
                    *id,
                    held,
                    claim.clone(),
                    place,
                    &self.patience,
                    history,
                ),
                // It was told of this table and holds none.
                None if held.on_way.iter().any(|(at, ..)| *at <= place) => {
                    repin(held, history, |held| held.confirmed = None);
                    held.claimed = None;
                    held.step(now, SyncEvent::LossDetected, &self.patience);
                }
                None => {}
            }
        }
    }

    /// What a dispatcher that has just joined says it holds, before anything is written to it.
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
        let place = entry.place;
        Self::weigh(
            now,
            id,
            entry.table_or_new(id),
            claim,
            place,
            &self.patience,
            history,
        );
    }

    /// Weighs a claim made once all up to this place in the stream had come or was lost. The version that it
    /// names is not believed alone: the digest is looked up, and must be that of what was written up to there.
    /// Nor is the digest alone, once something was written: one that holds the newest lines under an older
    /// name takes them for old, and an order that was overtaken on the way would still move it.
    fn weigh(
        now: f64,
        id: TableId,
        held: &mut TableState,
        claim: Claim,
        place: u64,
        patience: &AckTimeouts,
        history: &mut History,
    ) {
        let digest = |n: u64| history.get(n).map(|(_, i)| i.table.digest());
        let answered = held
            .on_way
            .iter()
            .rev()
            .find(|(at, ..)| *at <= place)
            .map(|(_, n, _)| *n);
        let pending = held.on_way.iter().any(|(at, ..)| *at > place);
        let least = answered.or(held.confirmed);
        let same = least.filter(|n| digest(*n) == Some(claim.digest));
        let known = same.or(history
            .with_digest(id, claim.digest)
            .map(|i| i.version.number));
        let newest = history
            .newest(id)
            .filter(|i| i.table.digest() == claim.digest);
        let named =
            newest.filter(|i| held.sent.is_none() || claim.version.as_ref() == Some(&i.version));
        let (cue, proved) = match (known, named) {
            (None, _) => (SyncEvent::UnknownTable, None),
            (_, Some(newest)) if !pending => {
                (SyncEvent::ConfirmedNewest, Some(newest.version.number))
            }
            // Nothing is on its way any more that would bring it to what it was told.
            (known, _) if !pending && held.sent.is_some() && known != held.sent => {
                (SyncEvent::LossDetected, known)
            }
            (known, _) if !pending && newest.is_some() && held.sent.is_some() => {
                (SyncEvent::LossDetected, known)
            }
            (Some(number), _) if same.is_none() && least.is_some_and(|l| number < l) => {
                (SyncEvent::LossDetected, Some(number))
            }
            (known, _) => (SyncEvent::ConfirmedOlder, known),
        };
        repin(held, history, |held| held.confirmed = proved);
        held.on_way.retain(|(at, ..)| *at > place);
        held.claimed = Some(claim);
        held.step(now, cue, patience);
    }

    /// It refused an order for this table and holds this instead (None: nothing). That is a loss whatever it
    /// holds: word of it may be older than what is on its way, so it never proves anybody in step.
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
        let Some(held) = entry.table_mut(id) else {
            return;
        };
        let known = claim
            .as_ref()
            .and_then(|c| history.with_digest(id, c.digest))
            .map(|i| i.version.number);
        let cue = if claim.is_some() && known.is_none() {
            SyncEvent::UnknownTable
        } else {
            SyncEvent::LossDetected
        };
        repin(held, history, |held| held.confirmed = known);
        held.claimed = claim;
        held.step(now, cue, &self.patience);
    }

    /// Time passes: who has been silent for too long, and who is owed a table by now.
    pub fn due_resends(&mut self, now: f64) -> Vec<(DispatcherId, TableId)> {
        let mut due = Vec::new();
        for (id, entry) in self.entries.iter_mut().filter(|(_, e)| e.joined) {
            let waits = entry.asked.front().map(|a| a.at_ms);
            for (table, held) in &mut entry.tables {
                // What is owed already is waited for by nobody; what was written anew has its own time.
                let since = held.on_way.front().map(|(_, _, at_ms)| *at_ms).or(waits);
                if !held.owed && since.is_some_and(|at_ms| now - at_ms > self.patience.ack_ms) {
                    held.step(now, SyncEvent::AckTimeout, &self.patience);
                }
                if held.owed && now >= held.owed_at_ms {
                    held.owed = false;
                    // On a stream that loses nothing, silence is no loss: there it is a judgement alone.
                    due.extend(entry.reports_versions.then_some((*id, *table)));
                }
            }
        }
        due
    }

    /// What a table's next order may start from: what was told last, or else what was brought along. Where
    /// something was lost nothing is sure, and the whole table goes out.
    pub fn base(&self, dispatcher: DispatcherId, id: TableId) -> Option<u64> {
        let held = self.entries.get(&dispatcher)?.table(id)?;
        match held.sync_state {
            SyncState::Behind | SyncState::InSync => held.sent.or(held.confirmed),
            SyncState::Unknown | SyncState::Lost | SyncState::Diverged => None,
        }
    }

    /// Drops those that left before this time.
    pub fn forget_departed(&mut self, before_ms: f64) {
        self.entries
            .retain(|_, e| e.joined || e.last_seen_ms >= before_ms);
    }
}
