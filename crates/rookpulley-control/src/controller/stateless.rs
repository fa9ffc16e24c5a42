//! Connections of stateless controllers, and creation of the first view.

use super::Controller;
use crate::effect::Effect;
use rookpulley_chain::Input;
use rookpulley_protocol::{ControllerToProxy, ProxyToController, encode_frame};
use std::net::{Ipv4Addr, SocketAddrV4};

const MAX_STATELESS: usize = 1_024;

impl Controller {
    pub(super) fn is_stateless(&self, ip: Ipv4Addr) -> bool {
        self.stateless.values().any(|stateless| *stateless == ip)
    }

    /// Handles the hello of a stateless controller. `connection` must come from `next_number`.
    pub fn stateless_connected(
        &mut self,
        now: f64,
        connection: u64,
        address: SocketAddrV4,
        controllers: &[SocketAddrV4],
    ) {
        let ip = *address.ip();
        if self.stateless.len() >= MAX_STATELESS || ip == *self.me.address.ip() {
            return;
        }
        self.stateless.insert(connection, ip);
        self.discover_peers(now, controllers);
        let knows_view = self.chain.view().is_some();
        let may_found = self.bootstrap.is_some() && !knows_view;
        let info = ControllerToProxy::ControllerInfo {
            zone: self.zone.clone(),
            founder: may_found.then_some(self.me.id),
            knows_view,
        };
        for message in [info, self.status_message(now)] {
            let frame = encode_frame(&message);
            self.effects.push(Effect::SendToProxy { connection, frame });
        }
        self.log(format!("stateless controllers: {ip} connected"));
        let is_earlier_seed = self
            .bootstrap
            .as_ref()
            .is_some_and(|bootstrap| bootstrap.is_earlier_seed(ip));
        if is_earlier_seed {
            self.seeds_without_disk.insert(ip);
            self.bootstrap_if_due(now);
        }
    }

    /// Handles a message from a stateless controller.
    pub fn handle_stateless_message(
        &mut self,
        now: f64,
        connection: u64,
        message: &ProxyToController,
    ) {
        let Some(sender) = self.stateless.get(&connection) else {
            return;
        };
        let may_appoint = self
            .bootstrap
            .as_ref()
            .is_some_and(|bootstrap| bootstrap.may_appoint(*sender));
        match message {
            ProxyToController::StatelessHello { controllers, .. } => {
                self.discover_peers(now, controllers);
            }
            ProxyToController::AppointFounder { id } if *id == self.me.id && may_appoint => {
                self.is_appointed = true;
                self.bootstrap_if_due(now);
            }
            _ => {}
        }
    }

    /// Handles the end of a stateless controller's connection.
    pub fn stateless_disconnected(&mut self, now: f64, connection: u64) {
        let Some(ip) = self.stateless.remove(&connection) else {
            return;
        };
        if self.seeds.iter().any(|seed| *seed.ip() == ip) {
            self.discover_peer(now, ip);
        }
    }

    fn bootstrap_if_due(&mut self, now: f64) {
        let is_due = self
            .bootstrap
            .as_ref()
            .is_some_and(|bootstrap| bootstrap.is_due(&self.seeds_without_disk, self.is_appointed));
        if is_due && self.chain.view().is_none() {
            self.step_chain(now, Input::Bootstrap);
        }
    }
}
