//! The lines to all offices: each is heard, one of them is this courier's home.

use crate::state::Courier;
use rookpulley_protocol::Up;
use rookpulley_runtime::line;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// An office says something every 400 ms or so.
const QUIET: Duration = Duration::from_millis(2_500);
const DIAL: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

#[derive(Default)]
pub struct Links {
    lines: RefCell<BTreeMap<Ipv4Addr, line::Outbox>>,
}

pub fn say(courier: &Rc<Courier>, office: Ipv4Addr, up: &Up) {
    let ended = courier
        .links
        .lines
        .borrow()
        .get(&office)
        .is_some_and(|line| !line.send(up));
    if ended {
        lost(courier, office);
    }
}

fn lost(courier: &Rc<Courier>, office: Ipv4Addr) {
    courier.links.lines.borrow_mut().remove(&office);
    courier.with(|satchel, _| satchel.lost(office));
}

pub fn dial(courier: &Rc<Courier>, office: Ipv4Addr) {
    tokio::task::spawn_local(keep(courier.clone(), office));
}

/// Dials one office again and again for as long as somebody names it.
async fn keep(courier: Rc<Courier>, office: Ipv4Addr) {
    let to = SocketAddr::from((office, courier.node.inner_ports.0));
    let mut pause = PAUSE;
    loop {
        if let Ok(stream) = line::dial(to, DIAL).await {
            let begun_ms = courier.now_ms();
            let why = line::run(
                stream,
                Some(QUIET),
                |outbox| {
                    courier.links.lines.borrow_mut().insert(office, outbox);
                    courier.with(|satchel, now| satchel.opened(now, office));
                },
                |down| courier.with(|satchel, now| satchel.take(now, office, down)),
            );
            let why = why.await;
            tracing::info!("links: the line to {office} {why}");
            lost(&courier, office);
            courier.with(|satchel, now| satchel.choose_home(now));
            if courier.now_ms() - begun_ms > 1_000.0 {
                pause = PAUSE;
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        if courier.with(|satchel, now| satchel.forgotten(now, office)) {
            return;
        }
    }
}
