//! Connections to controllers that a client keeps open and uses until they fail.

use crate::control_client::REPLY_TIMEOUT;
use crate::transport::{Answer, Connection, Outcome};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use tokio::time::Instant;

/// One open connection for each controller that was called.
#[derive(Default)]
pub struct KeptConnections {
    connections: HashMap<SocketAddrV4, Connection>,
}

impl KeptConnections {
    /// Opens a connection to a controller, unless one is open. None: it can't be reached.
    pub async fn connect(&mut self, to: SocketAddrV4) -> Option<()> {
        let kept = self.connections.remove(&to).filter(Connection::is_open);
        let connection = match kept {
            Some(connection) => connection,
            None => Connection::connect(to).await?,
        };
        self.connections.insert(to, connection);
        Some(())
    }

    /// Calls a controller, on the connection kept to it if there is one. None: the outcome is unknown.
    pub async fn call(
        &mut self,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Answer> {
        self.connect(to).await?;
        let mut connection = self.connections.remove(&to)?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, to.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_owned())))
            .ok()?;
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let Outcome::Complete(answer) = connection.send(request, deadline).await else {
            return None;
        };
        self.connections.insert(to, connection);
        Some(answer)
    }

    /// Closes all connections.
    pub fn close(&mut self) {
        self.connections.clear();
    }
}
