//! Requests of a simulated proxy: taken from clients, attempted, answered.

use super::*;

impl World {
    pub(super) fn request(&mut self, process: usize, try_: usize) {
        let of = &mut self.record.tries[try_];
        of.read_us = Some(self.now);
        let (host, path, deadline_ms) =
            (of.host.clone(), of.path.clone(), of.deadline as f64 / 1e3);
        let key = self.key_at_proxy(try_);
        let arrived = self.with_state(process, |state, now| {
            let request = RouteRequest {
                host: &host,
                path: &path,
                client_wait_ms: Some(deadline_ms),
                credentials: key
                    .as_deref()
                    .map_or(Credentials::None, Credentials::Bearer),
            };
            state.route(now, request).map(|route| {
                let once = !route.kind.is_idempotent();
                (RequestLifecycle::new(state, route, true), once)
            })
        });
        match arrived {
            Some(Ok((lifecycle, once))) => {
                let work = Work {
                    lifecycle,
                    once,
                    gone: false,
                    attempt: 0,
                    pick: None,
                    to: None,
                    began_ms: 0.0,
                    resend: Resend::default(),
                    left: false,
                    wire: None,
                };
                if let Some(proxy) = self.proxy(process) {
                    proxy.works.insert(try_, work);
                }
                self.go(process, try_);
            }
            Some(Err(local)) => self.tell(
                process,
                try_,
                ClientResponse::own(local.status, local.retry_after_ms),
            ),
            None => {}
        }
    }

    /// The key that the proxy checks, which is the client's unless a mutation replaces it.
    fn key_at_proxy(&mut self, try_: usize) -> Option<String> {
        let key = self.record.tries[try_].identity.key.clone();
        let mut held = self.tenants.all().iter().flat_map(|tenant| &tenant.keys);
        let first = held.clone().next().cloned();
        let is_known = key.as_ref().is_some_and(|key| held.any(|held| held == key));
        match (self.mutation, is_known) {
            (Some(Mutation::AcceptUnknownKeys), false) => first,
            (Some(Mutation::RejectKnownKeys), true) => key.filter(|_| !self.chance(20)),
            _ => key,
        }
    }

    pub(super) fn on_later_route(&self, try_: usize) -> bool {
        let of = &self.record.tries[try_];
        let first = self
            .record
            .puts
            .first()
            .and_then(|put| put.config.route(&of.host, &of.path));
        let now = self
            .record
            .puts
            .last()
            .and_then(|put| put.config.route(&of.host, &of.path));
        now.is_some() && first.map(|route| route.name) != now.map(|route| route.name)
    }

    pub(super) fn tell(&mut self, process: usize, try_: usize, mut told: ClientResponse) {
        if self.mutation == Some(Mutation::AlwaysNotExecuted) && matches!(told.status, 502 | 504) {
            told.status = 503;
        }
        if self.mutation == Some(Mutation::FailLaterRoutes)
            && told.status == 200
            && self.on_later_route(try_)
        {
            told.status = 502;
        }
        if self.mutation == Some(Mutation::OmitRetryAfter) {
            told.retry_after_ms = None;
        }
        let mut late = 0;
        if told.status == 503 && self.mutation == Some(Mutation::LateRejections) {
            let of = &self.record.tries[try_];
            late = (of.sent_us + of.deadline).saturating_sub(self.now + 30 * MS);
        }
        self.proxy(process)
            .into_iter()
            .for_each(|proxy| _ = proxy.works.remove(&try_));
        let from = self.host_of(process);
        let what = What::ClientAnswer { try_, answer: told };
        match late {
            0 => self.post(from, Host::Outside(0), None, what),
            late => self.after(late, None, what),
        }
    }

    pub(super) fn go(&mut self, process: usize, request: usize) {
        let me = self.address(process);
        let go = self.with_work(process, request, |work, state, now| {
            work.attempt += 1;
            let go = work.lifecycle.next_step(state, now, !work.gone);
            (go, work.attempt, now)
        });
        let Some((go, attempt, clock)) = go else {
            return;
        };
        match go {
            NextStep::Respond(local) => self.tell(
                process,
                request,
                ClientResponse::own(local.status, local.retry_after_ms),
            ),
            NextStep::Attempt {
                pick,
                to,
                check_at_ms,
            } => {
                let uncounted = self.mutation == Some(Mutation::IgnoreOutcomesAndLoad);
                self.with_work(process, request, |work, state, now| {
                    (work.pick, work.to, work.began_ms) = (Some(pick), Some(to), now);
                    if uncounted {
                        work.pick
                            .take()
                            .into_iter()
                            .for_each(|pick| state.endpoints.cancel(pick));
                    }
                    (work.resend, work.left, work.wire) = (Resend::default(), false, None);
                });
                let us = ((check_at_ms - clock).max(0.0) * 1e3) as Us;
                self.after(us, me, What::Turn { request, attempt });
                self.take_wire(process, request, attempt);
            }
        }
    }
}
