//! A request from its head to its answer: routed, attempted as often as it may be.

use crate::attempt::AttemptEnd;
use crate::state::ProxyState;
use rookpulley_balancer::{AttemptOutcome, NextAction, Pick, RequestAttempts};
use rookpulley_protocol::{IncarnationId, TableEntry};
use rookpulley_routes::RouteKind;
use std::rc::Rc;

/// When clients are to come again before there is a configuration.
const NO_CONFIGURATION_RETRY_MS: f64 = 200.0;

/// Where a request goes and how, by the configuration that was in force when its head came.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDecision {
    /// The service's name.
    pub service: Rc<str>,
    /// What may be done with it.
    pub kind: RouteKind,
    /// How often it may be sent.
    pub max_attempts: u32,
    /// How long an answer should take.
    pub latency_target_ms: f64,
    /// When its client waits no longer.
    pub deadline_ms: f64,
    /// How many connections an instance of the service accepts from all proxies. 0: it doesn't say.
    pub max_connections: u32,
}

/// An answer of the proxy itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalResponse {
    /// The status.
    pub status: u16,
    /// When the client is to come again.
    pub retry_after_ms: Option<f64>,
}

impl LocalResponse {
    fn of_status(status: u16) -> Self {
        Self {
            status,
            retry_after_ms: None,
        }
    }

