//! Learning of decided views, and the transition to a newer one.

use super::Chain;
use crate::after_sync::AfterSync;
use crate::effect::Effect;
use crate::message::Message;
use crate::persisted::{self, MAX_RETAINED_VIEWS, Record};
use crate::refound::is_refounded_between;
use crate::state::State;
use crate::view::View;

impl<S: State> Chain<S> {
    /// Learns decided views. Missed older views are kept too, because a view that never became active can be skipped
    /// only by a proposer that knows its members.
    pub(super) fn learn_views(&mut self, now: u64, views: Vec<View>) {
        let before = self.decided();
        let unknown = self.unknown_views(views);
        if unknown.is_empty() {
            return;
        }
        let mut records: Vec<Record> = unknown.iter().map(persisted::put_view).collect();
        self.views.extend(unknown);
        self.views.sort_by_key(|view| view.number);
        while self.views.len() > MAX_RETAINED_VIEWS {
            let forgotten = self.views.remove(0);
            records.push(persisted::delete_view(forgotten.number));
        }
        self.write(records, AfterSync::Nothing);
        if self.decided() > before {
            self.handle_newer_view(now, before);
        }
    }

    /// The given views that should be retained and are not known yet.
    fn unknown_views(&self, views: Vec<View>) -> Vec<View> {
        let is_full = self.views.len() >= MAX_RETAINED_VIEWS;
        let oldest = self.views.first().filter(|_| is_full);
        let oldest = oldest.map_or(0, |view| view.number);
        let is_known = |number: u64| self.views.iter().any(|known| known.number == number);
        let mut unknown: Vec<View> = views
            .into_iter()
            .filter(|view| view.number > oldest && !is_known(view.number))
            .collect();
        unknown.sort_by_key(|view| view.number);
        unknown.dedup_by_key(|view| view.number);
        unknown
    }

    /// Starts the transition to a view newer than `before`, and cancels what was pending in the previous one.
    fn handle_newer_view(&mut self, now: u64, before: u64) {
        let Some(view) = self.view() else {
            return;
        };
        let number = view.number;
        let addresses = member_addresses(view);
        self.log(format_args!("view {number} is decided: {addresses}"));
        if is_refounded_between(before, number) {
            self.log("the chain was refounded from another store; discarding this one");
            self.effects.push(Effect::DiscardStore);
        }
        self.view_learned_ms = now;
        self.reconfiguration.reset(now);
        self.catch_up.pending_install = None;
        self.replication.reads.clear();
        self.install_as_source(now);
    }

    /// Sends a peer the views that it does not know.
    pub(super) fn send_newer_views(&mut self, now: u64, to: u64, known: u64) {
        if known >= self.decided() {
            return;
        }
        let newer = self.views.iter().filter(|view| view.number > known);
        let views = newer.cloned().collect();
        self.send(now, to, Message::Learn { views });
    }

    pub(super) fn handle_view_active(&mut self, now: u64, number: u64) {
        if number <= self.active {
            return;
        }
        self.active = number;
        if number != self.decided() {
            return;
        }
        self.log(format_args!("view {number} is active"));
        if self.replicated_time(now).is_some() {
            // Other controllers cannot forward requests before they have received the head's time.
            self.send_heartbeats(now);
        }
        self.forward_due(now);
    }
}

/// The members' IP addresses from head to tail, for log lines.
pub(super) fn member_addresses(view: &View) -> String {
    let addresses: Vec<String> = view
        .members
        .iter()
        .map(|member| member.address.ip().to_string())
        .collect();
    addresses.join(" ")
}
