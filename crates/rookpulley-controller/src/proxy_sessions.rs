//! Incoming connections of proxies and stateless controllers.
//!
//! They have no read timeout, as a proxy whose primary is another controller may stay silent for long. A lost
//! connection is detected by the writes to it.

use crate::server::{ClientSession, Server};
use rookpulley_protocol::ProxyToController;
use rookpulley_runtime::connection;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next attempt after a failed `accept`.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections, and serves each in its own task.
pub async fn listen(server: Rc<Server>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        connection::configure(&stream, connection::USER_TIMEOUT);
        tokio::task::spawn_local(serve(server.clone(), stream));
    }
}

async fn serve(server: Rc<Server>, stream: TcpStream) {
    let outbox = RefCell::new(None);
    let session: RefCell<Option<ClientSession>> = RefCell::new(None);
    let on_open = |opened| *outbox.borrow_mut() = Some(opened);
    let on_message = |message: ProxyToController| {
        let mut session = session.borrow_mut();
        match (message, session.as_ref()) {
            (message, Some(session)) => server.handle_client_message(session, message),
            (
                hello @ (ProxyToController::Hello(_) | ProxyToController::StatelessHello { .. }),
                None,
            ) => {
                if let Some(outbox) = outbox.borrow_mut().take() {
                    *session = server.client_connected(hello, outbox);
                }
            }
            (_, None) => {}
        }
    };
    let reason = connection::run::<ProxyToController>(stream, None, on_open, on_message).await;
    if let Some(session) = session.into_inner() {
        server.client_disconnected(&session);
        tracing::info!("proxies: the connection of {} {reason}", session.name);
    }
}

#[cfg(test)]
mod tests;
