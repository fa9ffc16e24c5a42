//! Publication of the configuration to proxies.

use super::Controller;
use crate::effect::Effect;
use rookpulley_protocol::{ControllerToProxy, encode_frame};
use rookpulley_registry::Service;
use rookpulley_routes::RouteTable;

impl Controller {
    /// The published configuration with its bytes.
    pub fn configuration(&self) -> Option<(&[u8], &RouteTable)> {
        self.history.published_body().zip(self.routes.as_ref())
    }

    /// Publishes the configuration of the replicated state if it is newer than the published one and the rate limit
    /// permits. It is added to the history immediately. A configuration loaded at the start is published only once this
    /// controller is serving or has applied an update, because it may be stale and a proxy without one would start with
    /// it.
    pub(super) fn publish_configuration(&mut self, now: f64) {
        if self.state().version() <= self.history.published() {
            return;
        }
        let Some((version, body)) = self.chain.state().machine.configuration() else {
            return;
        };
        self.history.add(version, body);
        let may_publish = self.has_applied_update || self.is_serving(now);
        if !self.pacer.is_due(now) || !may_publish {
            return;
        }
        let body = body.to_vec();
        self.pacer.published(now, body.len());
        self.set_services(&body);
        self.history.publish();
        let status = encode_frame(&self.status_message(now));
        for proxy in self.proxies.values_mut() {
            if proxy.is_primary {
                proxy.send_newer(&mut self.history, &mut self.effects);
            } else {
                let connection = proxy.connection;
                let frame = status.clone();
                self.effects.push(Effect::SendToProxy { connection, frame });
            }
        }
        self.log(format!("state: published configuration {version}"));
        self.publish_tables(now);
    }

    /// Updates the services of the tables. The configuration is parsed incrementally against the published one.
    fn set_services(&mut self, body: &[u8]) {
        let routes = match RouteTable::read_incremental(body, self.configuration()) {
            Ok(routes) => routes,
            Err(error) => {
                let line = format!("state: cannot parse the stored configuration: {error}");
                return self.effects.push(Effect::LogError(line));
            }
        };
        let services = routes.services.iter().enumerate();
        let services = services.map(|(index, service)| Service {
            name: service.name.clone(),
            max_connections: service.max_connections,
            latency_target_ms: routes.min_latency_target_ms(index).unwrap_or(0.0),
        });
        self.tables.set_services(&services.collect::<Vec<_>>());
        self.routes = Some(routes);
    }

    /// Builds the status sent to proxies and stateless controllers.
    pub(super) fn status_message(&self, now: f64) -> ControllerToProxy {
        // Advertise the configuration only while it can be requested from this controller.
        let is_serving = self.is_serving(now);
        ControllerToProxy::Status {
            in_touch: self.in_touch(now) && !self.is_shutting_down,
            configuration: if is_serving {
                self.history.published()
            } else {
                0
            },
            proxies: self.roster.count(),
            controllers: self.known_controllers(),
        }
    }
}
