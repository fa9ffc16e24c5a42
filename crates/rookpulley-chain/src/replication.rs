//! Updates and reads through a chain at work: in at the head, on to each member at once, synced by each, answered by
//! the tail.
//!
//! A read goes the same way. That it has passed every member shows that none of them had left this view before, so
//! that no later view was at work yet: the tail's word is as new as the asking, without any clock.

use crate::catch_up::SWEEP_ENTRIES;
use crate::chain::{AfterSync, Chain};
use crate::message::{Entry, Message, ReadRequest, RequestId};
use crate::persisted;
use crate::{Effect, Record, RequestKind, State};
use std::collections::VecDeque;

/// A call may be so old, by the head's own clock and that of the controller that was asked: it doesn't begin anew with
/// each try. What a cut held up and let go takes no effect, and its caller, who waits a second, knows that.
const STALE_MS: u64 = 750;
/// A snapshot is written anew after so many entries, or so many of their bytes.
const COMPACT_ENTRIES: u64 = 512;
const COMPACT_BYTES: usize = 2 << 20;
/// No more may wait to be committed, in number and in bytes: all of it goes along with the state into a new view.
const WAITING: usize = 4_096;
const WAITING_BYTES: usize = 3 << 20;
/// A message carries so much; a large entry goes alone.
const PASS_BYTES: usize = 1 << 20;
/// What was applied stays at hand up to this, for those that lack it.
const PAST_ENTRIES: usize = 4_096;
const PAST_BYTES: usize = 2 << 20;

#[derive(Default)]
pub struct ReplicationState {
    /// Entries that are held and not applied, in order.
    pub log: VecDeque<Entry>,
    /// What was applied last, in order, up to `committed`.
    past: VecDeque<Entry>,
    past_bytes: usize,
    pub last: u64,
    pub last_at: u64,
    pub committed: u64,
    /// Synced here, and by all before us.
    own: u64,
    upstream: u64,
    pub sent_to: u64,
    pub sent_synced: u64,
    pub told_last: Option<u64>,
    pub questions: Vec<ReadRequest>,
    pub installing: u64,
    pub state_passed_ms: u64,
    /// The ledger's time began here at that moment of our clock.
    time: (u64, u64),
    /// The entries that the disk may hold, by their places.
    disk: (u64, u64),
    /// Of what is applied, behind the state on the disk.
    disk_bytes: usize,
    waiting_bytes: usize,
}

impl ReplicationState {
    /// Goes on from a state that holds all up to `seq` and stands on the disk.
    pub fn begin(&mut self, seq: u64, at_ms: u64, now: u64) {
        let disk = (seq + 1, self.disk.1.max(seq));
        *self = Self {
            disk,
            installing: self.installing,
            ..Self::default()
        };
        (self.last, self.committed) = (seq, seq);
        self.go_on(at_ms, now, Vec::new());
    }

    /// Goes on from what is applied, with this log in the place of the one before. It stands on the disk.
    pub fn go_on(&mut self, at_ms: u64, now: u64, log: Vec<Entry>) {
        self.drop_log();
        (self.last_at, self.time, self.told_last) = (at_ms, (at_ms, now), None);
        self.questions.clear();
        for entry in log {
            self.add(entry);
        }
        self.last_at = self.last_at.max(at_ms);
        (self.own, self.upstream, self.sent_to, self.sent_synced) =
            (self.last, self.last, self.last, self.last);
    }

    /// What isn't applied is given up.
    pub fn drop_log(&mut self) {
        self.log.clear();
        (self.last, self.waiting_bytes) = (self.committed, 0);
    }

    pub fn take_time(&mut self, now: u64) {
        self.time = (self.last_at, now);
    }

    /// What the time that was taken stands at now.
    pub fn time_now(&self, now: u64) -> u64 {
        let (at, from) = self.time;
        (at + now.saturating_sub(from)).max(self.last_at)
    }

    pub fn on_disk(&self) -> std::ops::RangeInclusive<u64> {
        self.disk.0..=self.disk.1
    }

    /// Rows that were found on the disk, also those that are no part of the log.
    pub fn found(&mut self, (from, to): (u64, u64)) {
        self.disk = (self.disk.0.min(from), self.disk.1.max(to));
    }

    pub fn add(&mut self, entry: Entry) {
        (self.last, self.last_at) = (entry.seq, entry.at_ms);
        self.disk.1 = self.disk.1.max(entry.seq);
        self.waiting_bytes += entry.body.len();
        self.log.push_back(entry);
    }

