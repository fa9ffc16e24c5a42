//! State of a proxy: configuration, endpoint tables, gone instances, retry budgets and controllers.
//!
//! Invariants:
//! - The configuration version never decreases while the process runs.
//! - Tables are accepted only from the primary, since a former primary may still publish some.
//! - An incarnation that is gone receives no new requests, even if a table contains it.
//! - With `revoke_ms`, a key is accepted only if it was in the newest acknowledged configuration less than that long ago.

use crate::effect::Effect;
use crate::load_counters::LoadCounters;
use crate::rejected_requests::RejectedRequests;
use crate::revocation::{LeaseChange, Revocation};
use crate::usage::{Usage, UsageStart};
use rookpulley_balancer::{
    ControllerSelection, EndpointPicker, FleetSize, PrimaryChange, RetryBudget,
};
use rookpulley_protocol::frame::MAX_FRAME_BYTES;
use rookpulley_protocol::{
    ControllerToProxy, IncarnationId, ProxyHello, ProxyToController, TableEntry, Verification,
    VerificationRequest, unpack,
};
use rookpulley_routes::RouteTable;
use rookpulley_usage::MedianClock;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

/// Retries allowed per service, for all proxies together.
#[derive(Clone, Copy)]
struct RetryAllowance {
    ratio: f64,
    slack: f64,
}

/// Initial parameters of a proxy.
pub struct ProxyStart<'a> {
    /// Name of the machine.
    pub name: &'a str,
    /// Zone of the machine.
    pub zone: &'a str,
    /// Controllers listed in the settings.
    pub seeds: Vec<Ipv4Addr>,
    /// Allowed retries per request of a service, over all proxies.
    pub retry_ratio: f64,
    /// Allowed retries of a service in addition to `retry_ratio`, over all proxies.
    pub retry_slack: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// How long after its revocation an API key may still be accepted, in milliseconds. None if keys need no
    /// verification, and then controllers aren't asked.
    pub revoke_ms: Option<f64>,
    /// The time of day at time 0 of the proxy's clock, in milliseconds since the start of 1970.
    pub origin_unix_ms: f64,
    /// None if usage isn't reported, and then it isn't counted.
    pub usage: Option<UsageStart>,
}

/// The state of a proxy.
pub struct ProxyState {
    name: String,
    zone: String,
    allowance: RetryAllowance,
    seeds: Vec<Ipv4Addr>,
    routes: Option<Rc<RouteTable>>,
    /// Source bytes of `routes`, which are the base for unpacking the next configuration.
    body: Vec<u8>,
    /// Endpoint tables and endpoint selection.
    pub endpoints: EndpointPicker,
    budgets: HashMap<String, RetryBudget>,
    fleet: FleetSize,
    pub(crate) load: LoadCounters,
    pub(crate) rejected_requests: RejectedRequests,
    controllers: ControllerSelection,
    /// None if keys need no verification.
    revocation: Option<Revocation>,
    /// The time of day, from this proxy's clock and those of controllers.
    clock: MedianClock<Ipv4Addr>,
    /// None if usage isn't counted.
    pub(crate) usage: Option<Usage>,
    /// Whether the process is shutting down.
    pub is_shutting_down: bool,
    effects: Vec<Effect>,
}

/// A configuration as received from a controller.
struct PackedConfiguration {
    version: u64,
    base: u64,
    length: usize,
    packed: Vec<u8>,
}

impl ProxyState {
    /// Creates a state without configuration and tables.
    pub fn new(start: ProxyStart) -> Self {
        Self {
            name: start.name.into(),
            zone: start.zone.into(),
            allowance: RetryAllowance {
                ratio: start.retry_ratio,
                slack: start.retry_slack,
            },
            seeds: start.seeds,
            routes: None,
            body: Vec::new(),
            endpoints: EndpointPicker::new(start.zone, start.seed),
            budgets: HashMap::new(),
            fleet: FleetSize::default(),
            load: LoadCounters::default(),
            rejected_requests: RejectedRequests::default(),
            controllers: ControllerSelection::default(),
            revocation: (start.revoke_ms.is_some() || start.usage.is_some())
                .then(|| Revocation::new(start.name, start.revoke_ms)),
            clock: MedianClock::new(start.origin_unix_ms),
            usage: start.usage.map(Usage::new),
            is_shutting_down: false,
            effects: Vec::new(),
        }
    }

