//! How a decided view is set to work: its source leaves the one before, and all that it holds goes down the chain. What
//! the next one holds already doesn't go again: whatever is applied anywhere is the beginning of one order.
//!
//! Nothing that was acknowledged is lost: it was on every member of the view at work, the source was one of them, and
//! from the moment it takes stock it refuses all that belongs to earlier views. What it holds beyond that is decided
//! once the view is at work and not before: till then nobody applies it, for the view may yet be passed over.

use crate::chain::{AfterSync, Chain};
use crate::message::{Entry, MemberStatus, Message};
use crate::persisted;
use crate::view::{Member, View};
use crate::{Effect, Record, State};

/// An install that wasn't confirmed is sent again after so long.
const AGAIN_MS: u64 = 300;
/// So much of what is agreed on already goes along with it at most.
const PASS_BYTES: usize = 256 << 10;

/// A view that can't be set to work here before what it begins with has come.
pub struct PendingInstall {
    pub from: u64,
    pub view: View,
    pub committed: u64,
    pub at_ms: u64,
    pub log: Vec<Entry>,
}

impl<S: State> Chain<S> {
    pub(crate) fn successor(&self) -> Option<Member> {
        let view = self.view()?;
        view.members.get(view.place(self.me.id)? + 1).copied()
    }

    pub(crate) fn predecessor(&self) -> Option<Member> {
        let view = self.view()?;
        view.members
            .get(view.place(self.me.id)?.checked_sub(1)?)
            .copied()
    }

    /// Where we are the source of the newest view: no entry of an earlier one is taken from here on.
    pub(crate) fn install_as_source(&mut self, now: u64) {
        let Some(view) = self.view() else { return };
        let source = view
            .head()
            .is_some_and(|m| m.id == self.me.id && m.incarnation == self.me.incarnation);
        if !source || self.flow.installing >= view.number || self.filling.writing {
            return;
        }
        let (view, log) = (view.clone(), self.flow.log.iter().cloned().collect());
        self.keep_state(now, &view, self.time_left_at(now), Vec::new(), log);
    }

    /// The ledger's time when we leave the view that is installed here: what its head said last, and no less than the
    /// last stamp. What a head of an older view says is worth nothing: cut off, it ran on ahead of the stamps given
    /// since, and holds would end early by the difference.
    fn time_left_at(&self, now: u64) -> u64 {
        let left = self.views.iter().find(|v| v.number == self.installed);
        let time = match left.and_then(View::head) {
            Some(head) if (head.id, head.incarnation) == (self.me.id, self.me.incarnation) => {
                self.flow.time_now(now)
            }
            _ => self.calls.ledger_of(self.installed).unwrap_or(0),
        };
        time.max(self.flow.last_at)
    }

    pub(crate) fn take_install(&mut self, now: u64, awaited: PendingInstall) {
        let number = awaited.view.number;
        self.learn(now, vec![awaited.view.clone()]);
        let ours = self
            .view()
            .is_some_and(|v| v.number == number && v.names(self.me.id, self.me.incarnation));
        let before = self.predecessor().is_some_and(|m| m.id == awaited.from);
        if !ours || !before || number <= self.never || number <= self.flow.installing {
            return;
        }
        self.filling.awaited = Some(awaited);
        self.install(now);
    }

    /// Sets the view to work here as soon as all that it begins with is here. What has come of that before is on the
    /// disk first: after a loss of power the view must not be there without it.
    pub(crate) fn install(&mut self, now: u64) {
        if self.filling.writing {
            return;
        }
        let Some(awaited) = self.filling.awaited.take() else {
            return;
        };
        if awaited.view.number <= self.never {
            return;
        }
        // What is applied here was committed, so it is part of what comes; watches are never taken back behind it.
        let to = awaited.committed;
        let (agreed, log): (Vec<Entry>, Vec<Entry>) =
            awaited.log.iter().cloned().partition(|e| e.seq <= to);
        let records = self.absorb(agreed);
        if !records.is_empty() {
            self.out.push(Effect::StateChanged);
        }
        if self.flow.committed >= to {
            let log = log
                .into_iter()
                .filter(|e| e.seq > self.flow.committed)
                .collect();
            return self.keep_state(now, &awaited.view, awaited.at_ms, records, log);
        }
        self.filling.awaited = Some(awaited);
        if records.is_empty() {
            return self.fetch(now);
        }
        self.filling.writing = true;
        self.write(records, AfterSync::CaughtUp);
    }

    /// Goes on from what is applied here and this log behind it. What the disk holds behind it goes.
    fn keep_state(
        &mut self,
        now: u64,
        view: &View,
        at_ms: u64,
        mut records: Vec<Record>,
        log: Vec<Entry>,
    ) {
        let (seq, number) = (self.flow.committed, view.number);
        records.extend(self.first_state());
        let last = log.last().map_or(seq, |e| e.seq);
        records.extend(
            self.flow
                .on_disk()
                .filter(|at| *at > last)
                .map(persisted::drop_entry),
        );
        records.extend(log.iter().map(|entry| persisted::put_entry(number, entry)));
        // With the view in one batch: who has installed it knows of it.
        records.extend([
            persisted::put_agreed(seq, at_ms),
            persisted::put_view(view),
            persisted::put_installed(number),
        ]);
        self.flow.go_on(at_ms, now, log);
        self.flow.installing = number;
        self.write(records, AfterSync::Installed { number });
    }

    /// A disk that holds no state yet gets it with the first that is written behind it.
    pub(crate) fn first_state(&mut self) -> Vec<Record> {
        if self.pieces == 0 {
            self.put_state()
        } else {
            Vec::new()
        }
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

    /// What the next may lack by what it last said goes along, if that isn't much.
    fn pass_state(&mut self, now: u64, to: u64) {
        let Some(view) = self.acting().cloned() else {
            return;
        };
        self.flow.state_passed_ms = now;
        let (committed, at_ms) = (self.flow.committed, self.flow.last_at);
        let held = self.known.get(&to).map_or(0, |k| k.standing.committed);
        let behind = self
            .flow
            .joins(held)
            .then(|| self.flow.applied_behind(held, PASS_BYTES));
        let log = behind
            .into_iter()
            .flatten()
            .chain(self.flow.log.iter().cloned())
            .collect();
        self.send(
            now,
            to,
            Message::Install {
                view,
                committed,
                at_ms,
                log,
            },
        );
    }

    pub(crate) fn say_at_work(&mut self, now: u64) {
        let Some(view) = self.acting().cloned() else {
            return;
        };
        for member in &view.members {
            self.send(
                now,
                member.id,
                Message::ViewActive {
                    number: view.number,
                },
            );
        }
    }

    /// Sends again what the next in the chain has not got, by what it says of itself.
    pub(crate) fn look_after_successor(&mut self, now: u64, from: u64, its: &MemberStatus) {
        let Some(view) = self.acting() else { return };
        let number = view.number;
        let tail = view.tail().map(|m| (m.id, m.incarnation));
        // One that knows of a later view may have been filled with what that one agreed on, in the place of ours.
        if tail == Some((from, its.me.incarnation))
            && (its.installed, its.decided) == (number, number)
        {
            self.take_commit(number, its.committed);
        }
        let next = self
            .successor()
            .filter(|n| n.id == from && n.incarnation == its.me.incarnation);
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