    /// The next of the log has been applied.
    fn applied(&mut self) {
        let Some(entry) = self.log.pop_front() else {
            return;
        };
        self.waiting_bytes = self.waiting_bytes.saturating_sub(entry.body.len());
        self.committed = entry.seq;
        self.past_bytes += entry.body.len() + 64;
        self.disk_bytes += entry.body.len() + 64;
        self.past.push_back(entry);
        while self.past.len() > PAST_ENTRIES || self.past_bytes > PAST_BYTES {
            let Some(old) = self.past.pop_front() else {
                break;
            };
            self.past_bytes -= old.body.len() + 64;
        }
    }

    /// Whether all that was applied behind this is at hand.
    pub fn joins(&self, held: u64) -> bool {
        held >= self.committed || self.past.front().is_some_and(|first| first.seq <= held + 1)
    }

    /// What was applied behind this, up to so many bytes and at least one.
    pub fn applied_behind(&self, held: u64, most: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += entry.body.len() + 64;
            first || bytes <= most
        };
        let behind = self.past.partition_point(|entry| entry.seq <= held);
        self.past
            .range(behind..)
            .take_while(fits)
            .cloned()
            .collect()
    }
}

impl<S: State> Chain<S> {
    fn is_head(&self) -> bool {
        self.acting()
            .and_then(|v| v.head())
            .is_some_and(|m| m.id == self.me.id)
    }

    /// The ledger's time, at the head of a view at work. It goes on from where the source left the view before, so it
    /// only ever loses time.
    pub(crate) fn ledger_time(&self, now: u64) -> Option<u64> {
        (self.is_at_work() && self.is_head()).then(|| self.flow.time_now(now))
    }

    pub(crate) fn forwarded(
        &mut self,
        now: u64,
        view: u64,
        (echo, age_ms): (u64, u64),
        from: RequestId,
        (kind, body): (RequestKind, Vec<u8>),
    ) {
        let fresh = |time: &u64| time.saturating_add(age_ms) <= echo.saturating_add(STALE_MS);
        let time = self.ledger_time(now).filter(fresh);
        let (Some(at_ms), Some(ours)) = (time, self.acting()) else {
            return self.send(now, from.controller, Message::Reject { from });
        };
        let full = self.flow.log.len() >= WAITING || self.flow.waiting_bytes >= WAITING_BYTES;
        if ours.number != view || ours.members.len() <= self.losses || full {
            return self.send(now, from.controller, Message::Reject { from });
        }
        match kind {
            RequestKind::Read => self.flow.questions.push(ReadRequest { body, from }),
            RequestKind::Update => {
                let entry = Entry {
                    seq: self.flow.last + 1,
                    at_ms,
                    body,
                    from,
                };
                self.flow.add(entry.clone());
                let records = vec![persisted::put_entry(view, &entry), self.put_agreed()];
                self.write(
                    records,
                    AfterSync::Appended {
                        view,
                        to: entry.seq,
                    },
                );
            }
        }
        self.push(now);
    }

    pub(crate) fn passed(
        &mut self,
        now: u64,
        from: u64,
        view: u64,
        entries: Vec<Entry>,
        questions: Vec<ReadRequest>,
        synced_to: u64,
    ) {
        let ours = self.acting().is_some_and(|v| v.number == view);
        if !ours || self.predecessor().is_none_or(|m| m.id != from) {
            return;
        }
        let mut records = Vec::new();
        for entry in entries {
            if entry.seq == self.flow.last + 1 {
                records.push(persisted::put_entry(view, &entry));
                self.flow.add(entry);
            }
        }
        if !records.is_empty() {
            records.push(self.put_agreed());
            self.write(
                records,
                AfterSync::Appended {
                    view,
                    to: self.flow.last,
                },
            );
        }
        self.flow.upstream = self.flow.upstream.max(synced_to);
        if self.flow.questions.len() < WAITING {
            self.flow.questions.extend(questions);
        }
        self.push(now);
    }

    /// For the disk: the applied part of the log needs no other controller's word at the next start.
    pub(crate) fn put_agreed(&self) -> Record {
        persisted::put_agreed(self.flow.committed, self.flow.last_at)
    }

    pub(crate) fn entries_synced(&mut self, now: u64, view: u64, to: u64) {
        if self.acting().is_some_and(|v| v.number == view) {
            self.flow.own = self.flow.own.max(to);
            self.push(now);
        }
    }

    /// What everybody up to here has on the disk.
    fn synced_by_all(&self) -> u64 {
        if self.is_head() {
            self.flow.own
        } else {
            self.flow.own.min(self.flow.upstream)
        }
    }

