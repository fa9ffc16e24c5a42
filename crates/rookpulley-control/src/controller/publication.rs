//! The configuration as it goes out to proxies.

use super::{Controller, Effect};
use rookpulley_protocol::{Down, frame};
use rookpulley_registry::Service;
use rookpulley_routes::Book;
use std::net::SocketAddrV4;

impl Controller {
    /// The configuration that proxies are told of, with its bytes.
    pub fn configuration(&self) -> Option<(&[u8], &Book)> {
        self.editions.newest_body().zip(self.book.as_ref())
    }

    /// What holds here is remembered at once, and told when its turn has come. What was held at the start is told once
    /// this controller serves: the others may hold a newer one, and a proxy that has none would begin with it.
    pub(super) fn tell_configuration(&mut self, now: f64) {
        let version = self.ledger().version();
        if version <= self.editions.newest() {
            return;
        }
        let Some((_, body)) = self.chain.state().ledger.configuration() else {
            return;
        };
        self.editions.take(version, body);
        if !self.pace.is_due(now) || !(self.applied || self.serving(now)) {
            return;
        }
        let body = body.to_vec();
        self.pace.told(now, body.len());
        self.set_services(&body);
        self.editions.tell();
        let pulse = frame(&self.pulse(now));
        for proxy in self.proxies.values_mut() {
            if proxy.home {
                proxy.send_newer(&mut self.editions, &mut self.out);
            } else {
                self.out.push(Effect::Down {
                    line: proxy.line,
                    frame: pulse.clone(),
                });
            }
        }
        self.log(format!("ledger: configuration {version} holds"));
        self.tables(now);
    }

    pub(super) fn set_services(&mut self, body: &[u8]) {
        let book = match Book::read_after(body, self.configuration()) {
            Ok(book) => book,
            Err(why) => {
                let line = format!("ledger: the configuration held can't be read: {why}");
                return self.out.push(Effect::Complain(line));
            }
        };
        let services = book
            .services
            .iter()
            .enumerate()
            .map(|(at, service)| Service {
                name: service.name.clone(),
                max_connections: service.max_connections,
                aim_ms: book.least_aim_ms(at).unwrap_or(0.0),
            });
        self.desk.set_services(&services.collect::<Vec<_>>());
        self.book = Some(book);
    }

    pub(super) fn pulse(&self, now: f64) -> Down {
        let in_touch = self.in_touch(now) && !self.ending;
        let port = self.me.address.port();
        let controllers = self.reached().chain([*self.me.address.ip()]);
        Down::Pulse {
            in_touch,
            // What can't be had here is not told of.
            config: if self.serving(now) {
                self.editions.newest()
            } else {
                0
            },
            proxies: self.roll.count(),
            controllers: controllers.map(|ip| SocketAddrV4::new(ip, port)).collect(),
        }
    }
}
