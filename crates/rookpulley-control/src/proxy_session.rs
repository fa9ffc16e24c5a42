//! The connection of a proxy.

use crate::effect::Effect;
use rookpulley_registry::ConfigurationHistory;

/// A proxy that is connected to this controller.
pub struct ProxySession {
    pub(crate) connection: u64,
    /// The proxy's zone.
    pub zone: String,
    /// Whether this controller is its primary: the one that publishes its tables.
    pub is_primary: bool,
    /// The configuration that it has once it has taken what was sent: the last that it named, or one sent since. 0: none.
    pub configuration: u64,
}

impl ProxySession {
    /// Sends the published configuration, if the proxy has an older one.
    pub(crate) fn send_newer(
        &mut self,
        history: &mut ConfigurationHistory,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(frame) = history.frame_for(self.configuration) {
            let connection = self.connection;
            effects.push(Effect::SendToProxy { connection, frame });
            self.configuration = history.published();
        }
    }
}
