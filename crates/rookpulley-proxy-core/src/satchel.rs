//! What a proxy holds: the configuration, tables and drains as controllers tell them, and what pays for further tries.

use crate::tally::Tally;
use rookpulley_balancer::{Budget, ControllerSelection, Fleet, Move, Post};
use rookpulley_protocol::frame::LONGEST;
use rookpulley_protocol::{
    ControllerToProxy, IncarnationId, ProxyHello, ProxyToController, unpack,
};
use rookpulley_routes::RouteTable;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// A line to this controller is to be kept until it is forgotten.
    Dial(Ipv4Addr),
    /// To a controller, on its line.
    Say(Ipv4Addr, ProxyToController),
    /// No connection to this incarnation is to be used again.
    Forget(IncarnationId),
    Log(String),
    /// Something is wrong.
    Complain(String),
}

pub struct Satchel {
    name: String,
    zone: String,
    ratio: f64,
    slack: f64,
    seeds: Vec<Ipv4Addr>,
    book: Option<Rc<RouteTable>>,
    /// The bytes that it was read from: newer ones come as what differs.
    edition: Vec<u8>,
    pub post: Post,
    budgets: HashMap<String, Budget>,
    fleet: Fleet,
    pub(crate) tally: Tally,
    controllers: ControllerSelection,
    pub ending: bool,
    out: Vec<Effect>,
}

