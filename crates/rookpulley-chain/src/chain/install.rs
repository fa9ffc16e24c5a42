//! Installation and activation of a decided view.
//!
//! The source leaves the previous view and sends the initial log of the new one along the chain, member by member.
//! Entries that the next member already has are omitted: all replicas apply prefixes of the same log.
//!
//! Invariant: no acknowledged update is lost. It was on every member of the previous active view, the source was one of
//! them, and from the installation of the new view on, the source accepts no entry of an earlier one. Uncommitted
//! entries of the source are committed only once the new view is active; until then no member applies them, since the
//! view may still be skipped.

use super::Chain;
use crate::after_sync::AfterSync;
use crate::catch_up_state::PendingInstall;
use crate::effect::Effect;
use crate::message::{Entry, MemberStatus, Message};
use crate::persisted::{self, Record};
use crate::state::State;
use crate::view::{Member, View};

/// The time after which an `Install` without effect is repeated.
const RETRY_MS: u64 = 300;
/// The maximum size of missing committed entries sent with an `Install`; the successor requests the rest.
const MAX_CATCH_UP_BYTES: usize = 256 << 10;

impl<S: State> Chain<S> {
    pub(super) fn successor(&self) -> Option<Member> {
        let view = self.view()?;
        let position = view.position(self.me.id)?;
        view.members.get(position + 1).copied()
    }

    pub(super) fn predecessor(&self) -> Option<Member> {
        let view = self.view()?;
        let position = view.position(self.me.id)?;
        view.members.get(position.checked_sub(1)?).copied()
    }

    fn is_me(&self, member: &Member) -> bool {
        (member.id, member.incarnation) == (self.me.id, self.me.incarnation)
    }

    /// Installs the newest view if this member is its source. From here on no entry of an earlier view is accepted.
    pub(super) fn install_as_source(&mut self, now: u64) {
        let Some(view) = self.view() else {
            return;
        };
        let is_source = view.head().is_some_and(|head| self.is_me(head));
        if !is_source || self.replication.installing >= view.number || self.catch_up.writing {
            return;
        }
        let view = view.clone();
        let log = self.replication.log.iter().cloned().collect();
        let at_ms = self.replicated_time_when_leaving(now);
        self.write_installed_view(now, &view, at_ms, Vec::new(), log);
    }

    /// The replicated time when the installed view is left: the latest time of its head, but not less than the last
    /// timestamp. A head of an older view is ignored: if it was cut off, its clock ran ahead of the later timestamps,
    /// and leases would expire early.
    fn replicated_time_when_leaving(&self, now: u64) -> u64 {
        let left = self.views.iter().find(|view| view.number == self.installed);
        let time = match left.and_then(View::head) {
            Some(head) if self.is_me(head) => self.replication.clock_now(now),
            _ => self
                .requests
                .head_time(self.installed)
                .map_or(0, |heard| heard.at_ms),
        };
        time.max(self.replication.last_at_ms)
    }

    pub(super) fn handle_install(&mut self, now: u64, install: PendingInstall) {
        let number = install.view.number;
        self.learn_views(now, vec![install.view.clone()]);
        let is_member = self.view().is_some_and(|view| {
            view.number == number && view.has_member(self.me.id, self.me.incarnation)
        });
        let is_from_predecessor = self.predecessor().is_some_and(|m| m.id == install.from);
        let is_superseded = number <= self.abandoned || number <= self.replication.installing;
        if !is_member || !is_from_predecessor || is_superseded {
            return;
        }
        self.catch_up.pending_install = Some(install);
        self.try_install(now);
    }

    /// Installs the pending view once its committed entries have been received. Catch-up data is synced first, so that
    /// a power failure cannot leave the view on disk without it.
    pub(super) fn try_install(&mut self, now: u64) {
        if self.catch_up.writing {
            return;
        }
        let Some(install) = self.catch_up.pending_install.take() else {
            return;
        };
        if install.view.number <= self.abandoned {
            return;
        }
        // The entries applied here are committed, so they are a prefix of the received ones.
        let up_to = install.committed;
        let entries = install.log.iter().cloned();
        let (committed, uncommitted): (Vec<Entry>, Vec<Entry>) =
            entries.partition(|entry| entry.seq <= up_to);
        let records = self.apply_committed(committed);
        if !records.is_empty() {
            self.effects.push(Effect::StateChanged);
        }
        if self.replication.committed >= up_to {
            let mut log = uncommitted;
            log.retain(|entry| entry.seq > self.replication.committed);
            self.write_installed_view(now, &install.view, install.at_ms, records, log);
            return;
        }
        self.catch_up.pending_install = Some(install);
        if records.is_empty() {
            return self.request_catch_up(now);
        }
        self.catch_up.writing = true;
        self.write(records, AfterSync::CatchUpSynced);
    }

