//! One member of the chain: its fields, and which part of it handles an input.
//!
//! The parts are in the files under `chain/`, each with the invariants that it keeps. They share these fields and call
//! each other's functions; none but this one sees an [`Input`].

mod acceptor;
mod candidates;
mod catch_up;
mod client_requests;
mod digests;
mod heartbeats;
mod install;
mod proposer;
mod reconfiguration;
mod replication;
mod start;
pub mod status;
mod views;

use crate::after_sync::AfterSync;
use crate::catch_up_state::{CatchUp, Digests, PendingInstall};
use crate::effect::Effect;
use crate::input::Input;
use crate::message::Message;
use crate::peer::PeerState;
use crate::pending_requests::PendingRequests;
use crate::persisted::{AcceptorState, Record};
use crate::reconfiguration_state::{Reconfiguration, StatusReply};
use crate::replication_state::ReplicationState;
use crate::reply_cache::ReplyCache;
use crate::state::State;
use crate::view::{Member, View};
use std::collections::{BTreeMap, VecDeque};

/// A member without two-way contact for so long is suspected to be lost. Figures: `docs/design/chain.md`.
const SUSPECT_AFTER_MS: u64 = 600;
/// The same since its connection has ended: a process that runs connects again meanwhile.
const SUSPECT_AFTER_DISCONNECT_MS: u64 = 350;
const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// Ticks that are so far apart show that this process itself did not run.
const STALL_MS: u64 = 250;

/// One member of the chain, or a controller that is about to become one.
pub struct Chain<S> {
    me: Member,
    tolerated_losses: usize,
    seed: u64,
    state: S,
    /// The decided views that are remembered, oldest first.
    views: Vec<View>,
    /// When the newest view became known.
    learned_ms: u64,
    /// The newest view that is installed on this disk.
    installed: u64,
    /// This view and those before it are never installed here, unless they have been.
    abandoned: u64,
    /// The newest view that is known to be active.
    active: u64,
    acceptor: AcceptorState,
    /// The disk has lost what was synced: it may have forgotten what it promised, and says nothing that depends on it.
    corrupted: bool,
    replication: ReplicationState,
    reply_cache: ReplyCache,
    /// How many rows the snapshot on the disk has. 0: there is none.
    snapshot_chunks: u32,
    /// By identity.
    peers: BTreeMap<u64, PeerState>,
    reconfiguration: Reconfiguration,
    requests: PendingRequests,
    catch_up: CatchUp,
    digests: Digests,
    disk_slow: bool,
    /// This incarnation has written to its disk. One that can't is taken into no view.
    disk_proven: bool,
    ticked_ms: u64,
    /// When this process last ran again after a stall.
    woke_ms: u64,
    heartbeat_sent_ms: u64,
    ticket: u64,
    after_sync: VecDeque<(u64, AfterSync)>,
    effects: Vec<Effect>,
}

