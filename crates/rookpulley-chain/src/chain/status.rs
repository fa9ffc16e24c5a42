//! Status reports for operators, of a running member and of a store.

use super::Chain;
use super::views::member_addresses;
use crate::message::StateDigest;
use crate::persisted::PersistedState;
use crate::reply_cache::ReplyCache;
use crate::state::State;
use crate::view::{Member, View};

/// The chain as seen by one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainStatus {
    /// The newest view that is decided.
    pub view: u64,
    /// The view that is installed here.
    pub installed: u64,
    /// The newest view that is known to be active.
    pub active: u64,
    /// This incarnation is a member of the newest view and has installed it.
    pub acting: bool,
    /// This controller is in two-way contact with a majority of an active view.
    pub in_touch: bool,
    /// The last entry held.
    pub last: u64,
    /// The last entry applied.
    pub applied: u64,
    /// The disk is slow.
    pub slow: bool,
    /// The latest state digest of this replica and its log position.
    pub digest: StateDigest,
    /// The number of disks that may be lost at once without losing acknowledged updates. The chain needs more members
    /// than this to accept requests.
    pub tolerated_losses: usize,
    /// The number of members that may be lost now, before the chain is reconfigured, such that acknowledged updates are
    /// kept, a quorum remains and updates continue.
    pub spare: usize,
    /// The members from head to tail.
    pub members: Vec<MemberReport>,
}

/// The last known state of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// The member.
    pub member: Member,
    /// Whether this controller is in two-way contact with it.
    pub in_contact: bool,
    /// Its last report. None: nothing was received from it since this process started.
    pub heard: Option<PeerReport>,
}

/// The last report of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// The age of the report in milliseconds.
    pub ago_ms: u64,
    /// The last entry that it had applied.
    pub applied: u64,
    /// Whether its disk was slow.
    pub slow: bool,
}

impl<S: State> Chain<S> {
    /// Returns a status report for operators.
    pub fn status(&self, now: u64) -> ChainStatus {
        let members = self.view().map_or(&[][..], |view| &view.members);
        let members = members.iter().map(|member| MemberReport {
            member: *member,
            in_contact: self.in_contact(now, member.id),
            heard: self.peer_report(now, member.id),
        });
        ChainStatus {
            view: self.decided(),
            installed: self.installed,
            active: self.active,
            acting: self.installed_view().is_some(),
            in_touch: self.in_touch(now),
            last: self.replication.last,
            applied: self.replication.committed,
            slow: self.disk_slow,
            digest: self.digests.latest,
            tolerated_losses: self.tolerated_losses,
            spare: self.spare_members(now),
            members: members.collect(),
        }
    }

    fn peer_report(&self, now: u64, id: u64) -> Option<PeerReport> {
        if id == self.me.id {
            return Some(PeerReport {
                ago_ms: 0,
                applied: self.replication.committed,
                slow: self.disk_slow,
            });
        }
        self.peers.get(&id).map(|peer| PeerReport {
            ago_ms: now.saturating_sub(peer.last_heard_ms),
            applied: peer.status.committed,
            slow: peer.status.slow,
        })
    }

    fn spare_members(&self, now: u64) -> usize {
        let Some(view) = self.view().filter(|_| self.in_touch(now)) else {
            return 0;
        };
        let is_reachable = |member: &&Member| self.in_contact(now, member.id);
        let members = view.members.iter().filter(is_reachable).count();
        let acceptors = view.acceptors().filter(is_reachable).count();
        let beyond_losses = members.saturating_sub(self.tolerated_losses + 1);
        beyond_losses.min(acceptors.saturating_sub(view.majority()))
    }

    /// A one-line summary for the log.
    pub fn summary(&self) -> String {
        let addresses = self.view().map_or_else(String::new, member_addresses);
        let is_acting = self.installed_view().is_some();
        format!(
            "view {} of {addresses}, active view {}, {}, update {}",
            self.decided(),
            self.active,
            if is_acting { "acting" } else { "idle" },
            self.replication.committed
        )
    }
}

/// The contents of a store as a starting process would load them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreStatus<'a> {
    /// The installed view.
    pub installed: u64,
    /// Views up to this number will not be installed here unless they already were.
    pub abandoned: u64,
    /// The view number of the acceptor's latest promise. 0: none.
    pub acceptor: u64,
    /// The view that it accepted for that number.
    pub accepted: Option<&'a View>,
    /// The decided views that are retained, oldest first.
    pub views: &'a [View],
    /// The state, if the snapshot is intact.
    pub snapshot: Option<StoredSnapshot<'a>>,
    /// The entries after the snapshot. The last ones may not be committed.
    pub log: Vec<StoredUpdate<'a>>,
}

/// A snapshot of the state in a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredSnapshot<'a> {
    /// The last entry applied.
    pub seq: u64,
    /// The replicated time, in milliseconds.
    pub at_ms: u64,
    /// The serialized state.
    pub bytes: &'a [u8],
}

/// A log entry in a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredUpdate<'a> {
    /// The sequence number.
    pub seq: u64,
    /// The replicated time assigned to it, in milliseconds.
    pub at_ms: u64,
    /// The update, encoded for the state machine.
    pub body: &'a [u8],
}

impl PersistedState {
    /// Returns a status report for operators.
    pub fn status(&self) -> StoreStatus<'_> {
        let snapshot = self.snapshot.as_ref().and_then(|(header, bytes)| {
            let (_, bytes) = ReplyCache::decode(bytes)?;
            Some(StoredSnapshot {
                seq: header.seq,
                at_ms: header.at_ms,
                bytes,
            })
        });
        let log = self.log.iter().map(|entry| StoredUpdate {
            seq: entry.seq,
            at_ms: entry.at_ms,
            body: &entry.body,
        });
        StoreStatus {
            installed: self.installed,
            abandoned: self.abandoned,
            acceptor: self.acceptor.number,
            accepted: self.acceptor.accepted.as_ref().map(|(_, view)| view),
            views: &self.views,
            snapshot,
            log: log.collect(),
        }
    }
}
