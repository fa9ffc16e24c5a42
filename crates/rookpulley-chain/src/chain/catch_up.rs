//! State transfer to a lagging replica, while the chain continues without it.
//!
//! All replicas apply prefixes of the same log, so missing data can come from any replica that is ahead, regardless of
//! views: entries as long as the source has them in memory, otherwise a snapshot in chunks. One part is requested at a
//! time, and the next one only after the previous was synced, so a slow replica is not flooded.

use super::Chain;
use super::reconfiguration::MAX_JOIN_LAG_ENTRIES;
use crate::after_sync::AfterSync;
use crate::catch_up_state::{PartialSnapshot, ServedSnapshot};
use crate::effect::Effect;
use crate::message::{CatchUpData, ChunkPosition, Entry, Message};
use crate::persisted::{self, Record, checksum};
use crate::reply_cache::ReplyCache;
use crate::state::State;

/// The maximum size of the entries in a reply, unless a single entry is larger, and the size of a snapshot chunk.
const CATCH_UP_PART_BYTES: usize = 128 << 10;
/// The time after which an unanswered request is repeated.
const RETRY_MS: u64 = 250;
/// The time since its last use after which a snapshot for transfer is dropped.
const SERVED_SNAPSHOT_TTL_MS: u64 = 3_000;

/// A received snapshot chunk.
struct ReceivedChunk {
    from: u64,
    seq: u64,
    at_ms: u64,
    chunk: u32,
    chunks: u32,
    checksum: u64,
    bytes: Vec<u8>,
}

/// The receiving replica.
impl<S: State> Chain<S> {
    /// The replica to ask: the sender of the pending view, or else the member closest to the tail that has applied
    /// more.
    fn catch_up_source(&self, now: u64) -> Option<u64> {
        if let Some(install) = &self.catch_up.pending_install {
            return Some(install.from);
        }
        let is_member = |id: u64, incarnation: u64| {
            self.view()
                .is_some_and(|view| view.has_member(id, incarnation))
        };
        if !self.is_view_active() || is_member(self.me.id, self.me.incarnation) {
            return None;
        }
        let is_ahead = |id: &u64| {
            let is_further = self
                .peers
                .get(id)
                .is_some_and(|peer| peer.status.committed > self.replication.committed);
            self.in_contact(now, *id) && is_further
        };
        let members = self.view()?.members.iter().rev();
        let others = members.map(|m| m.id).filter(|id| *id != self.me.id);
        others.into_iter().find(is_ahead)
    }

    /// Requests the next part if one is missing and no reply is outstanding.
    pub(super) fn request_catch_up(&mut self, now: u64) {
        let is_waiting = self.catch_up.writing || now < self.catch_up.reply_deadline_ms;
        let is_disk_too_slow = self.disk_slow && self.catch_up.pending_install.is_none();
        if is_waiting || is_disk_too_slow {
            return;
        }
        let Some(from) = self.catch_up_source(now) else {
            return;
        };
        let applied = self.replication.committed;
        let peer_applied = self
            .peers
            .get(&from)
            .map_or(0, |peer| peer.status.committed);
        self.catch_up.far_behind |= peer_applied > applied + MAX_JOIN_LAG_ENTRIES;
        // Chunks of different replicas' snapshots cannot be combined.
        self.catch_up
            .partial
            .take_if(|partial| partial.from != from);
        let chunk = self.catch_up.partial.as_ref().map(|partial| ChunkPosition {
            seq: partial.seq,
            chunk: partial.next_chunk,
        });
        self.catch_up.query += 1;
        self.catch_up.reply_deadline_ms = now + RETRY_MS;
        let query = self.catch_up.query;
        let message = Message::CatchUpRequest {
            query,
            applied,
            chunk,
        };
        self.send(now, from, message);
    }

    /// Requests missing entries if `committed` is ahead of this replica.
    pub(super) fn request_catch_up_to(&mut self, now: u64, committed: u64) {
        if committed > self.replication.committed {
            self.request_catch_up(now);
        }
    }

