//! Tells the platform whether clients should come here.

use crate::context::ProxyContext;
use rookpulley_api::{Bounds, Call, Reply};
use std::future::ready;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Only the platform asks, now and then.
const MAX_CONNECTIONS: usize = 32;
const MAX_BODY_BYTES: usize = 64 << 10;

/// Answers until it is dropped.
pub async fn serve(proxy: Rc<ProxyContext>, listener: TcpListener) {
    let answer = move |_: Call| {
        let status = if proxy.is_ready() { 200 } else { 503 };
        ready(Reply::empty(status))
    };
    let bounds = Bounds {
        connections: MAX_CONNECTIONS,
        body_bytes: MAX_BODY_BYTES,
        bodies_bytes: MAX_BODY_BYTES,
        ..Bounds::default()
    };
    // It answers until the program ends: that the end has begun is what the platform asks for.
    let (_stop, stopped) = watch::channel(false);
    rookpulley_api::serve(listener, bounds, stopped, Rc::new(answer)).await;
}
