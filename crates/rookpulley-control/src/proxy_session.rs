//! State of a proxy connection.

use crate::effect::Effect;
use rookpulley_registry::ConfigurationHistory;

/// A proxy that is connected to this controller.
pub struct ProxySession {
    pub(crate) connection: u64,
    /// The proxy's zone.
    pub zone: String,
    /// Whether this controller is the proxy's primary, which publishes its tables.
    pub is_primary: bool,
    /// Version of the configuration last reported by or sent to the proxy, or 0 if there is none.
    pub configuration: u64,
}

impl ProxySession {
    /// Sends the published configuration if the proxy's version is older.
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
