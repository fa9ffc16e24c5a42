//! Stand-ins for the operators: what they order, whether it is taken, and what they read back.

use crate::callers::{Call, Who};
use crate::clients::kind_name;
use crate::record::{Config, ConfigurationRead, Put, Route};
use crate::tenants::Tenant;
use crate::world::{What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rookpulley_control::{Content, Endpoint, Reply};
use rookpulley_routes::RouteKind;
use std::fmt::Write;

#[derive(Default)]
pub struct Operator {
    /// The routes as the newest order has them.
    routes: Vec<Route>,
    pub newest: u64,
    names: u64,
    /// Routes that were dropped: clients still ask for them now and then.
    dropped: Vec<Route>,
}

/// A put is sent on for so long, a reading back for as long as it takes.
const KEEPS_ON: Us = 60 * S;

impl Operator {
    pub fn pick_route(&self, rng: &mut ChaCha8Rng) -> Option<Route> {
        if !self.dropped.is_empty() && rng.random_range(0..40u32) == 0 {
            return Some(self.dropped[rng.random_range(0..self.dropped.len())].clone());
        }
        (!self.routes.is_empty())
            .then(|| self.routes[rng.random_range(0..self.routes.len())].clone())
    }
}

impl World {
    pub fn begin_operator(&mut self) {
        for number in 0..6u64 {
            let kind = match number % 3 {
                0 => RouteKind::ReadOnly,
                1 => RouteKind::Mutating,
                _ if number == 5 => RouteKind::Download,
                _ => RouteKind::ReadOnly,
            };
            let route = self.new_route(kind);
            self.operator.routes.push(route);
        }
        self.after(100 * MS, None, What::Operate(0));
        self.after((self.day.length_ms - 4_000) * MS, None, What::ReadBack);
    }

    fn new_route(&mut self, kind: RouteKind) -> Route {
        self.operator.names += 1;
        let name = self.operator.names;
        let under = !self.operator.routes.is_empty() && self.chance(3);
        // At times below another one's prefix.
        let (host, prefix) = if under {
            let other = &self.operator.routes[self.rng.random_range(0..self.operator.routes.len())];
            (other.host.clone(), format!("{}r{name}/", other.prefix))
        } else {
            (format!("h{}.example", name % 3), format!("/r{name}/"))
        };
        let services = self.day.services;
        let first = self.rng.random_range(0..services);
        let mut targets = vec![(first, self.rng.random_range(1..=100u32))];
        let second = self.rng.random_range(0..services);
        if second != first && self.chance(3) {
            targets.push((second, self.rng.random_range(0..=60)));
        }
        let timeout_ms = self.rng.random_range(600..2_500);
        let attempts = self.rng.random_range(1..=3);
        let attempts = self.day.shape.attempts.unwrap_or(attempts);
        let is_public = self.tenants.draw_public_route();
        Route {
            name,
            host,
            prefix,
            kind,
            timeout_ms,
            attempts,
            targets,
            is_public,
        }
    }

    /// Another version of the routes.
    fn change(&mut self) -> Config {
        self.operator.newest += self.rng.random_range(1..=9u64);
        if self.operator.newest > 10 {
            for _ in 0..self.rng.random_range(1..=3u32) {
                self.change_one();
            }
            self.tenants.change();
        }
        self.newest_config()
    }

    /// The newest configuration.
    fn newest_config(&self) -> Config {
        Config {
            version: self.operator.newest,
            routes: self.operator.routes.clone(),
            services: self.day.services,
            tenants: self.tenants.all().to_vec(),
        }
    }

    /// The newest configuration under a version of its own.
    fn next_config(&mut self) -> Config {
        self.operator.newest += 1;
        self.newest_config()
    }

    fn change_one(&mut self) {
        let at = self.rng.random_range(0..self.operator.routes.len());
        match self.rng.random_range(0..6u32) {
            0 if self.operator.routes.len() > 4 => {
                let route = self.operator.routes.swap_remove(at);
                self.operator.dropped.push(route);
            }
            0 | 1 => {
                let kind = if self.chance(2) {
                    RouteKind::Mutating
                } else {
                    RouteKind::ReadOnly
                };
                let route = self.new_route(kind);
                self.operator.routes.push(route);
            }
            2 => self.operator.routes[at].timeout_ms = self.rng.random_range(600..2_500),
            _ => {
                let service = self.rng.random_range(0..self.day.services);
                self.operator.routes[at].targets = vec![(service, 100)];
            }
        }
    }

    fn put(&mut self, config: Config, valid: bool, machine: Option<usize>) {
        let body = if valid {
            written(&config)
        } else {
            let how = self.rng.random_range(0..5);
            match self.tenants.draw_shared_key() {
                Some(key) => with_shared_key(&written(&config), &key),
                None => spoilt(&written(&config), how),
            }
        };
        self.put_body(config, body, valid, machine);
    }

    fn put_body(&mut self, config: Config, body: String, valid: bool, machine: Option<usize>) {
        let number = self.record.puts.len();
        let version = config.version;
        self.say(|| format!("operator: put {number}, version {version}, valid {valid}"));
        let body_kept = body.clone();
        self.record.puts.push(Put {
            config,
            body: body_kept.into_bytes(),
            valid,
            sent: self.now,
            acked: None,
            machine: 0,
            refused: None,
        });
        let who = Who::Operator(number);
        match machine {
            Some(machine) => {
                let within = (KEEPS_ON, 0);
                self.call_at(
                    who,
                    Endpoint::PutConfiguration,
                    "",
                    body,
                    Vec::new(),
                    within,
                    machine,
                );
            }
            None => {
                _ = self.call(
                    who,
                    Endpoint::PutConfiguration,
                    "",
                    body,
                    Vec::new(),
                    (KEEPS_ON, 0),
                )
            }
        }
    }

    /// The first configuration, and then what the day says.
    pub fn operate(&mut self, what: usize) {
        use crate::event::Event;
        let Some(index) = what.checked_sub(1) else {
            let mut config = self.change();
            if self.day.shape.tenants_come_later {
                config.tenants.clear();
            }
            return self.put(config, true, None);
        };
        match self.day.events.get(index).map(|(_, event)| event.clone()) {
            Some(Event::Closing { how }) => {
                self.closing = Some((self.record.puts.len(), how));
                let config = self.change();
                self.put(config, true, None);
            }
            Some(Event::Retarget { kind }) => {
                for route in self
                    .operator
                    .routes
                    .iter_mut()
                    .filter(|route| route.kind == kind)
                {
                    let (service, _) = route.targets[0];
                    route.targets = vec![((service + 1) % self.day.services, 100)];
                }
                let config = self.next_config();
                self.put(config, true, None);
            }
            Some(Event::Revoke { last }) => {
                if self.tenants.revoke(last) {
                    let config = self.next_config();
                    self.put(config, true, None);
                }
            }
            Some(Event::RemoveTenant) => {
                if self.tenants.remove() {
                    let config = self.next_config();
                    self.put(config, true, None);
                }
            }
            Some(Event::PassKey) => {
                if self.tenants.pass_key() {
                    let config = self.next_config();
                    self.put(config, true, None);
                }
            }
            Some(Event::Race) => {
                let core = self.callable();
                for machine in [core[0], core[core.len() - 1]] {
                    let config = self.change();
                    self.put(config, true, Some(machine));
                }
            }
            Some(Event::Storm { count }) => {
                for _ in 0..count {
                    let config = self.change();
                    self.put(config, true, None);
                }
            }
            Some(Event::Invalid) => {
                let mut config = self.change();
                // Its number goes to nothing that holds.
                config.version += 1;
                self.operator.newest += 1;
                self.put(config, false, None);
            }
            Some(Event::Again) => {
                let valid: Vec<usize> = (0..self.record.puts.len())
                    .filter(|put| self.record.puts[*put].valid)
                    .collect();
                if !valid.is_empty() {
                    let of = &self.record.puts[valid[self.rng.random_range(0..valid.len())]];
                    let (config, body) = (
                        of.config.clone(),
                        String::from_utf8_lossy(&of.body).into_owned(),
                    );
                    self.put_body(config, body, true, None);
                }
            }
            _ => {
                let config = self.change();
                self.put(config, true, None);
            }
        }
    }

    pub fn put_ended(&mut self, put: usize, call: &Call, reply: Option<&Reply>) {
        let now = self.now;
        let version = self.record.puts[put].config.version;
        self.say(|| {
            format!(
                "operator: put {put}, version {version}: {:?}",
                reply.map(|r| r.status)
            )
        });
        let of = &mut self.record.puts[put];
        of.machine = call.machine;
        match reply.map(|reply| reply.status) {
            Some(200) => {
                of.acked = Some(now);
                if let Some((_, how)) = self.closing.take_if(|(of, _)| *of == put) {
                    self.close(how);
                }
            }
            Some(status) => of.refused = Some(status),
            None => {}
        }
    }

    pub fn read_back(&mut self) {
        self.record.read_back_asked = Some(self.now);
        self.call(
            Who::ReadBack,
            Endpoint::GetConfiguration,
            "",
            String::new(),
            Vec::new(),
            (3_500 * MS, 0),
        );
    }

    pub fn read_back_ended(&mut self, _: &Call, reply: Option<&Reply>) {
        self.record.read_back = configuration_of(reply);
    }

    /// Asks each controller once for the configuration: what one of them can't answer no other one is asked for.
    pub fn read_everywhere(&mut self) {
        for machine in self.callable() {
            let read = self.record.reads.len();
            self.record.reads.push(ConfigurationRead {
                sent: self.now,
                machine,
                body: None,
            });
            self.call_at(
                Who::Read(read),
                Endpoint::GetConfiguration,
                "",
                String::new(),
                Vec::new(),
                (0, 0),
                machine,
            );
        }
    }
}

/// The configuration in a reply; None: there is none.
pub fn configuration_of(reply: Option<&Reply>) -> Option<Vec<u8>> {
    match reply.map(|reply| &reply.content) {
        Some(Content::Bytes(bytes)) => Some(bytes.clone()),
        _ => None,
    }
}

/// As JSON, as operators send it.
fn written(config: &Config) -> String {
    let mut text = format!("{{\"configVersion\":{},\"services\":[", config.version);
    for service in 0..config.services {
        let comma = if service > 0 { "," } else { "" };
        _ = write!(
            text,
            "{comma}{{\"name\":\"svc{service}\",\"healthCheckPath\":\"/health\",\"maxConnections\":{},\
             \"protocol\":\"h1\",\"tlsEnabled\":false}}",
            crate::tasks::MOST_WIRES
        );
    }
    text.push_str("],");
    write_tenants(&mut text, &config.tenants);
    text.push_str(
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000},\"hostnames\":[",
    );
    let mut hosts: Vec<&String> = config.routes.iter().map(|route| &route.host).collect();
    hosts.sort();
    hosts.dedup();
    for (at, host) in hosts.iter().enumerate() {
        let comma = if at > 0 { "," } else { "" };
        _ = write!(text, "{comma}{{\"hostname\":\"{host}\",\"pathRules\":[");
        for (at, route) in config
            .routes
            .iter()
            .filter(|route| route.host == **host)
            .enumerate()
        {
            let comma = if at > 0 { "," } else { "" };
            _ = write!(
                text,
                "{comma}{{\"name\":\"r{}\",\"pathPrefix\":\"{}\",\"routeKind\":\"{}\",\"timeoutMs\":{},\
                 \"targetLatencyMs\":150,\"priority\":1,\"maxAttempts\":{},",
                route.name,
                route.prefix,
                kind_name(route.kind),
                route.timeout_ms,
                route.attempts
            );
            if route.is_public {
                text.push_str("\"publicAccess\":true,");
            }
            if let [(service, _)] = route.targets[..] {
                _ = write!(text, "\"targetService\":\"svc{service}\"}}");
                continue;
            }
            text.push_str("\"trafficSplit\":[");
            for (at, (service, weight)) in route.targets.iter().enumerate() {
                let comma = if at > 0 { "," } else { "" };
                _ = write!(
                    text,
                    "{comma}{{\"targetService\":\"svc{service}\",\"weight\":{weight}}}"
                );
            }
            text.push_str("]}");
        }
        text.push_str("]}");
    }
    text.push_str("]}");
    text
}

