//! Reloads the configuration file on SIGHUP.

use crate::config::{self, Config};
use crate::driver::Context;
use crate::list_client::ListClient;
use crate::log_event;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// The configuration path and the field values that cannot change at runtime.
pub struct ConfigReloader {
    pub path: PathBuf,
    pub static_fields: BTreeMap<String, Value>,
}

impl ConfigReloader {
    /// Applies the configuration after each SIGHUP. An invalid file changes nothing.
    pub async fn run(self, mut hangup: Signal, list_client: Rc<ListClient>, ctx: Rc<Context>) {
        while hangup.recv().await.is_some() {
            let path = self.path.clone();
            // Read on a blocking thread so that a slow disk does not stall the event loop.
            let read =
                tokio::task::spawn_blocking(move || config::load(&path).map_err(|e| e.to_string()));
            match read.await.unwrap_or_else(|e| Err(e.to_string())) {
                Ok(config) => self.apply(config, &list_client, &ctx),
                Err(error) => {
                    ctx.counters.inc("configurations refused");
                    log_event!(
                        ctx.log,
                        "configuration",
                        "{error}; keeping the current configuration"
                    );
                }
            }
        }
    }

    fn apply(&self, config: Config, list_client: &Rc<ListClient>, ctx: &Context) {
        let names = self.static_fields.keys().chain(
            config
                .static_fields
                .keys()
                .filter(|f| !self.static_fields.contains_key(*f)),
        );
        let changed: Vec<&str> = names
            .filter(|f| self.static_fields.get(*f) != config.static_fields.get(*f))
            .map(String::as_str)
            .collect();
        if !changed.is_empty() {
            let fields = changed.join(", ");
            log_event!(
                ctx.log,
                "configuration",
                "{fields} cannot change at runtime; restart to apply"
            );
        }
        ctx.counters.inc("configurations taken");
        log_event!(
            ctx.log,
            "configuration",
            "applied, discovery at {}",
            config.discovery
        );
        list_client.set_address(config.discovery);
    }
}
