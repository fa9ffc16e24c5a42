//! When a controller hands out the configuration that it holds.

use rookpulley_chain::{Member, Record, View};
use rookpulley_control::{Controller, Effect, Founding, Path, Rows, Start, read};
use rookpulley_protocol::{Down, Frames};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

const IP: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const LINE: u64 = 900;

fn start(incarnation: u64, losses: u32, held: Option<Rows>) -> Start {
    let seeds = vec![SocketAddrV4::new(IP, 8_166)];
    Start {
        me: Member {
            id: 7,
            incarnation,
            address: SocketAddrV4::new(IP, 7_721),
        },
        founding: held.is_none().then(|| Founding::new(IP, &seeds)),
        seeds,
        losses,
        heartbeat_ms: 1_500,
        drain_ms: 2_500,
        zone: "quay".into(),
        held,
        incarnations: Vec::new(),
    }
}

/// A controller with its disk. What it writes is synced at once.
struct Alone {
    controller: Controller,
    disk: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Versions that a proxy was sent, and those that pulses named.
    sent: Vec<u64>,
    named: Vec<u64>,
}

impl Alone {
    fn new(start: Start) -> Self {
        let disk = start.held.iter().flatten().cloned().collect();
        let mut alone = Self {
            controller: Controller::new(start),
            disk,
            sent: Vec::new(),
            named: Vec::new(),
        };
        alone.carry_out(0.0);
        alone
    }

    fn carry_out(&mut self, now: f64) {
        loop {
            let effects = self.controller.effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Write { ticket, records } => {
                        self.write(records);
                        self.controller.stored(now, Some(ticket), None, 1.0);
                    }
                    Effect::Note { ticket, .. } => {
                        self.controller.stored(now, None, Some(ticket), 1.0)
                    }
                    Effect::Down { frame, .. } => self.told(&frame),

                    _ => {}
                }
            }
        }
    }

    fn write(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::Put { key, value } => _ = self.disk.insert(key, value),
                Record::Delete { key } => _ = self.disk.remove(&key),
            }
        }
    }

    fn told(&mut self, frame: &[u8]) {
        let mut frames = Frames::default();
        frames.push(frame);
        match frames.take::<Down>().unwrap() {
            Some(Down::Config { version, .. }) => self.sent.push(version),
            Some(Down::Pulse { config, .. }) => self.named.push(config),
            _ => {}
        }
    }

    fn ticks(&mut self, from: u64, to: u64) {
        for (round, now) in (from..to).step_by(50).enumerate() {
            self.controller.tick(now as f64, round as u64);
            self.carry_out(now as f64);
        }
    }

    fn put(&mut self, now: u64, version: u64) {
        let body = format!(
            "{{\"configVersion\":{version},\"services\":[{{\"name\":\"s\"}}],\"hostnames\":[{{\"hostname\":\"h\",\"pathRules\":[\
             {{\"pathPrefix\":\"/\",\"routeKind\":\"read_only\",\"timeoutMs\":{version},\"targetService\":\"s\",\"maxAttempts\":1}}]}}]}}"
        );
        let wants = read(
            Path::PutConfiguration,
            "",
            body.into_bytes(),
            |_| None,
            None,
        )
        .unwrap();
        let token = self.controller.number();
        self.controller.call(now as f64, token, wants);
        self.carry_out(now as f64);
    }

    fn proxy_calls_it_home(&mut self, now: u64) {
        self.controller
            .proxy_in(now as f64, LINE, ("edge-1", "quay"), true, (0, false), &[]);
        self.carry_out(now as f64);
    }
}

/// One that was alone, has handed out version 5, and has ended.
fn held_five() -> Alone {
    let mut first = Alone::new(start(11, 0, None));
    first.ticks(0, 1_000);
    first.put(1_000, 3);
    first.ticks(1_050, 1_250);
    first.proxy_calls_it_home(1_250);
    first.put(1_250, 5);
    first.ticks(1_300, 2_500);
    assert_eq!(
        (first.sent.first(), first.sent.last()),
        (Some(&3), Some(&5))
    );
    first
}

#[test]
fn after_a_start_one_that_serves_hands_out_what_it_holds_though_nothing_new_comes() {
    let rows: Rows = held_five().disk.into_iter().collect();
    let mut again = Alone::new(start(12, 0, Some(rows)));
    again.proxy_calls_it_home(100);
    again.ticks(100, 4_000);
    assert_eq!(again.sent, [5]);
    assert_eq!(again.named.last(), Some(&5));
}

#[test]
fn after_a_start_one_that_is_not_in_touch_hands_out_nothing() {
    let first = held_five();
    let mut rows: Rows = first.disk.clone().into_iter().collect();
    // It is one member of more: the others may hold a newer one.
    let other = |id: u64| Member {
        id,
        incarnation: 1,
        address: SocketAddrV4::new(IP, 7_000 + id as u16),
    };
    let members = vec![first.controller.chain.me(), other(8), other(9)];
    let view = View {
        number: 2,
        members,
        voters: Vec::new(),
    };
    let key = [b"v".to_vec(), 2u64.to_be_bytes().to_vec()].concat();
    rows.push((key, postcard::to_allocvec(&view).unwrap()));
    let mut again = Alone::new(start(12, 1, Some(rows)));
    again.proxy_calls_it_home(100);
    again.ticks(100, 4_000);
    assert_eq!(again.sent, []);
    assert!(
        !again.named.is_empty() && again.named.iter().all(|version| *version == 0),
        "{:?}",
        again.named
    );
}
