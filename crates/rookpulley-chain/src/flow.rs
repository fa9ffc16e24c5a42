//! Updates and reads through a chain at work: in at the head, on to each member at once, synced by each, answered by
//! the tail.
//!
//! A read goes the same way. That it has passed every member shows that none of them had left this view before, so
//! that no later view was at work yet: the tail's word is as new as the asking, without any clock.

use crate::chain::{Chain, Then};
use crate::kept;
use crate::message::{Asked, Entry, Message, Question};
use crate::{CallKind, Effect, State};
use std::collections::VecDeque;

/// A call may have been on its way so long, by the head's own clock. What a cut held up and let go takes no effect.
const STALE_MS: u64 = 900;
/// A snapshot is written anew after so many entries, or so many of their bytes.
const COMPACT_ENTRIES: u64 = 512;
const COMPACT_BYTES: usize = 2 << 20;
/// No more may wait to be committed.
const WAITING: usize = 4_096;

#[derive(Default)]
pub struct Flow {
    /// Entries that are held and not applied, in order.
    pub log: VecDeque<Entry>,
    pub last: u64,
    pub last_at: u64,
    pub committed: u64,
    /// Synced here, and by all before us.
    own: u64,
    upstream: u64,
    pub sent_to: u64,
    pub sent_synced: u64,
    pub told_last: Option<u64>,
    pub questions: Vec<Question>,
    pub installing: u64,
    pub state_passed_ms: u64,
    /// The ledger's time began here at that moment of our clock.
    time: (u64, u64),
    disk_from: u64,
    disk_bytes: usize,
}

impl Flow {
    /// Goes on from a state that holds all up to `seq`.
    pub fn begin(&mut self, seq: u64, at_ms: u64, now: u64) {
        *self = Self {
            last: seq,
            last_at: at_ms,
            committed: seq,
            own: seq,
            upstream: seq,
            sent_to: seq,
            sent_synced: seq,
            time: (at_ms, now),
            disk_from: seq + 1,
            installing: self.installing,
            ..Self::default()
        };
    }

    pub fn take_time(&mut self, now: u64) {
        self.time = (self.last_at, now);
    }

    /// Entries that were read back from the disk.
    pub fn hold(&mut self, log: Vec<Entry>) {
        for entry in log {
            (self.last, self.last_at) = (entry.seq, entry.at_ms);
            self.log.push_back(entry);
        }
        self.own = self.last;
    }

    /// The entries that the disk holds, by their places.
    pub fn on_disk(&self) -> std::ops::RangeInclusive<u64> {
        self.disk_from..=self.last
    }

    fn add(&mut self, entry: Entry) {
        (self.last, self.last_at) = (entry.seq, entry.at_ms);
        self.disk_bytes += entry.body.len() + 64;
        self.log.push_back(entry);
    }
}

impl<S: State> Chain<S> {
    fn is_head(&self) -> bool {
        self.acting().and_then(|v| v.head()).is_some_and(|m| m.id == self.me.id)
    }

    /// The ledger's time, at the head of a view at work. It goes on from the last stamp, so it only ever loses time.
    pub(crate) fn ledger_time(&self, now: u64) -> Option<u64> {
        let (at, from) = self.flow.time;
        let at_work = self.acting().is_some_and(|v| v.number <= self.at_work);
        (at_work && self.is_head()).then(|| (at + now.saturating_sub(from)).max(self.flow.last_at))
    }

