//! Test doubles of the discovery service, an HTTP API with a watch: one answers each call as the test scripts it, the
//! other serves a list by itself.

use crate::lists::list;
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

pub type Body = BoxBody<Bytes, std::io::Error>;

/// A call to the scripted discovery service and the channel for its response.
pub struct Call {
    pub path: String,
    pub answer: oneshot::Sender<hyper::Response<Body>>,
}

/// A discovery service whose calls the test answers one by one.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    pub calls: mpsc::UnboundedReceiver<Call>,
}

impl ScriptedDiscovery {
    pub async fn new() -> Self {
        Self::from_listener(TcpListener::bind("127.0.0.1:0").await.unwrap())
    }

    pub fn from_listener(listener: TcpListener) -> Self {
        let address = listener.local_addr().unwrap();
        let (sender, calls) = mpsc::unbounded_channel();
        spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let sender = sender.clone();
                let service = hyper::service::service_fn(move |req: hyper::Request<_>| {
                    let (answer, answered) = oneshot::channel();
                    let _: &hyper::body::Incoming = req.body();
                    _ = sender.send(Call {
                        path: req.uri().to_string(),
                        answer,
                    });
                    async move {
                        answered
                            .await
                            .map_err(|_| std::io::Error::other("no answer"))
                    }
                });
                spawn_local(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(socket), service),
                );
            }
        });
        Self { address, calls }
    }

    pub async fn call(&mut self) -> Call {
        self.calls.recv().await.unwrap()
    }

    /// Answers the next call with an open watch.
    pub async fn watch(&mut self) -> Watch {
        self.call().await.watch()
    }
}

/// An open response that streams list updates.
pub struct Watch(pub Sender<Bytes, std::io::Error>);

impl Watch {
    pub async fn send(&mut self, text: &str) {
        self.0
            .send_data(Bytes::from(text.to_string()))
            .await
            .unwrap();
    }
}

impl Call {
    pub fn watch(self) -> Watch {
        let (sender, body) = Channel::new(16);
        _ = self.answer.send(hyper::Response::new(body.boxed()));
        Watch(sender)
    }

    pub fn answer(self, status: u16, text: &str) {
        let body = Full::new(Bytes::from(text.to_string()))
            .map_err(std::io::Error::other)
            .boxed();
        _ = self.answer.send(
            hyper::Response::builder()
                .status(status)
                .body(body)
                .unwrap(),
        );
    }
}

/// Published lists with their index.
pub type Lists = Vec<(u64, String)>;

/// A discovery service that sends each watcher the lists published after the index that it names.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    lists: watch::Sender<Lists>,
}

impl DiscoveryServer {
    pub async fn new() -> Self {
        Self::from_listener(TcpListener::bind("127.0.0.1:0").await.unwrap())
    }

    pub fn from_listener(listener: TcpListener) -> Self {
        let mut discovery = ScriptedDiscovery::from_listener(listener);
        let (address, lists) = (discovery.address, watch::Sender::new(Lists::new()));
        let updates = lists.subscribe();
        spawn_local(async move {
            loop {
                let call = discovery.call().await;
                let since = call
                    .path
                    .rsplit_once("since=")
                    .and_then(|(_, n)| n.parse().ok())
                    .unwrap_or(0);
                spawn_local(Self::serve_watch(call.watch(), updates.clone(), since));
            }
        });
        Self { address, lists }
    }

    pub async fn serve_watch(mut watch: Watch, mut lists: watch::Receiver<Lists>, mut since: u64) {
        loop {
            let mut text = String::from("\n");
            let after = since;
            for (index, list) in lists
                .borrow_and_update()
                .iter()
                .filter(|(index, _)| *index > after)
            {
                text += list;
                since = since.max(*index);
            }
            if watch.0.send_data(Bytes::from(text)).await.is_err() {
                return;
            }
            _ = timeout(Duration::from_secs(1), lists.changed()).await;
        }
    }

    pub fn publish(&self, index: u64, whole: bool, servers: &[Value]) {
        self.lists
            .send_modify(|lists| lists.push((index, list(index, whole, servers))));
    }
}
