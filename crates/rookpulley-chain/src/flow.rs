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

/// A call may be so old, by the head's own clock and that of the office that was asked: it doesn't begin anew with
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
    /// The entries that the disk may hold, by their places.
    disk: (u64, u64),
    disk_bytes: usize,
    waiting_bytes: usize,
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
            disk: self.disk,
            installing: self.installing,
            ..Self::default()
        };
    }

    pub fn take_time(&mut self, now: u64) {
        self.time = (self.last_at, now);
    }

    /// What the time that was taken stands at now.
    pub fn time_now(&self, now: u64) -> u64 {
        let (at, from) = self.time;
        (at + now.saturating_sub(from)).max(self.last_at)
    }

    /// Entries that are on the disk together with the state before them.
    pub fn hold(&mut self, log: Vec<Entry>) {
        for entry in log {
            (self.last, self.last_at) = (entry.seq, entry.at_ms.max(self.last_at));
            self.waiting_bytes += entry.body.len();
            self.log.push_back(entry);
        }
        (self.own, self.upstream, self.sent_to, self.sent_synced) =
            (self.last, self.last, self.last, self.last);
        self.disk = (self.committed + 1, self.last);
    }

    pub fn on_disk(&self) -> std::ops::RangeInclusive<u64> {
        self.disk.0..=self.disk.1
    }

    /// Rows that were found on the disk, also those that are no part of the log.
    pub fn found(&mut self, (from, to): (u64, u64)) {
        self.disk = (self.disk.0.min(from), self.disk.1.max(to));
    }

    fn add(&mut self, entry: Entry) {
        (self.last, self.last_at) = (entry.seq, entry.at_ms);
        self.disk.1 = self.disk.1.max(entry.seq);
        self.disk_bytes += entry.body.len() + 64;
        self.waiting_bytes += entry.body.len();
        self.log.push_back(entry);
    }
}

impl<S: State> Chain<S> {
    fn is_head(&self) -> bool {
        self.acting().and_then(|v| v.head()).is_some_and(|m| m.id == self.me.id)
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
        from: Asked,
        (kind, body): (CallKind, Vec<u8>),
    ) {
        let fresh = |time: &u64| time.saturating_add(age_ms) <= echo.saturating_add(STALE_MS);
        let time = self.ledger_time(now).filter(fresh);
        let (Some(at_ms), Some(ours)) = (time, self.acting()) else {
            return self.send(now, from.office, Message::Refuse { from });
        };
        let full = self.flow.log.len() >= WAITING || self.flow.waiting_bytes >= WAITING_BYTES;
        if ours.number != view || ours.members.len() <= self.losses || full {
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
            self.send(now, next.id, Message::Pass { view, entries, questions, synced_to });
        }
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
                self.flow.waiting_bytes = self.flow.waiting_bytes.saturating_sub(entry.body.len());
                self.flow.committed = entry.seq;
                let before = self.recent.answer(&entry.from);
                let answer = before.unwrap_or_else(|| {
                    let answer = self.state.apply(entry.at_ms, &entry.body);
                    self.recent.note(&entry, &answer);
                    answer
                });
                answers.push((entry.from, answer));
            }
        }
        if !answers.is_empty() {
            self.out.push(Effect::Applied);
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
        let Flow { committed, disk: (from, _), disk_bytes, .. } = self.flow;
        if committed < from || (committed - from < COMPACT_ENTRIES && disk_bytes < COMPACT_BYTES) {
            return;
        }
        // The stamp of the last entry applied isn't kept apart: that of the last held is later, and no later than
        // now, so time still never runs fast.
        let (mut records, pieces) =
            kept::put_snapshot(committed, self.flow.last_at, &self.snapshot(), self.pieces);
        records.extend((from..=committed).map(kept::drop_entry));
        (self.pieces, self.flow.disk.0, self.flow.disk_bytes) = (pieces, committed + 1, 0);
        self.write(records, Then::Nothing);
    }
}
