//! The connections of a simulated proxy to controllers.

use super::*;

impl World {
    pub(super) fn proxy_dialed(&mut self, process: usize, ip: Ipv4Addr, up: bool) {
        let (Some(me), now) = (self.address(process), self.now) else {
            return;
        };
        let there = self
            .machine_at(ip)
            .map(|machine| self.process_of(machine, true));
        let Some(there) = there.and_then(|there| self.address(there)).filter(|_| up) else {
            return self.proxy_dials_again(process, ip);
        };
        let line = self.open_line(me, there, [true, false]);
        if let Some(dialer) = self
            .proxy(process)
            .and_then(|proxy| proxy.dialers.get_mut(&ip))
        {
            (dialer.line, dialer.begun) = (Some(line), now);
        }
        self.with_state(process, |state, now| state.controller_connected(now, ip));
    }

    pub(super) fn proxy_dials_again(&mut self, process: usize, ip: Ipv4Addr) {
        let me = self.address(process);
        if self.with_state(process, |state, now| state.remove_if_expired(now, ip)) == Some(true) {
            self.proxy(process)
                .into_iter()
                .for_each(|proxy| _ = proxy.dialers.remove(&ip));
            return;
        }
        let Some(dialer) = self
            .proxy(process)
            .and_then(|proxy| proxy.dialers.get_mut(&ip))
        else {
            return;
        };
        let pause = dialer.pause;
        dialer.pause = (pause * 2).min(LONGEST_PAUSE);
        self.after(pause, me, What::Dial(ip));
    }

    pub(super) fn proxy_hears(&mut self, process: usize, line: u64, bytes: Vec<u8>) {
        let Some(of) = self.lines.get(&line) else {
            return;
        };
        let ip = self.machines[self.processes[of.ends[1].0].machine].ip;
        let Some(mut down) = decode_frame::<ControllerToProxy>(&bytes) else {
            return;
        };
        if let ControllerToProxy::Table { entries: lines, .. } = &mut down {
            let zone = format!(
                "zone-{}",
                self.machines[self.processes[process].machine].zone
            );
            let near = lines.iter().any(|line| line.zone == zone);
            match self.mutation {
                Some(Mutation::LocalZoneOnly) if near => lines.retain(|line| line.zone == zone),
                Some(Mutation::OmitTaintedRows)
                    if self.log.iter().any(|line| line.contains("all tainted")) =>
                {
                    lines.clear();
                }
                _ => {}
            }
        }
        let clock = self.clock(process);
        let missed = match (&mut down, self.mutation) {
            (ControllerToProxy::Table { .. }, Some(Mutation::SkipTables)) => {
                self.now > 5 * S
                    && self
                        .proxy(process)
                        .is_some_and(|proxy| proxy.state.is_ready(clock))
            }
            (
                ControllerToProxy::InstancesGone { .. } | ControllerToProxy::Table { .. },
                Some(Mutation::IgnoreDrains),
            ) => {
                self.now > 3 * S
                    && self
                        .proxy(process)
                        .is_some_and(|proxy| proxy.state.is_ready(clock))
            }
            (ControllerToProxy::Configuration { .. }, Some(Mutation::SkipConfigurations)) => {
                self.proxy(process)
                    .is_some_and(|c| c.state.configuration_version() > 0)
                    && !self.chance(4)
            }
            (ControllerToProxy::Configuration { .. }, Some(Mutation::RevertConfiguration)) => {
                let proxy = self.proxy(process);
                proxy.is_some_and(|proxy| {
                    proxy.first.get_or_insert(bytes);
                    proxy.gone_back
                })
            }
            (_, Some(Mutation::AssumeHomeInContact)) => {
                if let ControllerToProxy::Status { in_touch, .. } = &mut down {
                    *in_touch = true;
                }
                let home = self.proxy(process).and_then(|proxy| proxy.state.primary());
                home.is_some_and(|home| home != ip)
            }
            _ => false,
        };
        if !missed {
            self.with_state(process, |state, now| {
                state.handle_controller_message(now, ip, down)
            });
        }
    }

    pub(super) fn proxy_line_ends(&mut self, process: usize, line: u64, side: usize, own: bool) {
        let Some(of) = self.lines.get(&line).filter(|of| of.open[side]) else {
            return;
        };
        let ip = self.machines[self.processes[of.ends[1 - side].0].machine].ip;
        self.end_line(line, side, !own);
        let now = self.now;
        if let Some(dialer) = self
            .proxy(process)
            .and_then(|proxy| proxy.dialers.get_mut(&ip))
        {
            dialer.line = None;
            if now - dialer.begun > S {
                dialer.pause = PAUSE;
            }
        }
        let alone = self.mutation == Some(Mutation::FullSlackWithoutContact)
            && self
                .proxy(process)
                .is_some_and(|c| c.dialers.values().all(|dialer| dialer.line.is_none()));
        self.with_state(process, |state, now| {
            state.controller_disconnected(ip);
            state.choose_primary(now);
            if alone {
                state.update_fleet(now + 1e9, 1);
            }
        });
        self.proxy_dials_again(process, ip);
    }
}
