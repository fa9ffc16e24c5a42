//! What a proxy knows: configuration, tables, instances that are gone, retry budgets, and the controllers.
//!
//! Invariants: within one start the version of the configuration only rises; tables are taken from the primary alone,
//! since another controller may still think that it is the primary; an incarnation that is gone gets nothing new,
//! whatever tables say.

use crate::effect::Effect;
use crate::load_counters::LoadCounters;
use rookpulley_balancer::{
    ControllerSelection, EndpointPicker, FleetSize, PrimaryChange, RetryBudget,
};
use rookpulley_protocol::frame::MAX_FRAME_BYTES;
use rookpulley_protocol::{
    ControllerToProxy, IncarnationId, ProxyHello, ProxyToController, TableEntry, unpack,
};
use rookpulley_routes::RouteTable;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

/// What retries a service may get from all proxies together.
#[derive(Clone, Copy)]
struct RetryAllowance {
    ratio: f64,
    slack: f64,
}

/// What a proxy starts with.
pub struct ProxyStart<'a> {
    /// The machine's name.
    pub name: &'a str,
    /// The machine's zone.
    pub zone: &'a str,
    /// Controllers, as the settings name them.
    pub seeds: Vec<Ipv4Addr>,
    /// Retries that a service may get for each request, over all proxies.
    pub retry_ratio: f64,
    /// Retries that it may get beside those.
    pub retry_slack: f64,
    /// Of all random numbers.
    pub seed: u64,
}

/// The state of a proxy.
pub struct ProxyState {
    name: String,
    zone: String,
    allowance: RetryAllowance,
    seeds: Vec<Ipv4Addr>,
    routes: Option<Rc<RouteTable>>,
    /// The bytes that the routes were read from. Newer ones come as the difference.
    body: Vec<u8>,
    /// The tables, and what is known of the instances in them.
    pub endpoints: EndpointPicker,
    budgets: HashMap<String, RetryBudget>,
    fleet: FleetSize,
    pub(crate) load: LoadCounters,
    controllers: ControllerSelection,
    /// The process is shutting down.
    pub is_ending: bool,
    effects: Vec<Effect>,
}

/// A configuration as a controller sent it.
struct PackedConfiguration {
    version: u64,
    base: u64,
    length: usize,
    packed: Vec<u8>,
}

impl ProxyState {
    /// Without configuration and tables.
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
            controllers: ControllerSelection::default(),
            is_ending: false,
            effects: Vec::new(),
        }
    }

    /// What is to be done about all inputs since the last time.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The configuration in force.
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.routes.clone()
    }

    /// Its version. 0: there is none.
    pub fn configuration_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Whether clients should come here.
    pub fn is_ready(&self) -> bool {
        !self.is_ending && self.routes.is_some() && self.endpoints.has_endpoints()
    }

    /// How many proxies there are, as far as it is known.
    pub fn fleet(&self) -> FleetSize {
        self.fleet
    }

    /// A controller says how many proxies there are.
    pub fn update_fleet(&mut self, now: f64, proxies: u32) {
        if !self.fleet.update(now, proxies) {
            return;
        }
        let proxies = self.fleet.proxies();
        for budget in self.budgets.values_mut() {
            budget.set_proxies(proxies);
        }
    }

    /// The retry budget of a service.
    pub fn with_retry_budget<T>(
        &mut self,
        service: &str,
        with: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        if let Some(budget) = self.budgets.get_mut(service) {
            return with(budget);
        }
        let RetryAllowance { ratio, slack } = self.allowance;
        let budget = self.budgets.entry(service.to_owned());
        let budget = budget.or_insert(RetryBudget::new(ratio, slack));
        if self.fleet.proxies() > 0 {
            budget.set_proxies(self.fleet.proxies());
        }
        with(budget)
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

    /// The connection to a controller is open.
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
    }

    /// The connection to a controller is over.
    pub fn controller_disconnected(&mut self, controller: Ipv4Addr) {
        self.controllers.disconnected(controller);
    }

    /// Whether nobody has named a controller for long: it need not be connected to again.
    pub fn is_forgotten(&mut self, now: f64, controller: Ipv4Addr) -> bool {
        self.controllers.is_forgotten(now, controller)
    }

    /// Lets time pass: connects to seeds, and chooses another primary where this one may not remain it.
    pub fn tick(&mut self, now: f64) {
        for seed in self.seeds.clone() {
            self.discover(now, seed);
        }
        self.choose_primary(now);
    }

    /// Sends a load report to the primary, about once a second.
    pub fn send_report(&mut self, now: f64) {
        let Some(primary) = self.primary() else {
            return;
        };
        let report = self.load.take_report(now);
        self.send(primary, ProxyToController::Report(report));
    }

    /// Chooses another primary where this one may not remain it.
    pub fn choose_primary(&mut self, now: f64) {
        let Some(PrimaryChange { from, to }) = self.controllers.choose_primary(now) else {
            return;
        };
        self.log(format!("controllers: {to} is the primary"));
        if let Some(from) = from {
            self.send_primary_changed(from, false);
        }
        self.send_primary_changed(to, true);
    }

    fn send_primary_changed(&mut self, controller: Ipv4Addr, is_primary: bool) {
        let message = ProxyToController::PrimaryChanged {
            is_primary,
            configuration: self.configuration_version(),
            has_tables: self.endpoints.has_endpoints(),
        };
        self.send(controller, message);
    }

    fn send(&mut self, to: Ipv4Addr, message: ProxyToController) {
        self.effects.push(Effect::SendToController { to, message });
    }

    fn discover(&mut self, now: f64, controller: Ipv4Addr) {
        if self.controllers.discover(now, controller) {
            self.effects.push(Effect::Connect(controller));
        }
    }
}