    /// Hands on what is new to the next in the chain, or settles it where we are the tail.
    pub(crate) fn push(&mut self, now: u64) {
        let Some(view) = self.acting().map(|v| v.number) else {
            return;
        };
        let synced_to = self.synced_by_all();
        let Some(next) = self.successor() else {
            return self.settle(now, view, synced_to);
        };
        let mut questions = std::mem::take(&mut self.flow.questions);
        let mut news = synced_to > self.flow.sent_synced;
        loop {
            let mut bytes = 0;
            let mut fits = |entry: &&Entry| {
                let first = bytes == 0;
                bytes += entry.body.len() + 64;
                first || bytes <= PASS_BYTES
            };
            let sent_to = self.flow.sent_to;
            let unsent = self.flow.log.iter().skip_while(|e| e.seq <= sent_to);
            let entries: Vec<Entry> = unsent.take_while(&mut fits).cloned().collect();
            if entries.is_empty() && questions.is_empty() && !std::mem::take(&mut news) {
                return;
            }
            news = false;
            self.flow.sent_to = entries.last().map_or(sent_to, |e| e.seq);
            self.flow.sent_synced = synced_to;
            let questions = std::mem::take(&mut questions);
            self.send(
                now,
                next.id,
                Message::Append {
                    view,
                    entries,
                    questions,
                    synced_to,
                },
            );
        }
    }

    fn settle(&mut self, now: u64, view: u64, synced_to: u64) {
        let to = synced_to.min(self.flow.last);
        if to > self.flow.committed {
            let answers = self.apply_to(to);
            for (from, body) in answers {
                self.send(
                    now,
                    from.controller,
                    Message::Response {
                        from,
                        view,
                        committed: to,
                        body,
                    },
                );
            }
            let members = self.acting().map_or(Vec::new(), |v| v.members.clone());
            for member in members.iter().filter(|m| m.id != self.me.id) {
                self.out.push(Effect::Send {
                    to: member.id,
                    message: Message::Commit { view, seq: to },
                });
            }
        }
        for question in std::mem::take(&mut self.flow.questions) {
            let body = self.state.read(&question.body);
            let (from, committed) = (question.from, self.flow.committed);
            self.send(
                now,
                from.controller,
                Message::Response {
                    from,
                    view,
                    committed,
                    body,
                },
            );
        }
    }

    pub(crate) fn take_commit(&mut self, view: u64, seq: u64) {
        if self.acting().is_some_and(|v| v.number == view) {
            self.apply_to(seq.min(self.flow.last));
        }
    }

    /// Applies what is held up to here, with the answers to those who asked.
    pub(crate) fn apply_to(&mut self, to: u64) -> Vec<(RequestId, Vec<u8>)> {
        let mut answers = Vec::new();
        while let Some(entry) = self.flow.log.front().filter(|e| e.seq <= to) {
            let (seq, from) = (entry.seq, entry.from);
            let answer = self.recent.answer(&from).unwrap_or_else(|| {
                let answer = self.state.apply(entry.at_ms, &entry.body);
                self.recent.note(entry, &answer);
                answer
            });
            answers.push((from, answer));
            self.flow.applied();
            if seq.is_multiple_of(SWEEP_ENTRIES) {
                self.take_stock(seq);
            }
        }
        if !answers.is_empty() {
            self.out.push(Effect::StateChanged);
        }
        answers
    }

    pub(crate) fn tend_flow(&mut self, now: u64) {
        if self.acting().is_none() {
            return;
        }
        if !self.is_at_work() && self.successor().is_none() {
            self.say_at_work(now);
        }
    }

    /// Writes the state anew where much that is applied stands behind it on the disk. What is long goes at once: else the
    /// disk has to hold all that comes meanwhile.
    pub(crate) fn compact(&mut self) {
        let ReplicationState {
            committed,
            disk: (from, _),
            disk_bytes,
            ..
        } = self.flow;
        if committed < from || (committed - from < COMPACT_ENTRIES && disk_bytes < COMPACT_BYTES) {
            return;
        }
        let records = self.put_state();
        self.write(records, AfterSync::Nothing);
    }

    /// The state in the place of the one on the disk and of what stands there behind it up to here.
    pub(crate) fn put_state(&mut self) -> Vec<Record> {
        let ReplicationState {
            committed,
            last_at,
            disk: (from, _),
            ..
        } = self.flow;
        // The stamp of the last entry applied isn't kept apart: that of the last held is later, and no later than
        // now, so time still never runs fast.
        let (mut records, pieces) =
            persisted::put_snapshot(committed, last_at, &self.snapshot(), self.pieces);
        records.extend((from..=committed).map(persisted::drop_entry));
        (self.pieces, self.flow.disk.0, self.flow.disk_bytes) = (pieces, committed + 1, 0);
        records
    }
}
