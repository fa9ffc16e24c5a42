//! The connections of a simulated proxy to tasks.

use super::*;

impl World {
    /// An idle connection, or a new one, or none.
    pub(super) fn take_wire(&mut self, process: usize, request: usize, attempt: u32) {
        let (me, now) = (self.address(process), self.now);
        let taken = self.with_work(process, request, |work, state, _| {
            let bound = state.connection_limit(work.lifecycle.route());
            (
                work.to.clone(),
                bound,
                work.once,
                work.resend.needs_new_connection(),
            )
        });
        let Some((Some(to), bound, once, anew)) = taken else {
            return;
        };
        let Some(proxy) = self.proxy(process) else {
            return;
        };
        let pool = proxy.pools.entry(to.incarnation.clone()).or_default();
        let fit = pool.idle.last().is_some_and(|wire| {
            !anew && now - wire.freed < IDLE && (!once || now - wire.freed <= FRESH)
        });
        if fit && let Some(wire) = pool.idle.pop() {
            return self.wire_at_hand(process, request, attempt, (wire.number, true));
        }
        if pool.open >= bound {
            match pool.idle.pop() {
                Some(wire) => self.end_wire(process, wire.number),
                None => return self.ended(process, request, AttemptEnd::ConnectionLimit, None),
            }
        }
        let wire = self.number();
        let Some(proxy) = self.proxy(process) else {
            return;
        };
        proxy.pools.entry(to.incarnation.clone()).or_default().open += 1;
        proxy.incarnations.insert(wire, to.incarnation.clone());
        let machine = self.host_of(process);
        let place = self.place_of(to.address);
        let near =
            self.zone_of(machine) == place.map_or(0, |place| self.zone_of(Host::Task(place)));
        let within = if near { CONNECT } else { CONNECT_FAR };
        let reached = place.is_some_and(|place| !self.net.cut_either(machine, Host::Task(place)));
        let (us, up) = match place {
            Some(place) if reached => {
                let way =
                    self.delay(machine, Host::Task(place)) + self.delay(Host::Task(place), machine);
                let rest = if once {
                    (way * 2).clamp(MS, 10 * MS)
                } else {
                    0
                };
                let up = way < within && self.accepts_wire(place, wire, once);
                (way.min(within) + rest, up)
            }
            _ => (within, false),
        };
        self.after(
            us,
            me,
            What::WireUp {
                request,
                attempt,
                wire,
                up,
            },
        );
    }

    pub(super) fn current(
        &mut self,
        process: usize,
        request: usize,
        attempt: u32,
    ) -> Option<&mut Work> {
        self.proxy(process)?
            .works
            .get_mut(&request)
            .filter(|work| work.attempt == attempt)
    }

    pub(super) fn wire_up(
        &mut self,
        process: usize,
        request: usize,
        attempt: u32,
        wire: u64,
        up: bool,
    ) {
        if self.current(process, request, attempt).is_none() {
            return self.end_wire(process, wire);
        }
        if up {
            return self.wire_at_hand(process, request, attempt, (wire, false));
        }
        self.end_wire(process, wire);
        self.ended(
            process,
            request,
            AttemptEnd::Outcome(AttemptOutcome::Unsent),
            None,
        );
    }

    pub(super) fn end_wire(&mut self, process: usize, wire: u64) {
        if let Some(proxy) = self.proxy(process)
            && let Some(incarnation) = proxy.incarnations.remove(&wire)
            && let Some(pool) = proxy.pools.get_mut(&incarnation)
        {
            pool.open = pool.open.saturating_sub(1);
        }
        self.close_wire(wire);
    }

    /// It may serve again.
    pub(super) fn free_wire(&mut self, process: usize, wire: u64) {
        let now = self.now;
        if let Some(proxy) = self.proxy(process)
            && let Some(incarnation) = proxy.incarnations.get(&wire)
            && let Some(pool) = proxy.pools.get_mut(incarnation)
        {
            return pool.idle.push(Wire {
                number: wire,
                freed: now,
            });
        }
        self.end_wire(process, wire);
    }

    pub(super) fn wire_at_hand(
        &mut self,
        process: usize,
        request: usize,
        attempt: u32,
        wire: (u64, bool),
    ) {
        let may = self.with_work(process, request, |work, state, now| {
            let to = work.to.clone()?;
            if !state.may_send(&to.incarnation) {
                return None;
            }
            (work.wire, work.left) = (Some(wire), true);
            let route = work.lifecycle.route();
            let left_ms = (route.deadline_ms - now - 5.0).max(1.0);
            let tenant = route.tenant.as_deref().map(str::to_owned);
            Some((to, left_ms, tenant, route.withholds_authorization))
        });
        let Some(Some((to, left_ms, mut tenant, mut withholds_key))) = may else {
            self.end_wire(process, wire.0);
            return self.ended(process, request, AttemptEnd::ConnectionLimit, None);
        };
        let Some(me) = self.address(process) else {
            return;
        };
        let of = &self.record.tries[request];
        let (mut path, identity) = (of.path.clone(), of.identity.clone());
        if self.mutation == Some(Mutation::RewritePath) && self.chance(200) {
            path.push('x');
        }
        if self.mutation == Some(Mutation::KeepClaimedTenant) {
            tenant = identity.claimed_tenant.or(tenant);
        }
        withholds_key &= self.mutation != Some(Mutation::ForwardKey);
        let key = identity.key.filter(|_| !withholds_key);
        let meant = if self.mutation == Some(Mutation::OmitTargetInstance) {
            String::new()
        } else {
            to.incarnation.clone()
        };
        let Some(place) = self.place_of(to.address) else {
            return;
        };
        let from = self.host_of(process);
        let sent = UpstreamRequest {
            from: me,
            request,
            attempt,
            wire: wire.0,
            place,
            meant,
            path,
            tenant,
            key,
            left_us: (left_ms * 1e3) as Us,
        };
        self.post(from, Host::Task(place), None, What::Arrive(sent));
    }
}
