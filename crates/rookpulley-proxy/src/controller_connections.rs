//! Maintains a connection to each known controller.

use crate::context::ProxyContext;
use rookpulley_protocol::ProxyToController;
use rookpulley_proxy_core::ProxyState;
use rookpulley_runtime::{Backoff, connection};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// A connection is closed after this much silence; a controller sends its status about every 400
/// ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The backoff is reset after a connection that lasted at least this long.
const STABLE_CONNECTION_MS: f64 = 1_000.0;

impl ProxyContext {
    pub(crate) fn send_to_controller(
        self: &Rc<Self>,
        controller: Ipv4Addr,
        message: &ProxyToController,
    ) {
        let is_closed = {
            let controllers = self.controllers.borrow();
            let outbox = controllers.get(&controller);
            outbox.is_some_and(|outbox| !outbox.send(message))
        };
        if is_closed {
            self.controller_disconnected(controller);
        }
    }

    fn controller_disconnected(self: &Rc<Self>, controller: Ipv4Addr) {
        self.controllers.borrow_mut().remove(&controller);
        self.step(|state, _| state.controller_disconnected(controller));
    }

    pub(crate) fn connect_to_controller(self: &Rc<Self>, controller: Ipv4Addr) {
        tokio::task::spawn_local(keep_connected(self.clone(), controller));
    }
}

/// Keeps reconnecting to a controller until it is no longer known.
async fn keep_connected(proxy: Rc<ProxyContext>, controller: Ipv4Addr) {
    let to = SocketAddr::from((controller, proxy.node.internal_ports.0));
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        if let Ok(stream) = connection::connect(to, CONNECT_TIMEOUT).await {
            let connected_ms = proxy.now_ms();
            let end = connection::run(
                stream,
                Some(SILENCE_TIMEOUT),
                |outbox| {
                    proxy.controllers.borrow_mut().insert(controller, outbox);
                    proxy.step(|state, now| state.controller_connected(now, controller));
                },
                |message| {
                    proxy.step(|state, now| {
                        state.handle_controller_message(now, controller, message);
                    });
                },
            );
            let end = end.await;
            tracing::info!("controllers: the connection to {controller} {end}");
            proxy.controller_disconnected(controller);
            proxy.step(ProxyState::choose_primary);
            if proxy.now_ms() - connected_ms > STABLE_CONNECTION_MS {
                backoff.reset();
            }
        }
        tokio::time::sleep(backoff.next_delay()).await;
        if proxy.step(|state, now| state.remove_if_expired(now, controller)) {
            return;
        }
    }
}
