//! How a replica that lacks much gets it, while the chain goes on without it.
//!
//! Whatever is applied anywhere is the beginning of one order. So a replica may take what it lacks from any other that
//! has it, without any view: entries while the other still has them in memory, else a snapshot chunk by chunk. It asks
//! for one part at a time, and for the next once that one is on its disk: a slow replica is never flooded.

use super::Chain;
use super::reconfiguration::NEAR_ENTRIES;
use crate::after_sync::AfterSync;
use crate::catch_up_state::{PartialSnapshot, ServedSnapshot};
use crate::effect::Effect;
use crate::message::{CatchUpData, ChunkPosition, Entry, Message};
use crate::persisted::{self, Record, checksum};
use crate::reply_cache::ReplyCache;
use crate::state::State;

/// The size of a part: of entries at least one, of a snapshot one chunk.
const PART_BYTES: usize = 128 << 10;
/// A question that wasn't answered is asked again after so long.
const RETRY_MS: u64 = 250;
/// A snapshot that is handed out stays the same for so long after it was last asked for.
const SERVED_SNAPSHOT_MS: u64 = 3_000;

/// A chunk of a snapshot that has come.
struct ReceivedChunk {
    from: u64,
    seq: u64,
    at_ms: u64,
    chunk: u32,
    chunks: u32,
    checksum: u64,
    bytes: Vec<u8>,
}

/// The replica that lacks something.
impl<S: State> Chain<S> {
    /// Whom to ask: who sent the pending view, or whoever of the chain has applied more, from its tail on.
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
            let has_more = self
                .peers
                .get(id)
                .is_some_and(|peer| peer.status.committed > self.replication.committed);
            self.in_contact(now, *id) && has_more
        };
        let members = self.view()?.members.iter().rev();
        let others = members.map(|m| m.id).filter(|id| *id != self.me.id);
        others.into_iter().find(is_ahead)
    }

    /// Asks for the next part, if one is lacking and none is on its way.
    pub(super) fn request_catch_up(&mut self, now: u64) {
        let is_waiting = self.catch_up.writing || now < self.catch_up.waits_until_ms;
        let is_unfit = self.disk_slow && self.catch_up.pending_install.is_none();
        if is_waiting || is_unfit {
            return;
        }
        let Some(from) = self.catch_up_source(now) else {
            return;
        };
        let applied = self.replication.committed;
        let applied_there = self
            .peers
            .get(&from)
            .map_or(0, |peer| peer.status.committed);
        self.catch_up.far_behind |= applied_there > applied + NEAR_ENTRIES;
        // What has come of one replica's snapshot is no beginning of another's.
        self.catch_up
            .partial
            .take_if(|partial| partial.from != from);
        let chunk = self.catch_up.partial.as_ref().map(|partial| ChunkPosition {
            seq: partial.seq,
            chunk: partial.next_chunk,
        });
        self.catch_up.query += 1;
        self.catch_up.waits_until_ms = now + RETRY_MS;
        let query = self.catch_up.query;
        let message = Message::CatchUpRequest {
            query,
            applied,
            chunk,
        };
        self.send(now, from, message);
    }

    /// An answer shows that others have applied so much.
    pub(super) fn catch_up_to(&mut self, now: u64, committed: u64) {
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
        let is_waited_for = query == self.catch_up.query && self.catch_up.waits_until_ms != 0;
        if !is_waited_for || self.installed_view().is_some() {
            return;
        }
        self.catch_up.waits_until_ms = 0;
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
                self.take_chunk(now, received)
            }
        };
        if records.is_empty() {
            if self.catch_up.partial.is_some() {
                return self.request_catch_up(now);
            }
            return self.announce_when_near(now);
        }
        self.catch_up.writing = true;
        self.write(records, AfterSync::CaughtUp);
        self.effects.push(Effect::StateChanged);
    }

    /// A part is on the disk.
    pub(super) fn handle_caught_up(&mut self, now: u64) {
        self.catch_up.writing = false;
        self.install_as_source(now);
        self.try_install(now);
        self.request_catch_up(now);
        self.announce_when_near(now);
    }

    /// A replica that may be taken into a view now says so at once.
    fn announce_when_near(&mut self, now: u64) {
        let committed = self.peers.values().map(|peer| peer.status.committed);
        let newest = committed.max().unwrap_or(0);
        if self.catch_up.far_behind && newest <= self.replication.committed + NEAR_ENTRIES {
            self.catch_up.far_behind = false;
            self.send_heartbeats(now);
        }
    }

    /// Applies entries that are known to be committed, and returns the records that put them on the disk. An entry that
    /// is held already is the same; if it isn't, it was never committed, and goes with all behind it.
    pub(super) fn apply_committed(&mut self, entries: Vec<Entry>) -> Vec<Record> {
        /// Entries that come committed belong to no view.
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
            records.extend(self.first_snapshot_records());
            records.push(self.committed_record());
        }
        records
    }

    /// Adds a chunk to those that came before it. With the last one the snapshot takes the place of the state.
    fn take_chunk(&mut self, now: u64, received: ReceivedChunk) -> Vec<Record> {
        let ReceivedChunk { from, seq, .. } = received;
        let follows = |partial: &PartialSnapshot| {
            (partial.from, partial.seq, partial.next_chunk) == (from, seq, received.chunk)
        };
        let begun = self.catch_up.partial.take().filter(follows);
        let is_first = received.chunk == 0;
        let new = is_first.then_some(PartialSnapshot {
            from,
            seq,
            next_chunk: 0,
            bytes: Vec::new(),
        });
        let Some(mut partial) = begun.or(new) else {
            return Vec::new();
        };
        partial.bytes.extend(received.bytes);
        partial.next_chunk += 1;
        if partial.next_chunk < received.chunks {
            self.catch_up.partial = Some(partial);
            return Vec::new();
        }
        let is_whole = checksum(&partial.bytes) == received.checksum;
        if seq <= self.replication.committed || !is_whole {
            return Vec::new();
        }
        self.restore_snapshot(now, seq, received.at_ms, &partial.bytes)
    }

    fn restore_snapshot(&mut self, now: u64, seq: u64, at_ms: u64, bytes: &[u8]) -> Vec<Record> {
        let Some((reply_cache, state)) = ReplyCache::decode(bytes) else {
            return Vec::new();
        };
        if !self.state.restore(state) {
            self.log("the state that was handed out can't be read");
            return Vec::new();
        }
        self.reply_cache = reply_cache;
        // The log behind it stays: where we are a member of the newest view, it may have been acknowledged.
        let mut behind: Vec<Entry> = self.replication.log.iter().cloned().collect();
        behind.retain(|entry| entry.seq > seq);
        let last = behind.last().map_or(seq, |entry| entry.seq);
        let on_disk = self.replication.entries_on_disk();
        let superfluous = on_disk.filter(|entry| *entry <= seq || *entry > last);
        let mut records: Vec<Record> = superfluous.map(persisted::delete_entry).collect();
        let at_ms = at_ms.max(self.replication.last_at_ms);
        self.replication.start_from_snapshot(seq, at_ms, now);
        self.replication.resume_with_log(at_ms, now, behind);
        self.log(format_args!("filled with all up to update {seq}"));
        records.extend(self.snapshot_records());
        records.push(self.committed_record());
        records
    }
}

