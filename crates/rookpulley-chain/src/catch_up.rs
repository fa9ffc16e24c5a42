//! How a controller that lacks much of what is agreed on gets it, while the chain goes on without it; and how copies are
//! compared.
//!
//! Whatever is applied anywhere is the beginning of one order. So one that lacks the rest may take it from any controller
//! that has it, without any view: updates while they are at hand, else the state itself, piece by piece. It asks for
//! one part at a time, and for the next once that one is on its disk: who is slow is never flooded.

use crate::chain::{AfterSync, Chain};
use crate::deduplication::ReplyCache;
use crate::install::PendingInstall;
use crate::message::{CatchUpChunk, Entry, Message};
use crate::persisted;
use crate::{Effect, Record, State};
use twox_hash::XxHash64;

/// One that lacks no more updates than this is fit for the chain.
pub const NEAR: u64 = 256;
/// A part is so large at most, or one update.
const PART_BYTES: usize = 128 << 10;
/// What was asked for and didn't come is asked for again.
const AGAIN_MS: u64 = 250;
/// A state that is handed out is the same for so long after it was last asked for.
const FROZEN_MS: u64 = 3_000;
/// All copies are compared after so many updates.
pub const SWEEP_ENTRIES: u64 = 1_024;

/// What comes in, and what is handed out.
#[derive(Default)]
pub struct CatchUp {
    /// The view that is set to work here once this controller holds what it begins with.
    pub awaited: Option<PendingInstall>,
    ask: u64,
    /// Until when an answer is waited for.
    until_ms: u64,
    /// A part is on its way to the disk.
    pub writing: bool,
    far: bool,
    pieces: Option<PartialSnapshot>,
    frozen: Option<ServedSnapshot>,
}

/// A state, as far as it has come.
struct PartialSnapshot {
    from: u64,
    seq: u64,
    next: u32,
    bytes: Vec<u8>,
}

/// A state that is handed out.
struct ServedSnapshot {
    seq: u64,
    at_ms: u64,
    sum: u64,
    bytes: Vec<u8>,
    used_ms: u64,
}

impl CatchUp {
    /// A new view is known: what the one before waited for is not waited for any more.
    pub fn give_up(&mut self) {
        self.awaited = None;
    }
}

/// What this copy's digests have told.
#[derive(Default)]
pub struct StateDigests {
    /// After which update it was last taken, and the digest.
    pub swept: (u64, u64),
    told: u64,
}

impl<S: State> Chain<S> {
    // ---- who lacks something ----------------------------------------------------------------

    /// Whom to ask: who set us to work, or whoever of the chain holds more, from its tail on.
    fn fetch_from(&self, now: u64) -> Option<u64> {
        if let Some(awaited) = &self.filling.awaited {
            return Some(awaited.from);
        }
        let view = self
            .view()
            .filter(|v| self.is_at_work() && !v.names(self.me.id, self.me.incarnation))?;
        let ahead = |id: &u64| {
            let more = |k: &crate::chain::PeerState| k.standing.committed > self.flow.committed;
            self.in_contact(now, *id) && self.known.get(id).is_some_and(more)
        };
        view.members
            .iter()
            .rev()
            .map(|m| m.id)
            .filter(|id| *id != self.me.id)
            .find(ahead)
    }

    /// Asks for the next part, if one is lacking and none is on its way.
    pub(crate) fn fetch(&mut self, now: u64) {
        let filling = &self.filling;
        if filling.writing || now < filling.until_ms || (self.slow && filling.awaited.is_none()) {
            return;
        }
        let Some(from) = self.fetch_from(now) else {
            return;
        };
        let theirs = self.known.get(&from).map_or(0, |k| k.standing.committed);
        let held = self.flow.committed;
        self.filling.far |= theirs > held + NEAR;
        // What has come of another controller's state is no beginning of this one's.
        self.filling.pieces.take_if(|p| p.from != from);
        let piece = self.filling.pieces.as_ref().map(|p| (p.seq, p.next));
        (self.filling.ask, self.filling.until_ms) = (self.filling.ask + 1, now + AGAIN_MS);
        let ask = self.filling.ask;
        self.send(now, from, Message::CatchUpRequest { ask, held, piece });
    }