impl Satchel {
    /// `ratio` and `slack`: what further tries a service may get from all proxies.
    pub fn new(
        name: &str,
        zone: &str,
        seeds: Vec<Ipv4Addr>,
        (ratio, slack): (f64, f64),
        seed: u64,
    ) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            ratio,
            slack,
            seeds,
            book: None,
            edition: Vec::new(),
            post: Post::new(zone, seed),
            budgets: HashMap::new(),
            fleet: Fleet::default(),
            tally: Tally::default(),
            controllers: ControllerSelection::default(),
            ending: false,
            out: Vec::new(),
        }
    }

    /// What came of all inputs since the last time.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    pub fn book(&self) -> Option<Rc<RouteTable>> {
        self.book.clone()
    }

    pub fn version(&self) -> u64 {
        self.book.as_ref().map_or(0, |book| book.version)
    }

    /// Within an incarnation the version only rises: an older configuration that comes late changes nothing.
    pub fn take_book(&mut self, book: RouteTable, edition: Vec<u8>) {
        if book.version > self.version() {
            self.edition = edition;
            self.out.push(Effect::Log(format!(
                "proxy: configuration {} is in force",
                book.version
            )));
            self.book = Some(Rc::new(book));
        }
    }

    pub fn ready(&self) -> bool {
        !self.ending && self.book.is_some() && self.post.any()
    }

    pub fn fleet(&self) -> Fleet {
        self.fleet
    }

    pub fn take_proxies(&mut self, now: f64, heard: u32) {
        if self.fleet.heard(now, heard) {
            let proxies = self.fleet.proxies();
            self.budgets
                .values_mut()
                .for_each(|budget| budget.shared_by(proxies));
        }
    }

    pub fn budget<T>(&mut self, service: &str, with: impl FnOnce(&mut Budget) -> T) -> T {
        if let Some(budget) = self.budgets.get_mut(service) {
            return with(budget);
        }
        let budget = self
            .budgets
            .entry(service.to_owned())
            .or_insert(Budget::new(self.ratio, self.slack));
        if self.fleet.proxies() > 0 {
            budget.shared_by(self.fleet.proxies());
        }
        with(budget)
    }

    // ---- controllers ----------------------------------------------------------------------------

    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// The line to a controller is over.
    pub fn lost(&mut self, controller: Ipv4Addr) {
        self.controllers.lost(controller);
    }

    pub fn home(&self) -> Option<Ipv4Addr> {
        self.controllers.home()
    }

    fn say(&mut self, controller: Ipv4Addr, up: ProxyToController) {
        self.out.push(Effect::Say(controller, up));
    }

    /// What is due from time to time: lines to controllers named anew, and another home where this one is no good.
    pub fn tend(&mut self, now: f64) {
        self.seeds
            .clone()
            .into_iter()
            .for_each(|seed| self.named(now, seed));
        self.choose_home(now);
    }

    /// To the home, about once a second.
    pub fn report(&mut self, now: f64) {
        let Some(home) = self.home() else { return };
        let report = self.tally.report(now);
        self.say(home, ProxyToController::Report(report));
    }

    fn named(&mut self, now: f64, controller: Ipv4Addr) {
        if self.controllers.named(now, controller) {
            self.out.push(Effect::Dial(controller));
        }
    }

    /// True where nobody has named it for long: it need not be dialed again.
    pub fn forgotten(&mut self, now: f64, controller: Ipv4Addr) -> bool {
        self.controllers.forgotten(now, controller)
    }

    pub fn opened(&mut self, now: f64, controller: Ipv4Addr) {
        let hello = ProxyToController::Hello(ProxyHello {
            node: self.name.clone(),
            zone: self.zone.clone(),
            is_primary: self.home() == Some(controller),
            configuration: self.version(),
            has_tables: self.post.any(),
            gone: self.post.all_gone(),
        });
        self.say(controller, hello);
        self.controllers.connected(now, controller);
    }

    /// A controller says something.
    pub fn take(&mut self, now: f64, controller: Ipv4Addr, down: ControllerToProxy) {
        match down {
            ControllerToProxy::Status {
                in_touch,
                configuration: config,
                proxies,
                controllers,
            } => {
                let have = self.version();
                if self
                    .controllers
                    .pulse(now, controller, in_touch, config, have)
                {
                    self.say(
                        controller,
                        ProxyToController::RequestConfiguration { held: have },
                    );
                }
                if proxies > 0 {
                    self.take_proxies(now, proxies);
                }
                controllers
                    .iter()
                    .for_each(|other| self.named(now, *other.ip()));
                self.choose_home(now);
            }
            ControllerToProxy::Configuration {
                version,
                base,
                length,
                packed,
            } => {
                if let Some(have) =
                    self.take_configuration(controller, version, (base, length as usize), &packed)
                {
                    self.say(
                        controller,
                        ProxyToController::RequestConfiguration { held: have },
                    );
                }
            }
            // Another controller than the home may still think that it is the home.
            ControllerToProxy::Table {
                service,
                sequence: mark,
                entries: lines,
                ..
            } if self.home() == Some(controller) => {
                let left = self.post.table(&service, lines);
                self.out.extend(left.into_iter().map(Effect::Forget));
                self.say(controller, ProxyToController::TablesApplied { up_to: mark });
            }
            ControllerToProxy::Table { .. } | ControllerToProxy::ControllerInfo { .. } => {}
            ControllerToProxy::InstancesGone { incarnations } => {
                let news = self.post.gone(incarnations, now);
                self.out.extend(news.into_iter().map(Effect::Forget));
            }
        }
    }

    /// What is to be asked for instead, where it can't be used: something newer than that.
    fn take_configuration(
        &mut self,
        controller: Ipv4Addr,
        version: u64,
        (base, length): (u64, usize),
        packed: &[u8],
    ) -> Option<u64> {
        let held = self.version();
        if version <= held {
            return None;
        }
        if base != 0 && base != held {
            return Some(held);
        }
        let on = if base == 0 {
            &[]
        } else {
            self.edition.as_slice()
        };
        let body = match unpack(packed, on, length, LONGEST) {
            Ok(body) => body,
            Err(why) => {
                let line = format!(
                    "links: configuration {version} from {controller} on {base} came to nothing: {why}"
                );
                self.out.push(Effect::Complain(line));
                return (base != 0).then_some(0);
            }
        };
        let earlier = self
            .book
            .as_ref()
            .map(|book| (self.edition.as_slice(), book.as_ref()));
        match RouteTable::read_after(&body, earlier) {
            Ok(book) => self.take_book(book, body),
            Err(faults) => {
                let line = format!(
                    "links: configuration {version} from {controller} can't be used: {faults}"
                );
                self.out.push(Effect::Complain(line));
            }
        }
        None
    }

    pub fn choose_home(&mut self, now: f64) {
        let Some(Move { from, to }) = self.controllers.choose(now) else {
            return;
        };
        self.out
            .push(Effect::Log(format!("links: {to} is the home")));
        let (config, tables) = (self.version(), self.post.any());
        from.into_iter().for_each(|from| {
            self.say(
                from,
                ProxyToController::PrimaryChanged {
                    is_primary: false,
                    configuration: config,
                    has_tables: tables,
                },
            )
        });
        self.say(
            to,
            ProxyToController::PrimaryChanged {
                is_primary: true,
                configuration: config,
                has_tables: tables,
            },
        );
    }
}