    pub(super) fn handle_catch_up_reply(
        &mut self,
        now: u64,
        from: u64,
        query: u64,
        data: CatchUpData,
    ) {
        let is_expected = query == self.catch_up.query && self.catch_up.reply_deadline_ms != 0;
        if !is_expected || self.installed_view().is_some() {
            return;
        }
        self.catch_up.reply_deadline_ms = 0;
        let records = match data {
            CatchUpData::Updates { entries, .. } => {
                self.catch_up.partial = None;
                self.apply_committed(entries)
            }
            CatchUpData::SnapshotChunk {
                seq,
                at_ms,
                chunk,
                chunks,
                checksum,
                bytes,
            } => {
                let received = ReceivedChunk {
                    from,
                    seq,
                    at_ms,
                    chunk,
                    chunks,
                    checksum,
                    bytes,
                };
                self.receive_chunk(now, received)
            }
        };
        if records.is_empty() {
            if self.catch_up.partial.is_some() {
                return self.request_catch_up(now);
            }
            return self.announce_if_caught_up(now);
        }
        self.catch_up.writing = true;
        self.write(records, AfterSync::CatchUpSynced);
        self.effects.push(Effect::StateChanged);
    }

    /// Continues after a received part was synced.
    pub(super) fn handle_catch_up_synced(&mut self, now: u64) {
        self.catch_up.writing = false;
        self.install_as_source(now);
        self.try_install(now);
        self.request_catch_up(now);
        self.announce_if_caught_up(now);
    }

    /// Sends heartbeats as soon as this replica has caught up enough to be added to a view.
    fn announce_if_caught_up(&mut self, now: u64) {
        let committed = self.peers.values().map(|peer| peer.status.committed);
        let newest = committed.max().unwrap_or(0);
        if self.catch_up.far_behind && newest <= self.replication.committed + MAX_JOIN_LAG_ENTRIES {
            self.catch_up.far_behind = false;
            self.send_heartbeats(now);
        }
    }

    /// Applies entries that are known to be committed, and returns the records to write. If the held entry differs, it
    /// was never committed, so it and all later ones are replaced.
    pub(super) fn apply_committed(&mut self, entries: Vec<Entry>) -> Vec<Record> {
        /// Entries received as committed are not tied to a view.
        const NO_VIEW: u64 = 0;
        let mut records = Vec::new();
        for entry in entries {
            let next = self.replication.committed + 1;
            if entry.seq != next {
                continue;
            }
            if self.replication.log.front() != Some(&entry) {
                records.extend(self.delete_entries_after(next));
                records.push(persisted::put_entry(NO_VIEW, &entry));
                self.replication.discard_uncommitted();
                self.replication.append(entry);
            }
            self.apply_up_to(next);
        }
        if !records.is_empty() {
            records.extend(self.initial_snapshot_records());
            records.push(self.committed_record());
        }
        records
    }

    /// Appends a chunk to the partial snapshot. The last chunk completes the snapshot, which then replaces the state.
    fn receive_chunk(&mut self, now: u64, received: ReceivedChunk) -> Vec<Record> {
        let ReceivedChunk { from, seq, .. } = received;
        let follows = |partial: &PartialSnapshot| {
            (partial.from, partial.seq, partial.next_chunk) == (from, seq, received.chunk)
        };
        let continued = self.catch_up.partial.take().filter(follows);
        let is_first = received.chunk == 0;
        let new = is_first.then_some(PartialSnapshot {
            from,
            seq,
            next_chunk: 0,
            bytes: Vec::new(),
        });
        let Some(mut partial) = continued.or(new) else {
            return Vec::new();
        };
        partial.bytes.extend(received.bytes);
        partial.next_chunk += 1;
        if partial.next_chunk < received.chunks {
            self.catch_up.partial = Some(partial);
            return Vec::new();
        }
        let is_intact = checksum(&partial.bytes) == received.checksum;
        if seq <= self.replication.committed || !is_intact {
            return Vec::new();
        }
        self.restore_snapshot(now, seq, received.at_ms, &partial.bytes)
    }