    /// An answer shows that others are so far.
    pub(crate) fn fetch_up_to(&mut self, now: u64, committed: u64) {
        if committed > self.flow.committed {
            self.fetch(now);
        }
    }

    pub(crate) fn take_fill(&mut self, now: u64, from: u64, ask: u64, fill: CatchUpChunk) {
        if ask != self.filling.ask || self.filling.until_ms == 0 || self.acting().is_some() {
            return;
        }
        self.filling.until_ms = 0;
        let records = match fill {
            CatchUpChunk::Updates { entries, .. } => {
                self.filling.pieces = None;
                self.absorb(entries)
            }
            CatchUpChunk::Piece {
                seq,
                at_ms,
                piece,
                pieces,
                sum,
                bytes,
            } => self.take_piece(now, from, (seq, at_ms), (piece, pieces, sum), bytes),
        };
        if records.is_empty() {
            if self.filling.pieces.is_some() {
                return self.fetch(now);
            }
            return self.near(now);
        }
        self.filling.writing = true;
        self.write(records, AfterSync::CaughtUp);
        self.out.push(Effect::StateChanged);
    }

    /// A part is on the disk.
    pub(crate) fn filled(&mut self, now: u64) {
        self.filling.writing = false;
        self.install_as_source(now);
        self.install(now);
        self.fetch(now);
        self.near(now);
    }

    /// Whoever has caught up says so at once.
    fn near(&mut self, now: u64) {
        let ahead = self
            .known
            .values()
            .map(|k| k.standing.committed)
            .max()
            .unwrap_or(0);
        if self.filling.far && ahead <= self.flow.committed + NEAR {
            self.filling.far = false;
            self.ping(now);
        }
    }

    /// Takes updates that are agreed on. What is held of them already is the same; if it isn't, it was passed over.
    /// The records put them on the disk.
    pub(crate) fn absorb(&mut self, entries: Vec<Entry>) -> Vec<Record> {
        let mut records = Vec::new();
        for entry in entries {
            if entry.seq != self.flow.committed + 1 {
                continue;
            }
            if self.flow.log.front() != Some(&entry) {
                records.extend(
                    self.flow
                        .on_disk()
                        .filter(|at| *at > entry.seq)
                        .map(persisted::drop_entry),
                );
                records.push(persisted::put_entry(0, &entry));
                self.flow.drop_log();
                self.flow.add(entry);
            }
            self.apply_to(self.flow.committed + 1);
        }
        if !records.is_empty() {
            records.extend(self.first_state());
            records.push(self.put_agreed());
        }
        records
    }

    fn take_piece(
        &mut self,
        now: u64,
        from: u64,
        (seq, at_ms): (u64, u64),
        (piece, pieces, sum): (u32, u32, u64),
        bytes: Vec<u8>,
    ) -> Vec<Record> {
        let begun = self
            .filling
            .pieces
            .take()
            .filter(|p| p.from == from && p.seq == seq && p.next == piece);
        let fresh = || {
            (piece == 0).then_some(PartialSnapshot {
                from,
                seq,
                next: 0,
                bytes: Vec::new(),
            })
        };
        let Some(mut all) = begun.or_else(fresh) else {
            return Vec::new();
        };
        all.bytes.extend(bytes);
        all.next += 1;
        if all.next < pieces {
            self.filling.pieces = Some(all);
            return Vec::new();
        }
        if seq <= self.flow.committed || XxHash64::oneshot(0, &all.bytes) != sum {
            return Vec::new();
        }
        let Some((recent, state)) = ReplyCache::parse(&all.bytes) else {
            return Vec::new();
        };
        if !self.state.restore(state) {
            self.log("the state that was handed out can't be read".into());
            return Vec::new();
        }
        self.recent = recent;
        // What is held behind it stays: where we are a member of the newest view, that may have been acknowledged.
        let behind: Vec<Entry> = self
            .flow
            .log
            .iter()
            .filter(|e| e.seq > seq)
            .cloned()
            .collect();
        let last = behind.last().map_or(seq, |e| e.seq);
        let gone = self
            .flow
            .on_disk()
            .filter(|at| *at <= seq || *at > last)
            .map(persisted::drop_entry);
        let mut records: Vec<Record> = gone.collect();
        let at_ms = at_ms.max(self.flow.last_at);
        self.flow.begin(seq, at_ms, now);
        self.flow.go_on(at_ms, now, behind);
        self.log(format!("filled with all up to update {seq}"));
        records.extend(self.put_state());
        records.push(self.put_agreed());
        records
    }

