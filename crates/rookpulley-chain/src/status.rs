//! What may be looked at: a controller's part in the chain, and what a disk holds of it.

use crate::State;
use crate::chain::Chain;
use crate::deduplication::ReplyCache;
use crate::persisted::PersistedState;
use crate::view::{Member, View};

/// How the chain looks from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainStatus {
    /// The newest view that is decided, the one installed here, the newest known to be at work.
    pub view: u64,
    pub installed: u64,
    pub at_work: u64,
    /// This incarnation of this controller is a member and has installed it.
    pub acting: bool,
    pub in_touch: bool,
    /// The last update held, and the last that is applied.
    pub last: u64,
    pub applied: u64,
    pub slow: bool,
    /// After which update copies were compared last, and the digest of the one here.
    pub swept: (u64, u64),
    /// So many machines may be lost at once with their disks: with no more members nothing is acknowledged.
    pub losses: usize,
    /// So many more members may be lost now, before the chain is mended: enough hold all that is acknowledged, enough are
    /// left to agree on the next view, and updates go on.
    pub spare: usize,
    /// Head first, tail last.
    pub members: Vec<MemberReport>,
}

/// A member, as it was last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    pub member: Member,
    pub in_contact: bool,
    /// None: not heard since this process began.
    pub heard: Option<PeerReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    pub ago_ms: u64,
    pub applied: u64,
    pub slow: bool,
}

impl<S: State> Chain<S> {
    pub fn shown(&self, now: u64) -> ChainStatus {
        let own = PeerReport {
            ago_ms: 0,
            applied: self.flow.committed,
            slow: self.slow,
        };
        let heard = |id: u64| {
            let other = self.known.get(&id).map(|k| PeerReport {
                ago_ms: now.saturating_sub(k.heard_ms),
                applied: k.standing.committed,
                slow: k.standing.slow,
            });
            if id == self.me().id { Some(own) } else { other }
        };
        let members = self.view().map_or(&[][..], |view| &view.members);
        let members = members.iter().map(|member| MemberReport {
            member: *member,
            in_contact: self.in_contact(now, member.id),
            heard: heard(member.id),
        });
        ChainStatus {
            view: self.decided(),
            installed: self.installed,
            at_work: self.at_work,
            acting: self.acting().is_some(),
            in_touch: self.in_touch(now),
            last: self.flow.last,
            applied: self.flow.committed,
            slow: self.slow,
            swept: self.stock.swept,
            losses: self.losses,
            spare: self.spare(now),
            members: members.collect(),
        }
    }
}

impl<S: State> Chain<S> {
    fn spare(&self, now: u64) -> usize {
        let Some(view) = self.view().filter(|_| self.in_touch(now)) else {
            return 0;
        };
        let here = |member: &&Member| self.in_contact(now, member.id);
        let members = view.members.iter().filter(here).count();
        let voices = view.acceptors().filter(here).count();
        members
            .saturating_sub(self.losses + 1)
            .min(voices.saturating_sub(view.majority()))
    }
}

/// What a disk holds, as a controller that starts with it takes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreStatus<'a> {
    pub installed: u64,
    /// This view and those before it are never installed here.
    pub never: u64,
    /// For which view a vote was last cast, and which view it accepted.
    pub vote: u64,
    pub accepted: Option<&'a View>,
    /// The decided views that are remembered, oldest first.
    pub views: &'a [View],
    /// The state: up to which update, at which of the ledger's times, its bytes.
    pub snapshot: Option<(u64, u64, &'a [u8])>,
    /// Updates behind it, with their times. The last of them may not be agreed on.
    pub log: Vec<(u64, u64, &'a [u8])>,
}

impl PersistedState {
    pub fn shown(&self) -> StoreStatus<'_> {
        StoreStatus {
            installed: self.installed,
            never: self.never,
            vote: self.vote.number,
            accepted: self.vote.accepted.as_ref().map(|(_, view)| view),
            views: &self.views,
            snapshot: self.snapshot.as_ref().and_then(|(head, bytes)| {
                let (_, state) = ReplyCache::parse(bytes)?;
                Some((head.seq, head.at_ms, state))
            }),
            log: self
                .log
                .iter()
                .map(|entry| (entry.seq, entry.at_ms, entry.body.as_slice()))
                .collect(),
        }
    }
}
