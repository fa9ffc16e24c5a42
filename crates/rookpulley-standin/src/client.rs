//! A scripted client connection to the assigner.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a test waits for an expected event before it fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A client connection that joins as a proxy, reports as a collector or stays unidentified.
pub struct TestClient {
    pub socket: TcpStream,
    pub buffer: Vec<u8>,
    pub proxy: u32,
}

pub fn join_message(proxy: u32, fresh: bool) -> String {
    json!({"msg": "attach", "proxy": proxy, "zone": "a", "weight": 9.5, "fresh": fresh}).to_string()
}

pub const COLLECTOR_HELLO: &str = r#"{"msg":"telemetry","zone":"a"}"#;
pub const HEARTBEAT: &str = r#"{"msg":"hb"}"#;

impl TestClient {
    pub async fn connect(assigner: SocketAddr) -> Self {
        Self {
            socket: TcpStream::connect(assigner).await.unwrap(),
            buffer: Vec::new(),
            proxy: 0,
        }
    }

    pub async fn try_connect(assigner: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            socket: TcpStream::connect(assigner).await?,
            buffer: Vec::new(),
            proxy: 0,
        })
    }

    pub async fn join(assigner: SocketAddr, proxy: u32, fresh: bool) -> Self {
        let mut wire = Self {
            proxy,
            ..Self::connect(assigner).await
        };
        wire.send(&join_message(proxy, fresh)).await;
        wire
    }

    pub async fn send(&mut self, text: &str) {
        _ = self.socket.write_all(format!("{text}\n").as_bytes()).await;
    }

    /// Receives the next message; `None` once the connection is closed.
    pub async fn receive(&mut self) -> Option<Value> {
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Some(serde_json::from_slice(&line).unwrap());
            }
            let mut bytes = [0; 4096];
            match self.socket.read(&mut bytes).await {
                Ok(0) | Err(_) => return None,
                Ok(size) => self.buffer.extend_from_slice(&bytes[..size]),
            }
        }
    }

    /// Receives and acknowledges messages until one matches. `what` describes it in panic messages.
    pub async fn wait_for(&mut self, what: &str, matches: impl Fn(&Value) -> bool) -> Value {
        let matching = async {
            loop {
                let message = self
                    .receive()
                    .await
                    .unwrap_or_else(|| panic!("connection closed before {what}"));
                if let Some(mark) = message["ticket"].as_u64() {
                    let done =
                        json!({"msg": "done", "proxy": self.proxy, "mark": mark, "took_ms": 90.5});
                    self.send(&done.to_string()).await;
                }
                if matches(&message) {
                    return message;
                }
            }
        };
        timeout(EVENT_TIMEOUT, matching)
            .await
            .unwrap_or_else(|_| panic!("timed out waiting for {what}"))
    }

    /// Waits for the last part of a complete table.
    pub async fn wait_for_table(&mut self) -> Value {
        self.wait_for("a whole table", |m| m["whole"] == true && m["more"] != true)
            .await
    }

    /// Sends a heartbeat and returns whether it is answered before the connection closes.
    pub async fn heartbeat(&mut self) -> bool {
        self.send(HEARTBEAT).await;
        while let Some(message) = self.receive().await {
            if message["msg"] == "hb_ok" {
                return true;
            }
        }
        false
    }
}

/// Matches messages that withdraw the server.
pub fn withdraws(server: &str) -> impl Fn(&Value) -> bool + use<'_> {
    move |message| {
        message["out"]
            .as_array()
            .is_some_and(|out| out.iter().any(|s| s == server))
    }
}