/// Writes the member with the tenants, if there are any.
fn write_tenants(text: &mut String, tenants: &[Tenant]) {
    if tenants.is_empty() {
        return;
    }
    let written: Vec<String> = tenants.iter().map(written_tenant).collect();
    _ = write!(text, "\"tenants\":[{}],", written.join(","));
}

fn written_tenant(tenant: &Tenant) -> String {
    let keys: Vec<String> = tenant.keys.iter().map(|key| format!("\"{key}\"")).collect();
    let (name, keys) = (&tenant.name, keys.join(","));
    format!("{{\"name\":\"{name}\",\"apiKeys\":[{keys}]}}")
}

/// A configuration in which a second tenant has this key, which must be refused.
fn with_shared_key(body: &str, key: &str) -> String {
    let second = Tenant {
        name: "second".into(),
        keys: vec![key.into()],
    };
    let with_second = format!("\"tenants\":[{},", written_tenant(&second));
    body.replacen("\"tenants\":[", &with_second, 1)
}

/// What must be refused.
fn spoilt(body: &str, how: u32) -> String {
    match how {
        0 => body[..body.len() - 2].to_string(),
        1 => body.replacen("\"targetService\":\"svc", "\"targetService\":\"nowhere", 1),
        2 => body.replacen("\"maxAttempts\":", "\"maxAttempts\":0,\"was\":", 1),
        3 => body.replacen("\"hostname\":\"h", "\"hostname\":\"\",\"was\":\"h", 1),
        _ => body.replacen("\"configVersion\":", "\"configVersion\":\"x\",\"was\":", 1),
    }
}