    fn restore_snapshot(&mut self, now: u64, seq: u64, at_ms: u64, bytes: &[u8]) -> Vec<Record> {
        let Some((reply_cache, state)) = ReplyCache::decode(bytes) else {
            return Vec::new();
        };
        if !self.state.restore(state) {
            self.log("cannot decode the received snapshot");
            return Vec::new();
        }
        self.reply_cache = reply_cache;
        // Later log entries are kept: if this replica is a member of the newest view, they may have been acknowledged.
        let mut later_entries: Vec<Entry> = self.replication.log.iter().cloned().collect();
        later_entries.retain(|entry| entry.seq > seq);
        let last = later_entries.last().map_or(seq, |entry| entry.seq);
        let on_disk = self.replication.entries_on_disk();
        let obsolete = on_disk.filter(|entry| *entry <= seq || *entry > last);
        let mut records: Vec<Record> = obsolete.map(persisted::delete_entry).collect();
        let at_ms = at_ms.max(self.replication.last_at_ms);
        self.replication.start_from_snapshot(seq, at_ms, now);
        self.replication.resume_with_log(at_ms, now, later_entries);
        self.log(format_args!("restored a snapshot up to update {seq}"));
        records.extend(self.snapshot_records());
        records.push(self.committed_record());
        records
    }
}

/// The serving replica.
impl<S: State> Chain<S> {
    pub(super) fn handle_catch_up_request(
        &mut self,
        now: u64,
        from: u64,
        query: u64,
        applied: u64,
        chunk: Option<ChunkPosition>,
    ) {
        let data = if self.replication.has_entries_after(applied) {
            CatchUpData::Updates {
                committed: self.replication.committed,
                entries: self.replication.applied_after(applied, CATCH_UP_PART_BYTES),
            }
        } else {
            self.serve_chunk(now, chunk)
        };
        self.send(now, from, Message::CatchUpReply { query, data });
    }

    /// The requested chunk of the current snapshot, or the first chunk of a new one if the entries after the current
    /// one are no longer in memory.
    fn serve_chunk(&mut self, now: u64, wanted: Option<ChunkPosition>) -> CatchUpData {
        let is_usable = |served: &ServedSnapshot| self.replication.has_entries_after(served.seq);
        let served = self.catch_up.served.take().filter(is_usable);
        let mut served = served.unwrap_or_else(|| self.new_served_snapshot());
        served.used_ms = now;
        let wanted = wanted.filter(|wanted| wanted.seq == served.seq);
        let chunk = wanted.map_or(0, |wanted| wanted.chunk);
        let bytes = served.bytes.chunks(CATCH_UP_PART_BYTES).nth(chunk as usize);
        let data = CatchUpData::SnapshotChunk {
            seq: served.seq,
            at_ms: served.at_ms,
            chunk,
            chunks: served.bytes.len().div_ceil(CATCH_UP_PART_BYTES) as u32,
            checksum: served.checksum,
            bytes: bytes.unwrap_or_default().to_vec(),
        };
        self.catch_up.served = Some(served);
        data
    }

    fn new_served_snapshot(&self) -> ServedSnapshot {
        let bytes = self.encode_snapshot();
        ServedSnapshot {
            seq: self.replication.committed,
            at_ms: self.replication.last_at_ms,
            checksum: checksum(&bytes),
            bytes,
            used_ms: 0,
        }
    }

    pub(super) fn tick_catch_up(&mut self, now: u64) {
        let is_unused = |served: &mut ServedSnapshot| now > served.used_ms + SERVED_SNAPSHOT_TTL_MS;
        self.catch_up.served.take_if(is_unused);
        self.request_catch_up(now);
    }
}
