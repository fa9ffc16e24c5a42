//! How a decided view is set to work: its source leaves the one before and passes its whole state down the chain.
//!
//! Nothing that was acknowledged is lost: it was on every member of the view at work, the source was one of them, and
//! from the moment it takes its state it refuses all that belongs to earlier views.

use crate::chain::{Chain, Then};
use crate::kept;
use crate::message::{Message, Standing};
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

    /// Where we are the source of the newest view: all that we hold is decided now.
    pub(crate) fn install_as_source(&mut self, now: u64) {
        let Some(view) = self.view() else { return };
        let number = view.number;
        let source = view.head().is_some_and(|m| m.id == self.me.id && m.life == self.me.life);
        if !source || self.flow.installing >= number {
            return;
        }
        self.apply_to(self.flow.last);
        let (seq, at_ms) = (self.flow.last, self.flow.last_at);
        self.keep_state(number, seq, at_ms, now);
    }

    pub(crate) fn take_install(
        &mut self,
        now: u64,
        from: u64,
        view: View,
        seq: u64,
        at_ms: u64,
        snapshot: Vec<u8>,
    ) {
        let number = view.number;
        self.learn(now, view);
        let ours = self.view().is_some_and(|v| v.number == number && v.names(self.me.id, self.me.life));
        let before = self.predecessor().is_some_and(|m| m.id == from);
        if !ours || !before || number <= self.never || number <= self.flow.installing {
            return;
        }
        if !self.state.restore(&snapshot) {
            return self.log(format!("what came with view {number} can't be read"));
        }
        self.keep_state(number, seq, at_ms, now);
        self.out.push(Effect::Applied);
    }

    fn keep_state(&mut self, number: u64, seq: u64, at_ms: u64, now: u64) {
        let (mut records, pieces) = kept::put_snapshot(seq, at_ms, &self.state.snapshot(), self.pieces);
        records.extend(self.flow.on_disk().map(kept::drop_entry));
        records.push(kept::put_installed(number));
        self.pieces = pieces;
        self.flow.begin(seq, at_ms, now);
        self.flow.installing = number;
        self.write(records, Then::Installed { number });
    }

    pub(crate) fn has_installed(&mut self, now: u64, number: u64) {
        self.installed = self.installed.max(number);
        if self.acting().is_none_or(|v| v.number != number) {
            return;
        }
        self.flow.take_time(now);
        match self.successor() {
            Some(next) => self.pass_state(now, next.id),
            None => self.say_at_work(now),
        }
    }

    fn pass_state(&mut self, now: u64, to: u64) {
        let Some(view) = self.acting().cloned() else { return };
        self.flow.state_passed_ms = now;
        let (seq, at_ms, snapshot) = (self.flow.last, self.flow.last_at, self.state.snapshot());
        self.send(now, to, Message::Install { view, seq, at_ms, snapshot });
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
            if number > self.at_work && now >= self.flow.state_passed_ms + AGAIN_MS {
                self.pass_state(now, from);
            }
            return;
        }
        let stuck = its.last < self.flow.sent_to && self.flow.told_last == Some(its.last);
        self.flow.told_last = Some(its.last);
        if stuck {
            self.flow.sent_to = its.last.max(self.flow.committed);
            self.flow.told_last = None;
            self.push(now);
        } else {
            self.flow.sent_synced = self.flow.sent_synced.min(its.committed);
            self.push(now);
        }
    }
}
