//! Updates and reads in an active view: appended by the head, forwarded to each successor without waiting for the sync,
//! synced by each member, and committed and answered by the tail.
//!
//! Invariant: an entry is committed only once it is on the disks of all members, in chain order. Every remaining member
//! therefore has all acknowledged updates.
//!
//! A read travels the same path. Each member that forwards it had not left the view, so no later view was active yet.
//! Reads are thus linearizable without relying on clocks.

use super::Chain;
use crate::after_sync::AfterSync;
use crate::effect::Effect;
use crate::message::{Entry, ForwardedRequest, Message, ReadRequest, RequestId, RequestKind};
use crate::persisted::{self, Record};
use crate::state::State;

/// The maximum age of a request, measured with the clocks of the head and of the controller that received it. Retries
/// do not reset the age. A request delayed by a partition is rejected, consistent with its caller's timeout of one
/// second.
pub const MAX_REQUEST_AGE_MS: u64 = 750;
/// A snapshot is written after this many entries, or this many bytes of entries.
const SNAPSHOT_ENTRIES: u64 = 512;
const SNAPSHOT_BYTES: usize = 2 << 20;
/// Limits on the uncommitted entries, all of which are carried over into a new view.
const MAX_UNCOMMITTED_ENTRIES: usize = 4_096;
const MAX_UNCOMMITTED_BYTES: usize = 3 << 20;
const MAX_WAITING_READS: usize = 4_096;
/// The maximum size of the entries in one message. A larger entry is sent alone.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// All replicas compute a state digest each time this many entries are applied.
pub(super) const DIGEST_ENTRIES: u64 = 1_024;

impl<S: State> Chain<S> {
    fn is_head(&self) -> bool {
        let head = self.installed_view().and_then(|view| view.head());
        head.is_some_and(|head| head.id == self.me.id)
    }

    /// The replicated time, if this member is the head of an active view. It continues from the time at which the
    /// source left the previous view, so it can fall behind real time but never run ahead.
    pub(super) fn replicated_time(&self, now: u64) -> Option<u64> {
        (self.is_view_active() && self.is_head()).then(|| self.replication.clock_now(now))
    }

    pub(super) fn handle_forward(&mut self, now: u64, forwarded: ForwardedRequest) {
        let Some(at_ms) = self.timestamp_for_request(now, &forwarded) else {
            let request = forwarded.request;
            return self.send(now, request.controller, Message::Reject { request });
        };
        let ForwardedRequest {
            request,
            kind,
            body,
            ..
        } = forwarded;
        match kind {
            RequestKind::Read => self.replication.reads.push(ReadRequest { body, request }),
            RequestKind::Update => self.append_at_head(at_ms, request, body),
        }
        self.replicate(now);
    }

    /// The replicated time to assign to a request. None: this member must reject the request.
    fn timestamp_for_request(&self, now: u64, forwarded: &ForwardedRequest) -> Option<u64> {
        let time = self.replicated_time(now)?;
        let view = self.installed_view()?;
        let oldest = forwarded.echo.saturating_add(MAX_REQUEST_AGE_MS);
        let is_fresh = time.saturating_add(forwarded.age_ms) <= oldest;
        let is_long_enough = view.members.len() > self.tolerated_losses;
        let has_capacity = self.replication.log.len() < MAX_UNCOMMITTED_ENTRIES
            && self.replication.uncommitted_bytes() < MAX_UNCOMMITTED_BYTES;
        let is_accepted =
            is_fresh && view.number == forwarded.view && is_long_enough && has_capacity;
        is_accepted.then_some(time)
    }

    fn append_at_head(&mut self, at_ms: u64, request: RequestId, body: Vec<u8>) {
        let view = self.installed;
        let entry = Entry {
            seq: self.replication.last + 1,
            at_ms,
            body,
            request,
        };
        let to = entry.seq;
        let record = persisted::put_entry(view, &entry);
        self.replication.append(entry);
        let records = vec![record, self.committed_record()];
        self.write(records, AfterSync::Appended { view, to });
    }

    pub(super) fn handle_append(
        &mut self,
        now: u64,
        from: u64,
        view: u64,
        entries: Vec<Entry>,
        reads: Vec<ReadRequest>,
        synced_up_to: u64,
    ) {
        let is_from_predecessor = self.predecessor().is_some_and(|m| m.id == from);
        if !self.has_installed(view) || !is_from_predecessor {
            return;
        }
        let mut records = Vec::new();
        for entry in entries {
            if entry.seq == self.replication.last + 1 {
                records.push(persisted::put_entry(view, &entry));
                self.replication.append(entry);
            }
        }
        if !records.is_empty() {
            records.push(self.committed_record());
            let to = self.replication.last;
            self.write(records, AfterSync::Appended { view, to });
        }
        let known = self.replication.synced_upstream;
        self.replication.synced_upstream = known.max(synced_up_to);
        if self.replication.reads.len() < MAX_WAITING_READS {
            self.replication.reads.extend(reads);
        }
        self.replicate(now);
    }

    /// The record of the commit position. At the next start, entries up to it can be applied without contacting other
    /// controllers.
    pub(super) fn committed_record(&self) -> Record {
        persisted::put_committed(self.replication.committed, self.replication.last_at_ms)
    }

    pub(super) fn handle_entries_synced(&mut self, now: u64, view: u64, to: u64) {
        if self.has_installed(view) {
            self.replication.synced_locally = self.replication.synced_locally.max(to);
            self.replicate(now);
        }
    }