    /// Writes the view with `log` as its unapplied entries, and deletes all later ones on disk. The view itself is in
    /// the same batch, so that a member that has installed it also knows it.
    fn write_installed_view(
        &mut self,
        now: u64,
        view: &View,
        at_ms: u64,
        mut records: Vec<Record>,
        log: Vec<Entry>,
    ) {
        let committed = self.replication.committed;
        let number = view.number;
        records.extend(self.initial_snapshot_records());
        let last = log.last().map_or(committed, |entry| entry.seq);
        records.extend(self.delete_entries_after(last));
        records.extend(log.iter().map(|entry| persisted::put_entry(number, entry)));
        records.extend([
            persisted::put_committed(committed, at_ms),
            persisted::put_view(view),
            persisted::put_installed(number),
        ]);
        self.replication.resume_with_log(at_ms, now, log);
        self.replication.installing = number;
        self.write(records, AfterSync::Installed { number });
    }

    pub(super) fn delete_entries_after(&self, last: u64) -> impl Iterator<Item = Record> + use<S> {
        let on_disk = self.replication.entries_on_disk();
        on_disk
            .filter(move |seq| *seq > last)
            .map(persisted::delete_entry)
    }

    pub(super) fn handle_installed(&mut self, now: u64, number: u64) {
        self.installed = self.installed.max(number);
        if !self.has_installed(number) {
            return;
        }
        self.replication.restart_clock(now);
        match self.successor() {
            Some(next) => self.send_install(now, next.id),
            None => {
                self.announce_view_active(now);
                self.replicate(now);
            }
        }
    }

    /// Sends the view to the successor, with the committed entries that it may lack if they are still in memory.
    fn send_install(&mut self, now: u64, to: u64) {
        let Some(view) = self.installed_view().cloned() else {
            return;
        };
        self.replication.install_sent_ms = now;
        let peer_applied = self.peers.get(&to).map_or(0, |peer| peer.status.committed);
        let mut log = Vec::new();
        if self.replication.has_entries_after(peer_applied) {
            log = self
                .replication
                .applied_after(peer_applied, MAX_CATCH_UP_BYTES);
        }
        log.extend(self.replication.log.iter().cloned());
        let message = Message::Install {
            view,
            committed: self.replication.committed,
            at_ms: self.replication.last_at_ms,
            log,
        };
        self.send(now, to, message);
    }

    /// Announces from the tail that all members have installed the view.
    pub(super) fn announce_view_active(&mut self, now: u64) {
        let Some(view) = self.installed_view().cloned() else {
            return;
        };
        let number = view.number;
        for member in &view.members {
            self.send(now, member.id, Message::ViewActive { number });
        }
    }

    /// Resends what the successor has not received, according to its status. A tail's status also advances the commit
    /// position.
    pub(super) fn check_successor(&mut self, now: u64, from: u64, status: &MemberStatus) {
        let Some(view) = self.installed_view() else {
            return;
        };
        let number = view.number;
        let is_sender =
            |member: &Member| member.id == from && member.incarnation == status.member.incarnation;
        // A tail that knows a later view may have caught up with entries that replaced those of this view.
        let is_tail = view.tail().is_some_and(is_sender);
        if is_tail && (status.installed, status.decided) == (number, number) {
            self.handle_commit(number, status.committed);
        }
        if !self.successor().as_ref().is_some_and(is_sender) {
            return;
        }
        if status.installed < number {
            // No entries are appended before all members have installed the view, so the log is still the initial one.
            if !self.is_view_active() && now >= self.replication.install_sent_ms + RETRY_MS {
                self.send_install(now, from);
            }
            return;
        }
        let reported = Some(status.last);
        let is_stalled = status.last < self.replication.sent_to
            && self.replication.successor_reported == reported;
        if is_stalled {
            self.replication.sent_to = status.last.max(self.replication.committed);
            self.replication.successor_reported = None;
        } else {
            self.replication.successor_reported = reported;
            let previously_sent = self.replication.sent_synced_up_to;
            self.replication.sent_synced_up_to = previously_sent.min(status.committed);
        }
        self.replicate(now);
    }
}
