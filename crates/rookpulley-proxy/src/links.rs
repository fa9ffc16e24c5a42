//! The lines to all controllers: each is heard, one of them is this courier's home.

use crate::state::Courier;
use rookpulley_protocol::Up;
use rookpulley_runtime::line;
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
    lines: RefCell<BTreeMap<Ipv4Addr, line::Outbox>>,
}

pub fn say(courier: &Rc<Courier>, controller: Ipv4Addr, up: &Up) {
    let ended = courier
        .links
        .lines
        .borrow()
        .get(&controller)
        .is_some_and(|line| !line.send(up));
    if ended {
        lost(courier, controller);
    }
}

fn lost(courier: &Rc<Courier>, controller: Ipv4Addr) {
    courier.links.lines.borrow_mut().remove(&controller);
    courier.with(|satchel, _| satchel.lost(controller));
}

pub fn dial(courier: &Rc<Courier>, controller: Ipv4Addr) {
    tokio::task::spawn_local(keep(courier.clone(), controller));
}

/// Dials one controller again and again for as long as somebody names it.
async fn keep(courier: Rc<Courier>, controller: Ipv4Addr) {
    let to = SocketAddr::from((controller, courier.node.inner_ports.0));
    let mut pause = PAUSE;
    loop {
        if let Ok(stream) = line::dial(to, DIAL).await {
            let begun_ms = courier.now_ms();
            let why = line::run(
                stream,
                Some(QUIET),
                |outbox| {
                    courier.links.lines.borrow_mut().insert(controller, outbox);
                    courier.with(|satchel, now| satchel.opened(now, controller));
                },
                |down| courier.with(|satchel, now| satchel.take(now, controller, down)),
            );
            let why = why.await;
            tracing::info!("links: the line to {controller} {why}");
            lost(&courier, controller);
            courier.with(|satchel, now| satchel.choose_home(now));
            if courier.now_ms() - begun_ms > 1_000.0 {
                pause = PAUSE;
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        if courier.with(|satchel, now| satchel.forgotten(now, controller)) {
            return;
        }
    }
}
