//! The lines of controllers without a disk, and who founds the first view.

use super::{Controller, Effect, STATELESS_CONTROLLERS_MOST};
use rookpulley_chain::Input;
use rookpulley_protocol::{Down, Up, frame};
use std::net::SocketAddrV4;

impl Controller {
    /// A controller without a disk says hello on a line, which `number` gave.
    pub fn stateless_in(
        &mut self,
        now: f64,
        line: u64,
        address: SocketAddrV4,
        controllers: &[SocketAddrV4],
    ) {
        let ip = *address.ip();
        if self.stateless_controllers.len() >= STATELESS_CONTROLLERS_MOST
            || ip == *self.me.address.ip()
        {
            return;
        }
        self.stateless_controllers.insert(line, ip);
        self.meet_all(now, controllers);
        let view = self.chain.view().is_some();
        let founds = self.founding.as_ref().filter(|_| !view).map(|_| self.me.id);
        for down in [
            Down::Place {
                zone: self.zone.clone(),
                founds,
                view,
            },
            self.pulse(now),
        ] {
            self.out.push(Effect::Down {
                line,
                frame: frame(&down),
            });
        }
        self.log(format!(
            "stateless controllers: {ip} has no disk; it passes calls on"
        ));
        if self
            .founding
            .as_ref()
            .is_some_and(|founding| founding.waits_for(ip))
        {
            self.diskless.insert(ip);
            self.found_if_due(now);
        }
    }

    pub fn stateless_said(&mut self, now: f64, line: u64, up: &Up) {
        let Some(by) = self.stateless_controllers.get(&line) else {
            return;
        };
        let names = self
            .founding
            .as_ref()
            .is_some_and(|founding| founding.names(*by));
        match up {
            Up::StatelessHello { controllers, .. } => self.meet_all(now, controllers),
            Up::Found { id } if *id == self.me.id && names => {
                self.named = true;
                self.found_if_due(now);
            }
            _ => {}
        }
    }

    pub fn stateless_out(&mut self, now: f64, line: u64) {
        let ip = self.stateless_controllers.remove(&line);
        if let Some(ip) = ip.filter(|ip| self.seeds.iter().any(|seed| seed.ip() == ip)) {
            self.meet(now, ip);
        }
    }

    pub(super) fn found_if_due(&mut self, now: f64) {
        let due = self
            .founding
            .as_ref()
            .is_some_and(|founding| founding.due(&self.diskless, self.named));
        if due && self.chain.view().is_none() {
            self.step(now, Input::Bootstrap);
        }
    }
}