/// The replica that has it.
impl<S: State> Chain<S> {
    pub(super) fn handle_catch_up_request(
        &mut self,
        now: u64,
        from: u64,
        query: u64,
        applied: u64,
        chunk: Option<ChunkPosition>,
    ) {
        let data = if self.replication.covers(applied) {
            CatchUpData::Updates {
                committed: self.replication.committed,
                entries: self.replication.applied_after(applied, PART_BYTES),
            }
        } else {
            self.serve_chunk(now, chunk)
        };
        self.send(now, from, Message::CatchUpReply { query, data });
    }

    /// A chunk of the snapshot that is handed out, or the first one of a newer snapshot where that can't be followed by
    /// entries any more.
    fn serve_chunk(&mut self, now: u64, wanted: Option<ChunkPosition>) -> CatchUpData {
        let is_usable = |served: &ServedSnapshot| self.replication.covers(served.seq);
        let served = self.catch_up.served.take().filter(is_usable);
        let mut served = served.unwrap_or_else(|| self.new_served_snapshot());
        served.used_ms = now;
        let wanted = wanted.filter(|wanted| wanted.seq == served.seq);
        let chunk = wanted.map_or(0, |wanted| wanted.chunk);
        let bytes = served.bytes.chunks(PART_BYTES).nth(chunk as usize);
        let data = CatchUpData::SnapshotChunk {
            seq: served.seq,
            at_ms: served.at_ms,
            chunk,
            chunks: served.bytes.len().div_ceil(PART_BYTES) as u32,
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
        let is_unused = |served: &mut ServedSnapshot| now > served.used_ms + SERVED_SNAPSHOT_MS;
        self.catch_up.served.take_if(is_unused);
        self.request_catch_up(now);
    }
}
