//! The lines of proxies: what they say, and the tables and drains that they are told.

use super::{Controller, Effect, ProxySession};
use crate::word::Word;
use rookpulley_protocol::{Down, Up, frame};
use rookpulley_registry::{News, Out};

impl Controller {
    /// A proxy says hello on a line, which `number` gave.
    pub fn proxy_in(
        &mut self,
        now: f64,
        line: u64,
        (node, zone): (&str, &str),
        home: bool,
        (config, tables): (u64, bool),
        gone: &[String],
    ) {
        self.roll.came(node);
        self.proxies.insert(
            node.into(),
            ProxySession {
                line,
                zone: zone.into(),
                home,
                config,
            },
        );
        self.desk.proxy_out(now, node);
        if home {
            self.desk.proxy_in(now, node, zone, 1.0, tables);
        }
        let news = self.registry.take_gone(now, gone);
        if !news.is_empty() {
            let told = news
                .iter()
                .map(|incarnation| News::Gone {
                    incarnation: incarnation.clone(),
                    age_ms: 0.0,
                })
                .collect();
            self.send_all(&Word::News { ask: 0, news: told });
            self.tell_gone(now, news);
        }
        for down in [
            self.pulse(now),
            Down::Gone {
                incarnations: self.registry.gone_incarnations(),
            },
        ] {
            self.out.push(Effect::Down {
                line,
                frame: frame(&down),
            });
        }
        if home {
            self.send_configuration(now, node);
            self.tables(now);
        }
        self.log(format!(
            "proxies: {node} of {zone} is here{}",
            if home { ", at home" } else { "" }
        ));
    }

    pub fn serving(&self, now: f64) -> bool {
        self.chain.serving(now as u64)
    }

    pub(super) fn send_configuration(&mut self, now: f64, node: &str) {
        // One that isn't part of the chain may hold an old one: a proxy that has none would begin with it.
        if !self.serving(now) {
            return;
        }
        if let Some(proxy) = self.proxies.get_mut(node) {
            proxy.send_newer(&mut self.editions, &mut self.out);
        }
    }

    pub fn proxy_said(&mut self, now: f64, node: &str, line: u64, up: Up) {
        let serving = self.serving(now);
        let Some(proxy) = self.proxies.get_mut(node).filter(|c| c.line == line) else {
            return;
        };
        match up {
            Up::Home {
                home,
                config,
                tables,
            } => {
                (proxy.home, proxy.config) = (home, config);
                self.desk.proxy_out(now, node);
                if home {
                    self.desk.proxy_in(now, node, &proxy.zone, 1.0, tables);
                    if serving {
                        proxy.send_newer(&mut self.editions, &mut self.out);
                    }
                }
            }
            Up::WantConfig { have } if serving => {
                proxy.config = have;
                proxy.send_newer(&mut self.editions, &mut self.out);
            }
            Up::Report(report) => self.desk.report(node, &report),
            Up::Took { mark } => self.desk.took(node, mark),
            Up::Hello { .. }
            | Up::WantConfig { .. }
            | Up::StatelessHello { .. }
            | Up::Found { .. } => {}
        }
    }

    pub fn proxy_out(&mut self, now: f64, node: &str, line: u64) {
        if self.proxies.get(node).is_some_and(|c| c.line == line) {
            self.proxies.remove(node);
            self.desk.proxy_out(now, node);
            self.roll.went(now, node);
        }
    }

    pub(super) fn tell_proxies(&mut self, down: &Down) {
        let bytes = frame(down);
        let each = |proxy: &ProxySession| Effect::Down {
            line: proxy.line,
            frame: bytes.clone(),
        };
        self.out.extend(self.proxies.values().map(each));
    }

    pub(super) fn tell_gone(&mut self, now: f64, incarnations: Vec<String>) {
        if incarnations.is_empty() {
            return;
        }
        self.log(format!(
            "registry: {} drain or have left",
            incarnations.join(" ")
        ));
        self.tally.drains += incarnations.len() as u64;
        self.tell_proxies(&Down::Gone { incarnations });
        self.tables(now);
    }

    pub(super) fn tables(&mut self, now: f64) {
        self.desk.sync(now, &self.registry);
        for out in self.desk.tick(now) {
            match out {
                Out::Table {
                    proxy,
                    service,
                    name,
                    mark,
                    lines,
                } => {
                    if let Some(to) = self.proxies.get(&proxy) {
                        let frame = frame(&Down::Table {
                            service,
                            name,
                            mark,
                            lines,
                        });
                        self.out.push(Effect::Down {
                            line: to.line,
                            frame,
                        });
                    }
                }
                Out::Log { service, text } => self.log(format!("desk: {service}: {text}")),
            }
        }
    }
}
