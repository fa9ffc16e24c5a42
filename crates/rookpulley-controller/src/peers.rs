//! Connections between controllers. Each controller connects to every other; what it says goes on the connection that it
//! made.

use crate::proxy_sessions::ACCEPT_RETRY;
use crate::server::Server;
use rookpulley_control::PeerMessage;
use rookpulley_runtime::{Backoff, connection};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause before connecting again doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// A controller says something every two seconds at least.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Keeps a connection to the controller at this address until it isn't wanted any more.
pub async fn keep_connected(server: Rc<Server>, ip: Ipv4Addr) {
    let to = SocketAddr::from((ip, server.peer_port()));
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        let is_alive = server.peer_is_alive(ip);
        let connecting = connection::connect(to, CONNECT_TIMEOUT);
        let Some(connected) = unless_notified(connecting, &is_alive).await else {
            backoff.reset();
            continue;
        };
        if let Ok(stream) = connected {
            backoff.reset();
            let open = |outbox| server.peer_connected(ip, outbox);
            let why = connection::run::<()>(stream, None, open, |()| ()).await;
            server.peer_disconnected(ip);
            tracing::info!("peers: the connection to {ip} {why}");
        }
        let pause = tokio::time::sleep(backoff.next_delay());
        if unless_notified(pause, &is_alive).await.is_none() {
            backoff.reset();
        }
        if !server.is_peer_wanted(ip) {
            server.forget_peer(ip);
            return;
        }
    }
}

/// Waits for something. None: the peer has said something meanwhile, so a new attempt reaches it at once.
async fn unless_notified<T>(future: impl Future<Output = T>, is_alive: &Notify) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = is_alive.notified() => None,
    }
}

/// Takes connections of other controllers.
pub async fn listen(server: Rc<Server>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        connection::configure(&stream, connection::USER_TIMEOUT);
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

#[cfg(test)]
mod tests;
