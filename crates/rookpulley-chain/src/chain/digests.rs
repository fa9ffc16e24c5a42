//! Comparison of replicas by state digests, which are taken at fixed log positions and sent in heartbeats.

use super::Chain;
use crate::effect::Effect;
use crate::message::StateDigest;
use crate::persisted::checksum;
use crate::state::State;

/// The number of other replicas that must agree before a differing one is discarded.
const MIN_AGREEING_REPLICAS: usize = 2;

impl<S: State> Chain<S> {
    pub(super) fn update_digest(&mut self, seq: u64) {
        let digest = checksum(&self.encode_snapshot());
        self.digests.latest = StateDigest { seq, digest };
    }

    /// Compares another replica's digest with the local one. This replica is discarded if none agrees with it, at least
    /// two others agree with each other, and the chain can spare it. Otherwise the mismatch is only logged.
    pub(super) fn compare_digests(&mut self, theirs: StateDigest) {
        let ours = self.digests.latest;
        let seq = theirs.seq;
        if seq == 0 || seq != ours.seq || theirs.digest == ours.digest {
            return;
        }
        if self.digests.last_logged_mismatch < seq {
            self.digests.last_logged_mismatch = seq;
            self.log(format_args!("state digests differ at update {seq}"));
        }
        let others: Vec<u64> = self
            .peers
            .values()
            .map(|peer| peer.status.digest)
            .filter(|theirs| theirs.seq == seq)
            .map(|theirs| theirs.digest)
            .collect();
        let is_unmatched = !others.contains(&ours.digest);
        let count = |digest: &u64| others.iter().filter(|other| *other == digest).count();
        let is_outvoted = others.iter().any(|d| count(d) >= MIN_AGREEING_REPLICAS);
        let can_be_spared = self
            .installed_view()
            .is_none_or(|view| view.members.len() > self.tolerated_losses + 1);
        if is_unmatched && is_outvoted && can_be_spared {
            self.log("the local state differs from all other replicas; discarding the store");
            self.effects.push(Effect::DiscardStore);
        }
    }
}
