//! The lines to all offices: each is heard, one of them is this courier's home.

use crate::office::Office;
use crate::state::Courier;
use rookpulley_addressbook::Book;
use rookpulley_mailroom::line;
use rookpulley_settings::Node;
use rookpulley_waybill::{Down, Up};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// An office says something every 400 ms or so.
const QUIET: Duration = Duration::from_millis(2_500);
const DIAL: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// An office that nobody names for so long is no longer dialled.
const NAMED_MS: f64 = 60_000.0;
const OFFICES: usize = 64;
/// A configuration that was asked for is waited for this long.
const ASKED_MS: f64 = 300.0;

pub struct Links {
    offices: RefCell<BTreeMap<Ipv4Addr, Office>>,
    seeds: RefCell<Vec<SocketAddrV4>>,
    home: Cell<Option<Ipv4Addr>>,
}

impl Links {
    pub fn new(node: &Node) -> Links {
        Links { offices: RefCell::default(), seeds: RefCell::new(node.seeds.clone()), home: Cell::new(None) }
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        *self.seeds.borrow_mut() = seeds;
    }

    fn send(&self, office: Ipv4Addr, up: &Up) {
        if let Some(office) = self.offices.borrow_mut().get_mut(&office)
            && office.outbox.as_ref().is_some_and(|outbox| !outbox.send(up))
        {
            office.outbox = None;
        }
    }
}

/// What is due from time to time: lines to offices named anew, and another home where this one is no good.
pub fn tend(courier: &Rc<Courier>) {
    name_seeds(courier);
    choose_home(courier);
}

/// To the home, about once a second.
pub fn report(courier: &Courier) {
    let Some(home) = courier.links.home.get() else { return };
    let report = courier.tally.borrow_mut().report(courier.now_ms());
    courier.links.send(home, &Up::Report(report));
}

fn name_seeds(courier: &Rc<Courier>) {
    let seeds: Vec<Ipv4Addr> = courier.links.seeds.borrow().iter().map(|seed| *seed.ip()).collect();
    seeds.into_iter().for_each(|seed| named(courier, seed));
}

fn named(courier: &Rc<Courier>, office: Ipv4Addr) {
    let now_ms = courier.now_ms();
    let mut offices = courier.links.offices.borrow_mut();
    if let Some(known) = offices.get_mut(&office) {
        known.named_ms = now_ms;
    } else if offices.len() < OFFICES {
        offices.insert(office, Office { named_ms: now_ms, asked_ms: -ASKED_MS, ..Office::default() });
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
            if let Some(office) = courier.links.offices.borrow_mut().get_mut(&office) {
                (office.outbox, office.in_touch) = (None, false);
            }
            choose_home(&courier);
            if courier.now_ms() - begun_ms > 1_000.0 {
                pause = PAUSE;
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        let mut offices = courier.links.offices.borrow_mut();
        if offices.get(&office).is_none_or(|office| courier.now_ms() - office.named_ms > NAMED_MS) {
            offices.remove(&office);
            return;
        }
    }
}

fn opened(courier: &Courier, office: Ipv4Addr, outbox: line::Outbox) {
    let hello = Up::Hello {
        node: courier.node.name.clone(),
        zone: courier.node.zone.clone(),
        life: courier.life,
        home: courier.links.home.get() == Some(office),
        config: courier.version(),
        tables: courier.post.borrow().any(),
        gone: courier.post.borrow().all_gone(),
    };
    if let Some(known) = courier.links.offices.borrow_mut().get_mut(&office) {
        outbox.send(&hello);
        known.outbox = Some(outbox);
        known.touched_ms = courier.now_ms();
    }
}

fn take(courier: &Rc<Courier>, office: Ipv4Addr, down: Down) {
    match down {
        Down::Pulse { in_touch, config, couriers, offices } => {
            let now_ms = courier.now_ms();
            let mut want = false;
            if let Some(known) = courier.links.offices.borrow_mut().get_mut(&office) {
                known.in_touch = in_touch;
                if in_touch {
                    known.touched_ms = now_ms;
                }
                want = config > courier.version() && now_ms - known.asked_ms >= ASKED_MS;
                if want {
                    known.asked_ms = now_ms;
                }
            }
            if want {
                courier.links.send(office, &Up::WantConfig { have: courier.version() });
            }
            if couriers > 0 {
                courier.take_couriers(couriers);
            }
            offices.iter().for_each(|other| named(courier, *other.ip()));
            choose_home(courier);
        }
        Down::Config { version, body } if version > courier.version() => match Book::read(&body) {
            Ok(book) => courier.take_book(book),
            Err(faults) => {
                tracing::warn!("links: configuration {version} from {office} can't be used: {faults}")
            }
        },
        Down::Config { .. } => {}
        // Another office than the home may still think that it is the home.
        Down::Table { service, mark, lines, .. } if courier.links.home.get() == Some(office) => {
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

/// The home stays as long as it can be borne. All couriers choose by the same rank: the module that cuts their tables
/// then knows the whole of the demand, and hears of each task from all.
fn choose_home(courier: &Courier) {
    let (links, now_ms) = (&courier.links, courier.now_ms());
    let before = links.home.get();
    let chosen = {
        let offices = links.offices.borrow();
        if before.and_then(|home| offices.get(&home)).is_some_and(|home| home.bearable(now_ms)) {
            return;
        }
        let rank = |office: Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            office.hash(&mut hasher);
            hasher.finish()
        };
        offices.iter().filter(|(_, office)| office.fit()).map(|(&ip, _)| ip).max_by_key(|&ip| rank(ip))
    };
    let Some(chosen) = chosen else { return };
    if before == Some(chosen) {
        return;
    }
    links.home.set(Some(chosen));
    tracing::info!("links: {chosen} is the home");
    let (config, tables) = (courier.version(), courier.post.borrow().any());
    if let Some(before) = before {
        links.send(before, &Up::Home { home: false, config, tables });
    }
    links.send(chosen, &Up::Home { home: true, config, tables });
}
