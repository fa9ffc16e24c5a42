//! The readiness endpoint polled by the platform.

use crate::context::ProxyContext;
use rookpulley_api::{Bounds, Call, Reply};
use std::future::ready;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;

const MAX_CONNECTIONS: usize = 32;
const MAX_BODY_BYTES: usize = 64 << 10;

/// Serves readiness checks until the task is dropped.
pub async fn serve(proxy: Rc<ProxyContext>, listener: TcpListener) {
    let respond = move |_: Call| {
        let status = if proxy.is_ready() { 200 } else { 503 };
        ready(Reply::empty(status))
    };
    let bounds = Bounds {
        connections: MAX_CONNECTIONS,
        body_bytes: MAX_BODY_BYTES,
        bodies_bytes: MAX_BODY_BYTES,
        ..Bounds::default()
    };
    // Never stopped: the endpoint has to report 503 during shutdown.
    let (_stop_sender, stop_receiver) = watch::channel(false);
    rookpulley_api::serve(listener, bounds, stop_receiver, Rc::new(respond)).await;
}
