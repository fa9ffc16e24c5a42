//! Connections of proxies, and of controllers without a disk.
//!
//! A proxy whose primary is another controller says nothing here for long; that it is there shows in what is written to
//! it.

use crate::server::{ClientSession, Server};
use rookpulley_protocol::ProxyToController;
use rookpulley_runtime::connection;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// After a connection could not be accepted.
pub const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Takes connections for as long as the listener is there.
pub async fn listen(server: Rc<Server>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        connection::configure(&stream, connection::USER_TIMEOUT);
        tokio::task::spawn_local(serve(server.clone(), stream));
    }
}

async fn serve(server: Rc<Server>, stream: TcpStream) {
    let outbox = RefCell::new(None);
    let session: RefCell<Option<ClientSession>> = RefCell::new(None);
    let open = |opened| *outbox.borrow_mut() = Some(opened);
    let take = |message: ProxyToController| {
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
    let why = connection::run::<ProxyToController>(stream, None, open, take).await;
    if let Some(session) = session.into_inner() {
        server.client_disconnected(&session);
        tracing::info!("proxies: the connection of {} {why}", session.name);
    }
}

#[cfg(test)]
mod tests;
