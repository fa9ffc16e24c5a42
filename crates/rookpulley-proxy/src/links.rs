//! The lines to all controllers: each is heard, one of them is this proxy's home.

use crate::state::ProxyContext;
use rookpulley_protocol::ProxyToController;
use rookpulley_runtime::connection;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// A controller says something every 400 ms or so.
const QUIET: Duration = Duration::from_millis(2_500);
const DIAL: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

#[derive(Default)]
pub struct Links {
    lines: RefCell<BTreeMap<Ipv4Addr, connection::Outbox>>,
}

pub fn say(proxy: &Rc<ProxyContext>, controller: Ipv4Addr, up: &ProxyToController) {
    let ended = proxy
        .links
        .lines
        .borrow()
        .get(&controller)
        .is_some_and(|line| !line.send(up));
    if ended {
        lost(proxy, controller);
    }
}

fn lost(proxy: &Rc<ProxyContext>, controller: Ipv4Addr) {
    proxy.links.lines.borrow_mut().remove(&controller);
    proxy.with(|satchel, _| satchel.lost(controller));
}

pub fn dial(proxy: &Rc<ProxyContext>, controller: Ipv4Addr) {
    tokio::task::spawn_local(keep(proxy.clone(), controller));
}

/// Dials one controller again and again for as long as somebody names it.
async fn keep(proxy: Rc<ProxyContext>, controller: Ipv4Addr) {
    let to = SocketAddr::from((controller, proxy.node.inner_ports.0));
    let mut pause = PAUSE;
    loop {
        if let Ok(stream) = connection::connect(to, DIAL).await {
            let begun_ms = proxy.now_ms();
            let why = connection::run(
                stream,
                Some(QUIET),
                |outbox| {
                    proxy.links.lines.borrow_mut().insert(controller, outbox);
                    proxy.with(|satchel, now| satchel.opened(now, controller));
                },
                |down| proxy.with(|satchel, now| satchel.take(now, controller, down)),
            );
            let why = why.await;
            tracing::info!("links: the line to {controller} {why}");
            lost(&proxy, controller);
            proxy.with(|satchel, now| satchel.choose_home(now));
            if proxy.now_ms() - begun_ms > 1_000.0 {
                pause = PAUSE;
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        if proxy.with(|satchel, now| satchel.forgotten(now, controller)) {
            return;
        }
    }
}
