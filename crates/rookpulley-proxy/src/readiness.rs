//! Tells the platform whether clients should come here.

use crate::state::ProxyContext;
use rookpulley_api::{Bounds, Call, Reply};
use std::future::ready;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Only the platform asks, now and then.
const CONNECTIONS: usize = 32;
const BODY: usize = 64 << 10;

pub async fn serve(proxy: Rc<ProxyContext>, listener: TcpListener) {
    let answer = move |_: Call| ready(Reply::empty(if proxy.ready() { 200 } else { 503 }));
    let bounds = Bounds {
        connections: CONNECTIONS,
        body_bytes: BODY,
        bodies_bytes: BODY,
        ..Bounds::default()
    };
    // It answers until the program ends: that the end has begun is what the platform asks for.
    let (_stop, stopped) = watch::channel(false);
    rookpulley_api::serve(listener, bounds, stopped, Rc::new(answer)).await;
}
