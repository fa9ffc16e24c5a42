//! Proxy connections: incoming messages, tables and drain announcements.

use super::Controller;
use crate::effect::Effect;
use crate::proxy_session::ProxySession;
use rookpulley_protocol::{
    ControllerToProxy, IncarnationId, ProxyHello, ProxyToController, encode_frame,
};
use rookpulley_registry::{InstanceUpdate, PublisherOutput};

/// Request rate assumed for every proxy, because proxies do not report it when they connect.
const REQUESTS_PER_S: f64 = 1.0;

impl Controller {
    /// Handles the hello of a proxy. `connection` must come from `next_number`.
    pub fn proxy_connected(&mut self, now: f64, connection: u64, hello: ProxyHello) {
        let ProxyHello {
            node,
            zone,
            is_primary,
            configuration,
            has_tables,
            gone,
        } = hello;
        self.roster.connected(&node);
        let session = ProxySession {
            connection,
            zone: zone.clone(),
            is_primary,
            configuration,
        };
        self.proxies.insert(node.clone(), session);
        self.tables.proxy_disconnected(now, &node);
        if is_primary {
            self.tables
                .proxy_connected(now, &node, &zone, REQUESTS_PER_S, has_tables);
        }
        self.merge_gone(now, &gone);
        let known_gone = ControllerToProxy::InstancesGone {
            incarnations: self.registry.gone_incarnations(),
        };
        for message in [self.status_message(now), known_gone] {
            let frame = encode_frame(&message);
            self.effects.push(Effect::SendToProxy { connection, frame });
        }
        if is_primary {
            self.send_configuration(now, &node);
            self.publish_tables(now);
        }
        let primary = if is_primary { " as its primary" } else { "" };
        self.log(format!("proxies: {node} in zone {zone} connected{primary}"));
    }

    /// Merges the gone incarnations that a proxy learned from this or other controllers.
    fn merge_gone(&mut self, now: f64, gone: &[IncarnationId]) {
        let new = self.registry.apply_gone(now, gone);
        if new.is_empty() {
            return;
        }
        let updates = new.iter().map(|incarnation| InstanceUpdate::Gone {
            incarnation: incarnation.clone(),
            age_ms: 0.0,
        });
        self.send_updates(updates.collect());
        self.announce_gone(now, new);
    }

    fn send_configuration(&mut self, now: f64, node: &str) {
        // Outside the chain the configuration may be stale, and a proxy without one would start with it.
        if !self.is_serving(now) {
            return;
        }
        if let Some(proxy) = self.proxies.get_mut(node) {
            proxy.send_newer(&mut self.history, &mut self.effects);
        }
    }

    /// Handles a message from a proxy.
    pub fn handle_proxy_message(
        &mut self,
        now: f64,
        node: &str,
        connection: u64,
        message: ProxyToController,
    ) {
        let is_serving = self.is_serving(now);
        let proxy = self.proxies.get_mut(node);
        let Some(proxy) = proxy.filter(|proxy| proxy.connection == connection) else {
            return;
        };
        match message {
            ProxyToController::PrimaryChanged {
                is_primary,
                configuration,
                has_tables,
            } => {
                proxy.is_primary = is_primary;
                proxy.configuration = configuration;
                self.tables.proxy_disconnected(now, node);
                if is_primary {
                    let zone = &proxy.zone;
                    self.tables
                        .proxy_connected(now, node, zone, REQUESTS_PER_S, has_tables);
                    if is_serving {
                        proxy.send_newer(&mut self.history, &mut self.effects);
                    }
                }
            }
            ProxyToController::RequestConfiguration { held } if is_serving => {
                proxy.configuration = held;
                proxy.send_newer(&mut self.history, &mut self.effects);
            }
            ProxyToController::Report(report) => self.tables.report(node, &report),
            ProxyToController::TablesApplied { up_to } => self.tables.tables_applied(node, up_to),
            ProxyToController::RequestVerification(request) => {
                self.handle_verification_request(now, node, connection, request);
            }
            ProxyToController::Usage(usage) => self.handle_usage(now, usage),
            ProxyToController::Hello(_)
            | ProxyToController::RequestConfiguration { .. }
            | ProxyToController::StatelessHello { .. }
            | ProxyToController::AppointFounder { .. } => {}
        }
    }

    /// Handles the end of a proxy connection.
    pub fn proxy_disconnected(&mut self, now: f64, node: &str, connection: u64) {
        let proxy = self.proxies.get(node);
        if proxy.is_some_and(|proxy| proxy.connection == connection) {
            self.proxies.remove(node);
            self.tables.proxy_disconnected(now, node);
            self.roster.disconnected(now, node);
            self.verifications.remove(connection);
        }
    }

    pub(super) fn send_to_all_proxies(&mut self, message: &ControllerToProxy) {
        let bytes = encode_frame(message);
        for proxy in self.proxies.values() {
            let connection = proxy.connection;
            let frame = bytes.clone();
            self.effects.push(Effect::SendToProxy { connection, frame });
        }
    }

    /// Announces to all proxies that these incarnations must not receive new requests.
    pub(super) fn announce_gone(&mut self, now: f64, incarnations: Vec<IncarnationId>) {
        if incarnations.is_empty() {
            return;
        }
        self.log(format!(
            "registry: {} draining or deregistered",
            incarnations.join(" ")
        ));
        self.counters.drains += incarnations.len() as u64;
        self.send_to_all_proxies(&ControllerToProxy::InstancesGone { incarnations });
        self.publish_tables(now);
    }

    /// Updates the tables from the registry and sends those that are due.
    pub(super) fn publish_tables(&mut self, now: f64) {
        self.tables.sync(now, &self.registry);
        for output in self.tables.tick(now) {
            match output {
                PublisherOutput::Table {
                    proxy,
                    service,
                    revision,
                    sequence,
                    entries,
                } => {
                    let Some(proxy) = self.proxies.get(&proxy) else {
                        continue;
                    };
                    let connection = proxy.connection;
                    let frame = encode_frame(&ControllerToProxy::Table {
                        service,
                        revision,
                        sequence,
                        entries,
                    });
                    self.effects.push(Effect::SendToProxy { connection, frame });
                }
                PublisherOutput::Log { service, text } => {
                    self.log(format!("tables: {service}: {text}"));
                }
            }
        }
    }
}
