//! Connections between controllers. Each controller connects to every other; what it says goes on the connection that it
//! made.

use crate::proxy_sessions::ACCEPT_RETRY;
use crate::server::Server;
use rookpulley_control::PeerMessage;
use rookpulley_runtime::connection;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause before connecting again doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// A controller says something every two seconds at least.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Keeps a connection to the controller at this address until it isn't wanted any more.
pub async fn keep_connected(server: Rc<Server>, ip: Ipv4Addr) {
    let to = SocketAddr::from((ip, server.peer_port()));
    let mut backoff = MIN_BACKOFF;
    loop {
        match connection::connect(to, CONNECT_TIMEOUT).await {
            Ok(stream) => {
                backoff = MIN_BACKOFF;
                let open = |outbox| server.peer_connected(ip, outbox);
                let why = connection::run::<()>(stream, None, open, |()| ()).await;
                server.peer_disconnected(ip);
                tracing::info!("peers: the connection to {ip} {why}");
            }
            Err(_) => backoff = (backoff * 2).min(MAX_BACKOFF),
        }
        let is_alive = server.peer_is_alive(ip);
        tokio::select! {
            () = tokio::time::sleep(backoff) => {}
            () = is_alive.notified() => backoff = MIN_BACKOFF,
        }
        if !server.is_peer_wanted(ip) {
            server.forget_peer(ip);
            return;
        }
    }
}

/// Takes connections of other controllers.
pub async fn listen(server: Rc<Server>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        connection::configure(&stream, connection::UNACKNOWLEDGED);
        tokio::task::spawn_local(serve(server.clone(), stream, from));
    }
}

async fn serve(server: Rc<Server>, stream: TcpStream, from: SocketAddr) {
    let mut sender = None;
    // Nothing is sent on this connection, but it ends with its outbox.
    let mut _outbox = None;
    let open = |opened| _outbox = Some(opened);
    let take = |message: PeerMessage| server.handle_peer_message(&mut sender, message);
    let why = connection::run(stream, Some(SILENCE_TIMEOUT), open, take).await;
    if let Some(id) = sender {
        server.peer_session_ended(id);
    }
    tracing::debug!("peers: the connection from {from} {why}");
}