impl<S: State> Chain<S> {
    /// Takes an event at the time `now`, in milliseconds of a monotonic clock, and returns what is to be done.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now),
            Input::Bootstrap => self.bootstrap(),
            Input::PeerDiscovered { member } => self.handle_peer_discovered(now, member),
            Input::Received { from, message } => self.handle_message(now, from, message),
            Input::Synced { ticket } => self.handle_synced(now, ticket),
            Input::DiskHealth { slow } => {
                self.disk_slow = slow;
                self.reconfigure_if_needed(now);
            }
            Input::Disconnected { id } => self.handle_disconnected(now, id),
            Input::ClientRequest { token, kind, body } => {
                self.handle_client_request(now, token, kind, body);
            }
        }
        self.write_snapshot_if_due();
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: u64) {
        if now > self.ticked_ms + STALL_MS {
            self.woke_ms = now;
        }
        self.ticked_ms = now;
        if now >= self.heartbeat_sent_ms + HEARTBEAT_INTERVAL_MS {
            self.heartbeat_sent_ms = now;
            self.send_heartbeats(now);
        }
        self.reconfigure_if_needed(now);
        self.tick_replication(now);
        self.tick_client_requests(now);
        self.tick_catch_up(now);
    }

    fn handle_message(&mut self, now: u64, from: u64, message: Message) {
        if self.corrupted && message.needs_acceptor_state() {
            return;
        }
        match message {
            Message::Heartbeat {
                status,
                sent,
                echo,
                head_time_ms,
            } => self.handle_heartbeat(now, from, status, sent, echo, head_time_ms),
            Message::StatusRequest { query } => self.send_status_reply(now, from, query),
            Message::StatusReply {
                query,
                status,
                contacts,
                abandoned,
                views,
            } => {
                let reply = StatusReply {
                    status,
                    contacts,
                    abandoned,
                };
                self.learn_views(now, views);
                self.handle_status_reply(now, from, query, reply);
            }
            Message::AbandonView { query, number } => {
                self.handle_abandon_view(from, query, number);
            }
            Message::ViewAbandoned {
                query,
                number,
                installed,
            } => self.handle_view_abandoned(now, from, query, number, installed),
            Message::Prepare { base, ballot } => self.handle_prepare(now, from, base, ballot),
            Message::Promise {
                number,
                ballot,
                accepted,
            } => self.handle_promise(now, from, number, ballot, accepted),
            Message::Accept { ballot, view } => self.handle_accept(from, ballot, view),
            Message::Accepted { number, ballot } => self.handle_accepted(now, from, number, ballot),
            Message::Preempted { number, ballot } => self.handle_preempted(now, number, ballot),
            Message::Learn { views } => self.learn_views(now, views),
            Message::Install {
                view,
                committed,
                at_ms,
                log,
            } => {
                let install = PendingInstall {
                    from,
                    view,
                    committed,
                    at_ms,
                    log,
                };
                self.handle_install(now, install);
            }
            Message::CatchUpRequest {
                query,
                applied,
                chunk,
            } => self.handle_catch_up_request(now, from, query, applied, chunk),
            Message::CatchUpReply { query, data } => {
                self.handle_catch_up_reply(now, from, query, data);
            }
            Message::ViewActive { number } => self.handle_view_active(now, number),
            Message::Forward(forwarded) => self.handle_forward(now, forwarded),
            Message::Reject { request } => self.handle_reject(request),
            Message::Append {
                view,
                entries,
                reads,
                synced_up_to,
            } => self.handle_append(now, from, view, entries, reads, synced_up_to),
            Message::Response {
                request,
                view,
                committed,
                body,
            } => self.handle_response(now, request, view, committed, body),
            Message::Commit { view, seq } => self.handle_commit(view, seq),
        }
    }

    fn handle_synced(&mut self, now: u64, ticket: u64) {
        while self.after_sync.front().is_some_and(|(t, _)| *t <= ticket) {
            if let Some((_, next)) = self.after_sync.pop_front() {
                self.continue_after_sync(now, next);
            }
        }
    }

    fn continue_after_sync(&mut self, now: u64, next: AfterSync) {
        match next {
            AfterSync::Send { to, message } => self.send(now, to, message),
            AfterSync::Installed { number } => self.handle_installed(now, number),
            AfterSync::Appended { view, to } => self.handle_entries_synced(now, view, to),
            AfterSync::ViewAbandoned { to, query, number } => {
                let installed = self.installed;
                let message = Message::ViewAbandoned {
                    query,
                    number,
                    installed,
                };
                self.send(now, to, message);
            }
            AfterSync::Bootstrapped => self.handle_bootstrapped(now),
            AfterSync::CaughtUp => self.handle_caught_up(now),
            AfterSync::DiskProven => {
                self.disk_proven = true;
                self.send_heartbeats(now);
                self.reconfigure_if_needed(now);
            }
            AfterSync::Nothing => {}
        }
    }

    /// Sends a message. One to ourselves is handled at once.
    fn send(&mut self, now: u64, to: u64, message: Message) {
        if to == self.me.id {
            self.handle_message(now, to, message);
        } else {
            self.send_to_peer(to, message);
        }
    }

    fn send_to_peer(&mut self, to: u64, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    /// Writes records as one batch. `next` is done once they are synced.
    fn write(&mut self, records: Vec<Record>, next: AfterSync) {
        self.ticket += 1;
        self.after_sync.push_back((self.ticket, next));
        self.effects.push(Effect::Write {
            ticket: self.ticket,
            records,
        });
    }

    fn log(&mut self, line: impl std::fmt::Display) {
        self.effects.push(Effect::Log(format!("chain: {line}")));
    }

    /// The newest view that is known to be decided.
    pub fn view(&self) -> Option<&View> {
        self.views.last()
    }

    /// Its number. 0: none is known.
    fn decided(&self) -> u64 {
        self.view().map_or(0, |view| view.number)
    }

    /// Whether the newest view known is active. Where a later one is, that one must be learned first.
    fn is_view_active(&self) -> bool {
        self.active > 0 && self.active == self.decided()
    }

    /// The newest view, where this incarnation is a member of it and has installed it.
    fn installed_view(&self) -> Option<&View> {
        let is_installed = |view: &&View| {
            view.number == self.installed && view.has_member(self.me.id, self.me.incarnation)
        };
        self.view().filter(is_installed)
    }

    /// The same, where it has this number.
    fn has_installed(&self, number: u64) -> bool {
        self.installed_view()
            .is_some_and(|view| view.number == number)
    }

    /// Who this is.
    pub fn me(&self) -> Member {
        self.me
    }

    /// The state with all that is applied here.
    pub fn state(&self) -> &S {
        &self.state
    }
}