    /// Takes the effects that have accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The current configuration.
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.routes.clone()
    }

    /// Version of the current configuration, or 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Whether the proxy is ready to serve clients.
    pub fn is_ready(&self, now: f64) -> bool {
        !self.is_shutting_down
            && self.routes.is_some()
            && self.endpoints.has_endpoints()
            && (!self.needs_keys() || self.may_accept_keys(now))
    }

    /// Whether the configuration has tenants, so that requests need an API key.
    fn needs_keys(&self) -> bool {
        let routes = self.routes.as_ref();
        routes.is_some_and(|routes| routes.tenants().is_some())
    }

    /// Whether the keys of requests may be accepted now. Otherwise a request that needs a key, or carries one, must be
    /// rejected, also under a configuration without tenants.
    pub fn may_accept_keys(&self, now: f64) -> bool {
        let revocation = self.revocation.as_ref();
        revocation.is_none_or(|revocation| revocation.may_accept_keys(now))
    }

    /// Whether a configuration that is not held yet is known to have been acknowledged.
    pub(crate) fn awaits_newer_keys(&self) -> bool {
        let revocation = self.revocation.as_ref();
        revocation.is_some_and(Revocation::awaits_newer_keys)
    }

    /// The median time of day that this proxy knows of, in milliseconds since the start of 1970.
    pub fn unix_ms(&self, now: f64) -> f64 {
        self.clock.unix_ms(now)
    }

    /// Number of proxies in the fleet, as reported by controllers.
    pub fn fleet(&self) -> FleetSize {
        self.fleet
    }

    /// Processes a fleet size reported by a controller.
    pub fn update_fleet(&mut self, now: f64, proxies: u32) {
        if !self.fleet.update(now, proxies) {
            return;
        }
        let proxies = self.fleet.proxies();
        for budget in self.budgets.values_mut() {
            budget.set_proxies(proxies);
        }
    }

    /// Calls a function with the retry budget of a service, which is created on first use.
    pub fn with_retry_budget<T>(
        &mut self,
        service: &str,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        if let Some(budget) = self.budgets.get_mut(service) {
            return operation(budget);
        }
        let RetryAllowance { ratio, slack } = self.allowance;
        let budget = self.budgets.entry(service.to_owned());
        let budget = budget.or_insert(RetryBudget::new(ratio, slack));
        if self.fleet.proxies() > 0 {
            budget.set_proxies(self.fleet.proxies());
        }
        operation(budget)
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }

    fn log_warning(&mut self, line: String) {
        self.effects.push(Effect::LogWarning(line));
    }
}

/// The connections to controllers.
impl ProxyState {
    /// The settings name other seeds now.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// The controller that publishes this proxy's tables.
    pub fn primary(&self) -> Option<Ipv4Addr> {
        self.controllers.primary()
    }

    /// Processes a new connection to a controller: sends the hello message.
    pub fn controller_connected(&mut self, now: f64, controller: Ipv4Addr) {
        let hello = ProxyHello {
            node: self.name.clone(),
            zone: self.zone.clone(),
            is_primary: self.primary() == Some(controller),
            configuration: self.configuration_version(),
            has_tables: self.endpoints.has_endpoints(),
            gone: self.endpoints.all_gone(),
        };
        self.send(controller, ProxyToController::Hello(hello));
        self.controllers.connected(now, controller);
        if let Some(revocation) = &mut self.revocation {
            revocation.connected(now, controller);
        }
        self.request_verifications(now);
        if self.primary() == Some(controller) {
            self.send_all_usage(now);
        }
    }

    /// Processes the loss of the connection to a controller.
    pub fn controller_disconnected(&mut self, controller: Ipv4Addr) {
        self.controllers.disconnected(controller);
        if let Some(revocation) = &mut self.revocation {
            revocation.disconnected(controller);
        }
    }

