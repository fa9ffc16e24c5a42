//! One member of the chain: its fields, and the dispatch of inputs to the modules under `chain/`.
//!
//! Each of those modules documents the invariants that it maintains. They share these fields and call each other's
//! functions; only this module handles [`Input`].

mod acceptor;
mod candidates;
mod catch_up;
mod client_requests;
mod digests;
mod heartbeats;
mod install;
mod proposer;
mod reconfiguration;
pub(crate) mod replication;
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

/// A member without two-way contact for this long is suspected to have failed. See `docs/design/chain.md`.
const SUSPECT_AFTER_MS: u64 = 600;
/// The timeout once its connection has closed: a running process reconnects sooner.
const SUSPECT_AFTER_DISCONNECT_MS: u64 = 350;
const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// A longer gap between ticks means that this process was not scheduled.
const STALL_MS: u64 = 250;

/// One member of the chain, or a controller that may become one.
pub struct Chain<S> {
    me: Member,
    tolerated_losses: usize,
    seed: u64,
    state: S,
    /// The decided views that are retained, oldest first.
    views: Vec<View>,
    /// When the newest view was learned.
    view_learned_ms: u64,
    /// The newest view that is installed on this disk.
    installed: u64,
    /// Views up to this number will not be installed here unless they already were.
    abandoned: u64,
    /// The newest view that is known to be active.
    active: u64,
    acceptor: AcceptorState,
    /// The disk lost synced data. Promises may be missing, so messages that depend on the acceptor's state are ignored.
    corrupted: bool,
    replication: ReplicationState,
    reply_cache: ReplyCache,
    /// The number of chunks of the snapshot on disk. 0: there is none.
    snapshot_chunks: u32,
    /// By identity.
    peers: BTreeMap<u64, PeerState>,
    reconfiguration: Reconfiguration,
    requests: PendingRequests,
    catch_up: CatchUp,
    digests: Digests,
    disk_slow: bool,
    /// The first write of this incarnation was synced. Until then it reports a slow disk and is not added to a view.
    first_write_synced: bool,
    last_tick_ms: u64,
    /// When this process last resumed after a stall.
    resumed_ms: u64,
    heartbeat_sent_ms: u64,
    ticket: u64,
    after_sync: VecDeque<(u64, AfterSync)>,
    effects: Vec<Effect>,
}

impl<S: State> Chain<S> {
    /// Handles an event at the time `now`, in milliseconds of a monotonic clock, and returns the effects to carry out.
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
        if now > self.last_tick_ms + STALL_MS {
            self.resumed_ms = now;
        }
        self.last_tick_ms = now;
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
            AfterSync::CatchUpSynced => self.handle_catch_up_synced(now),
            AfterSync::FirstWriteSynced => {
                self.first_write_synced = true;
                self.send_heartbeats(now);
                self.reconfigure_if_needed(now);
            }
            AfterSync::Nothing => {}
        }
    }

    /// Sends a message. A message to this member is handled immediately.
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

    /// Writes records as one batch. `next` runs once they are synced.
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

    /// The number of the newest decided view. 0: none is known.
    fn decided(&self) -> u64 {
        self.view().map_or(0, |view| view.number)
    }

    /// Whether the newest known view is active. False also if a later active view has yet to be learned.
    fn is_view_active(&self) -> bool {
        self.active > 0 && self.active == self.decided()
    }

    /// The newest view, if this incarnation is a member of it and has installed it.
    fn installed_view(&self) -> Option<&View> {
        let is_installed = |view: &&View| {
            view.number == self.installed && view.has_member(self.me.id, self.me.incarnation)
        };
        self.view().filter(is_installed)
    }

    /// Whether the view with this number is the newest one and is installed here.
    fn has_installed(&self, number: u64) -> bool {
        self.installed_view()
            .is_some_and(|view| view.number == number)
    }

    /// The identity, incarnation and address of this member.
    pub fn me(&self) -> Member {
        self.me
    }

    /// The replicated state, with every entry applied here.
    pub fn state(&self) -> &S {
        &self.state
    }
}