    pub(crate) fn forwarded(
        &mut self,
        now: u64,
        view: u64,
        echo: u64,
        from: Asked,
        kind: CallKind,
        body: Vec<u8>,
    ) {
        let time = self.ledger_time(now).filter(|time| *time <= echo + STALE_MS);
        let (Some(at_ms), Some(ours)) = (time, self.acting()) else {
            return self.send(now, from.office, Message::Refuse { from });
        };
        if ours.number != view || ours.members.len() <= self.losses || self.flow.log.len() >= WAITING {
            return self.send(now, from.office, Message::Refuse { from });
        }
        match kind {
            CallKind::Read => self.flow.questions.push(Question { body, from }),
            CallKind::Update => {
                let entry = Entry { seq: self.flow.last + 1, at_ms, body, from };
                self.flow.add(entry.clone());
                self.write(vec![kept::put_entry(view, &entry)], Then::Entries { view, to: entry.seq });
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
        questions: Vec<Question>,
        synced_to: u64,
    ) {
        let ours = self.acting().is_some_and(|v| v.number == view);
        if !ours || self.predecessor().is_none_or(|m| m.id != from) {
            return;
        }
        let mut records = Vec::new();
        for entry in entries {
            if entry.seq == self.flow.last + 1 {
                records.push(kept::put_entry(view, &entry));
                self.flow.add(entry);
            }
        }
        if !records.is_empty() {
            self.write(records, Then::Entries { view, to: self.flow.last });
        }
        self.flow.upstream = self.flow.upstream.max(synced_to);
        if self.flow.questions.len() < WAITING {
            self.flow.questions.extend(questions);
        }
        self.push(now);
    }

    pub(crate) fn entries_synced(&mut self, now: u64, view: u64, to: u64) {
        if self.acting().is_some_and(|v| v.number == view) {
            self.flow.own = self.flow.own.max(to);
            self.push(now);
        }
    }

    /// What everybody up to here has on the disk.
    fn synced_by_all(&self) -> u64 {
        if self.is_head() { self.flow.own } else { self.flow.own.min(self.flow.upstream) }
    }

    /// Hands on what is new to the next in the chain, or settles it where we are the tail.
    pub(crate) fn push(&mut self, now: u64) {
        let Some(view) = self.acting().map(|v| v.number) else { return };
        let synced_to = self.synced_by_all();
        let Some(next) = self.successor() else { return self.settle(now, view, synced_to) };
        let entries: Vec<Entry> =
            self.flow.log.iter().filter(|e| e.seq > self.flow.sent_to).cloned().collect();
        let questions = std::mem::take(&mut self.flow.questions);
        if entries.is_empty() && questions.is_empty() && synced_to <= self.flow.sent_synced {
            return;
        }
        (self.flow.sent_to, self.flow.sent_synced) = (self.flow.last, synced_to);
        self.send(now, next.id, Message::Pass { view, entries, questions, synced_to });
    }

    fn settle(&mut self, now: u64, view: u64, synced_to: u64) {
        let to = synced_to.min(self.flow.last);
        if to > self.flow.committed {
            let answers = self.apply_to(to);
            for (from, body) in answers {
                self.send(now, from.office, Message::Answer { from, body });
            }
            let members = self.acting().map_or(Vec::new(), |v| v.members.clone());
            for member in members.iter().filter(|m| m.id != self.me.id) {
                self.out.push(Effect::Send { to: member.id, message: Message::Commit { view, seq: to } });
            }
        }
        for question in std::mem::take(&mut self.flow.questions) {
            let body = self.state.read(&question.body);
            self.send(now, question.from.office, Message::Answer { from: question.from, body });
        }
    }

    pub(crate) fn take_commit(&mut self, view: u64, seq: u64) {
        if self.acting().is_some_and(|v| v.number == view) {
            self.apply_to(seq.min(self.flow.last));
        }
    }

    /// Applies what is held up to here, with the answers to those who asked.
    pub(crate) fn apply_to(&mut self, to: u64) -> Vec<(Asked, Vec<u8>)> {
        let mut answers = Vec::new();
        while self.flow.log.front().is_some_and(|e| e.seq <= to) {
            if let Some(entry) = self.flow.log.pop_front() {
                answers.push((entry.from, self.state.apply(entry.at_ms, &entry.body)));
                self.flow.committed = entry.seq;
            }
        }
        if !answers.is_empty() {
            self.out.push(Effect::Applied);
        }
        answers
    }

    pub(crate) fn tend_flow(&mut self, now: u64) {
        let Some(number) = self.acting().map(|v| v.number) else { return };
        if number > self.at_work && self.successor().is_none() {
            self.say_at_work(now);
        }
        let Flow { committed, disk_from, disk_bytes, .. } = self.flow;
        if committed < disk_from || (committed - disk_from < COMPACT_ENTRIES && disk_bytes < COMPACT_BYTES) {
            return;
        }
        // The stamp of the last entry applied isn't kept apart: that of the last held is later, so time still never
        // runs fast.
        let (mut records, pieces) =
            kept::put_snapshot(committed, self.flow.last_at, &self.state.snapshot(), self.pieces);
        records.extend((disk_from..=committed).map(kept::drop_entry));
        (self.pieces, self.flow.disk_from, self.flow.disk_bytes) = (pieces, committed + 1, 0);
        self.write(records, Then::Nothing);
    }
}