    /// Removes a controller that has not been announced recently. Returns true if it is unknown now, so no reconnection
    /// is needed.
    pub fn remove_if_expired(&mut self, now: f64, controller: Ipv4Addr) -> bool {
        self.controllers.remove_if_expired(now, controller)
    }

    /// Periodic work: connects to the seeds, chooses a new primary if the current one may not stay, asks controllers to
    /// verify the held keys, and logs how many requests were rejected.
    pub fn tick(&mut self, now: f64) {
        for seed in self.seeds.clone() {
            self.discover(now, seed);
        }
        self.choose_primary(now);
        self.request_verifications(now);
        self.log_lease_change(now);
        if self.is_shutting_down {
            self.send_usage(now);
        }
        if let Some(line) = self.rejected_requests.take_log_line(now) {
            self.log(line);
        }
    }

    fn request_verifications(&mut self, now: f64) {
        let Some(revocation) = &mut self.revocation else {
            return;
        };
        let request = VerificationRequest {
            sent_ms: now,
            unix_ms: self.clock.own_unix_ms(now),
        };
        for controller in revocation.take_due_questions(now) {
            self.send(controller, ProxyToController::RequestVerification(request));
        }
    }

    fn log_lease_change(&mut self, now: f64) {
        let is_needed = self.routes.is_some();
        let revocation = self.revocation.as_mut();
        match revocation.and_then(|revocation| revocation.check(now, is_needed)) {
            Some(LeaseChange::Lost) => self.log_warning(
                "revocation: rejecting requests with keys: no controller has verified them in time"
                    .into(),
            ),
            Some(LeaseChange::Regained { missing_ms }) => self.log(format!(
                "revocation: accepting keys again after {missing_ms:.0} ms"
            )),
            None => {}
        }
    }

    /// Sends a load report and usage counts to the primary. It is called about once a second.
    pub fn send_report(&mut self, now: f64) {
        self.send_usage(now);
        let Some(primary) = self.primary() else {
            return;
        };
        let report = self.load.take_report(now);
        self.send(primary, ProxyToController::Report(report));
    }

    /// Chooses a new primary if the current one may not stay, and notifies both controllers.
    pub fn choose_primary(&mut self, now: f64) {
        let Some(PrimaryChange { from, to }) = self.controllers.choose_primary(now) else {
            return;
        };
        self.log(format!("controllers: {to} is the new primary"));
        if let Some(from) = from {
            self.send_primary_changed(from, false);
        }
        self.send_primary_changed(to, true);
        self.send_all_usage(now);
    }

    fn send_primary_changed(&mut self, controller: Ipv4Addr, is_primary: bool) {
        let message = ProxyToController::PrimaryChanged {
            is_primary,
            configuration: self.configuration_version(),
            has_tables: self.endpoints.has_endpoints(),
        };
        self.send(controller, message);
    }

    pub(crate) fn send(&mut self, to: Ipv4Addr, message: ProxyToController) {
        self.effects.push(Effect::SendToController { to, message });
    }

    fn discover(&mut self, now: f64, controller: Ipv4Addr) {
        if self.controllers.discover(now, controller) {
            self.effects.push(Effect::Connect(controller));
        }
    }
}

/// Messages from controllers.
impl ProxyState {
    /// Processes a message from a controller.
    pub fn handle_controller_message(
        &mut self,
        now: f64,
        controller: Ipv4Addr,
        message: ControllerToProxy,
    ) {
        match message {
            ControllerToProxy::Status {
                in_touch,
                configuration,
                proxies,
                controllers,
            } => {
                self.handle_status(now, controller, in_touch, configuration);
                if proxies > 0 {
                    self.update_fleet(now, proxies);
                }
                self.handle_controller_list(now, &controllers);
            }
            ControllerToProxy::Configuration {
                version,
                base,
                length,
                packed,
            } => {
                let packed = PackedConfiguration {
                    version,
                    base,
                    length: length as usize,
                    packed,
                };
                if let Some(held) = self.receive_configuration(controller, packed) {
                    self.send(controller, ProxyToController::RequestConfiguration { held });
                }
            }
            ControllerToProxy::Table {
                service,
                sequence,
                entries,
                ..
            } if self.primary() == Some(controller) => {
                self.apply_table(&service, entries);
                let applied = ProxyToController::TablesApplied { up_to: sequence };
                self.send(controller, applied);
            }
            ControllerToProxy::ConfigurationVerified(answer) => {
                self.handle_verification(now, controller, answer);
            }
            ControllerToProxy::Table { .. } | ControllerToProxy::ControllerInfo { .. } => {}
            ControllerToProxy::InstancesGone { incarnations } => {
                let new = self.endpoints.mark_gone(incarnations, now);
                self.close_connections(new);
            }
        }
    }

