//! What operators are shown: a member's part in the chain, and what a store holds of it.

use super::Chain;
use super::views::member_addresses;
use crate::message::StateDigest;
use crate::persisted::PersistedState;
use crate::reply_cache::ReplyCache;
use crate::state::State;
use crate::view::{Member, View};

/// How the chain looks from one member.
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
    /// It is in two-way contact with a majority of an active view.
    pub in_touch: bool,
    /// The last entry held.
    pub last: u64,
    /// The last entry applied.
    pub applied: u64,
    /// The disk is slow.
    pub slow: bool,
    /// When replicas were last compared, and the digest of the one here.
    pub digest: StateDigest,
    /// How many members may lose their disks at once. With no more members than that nothing is acknowledged.
    pub tolerated_losses: usize,
    /// How many members may be lost now, before the chain is repaired: enough hold all that is acknowledged, enough are
    /// left to agree on the next view, and updates go on.
    pub spare: usize,
    /// From head to tail.
    pub members: Vec<MemberReport>,
}

/// A member, as it was last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// Who it is.
    pub member: Member,
    /// Whether it is in two-way contact.
    pub in_contact: bool,
    /// None: it was not heard since this process began.
    pub heard: Option<PeerReport>,
}

/// What a member last said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// How long ago, in milliseconds.
    pub ago_ms: u64,
    /// The last entry that it had applied.
    pub applied: u64,
    /// Its disk was slow.
    pub slow: bool,
}

impl<S: State> Chain<S> {
    /// For operators.
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
        let is_here = |member: &&Member| self.in_contact(now, member.id);
        let members = view.members.iter().filter(is_here).count();
        let acceptors = view.acceptors().filter(is_here).count();
        let beyond_losses = members.saturating_sub(self.tolerated_losses + 1);
        beyond_losses.min(acceptors.saturating_sub(view.majority()))
    }

    /// A line for the log.
    pub fn summary(&self) -> String {
        let addresses = self.view().map_or_else(String::new, member_addresses);
        let is_acting = self.installed_view().is_some();
        format!(
            "view {} of {addresses}, at work {}, {}, update {}",
            self.decided(),
            self.active,
            if is_acting { "acting" } else { "idle" },
            self.replication.committed
        )
    }
}

/// What a store holds, as a process that starts with it takes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreStatus<'a> {
    /// The view that is installed.
    pub installed: u64,
    /// This view and those before it are never installed here, unless they have been.
    pub abandoned: u64,
    /// For which view number the acceptor last said something. 0: for none.
    pub acceptor: u64,
    /// The view that it accepted for that number.
    pub accepted: Option<&'a View>,
    /// The decided views that are remembered, oldest first.
    pub views: &'a [View],
    /// The state, if it is whole.
    pub snapshot: Option<StoredSnapshot<'a>>,
    /// The entries behind the snapshot. The last of them may not be committed.
    pub log: Vec<StoredUpdate<'a>>,
}

/// The state in a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredSnapshot<'a> {
    /// The last entry applied.
    pub seq: u64,
    /// The replicated time, in milliseconds.
    pub at_ms: u64,
    /// The state's own bytes.
    pub bytes: &'a [u8],
}

/// An entry in a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredUpdate<'a> {
    /// Its position.
    pub seq: u64,
    /// The replicated time stamped on it, in milliseconds.
    pub at_ms: u64,
    /// The update as the state reads it.
    pub body: &'a [u8],
}

impl PersistedState {
    /// For operators.
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