/// What controllers say.
impl ProxyState {
    /// A controller has sent a message.
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
                if let Some(held) = self.take_configuration(controller, packed) {
                    self.send(controller, ProxyToController::RequestConfiguration { held });
                }
            }
            ControllerToProxy::Table {
                service,
                sequence,
                entries,
                ..
            } if self.primary() == Some(controller) => {
                self.take_table(&service, entries);
                let applied = ProxyToController::TablesApplied { up_to: sequence };
                self.send(controller, applied);
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
        let is_wanted =
            self.controllers
                .handle_status(now, controller, in_touch, configuration, held);
        if is_wanted {
            self.send(controller, ProxyToController::RequestConfiguration { held });
        }
    }

    fn handle_controller_list(&mut self, now: f64, controllers: &[SocketAddrV4]) {
        for controller in controllers {
            self.discover(now, *controller.ip());
        }
        self.choose_primary(now);
    }

    fn take_table(&mut self, service: &str, entries: Vec<TableEntry>) {
        let removed = self.endpoints.replace_table(service, entries);
        self.close_connections(removed);
    }

    fn close_connections(&mut self, incarnations: Vec<IncarnationId>) {
        let effects = incarnations.into_iter().map(Effect::CloseConnections);
        self.effects.extend(effects);
    }

    /// The version to be requested instead, where this one can't be used: something newer than that.
    fn take_configuration(
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
            Err(why) => {
                self.log_warning(format!(
                    "controllers: configuration {version} from {controller} on {base} came to nothing: {why}"
                ));
                return (base != 0).then_some(0);
            }
        };
        let earlier = self.routes.as_ref();
        let earlier = earlier.map(|routes| (self.body.as_slice(), routes.as_ref()));
        match RouteTable::read_incremental(&body, earlier) {
            Ok(routes) => self.apply_configuration(routes, body),
            Err(faults) => self.log_warning(format!(
                "controllers: configuration {version} from {controller} can't be used: {faults}"
            )),
        }
        None
    }

    /// Puts a configuration in force, with the bytes that it was read from. An older one that comes late changes
    /// nothing.
    pub fn apply_configuration(&mut self, routes: RouteTable, body: Vec<u8>) {
        if routes.version <= self.configuration_version() {
            return;
        }
        self.body = body;
        let version = routes.version;
        self.log(format!("proxy: configuration {version} is in force"));
        self.routes = Some(Rc::new(routes));
    }
}
