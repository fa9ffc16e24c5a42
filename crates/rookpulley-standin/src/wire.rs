//! A connection to the assigner, by hand: a proxy, a collector or a stranger.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Nothing here takes so long unless it never comes.
pub const LONG: Duration = Duration::from_secs(30);

/// A connection to the assigner: a proxy, a collector or a stranger.
pub struct Wire {
    pub socket: TcpStream,
    pub held: Vec<u8>,
    pub proxy: u32,
}

pub fn joining(proxy: u32, fresh: bool) -> String {
    json!({"msg": "attach", "proxy": proxy, "zone": "a", "weight": 9.5, "fresh": fresh}).to_string()
}

pub const COLLECTOR: &str = r#"{"msg":"telemetry","zone":"a"}"#;
pub const BEAT: &str = r#"{"msg":"hb"}"#;

impl Wire {
    pub async fn dial(place: SocketAddr) -> Self {
        Self {
            socket: TcpStream::connect(place).await.unwrap(),
            held: Vec::new(),
            proxy: 0,
        }
    }

    pub async fn try_dial(place: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            socket: TcpStream::connect(place).await?,
            held: Vec::new(),
            proxy: 0,
        })
    }

    pub async fn join(place: SocketAddr, proxy: u32, fresh: bool) -> Self {
        let mut wire = Self {
            proxy,
            ..Self::dial(place).await
        };
        wire.say(&joining(proxy, fresh)).await;
        wire
    }

    pub async fn say(&mut self, text: &str) {
        _ = self.socket.write_all(format!("{text}\n").as_bytes()).await;
    }

    /// The next message; None once the connection has ended.
    pub async fn hear(&mut self) -> Option<Value> {
        loop {
            if let Some(at) = self.held.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.held.drain(..=at).collect();
                return Some(serde_json::from_slice(&line).unwrap());
            }
            let mut bytes = [0; 4096];
            match self.socket.read(&mut bytes).await {
                Ok(0) | Err(_) => return None,
                Ok(size) => self.held.extend_from_slice(&bytes[..size]),
            }
        }
    }

    /// Hears messages, answering their marks, up to one for which this holds.
    pub async fn until(&mut self, what: &str, holds: impl Fn(&Value) -> bool) -> Value {
        let listen = async {
            loop {
                let message = self
                    .hear()
                    .await
                    .unwrap_or_else(|| panic!("ended before {what}"));
                if let Some(mark) = message["ticket"].as_u64() {
                    let done =
                        json!({"msg": "done", "proxy": self.proxy, "mark": mark, "took_ms": 90.5});
                    self.say(&done.to_string()).await;
                }
                if holds(&message) {
                    return message;
                }
            }
        };
        timeout(LONG, listen)
            .await
            .unwrap_or_else(|_| panic!("waited long for {what}"))
    }

    pub async fn table(&mut self) -> Value {
        self.until("a whole table", |m| m["whole"] == true && m["more"] != true)
            .await
    }

    pub async fn beats(&mut self) -> bool {
        self.say(BEAT).await;
        while let Some(message) = self.hear().await {
            if message["msg"] == "hb_ok" {
                return true;
            }
        }
        false
    }
}

pub fn names(server: &str) -> impl Fn(&Value) -> bool + use<'_> {
    move |message| {
        message["out"]
            .as_array()
            .is_some_and(|out| out.iter().any(|s| s == server))
    }
}