    /// 503: the request wasn't run.
    fn rejected(retry_after_ms: f64) -> Self {
        Self {
            status: 503,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

/// What is to be done next.
#[derive(Debug)]
pub enum NextStep {
    /// An attempt at this instance. At `check_at_ms` it is to be asked whether to go on with it; at the deadline of the
    /// route decision it ends at last.
    Attempt {
        /// The choice, to be given back when the attempt has ended.
        pick: Pick,
        /// The instance.
        to: Rc<TableEntry>,
        /// When to ask.
        check_at_ms: f64,
    },
    /// The client is answered by the proxy itself.
    Respond(LocalResponse),
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AfterAttempt {
    /// Another one.
    Retry,
    /// The instance's answer goes to the client.
    Forward,
    /// The client is answered by the proxy itself.
    Respond(LocalResponse),
}

/// A request after its head was routed.
pub struct RequestLifecycle {
    route: RouteDecision,
    attempts: RequestAttempts,
    /// The present attempt has all the time there is.
    is_patient: bool,
}

impl ProxyState {
    /// Routes a request whose head has come. `client_wait_ms`: how long its client says that it will wait.
    pub fn route(
        &mut self,
        now: f64,
        host: &str,
        path: &str,
        client_wait_ms: Option<f64>,
    ) -> Result<RouteDecision, LocalResponse> {
        let no_configuration = LocalResponse::rejected(NO_CONFIGURATION_RETRY_MS);
        let table = self.route_table().ok_or(no_configuration)?;
        let route = table
            .route(host, path)
            .ok_or(LocalResponse::of_status(404))?;
        let random = self.endpoints.random();
        let service = route
            .select_target(random)
            .and_then(|index| table.service(index));
        let service = service.ok_or(no_configuration)?;
        let wait_ms = client_wait_ms.unwrap_or(route.timeout_ms);
        self.load.count_request(&service.name);
        self.with_retry_budget(&service.name, |budget| budget.record_request(now));
        Ok(RouteDecision {
            service: Rc::from(service.name.as_str()),
            kind: route.kind,
            max_attempts: route.max_attempts,
            latency_target_ms: route.latency_target_ms,
            deadline_ms: now + wait_ms.min(route.timeout_ms),
            max_connections: service.max_connections,
        })
    }

    /// How many connections there may be to one instance of this route's service.
    pub fn connection_limit(&self, route: &RouteDecision) -> usize {
        self.fleet().connection_limit(route.max_connections)
    }

    /// Whether a request may still be sent to this incarnation: it may have begun to drain while a connection came up.
    pub fn may_send(&self, incarnation: &IncarnationId) -> bool {
        !self.endpoints.is_gone(incarnation)
    }

    /// An attempt that began at `began_ms` has ended. True: no connection to that incarnation is to be used again.
    pub fn record_attempt(
        &mut self,
        service: &str,
        pick: Pick,
        end: AttemptEnd,
        began_ms: f64,
        now: f64,
    ) -> bool {
        let outcome = match end {
            AttemptEnd::Outcome(outcome) => outcome,
            AttemptEnd::WrongInstance => AttemptOutcome::NotExecuted,
            AttemptEnd::ConnectionLimit => {
                self.endpoints.record_connection_limit(pick, now);
                return false;
            }
            AttemptEnd::ClientFailed(_) => {
                self.endpoints.cancel(pick);
                return false;
            }
        };
        let took_ms = now - began_ms;
        let incarnation = &pick.entry.incarnation;
        self.load
            .count_attempt(service, incarnation, outcome, took_ms);
        if end == AttemptEnd::WrongInstance {
            self.endpoints.record_wrong_instance(pick, now);
            return true;
        }
        self.endpoints.record(service, pick, outcome, took_ms, now);
        false
    }

    /// The request has failed for good.
    fn give_up(&mut self, service: &str, action: NextAction) -> LocalResponse {
        self.load.count_failure(service);
        match action {
            NextAction::Reject { retry_after_ms } => LocalResponse::rejected(retry_after_ms),
            NextAction::GatewayTimeout => LocalResponse::of_status(504),
            NextAction::Retry | NextAction::Forward | NextAction::BadGateway => {
                LocalResponse::of_status(502)
            }
        }
    }
}

impl RequestLifecycle {
    /// `is_repeatable`: its body can be had a second time.
    pub fn new(state: &mut ProxyState, route: RouteDecision, is_repeatable: bool) -> Self {
        let random = state.endpoints.random();
        let mut attempts =
            RequestAttempts::new(route.kind, route.max_attempts, route.deadline_ms, random);
        if !is_repeatable {
            attempts.disable_retries();
        }
        Self {
            route,
            attempts,
            is_patient: true,
        }
    }

    /// How it was routed.
    pub fn route(&self) -> &RouteDecision {
        &self.route
    }

    /// The next attempt, or what its client is answered. `is_wanted`: the client is still there, and the body at hand.
    pub fn next_step(&mut self, state: &mut ProxyState, now: f64, is_wanted: bool) -> NextStep {
        let (service, kind) = (&self.route.service, self.route.kind);
        let pick = if is_wanted {
            state.endpoints.pick(service, &self.attempts, kind, now)
        } else {
            None
        };
        let Some(pick) = pick else {
            let attempts = &mut self.attempts;
            let action =
                state.with_retry_budget(service, |budget| attempts.no_endpoint(now, budget));
            return NextStep::Respond(state.give_up(service, action));
        };
        self.attempts.begin(&pick.entry.incarnation);
        let target_ms = self.route.latency_target_ms;
        let abandon_at_ms = self
            .attempts
            .abandon_at_ms(now, target_ms, pick.expected_ms);
        self.is_patient = abandon_at_ms.is_none();
        NextStep::Attempt {
            to: pick.entry.clone(),
            pick,
            check_at_ms: abandon_at_ms.unwrap_or(self.route.deadline_ms),
        }
    }

    /// The attempt takes long. Whether it is broken off now, for one at another instance or since its time is over.
    pub fn is_to_be_broken_off(&self, state: &mut ProxyState, now: f64) -> bool {
        let service = &self.route.service;
        self.is_patient
            || (!state.is_ending
                && state.endpoints.has_untried(service, &self.attempts)
                && state.with_retry_budget(service, |budget| budget.can_pay(now)))
    }

    /// An attempt has ended. `status`: that of an answer that can be passed on; `has_body`: the request's body is at hand.
    pub fn attempt_ended(
        &mut self,
        state: &mut ProxyState,
        now: f64,
        end: AttemptEnd,
        status: Option<u16>,
        has_body: bool,
    ) -> AfterAttempt {
        let outcome = match end {
            AttemptEnd::Outcome(outcome) => outcome,
            AttemptEnd::ConnectionLimit => AttemptOutcome::Unsent,
            AttemptEnd::WrongInstance => AttemptOutcome::NotExecuted,
            AttemptEnd::ClientFailed(status) => {
                return AfterAttempt::Respond(LocalResponse::of_status(status));
            }
        };
        let service = &self.route.service;
        let attempts = &mut self.attempts;
        let has_untried = has_body && state.endpoints.has_untried(service, attempts);
        let action = state.with_retry_budget(service, |budget| {
            attempts.record(outcome, now, has_untried, budget)
        });
        match (action, status) {
            (NextAction::Retry, _) => AfterAttempt::Retry,
            (NextAction::Forward, Some(status)) => {
                if status >= 500 {
                    state.load.count_failure(service);
                }
                AfterAttempt::Forward
            }
            (action, _) => AfterAttempt::Respond(state.give_up(service, action)),
        }
    }
}