    /// The last entry synced by this member and all its predecessors.
    fn synced_prefix(&self) -> u64 {
        let synced_locally = self.replication.synced_locally;
        if self.is_head() {
            synced_locally
        } else {
            synced_locally.min(self.replication.synced_upstream)
        }
    }

    /// Sends new entries and reads to the successor, or commits and answers them at the tail.
    pub(super) fn replicate(&mut self, now: u64) {
        let Some(view) = self.installed_view().map(|view| view.number) else {
            return;
        };
        let synced_up_to = self.synced_prefix();
        let Some(next) = self.successor() else {
            return self.commit_at_tail(now, view, synced_up_to);
        };
        let mut reads = std::mem::take(&mut self.replication.reads);
        let mut has_synced_more = synced_up_to > self.replication.sent_synced_up_to;
        loop {
            let entries = self.replication.unsent(MAX_APPEND_BYTES);
            if entries.is_empty() && reads.is_empty() && !has_synced_more {
                return;
            }
            has_synced_more = false;
            if let Some(last) = entries.last() {
                self.replication.sent_to = last.seq;
            }
            self.replication.sent_synced_up_to = synced_up_to;
            let message = Message::Append {
                view,
                entries,
                reads: std::mem::take(&mut reads),
                synced_up_to,
            };
            self.send(now, next.id, message);
        }
    }

    fn commit_at_tail(&mut self, now: u64, view: u64, synced_up_to: u64) {
        let seq = synced_up_to.min(self.replication.last);
        if seq > self.replication.committed {
            for (request, reply) in self.apply_up_to(seq) {
                self.respond(now, view, request, reply);
            }
            for member in self.other_members() {
                self.send_to_peer(member, Message::Commit { view, seq });
            }
        }
        for read in std::mem::take(&mut self.replication.reads) {
            let reply = self.state.read(&read.body);
            self.respond(now, view, read.request, reply);
        }
    }

    fn other_members(&self) -> Vec<u64> {
        let members = self.installed_view().map_or(&[][..], |view| &view.members);
        let ids = members.iter().map(|member| member.id);
        ids.filter(|id| *id != self.me.id).collect()
    }

    fn respond(&mut self, now: u64, view: u64, request: RequestId, body: Vec<u8>) {
        let message = Message::Response {
            request,
            view,
            committed: self.replication.committed,
            body,
        };
        self.send(now, request.controller, message);
    }

    pub(super) fn handle_commit(&mut self, view: u64, seq: u64) {
        if self.has_installed(view) {
            self.apply_up_to(seq.min(self.replication.last));
        }
    }

    /// Applies the entries up to `seq`. Returns the replies by request.
    pub(super) fn apply_up_to(&mut self, seq: u64) -> Vec<(RequestId, Vec<u8>)> {
        let mut replies = Vec::new();
        while let Some(entry) = self.replication.log.front().filter(|e| e.seq <= seq) {
            let (applied, request) = (entry.seq, entry.request);
            let reply = self.reply_cache.get(&request).unwrap_or_else(|| {
                let reply = self.state.apply(entry.at_ms, &entry.body);
                self.reply_cache.record(entry, &reply);
                reply
            });
            replies.push((request, reply));
            self.replication.advance_commit();
            if applied.is_multiple_of(DIGEST_ENTRIES) {
                self.update_digest(applied);
            }
        }
        if !replies.is_empty() {
            self.effects.push(Effect::StateChanged);
        }
        replies
    }

    pub(super) fn tick_replication(&mut self, now: u64) {
        let is_tail = self.installed_view().is_some() && self.successor().is_none();
        if is_tail && !self.is_view_active() {
            self.announce_view_active(now);
        }
    }

    /// Writes a snapshot if enough was applied since the one on disk. It is not deferred, which bounds the size of the
    /// entries on disk.
    pub(super) fn write_snapshot_if_due(&mut self) {
        let (entries, bytes) = self.replication.applied_after_snapshot();
        let is_due = entries > SNAPSHOT_ENTRIES || bytes >= SNAPSHOT_BYTES;
        if entries > 0 && is_due {
            let records = self.snapshot_records();
            self.write(records, AfterSync::Nothing);
        }
    }

    /// The records that replace the snapshot on disk and delete the entries that the new one covers.
    pub(super) fn snapshot_records(&mut self) -> Vec<Record> {
        // The time of the last applied entry is not tracked separately. That of the last entry held is not earlier and
        // not in the future, so the replicated time does not run fast.
        let (mut records, chunks) = persisted::put_snapshot(
            self.replication.committed,
            self.replication.last_at_ms,
            &self.encode_snapshot(),
            self.snapshot_chunks,
        );
        let covered = self.replication.snapshot_written();
        records.extend(covered.map(persisted::delete_entry));
        self.snapshot_chunks = chunks;
        records
    }

    /// The records of a snapshot if the disk has none yet. Entries are only written behind a snapshot.
    pub(super) fn initial_snapshot_records(&mut self) -> Vec<Record> {
        if self.snapshot_chunks == 0 {
            self.snapshot_records()
        } else {
            Vec::new()
        }
    }

    /// Encodes the reply cache and the state.
    pub(super) fn encode_snapshot(&self) -> Vec<u8> {
        self.reply_cache.encode_with_state(&self.state.snapshot())
    }
}
