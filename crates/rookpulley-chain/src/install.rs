//! How a decided view is set to work: its source leaves the one before and passes all that it holds down the chain.
//!
//! Nothing that was acknowledged is lost: it was on every member of the view at work, the source was one of them, and
//! from the moment it takes stock it refuses all that belongs to earlier views. What it holds beyond that is decided
//! once the view is at work and not before: till then nobody applies it, for the view may yet be passed over.

use crate::chain::{Chain, Then};
use crate::kept;
use crate::message::{Entry, Message, Standing};
use crate::recent::Recent;
use crate::refound::apart;
use crate::view::{Member, View};
use crate::{Effect, State};

/// An install that wasn't confirmed is sent again after so long.
const AGAIN_MS: u64 = 300;

impl<S: State> Chain<S> {
    pub(crate) fn successor(&self) -> Option<Member> {
        let view = self.view()?;
        view.members.get(view.place(self.me.id)? + 1).copied()
    }

    pub(crate) fn predecessor(&self) -> Option<Member> {
        let view = self.view()?;
        view.members.get(view.place(self.me.id)?.checked_sub(1)?).copied()
    }

    /// Where we are the source of the newest view: no entry of an earlier one is taken from here on.
    pub(crate) fn install_as_source(&mut self, now: u64) {
        let Some(view) = self.view() else { return };
        let source = view.head().is_some_and(|m| m.id == self.me.id && m.life == self.me.life);
        if !source || self.flow.installing >= view.number {
            return;
        }
        let (view, log) = (view.clone(), self.flow.log.iter().cloned().collect());
        self.keep_state(now, &view, self.time_left_at(now), log);
    }

    /// The ledger's time when we leave the view that is installed here: what its head said last, and no less than the
    /// last stamp. What a head of an older view says is worth nothing: cut off, it ran on ahead of the stamps given
    /// since, and holds would end early by the difference.
    fn time_left_at(&self, now: u64) -> u64 {
        let left = self.views.iter().find(|v| v.number == self.installed);
        let time = match left.and_then(View::head) {
            Some(head) if (head.id, head.life) == (self.me.id, self.me.life) => self.flow.time_now(now),
            _ => self.calls.ledger_of(self.installed).unwrap_or(0),
        };
        time.max(self.flow.last_at)
    }

    pub(crate) fn take_install(
        &mut self,
        now: u64,
        from: u64,
        (view, seq, at_ms): (View, u64, u64),
        snapshot: Vec<u8>,
        mut log: Vec<Entry>,
    ) {
        let number = view.number;
        self.learn(now, vec![view.clone()]);
        let ours = self.view().is_some_and(|v| v.number == number && v.names(self.me.id, self.me.life));
        let before = self.predecessor().is_some_and(|m| m.id == from);
        if !ours || !before || number <= self.never || number <= self.flow.installing {
            return;
        }
        // What is applied here was committed, so it is part of what comes; watches are never taken back behind it. Not so
        // where the chain was founded anew since: what it lacks is gone.
        if self.flow.committed < seq || apart(self.installed.max(self.flow.installing), number) {
            let whole = Recent::parse(&snapshot);
            let Some((recent, _)) = whole.filter(|(_, state)| self.state.restore(state)) else {
                return self.log(format!("what came with view {number} can't be read"));
            };
            self.recent = recent;
            self.flow.begin(seq, at_ms, now);
        }
        log.retain(|e| e.seq > self.flow.committed);
        self.keep_state(now, &view, at_ms, log);
        self.out.push(Effect::Applied);
    }

    /// Goes on from what is applied here and this log behind it, in the place of all that the disk holds.
    fn keep_state(&mut self, now: u64, view: &View, at_ms: u64, log: Vec<Entry>) {
        let (seq, number) = (self.flow.committed, view.number);
        let (mut records, pieces) = kept::put_snapshot(seq, at_ms, &self.snapshot(), self.pieces);
        let last = log.last().map_or(seq, |e| e.seq);
        let gone = self.flow.on_disk().filter(|at| *at <= seq || *at > last);
        records.extend(gone.map(kept::drop_entry));
        records.extend(log.iter().map(|entry| kept::put_entry(number, entry)));
        // With the view in one batch: who has installed it knows of it.
        records.extend([kept::put_view(view), kept::put_installed(number)]);
        self.pieces = pieces;
        self.flow.begin(seq, at_ms, now);
        self.flow.hold(log);
        self.flow.installing = number;
        self.write(records, Then::Installed { number });
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        self.recent.before(&self.state.snapshot())
    }

    pub(crate) fn has_installed(&mut self, now: u64, number: u64) {
        self.installed = self.installed.max(number);
        if self.acting().is_none_or(|v| v.number != number) {
            return;
        }
        self.flow.take_time(now);
        match self.successor() {
            Some(next) => self.pass_state(now, next.id),
            None => {
                self.say_at_work(now);
                self.push(now);
            }
        }
    }

    fn pass_state(&mut self, now: u64, to: u64) {
        let Some(view) = self.acting().cloned() else { return };
        self.flow.state_passed_ms = now;
        let (seq, at_ms, snapshot) = (self.flow.committed, self.flow.last_at, self.snapshot());
        let log = self.flow.log.iter().cloned().collect();
        self.send(now, to, Message::Install { view, seq, at_ms, snapshot, log });
    }

    pub(crate) fn say_at_work(&mut self, now: u64) {
        let Some(view) = self.acting().cloned() else { return };
        for member in &view.members {
            self.send(now, member.id, Message::AtWork { number: view.number });
        }
    }

    /// Sends again what the next in the chain has not got, by what it says of itself.
    pub(crate) fn look_after_successor(&mut self, now: u64, from: u64, its: &Standing) {
        let Some(view) = self.acting() else { return };
        let number = view.number;
        let tail = view.tail().map(|m| (m.id, m.life));
        if tail == Some((from, its.me.life)) && its.installed == number {
            self.take_commit(number, its.committed);
        }
        let next = self.successor().filter(|n| n.id == from && n.life == its.me.life);
        if next.is_none() {
            return;
        }
        if its.installed < number {
            // Nothing is ordered before all have installed: the state is still the one that the view began with.
            if !self.is_at_work() && now >= self.flow.state_passed_ms + AGAIN_MS {
                self.pass_state(now, from);
            }
            return;
        }
        let stuck = its.last < self.flow.sent_to && self.flow.told_last == Some(its.last);
        self.flow.told_last = Some(its.last);
        if stuck {
            self.flow.sent_to = its.last.max(self.flow.committed);
            self.flow.told_last = None;
        } else {
            self.flow.sent_synced = self.flow.sent_synced.min(its.committed);
        }
        self.push(now);
    }
}
