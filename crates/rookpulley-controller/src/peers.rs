//! Connections between controllers. Each controller connects to every other one, and sends its messages only on the
//! connections that it opened.

use crate::proxy_sessions::ACCEPT_RETRY_DELAY;
use crate::server::Server;
use rookpulley_control::PeerMessage;
use rookpulley_runtime::{Backoff, connection};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay before a reconnect doubles with each failure, within these bounds.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Controllers send at least every two seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Keeps a connection to the controller at this address until the controller is no longer needed.
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
            let on_open = |outbox| server.peer_connected(ip, outbox);
            let reason = connection::run::<()>(stream, None, on_open, |()| ()).await;
            server.peer_disconnected(ip);
            tracing::info!("peers: the connection to {ip} {reason}");
        }
        let delay = tokio::time::sleep(backoff.next_delay());
        if unless_notified(delay, &is_alive).await.is_none() {
            backoff.reset();
        }
        if !server.is_peer_wanted(ip) {
            server.forget_peer(ip);
            return;
        }
    }
}

/// Waits for a future. Returns None if the peer has sent a message first, as a new attempt then succeeds at once.
async fn unless_notified<T>(future: impl Future<Output = T>, is_alive: &Notify) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = is_alive.notified() => None,
    }
}

/// Accepts connections of other controllers.
pub async fn listen(server: Rc<Server>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        connection::configure(&stream, connection::USER_TIMEOUT);
        tokio::task::spawn_local(serve(server.clone(), stream, from));
    }
}

async fn serve(server: Rc<Server>, stream: TcpStream, from: SocketAddr) {
    let mut sender = None;
    // Nothing is sent on this connection, but dropping the outbox would close it.
    let mut _outbox = None;
    let on_open = |opened| _outbox = Some(opened);
    let on_message = |message: PeerMessage| server.handle_peer_message(&mut sender, message);
    let reason = connection::run(stream, Some(SILENCE_TIMEOUT), on_open, on_message).await;
    if let Some(id) = sender {
        server.peer_session_ended(id);
    }
    tracing::debug!("peers: the connection from {from} {reason}");
}

#[cfg(test)]
mod tests;