    // ---- who has it -------------------------------------------------------------------------

    pub(crate) fn fetched(
        &mut self,
        now: u64,
        from: u64,
        ask: u64,
        held: u64,
        piece: Option<(u64, u32)>,
    ) {
        let committed = self.flow.committed;
        let fill = if self.flow.joins(held) {
            CatchUpChunk::Updates {
                committed,
                entries: self.flow.applied_behind(held, PART_BYTES),
            }
        } else {
            self.piece(now, piece)
        };
        self.send(now, from, Message::CatchUpReply { ask, fill });
    }

    /// The piece of the state that is handed out, or the first of a newer one where that can't be followed any more.
    fn piece(&mut self, now: u64, wanted: Option<(u64, u32)>) -> CatchUpChunk {
        let joins = |f: &ServedSnapshot| self.flow.joins(f.seq);
        let frozen = self.filling.frozen.take().filter(joins).unwrap_or_else(|| {
            let bytes = self.snapshot();
            let (seq, at_ms) = (self.flow.committed, self.flow.last_at);
            ServedSnapshot {
                seq,
                at_ms,
                sum: XxHash64::oneshot(0, &bytes),
                bytes,
                used_ms: now,
            }
        });
        let at = wanted
            .filter(|(seq, _)| *seq == frozen.seq)
            .map_or(0, |(_, at)| at);
        let bytes = frozen
            .bytes
            .chunks(PART_BYTES)
            .nth(at as usize)
            .unwrap_or_default()
            .to_vec();
        let pieces = frozen.bytes.len().div_ceil(PART_BYTES) as u32;
        let fill = CatchUpChunk::Piece {
            seq: frozen.seq,
            at_ms: frozen.at_ms,
            piece: at,
            pieces,
            sum: frozen.sum,
            bytes,
        };
        self.filling.frozen = Some(ServedSnapshot {
            used_ms: now,
            ..frozen
        });
        fill
    }

    /// Gives up the state that is handed out once nobody asks for it.
    pub(crate) fn tend_fill(&mut self, now: u64) {
        self.filling.frozen.take_if(|f| now > f.used_ms + FROZEN_MS);
        self.fetch(now);
    }

    // ---- copies compared --------------------------------------------------------------------

    pub(crate) fn take_stock(&mut self, seq: u64) {
        self.stock.swept = (seq, XxHash64::oneshot(0, &self.snapshot()));
    }

    /// Where two others hold the same after the same update and nobody holds what we do, ours is spoilt. A copy that
    /// the chain can't spare is only told of, and so is a difference between two.
    pub(crate) fn compare_stock(&mut self, (seq, digest): (u64, u64)) {
        let ours = self.stock.swept;
        if seq == 0 || seq != ours.0 || digest == ours.1 {
            return;
        }
        if self.stock.told < seq {
            self.stock.told = seq;
            self.log(format!("copies differ at update {seq}"));
        }
        let others = self
            .known
            .values()
            .map(|k| k.standing.swept)
            .filter(|(at, _)| *at == seq);
        let others: Vec<u64> = others.map(|(_, digest)| digest).collect();
        let alone = !others.contains(&ours.1);
        let outvoted = others
            .iter()
            .any(|d| others.iter().filter(|o| *o == d).count() >= 2);
        let spared = self
            .acting()
            .is_none_or(|v| v.members.len() > self.losses + 1);
        if alone && outvoted && spared {
            self.log("the copy here differs from all others: it is begun anew".into());
            self.out.push(Effect::DiscardStore);
        }
    }
}
