//! The lines to all offices: each is heard, one of them is this courier's home.

use crate::state::Courier;
use rookpulley_addressbook::Book;
use rookpulley_mailroom::line;
use rookpulley_round::{Move, Offices};
use rookpulley_settings::Node;
use rookpulley_waybill::frame::LONGEST;
use rookpulley_waybill::{Down, Up, unpack};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// An office says something every 400 ms or so.
const QUIET: Duration = Duration::from_millis(2_500);
const DIAL: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
pub struct Links {
    offices: RefCell<Offices>,
    lines: RefCell<BTreeMap<Ipv4Addr, line::Outbox>>,
    seeds: RefCell<Vec<SocketAddrV4>>,
}

impl Links {
    pub fn new(node: &Node) -> Links {
        let seeds = RefCell::new(node.seeds.clone());
        Links { offices: RefCell::default(), lines: RefCell::default(), seeds }
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        *self.seeds.borrow_mut() = seeds;
    }

    fn send(&self, office: Ipv4Addr, up: &Up) {
        let ended = self.lines.borrow().get(&office).is_some_and(|line| !line.send(up));
        if ended {
            self.lost(office);
        }
    }

    fn lost(&self, office: Ipv4Addr) {
        self.lines.borrow_mut().remove(&office);
        self.offices.borrow_mut().lost(office);
    }

    fn home(&self) -> Option<Ipv4Addr> {
        self.offices.borrow().home()
    }
}

/// What is due from time to time: lines to offices named anew, and another home where this one is no good.
pub fn tend(courier: &Rc<Courier>) {
    name_seeds(courier);
    choose_home(courier);
}

/// To the home, about once a second.
pub fn report(courier: &Courier) {
    let Some(home) = courier.links.home() else { return };
    let report = courier.tally.borrow_mut().report(courier.now_ms());
    courier.links.send(home, &Up::Report(report));
}

fn name_seeds(courier: &Rc<Courier>) {
    let seeds: Vec<Ipv4Addr> = courier.links.seeds.borrow().iter().map(|seed| *seed.ip()).collect();
    seeds.into_iter().for_each(|seed| named(courier, seed));
}

fn named(courier: &Rc<Courier>, office: Ipv4Addr) {
    let new = courier.links.offices.borrow_mut().named(courier.now_ms(), office);
    if new {
        tokio::task::spawn_local(keep(courier.clone(), office));
    }
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
                |outbox| opened(&courier, office, outbox),
                |down| {
                    take(&courier, office, down);
                },
            );
            let why = why.await;
            tracing::info!("links: the line to {office} {why}");
            courier.links.lost(office);
            choose_home(&courier);
            if courier.now_ms() - begun_ms > 1_000.0 {
                pause = PAUSE;
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        if courier.links.offices.borrow_mut().forgotten(courier.now_ms(), office) {
            return;
        }
    }
}

fn opened(courier: &Courier, office: Ipv4Addr, outbox: line::Outbox) {
    let hello = Up::Hello {
        node: courier.node.name.clone(),
        zone: courier.node.zone.clone(),
        home: courier.links.home() == Some(office),
        config: courier.version(),
        tables: courier.post.borrow().any(),
        gone: courier.post.borrow().all_gone(),
    };
    outbox.send(&hello);
    courier.links.lines.borrow_mut().insert(office, outbox);
    courier.links.offices.borrow_mut().connected(courier.now_ms(), office);
}

fn take(courier: &Rc<Courier>, office: Ipv4Addr, down: Down) {
    match down {
        Down::Pulse { in_touch, config, couriers, offices } => {
            let (now_ms, held) = (courier.now_ms(), courier.version());
            let want = courier.links.offices.borrow_mut().pulse(now_ms, office, in_touch, config, held);
            if want {
                courier.links.send(office, &Up::WantConfig { have: held });
            }
            if couriers > 0 {
                courier.take_couriers(couriers);
            }
            offices.iter().for_each(|other| named(courier, *other.ip()));
            choose_home(courier);
        }
        Down::Config { version, base, length, packed } => {
            let on = (base, length as usize);
            if let Some(have) = take_configuration(courier, office, version, on, &packed) {
                courier.links.send(office, &Up::WantConfig { have });
            }
        }
        // Another office than the home may still think that it is the home.
        Down::Table { service, mark, lines, .. } if courier.links.home() == Some(office) => {
            let left = courier.post.borrow_mut().table(&service, lines);
            left.iter().for_each(|life| courier.wires.forget(life));
            courier.links.send(office, &Up::Took { mark });
        }
        Down::Table { .. } => {}
        Down::Gone { lives } => {
            let news = courier.post.borrow_mut().gone(lives, courier.now_ms());
            news.iter().for_each(|life| courier.wires.forget(life));
        }
    }
}

/// What is to be asked for instead, where it can't be used: something newer than that.
fn take_configuration(
    courier: &Courier,
    office: Ipv4Addr,
    version: u64,
    (base, length): (u64, usize),
    packed: &[u8],
) -> Option<u64> {
    let held = courier.version();
    if version <= held {
        return None;
    }
    if base != 0 && base != held {
        return Some(held);
    }
    let unpacked =
        courier.with_edition(|bytes| unpack(packed, if base == 0 { &[] } else { bytes }, length, LONGEST));
    let body = match unpacked {
        Ok(body) => body,
        Err(why) => {
            tracing::warn!("links: configuration {version} from {office} on {base} came to nothing: {why}");
            return (base != 0).then_some(0);
        }
    };
    match Book::read(&body) {
        Ok(book) => courier.take_book(book, body),
        Err(faults) => tracing::warn!("links: configuration {version} from {office} can't be used: {faults}"),
    }
    None
}

fn choose_home(courier: &Courier) {
    let links = &courier.links;
    let moved = links.offices.borrow_mut().choose(courier.now_ms());
    let Some(Move { from, to }) = moved else { return };
    tracing::info!("links: {to} is the home");
    let (config, tables) = (courier.version(), courier.post.borrow().any());
    from.into_iter().for_each(|from| links.send(from, &Up::Home { home: false, config, tables }));
    links.send(to, &Up::Home { home: true, config, tables });
}
