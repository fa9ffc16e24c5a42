//! Failure detection based on two-way contact.
//!
//! A heartbeat carries the sender's clock and echoes the latest clock received from the receiver. Only an echo of the
//! local clock counts as contact, so a link that works in one direction is not enough, and messages that were delayed
//! in a socket prove no recent contact.

use super::{Chain, SUSPECT_AFTER_DISCONNECT_MS, SUSPECT_AFTER_MS};
use crate::message::{MemberStatus, Message};
use crate::peer::PeerState;
use crate::pending_requests::HeadTime;
use crate::state::State;
use crate::view::Member;

/// A peer outside the newest view is removed after this long without a heartbeat.
const PEER_EXPIRY_MS: u64 = 30_000;

impl<S: State> Chain<S> {
    pub(super) fn in_contact(&self, now: u64, id: u64) -> bool {
        let has_contact = |peer: &PeerState| {
            peer.contact_ms
                .is_some_and(|at| now < at + SUSPECT_AFTER_MS)
        };
        id == self.me.id || self.peers.get(&id).is_some_and(has_contact)
    }

    /// Whether this controller is in two-way contact with a majority of an active view.
    pub fn in_touch(&self, now: u64) -> bool {
        let Some(view) = self.view().filter(|_| self.is_view_active()) else {
            return false;
        };
        let in_contact = view.acceptors().filter(|m| self.in_contact(now, m.id));
        in_contact.count() >= view.majority()
    }

    /// Whether this controller is in contact with a majority and has installed the newest view, so that its state is
    /// current.
    pub fn serving(&self, now: u64) -> bool {
        self.in_touch(now) && self.installed_view().is_some()
    }

    pub(super) fn handle_peer_discovered(&mut self, now: u64, member: Member) {
        if member.id == self.me.id {
            return;
        }
        let peer = self
            .peers
            .entry(member.id)
            .or_insert_with(|| PeerState::new(now, member));
        if peer.status.member.incarnation != member.incarnation {
            peer.restart(member);
        }
        // Contact with a new peer is established without waiting for the next interval.
        if peer.contact_ms.is_none() {
            self.send_heartbeat(now, member.id);
        }
    }

    pub(super) fn handle_disconnected(&mut self, now: u64, id: u64) {
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        let latest_contact = now.saturating_sub(SUSPECT_AFTER_MS - SUSPECT_AFTER_DISCONNECT_MS);
        peer.contact_ms = peer.contact_ms.map(|at| at.min(latest_contact));
    }

    /// The local monotonic clock as sent in heartbeats. The offset differs between incarnations, so echoes sent to an
    /// earlier one are not counted.
    fn sent_clock(&self, now: u64) -> u64 {
        (self.me.incarnation >> 16) + now
    }

    fn send_heartbeat(&mut self, now: u64, to: u64) {
        let Some(peer) = self.peers.get(&to) else {
            return;
        };
        let message = Message::Heartbeat {
            status: self.own_status(),
            sent: self.sent_clock(now),
            echo: peer.latest_clock,
            head_time_ms: self.replicated_time(now),
        };
        self.send_to_peer(to, message);
    }

    pub(super) fn send_heartbeats(&mut self, now: u64) {
        let view = self.views.last();
        self.peers.retain(|id, peer| {
            let is_expired = now > peer.last_heard_ms + PEER_EXPIRY_MS;
            !is_expired || view.is_some_and(|view| view.is_acceptor(*id))
        });
        let to: Vec<u64> = self.peers.keys().copied().collect();
        for id in to {
            self.send_heartbeat(now, id);
        }
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        now: u64,
        from: u64,
        status: MemberStatus,
        sent: u64,
        echo: Option<u64>,
        head_time_ms: Option<u64>,
    ) {
        let clock_start = self.sent_clock(0);
        let is_known =
            |peer: &&mut PeerState| peer.status.member.incarnation == status.member.incarnation;
        let Some(peer) = self.peers.get_mut(&from).filter(is_known) else {
            return self.handle_peer_discovered(now, status.member);
        };
        let is_first_heartbeat = peer.latest_clock.is_none();
        let had_no_contact = peer.contact_ms.is_none();
        let health_changed = peer.status.slow != status.slow;
        peer.last_heard_ms = now;
        peer.latest_clock = Some(sent);
        peer.status = status.clone();
        // The echoed clock shows that both directions have worked since then.
        let contact = echo
            .and_then(|echo| echo.checked_sub(clock_start))
            .filter(|at| *at <= now && now < *at + SUSPECT_AFTER_MS);
        if let Some(at) = contact {
            peer.contact_ms = peer.contact_ms.max(Some(at));
            peer.last_echo_ms = peer.last_echo_ms.max(Some(at));
            if !self.resolve_address_conflict(from, status.member, at) {
                return;
            }
        }
        if is_first_heartbeat {
            self.send_heartbeat(now, from);
        }
        if let Some(at_ms) = head_time_ms {
            self.requests.note_head_time(HeadTime {
                view: status.installed,
                head: from,
                at_ms,
                heard_ms: now,
            });
        }
        self.handle_view_active(now, status.active.min(self.decided()));
        if head_time_ms.is_some() {
            self.forward_due(now);
        }
        self.send_newer_views(now, from, status.decided);
        self.check_successor(now, from, &status);
        self.request_catch_up(now);
        self.compare_digests(status.digest);
        if had_no_contact || health_changed {
            self.reconfigure_if_needed(now);
        }
    }

    /// Resolves two identities at one address: the one with the newer echo stays, since the disk of the other is lost.
    /// Returns false if `from`, whose echo is from `at`, is the one that is removed.
    fn resolve_address_conflict(&mut self, from: u64, member: Member, at: u64) -> bool {
        let same_address = |peer: &PeerState| peer.status.member.address == member.address;
        let is_superseded = self
            .peers
            .iter()
            .any(|(id, peer)| *id != from && same_address(peer) && peer.last_echo_ms > Some(at));
        if is_superseded {
            self.peers.remove(&from);
            return false;
        }
        self.peers
            .retain(|id, peer| *id == from || !same_address(peer));
        true
    }

    pub(super) fn own_status(&self) -> MemberStatus {
        MemberStatus {
            member: self.me,
            decided: self.decided(),
            installed: self.installed,
            active: self.active,
            last: self.replication.last,
            committed: self.replication.committed,
            slow: self.disk_slow || !self.first_write_synced,
            digest: self.digests.latest,
        }
    }
}