    fn handle_status(
        &mut self,
        now: f64,
        controller: Ipv4Addr,
        in_touch: bool,
        configuration: u64,
    ) {
        let held = self.configuration_version();
        let is_needed =
            self.controllers
                .handle_status(now, controller, in_touch, configuration, held);
        if is_needed {
            self.send(controller, ProxyToController::RequestConfiguration { held });
        }
    }

    fn handle_verification(&mut self, now: f64, controller: Ipv4Addr, answer: Verification) {
        // The answer was sent at some time between its question and now.
        let sent_ms = answer.sent_ms.min(now);
        let at_ms = (sent_ms + now) / 2.0;
        self.clock.heard(now, controller, at_ms, answer.unix_ms);
        let held = self.configuration_version();
        if let Some(revocation) = &mut self.revocation {
            revocation.verified(now, answer, held);
        }
        self.log_lease_change(now);
    }

    fn handle_controller_list(&mut self, now: f64, controllers: &[SocketAddrV4]) {
        for controller in controllers {
            self.discover(now, *controller.ip());
        }
        self.choose_primary(now);
    }

    fn apply_table(&mut self, service: &str, entries: Vec<TableEntry>) {
        let removed = self.endpoints.replace_table(service, entries);
        self.close_connections(removed);
    }

    fn close_connections(&mut self, incarnations: Vec<IncarnationId>) {
        let effects = incarnations.into_iter().map(Effect::CloseConnections);
        self.effects.extend(effects);
    }

    /// Unpacks and applies a configuration. If it cannot be unpacked, returns the held version to send in a new request,
    /// or 0 to request it without a base.
    fn receive_configuration(
        &mut self,
        controller: Ipv4Addr,
        packed: PackedConfiguration,
    ) -> Option<u64> {
        let held = self.configuration_version();
        let PackedConfiguration { version, base, .. } = packed;
        if version <= held {
            return None;
        }
        if base != 0 && base != held {
            return Some(held);
        }
        let base_body = if base == 0 { &[] } else { self.body.as_slice() };
        let body = match unpack(&packed.packed, base_body, packed.length, MAX_FRAME_BYTES) {
            Ok(body) => body,
            Err(error) => {
                self.log_warning(format!(
                    "controllers: cannot unpack configuration {version} from {controller} with base {base}: {error}"
                ));
                return (base != 0).then_some(0);
            }
        };
        let earlier = self.routes.as_ref();
        let earlier = earlier.map(|routes| (self.body.as_slice(), routes.as_ref()));
        match RouteTable::read_incremental(&body, earlier) {
            Ok(routes) => self.apply_configuration(routes, body),
            Err(faults) => self.log_warning(format!(
                "controllers: configuration {version} from {controller} is invalid: {faults}"
            )),
        }
        None
    }

    /// Applies a configuration that was read from `body`. One that is not newer is ignored.
    pub fn apply_configuration(&mut self, routes: RouteTable, body: Vec<u8>) {
        if routes.version <= self.configuration_version() {
            return;
        }
        self.body = body;
        let version = routes.version;
        self.log(format!("proxy: applied configuration {version}"));
        self.routes = Some(Rc::new(routes));
        if let Some(revocation) = &mut self.revocation {
            revocation.configuration_applied(version);
        }
    }
}
