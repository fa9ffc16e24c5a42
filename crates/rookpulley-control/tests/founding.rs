//! Who makes the first view, with and without disks at the seeds: on a simulated network on which messages arrive late and
//! twice, and processes end at any moment. Never do two found, and where nothing speaks against it one does.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_chain::{Member, Record};
use rookpulley_control::{
    Bootstrap, Controller, ControllerStart, Effect, PeerMessage, StatelessController,
    StatelessEffect, StatelessStart,
};
use rookpulley_protocol::{ControllerToProxy, FrameDecoder, ProxyToController, encode_frame};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

const PORT: u16 = 7_731;

type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

#[allow(clippy::large_enum_variant)]
enum Process {
    Controller { controller: Controller, round: u64 },
    StatelessController(StatelessController),
}

#[derive(Default)]
struct Disk {
    id: Option<u64>,
    bootstrap: Option<Vec<u8>>,
    rows: Rows,
    /// When the last write is there.
    synced_ms: u64,
}

struct Machine {
    ip: Ipv4Addr,
    disk: Option<Disk>,
    process: Option<Process>,
    incarnation: u64,
    /// Its disk was lost: this is no first start any more.
    wiped: bool,
}

type ProcessId = (usize, u64);

/// `ends`: who made it, and who accepted it.
struct Connection {
    ends: [ProcessId; 2],
    /// Between controllers; else from a stateless controller.
    of_controllers: bool,
    number: u64,
    peer: Option<u64>,
    said_hello: bool,
    /// What is sent later comes later.
    last_ms: [u64; 2],
}

enum Event {
    Start {
        at: usize,
        first: bool,
    },
    /// Only of what has been started before.
    Again {
        at: usize,
        first: bool,
    },
    Stop {
        at: usize,
        wiped: bool,
    },
    Tick(ProcessId),
    Connect {
        by: ProcessId,
        ip: Ipv4Addr,
    },
    Received {
        connection: u64,
        side: usize,
        bytes: Vec<u8>,
    },
    Closed {
        connection: u64,
        side: usize,
    },
    Synced {
        by: ProcessId,
        ticket: u64,
        records: Vec<Record>,
    },
}

struct Network {
    rng: ChaCha8Rng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    machines: Vec<Machine>,
    seeds: Vec<SocketAddrV4>,
    connections: BTreeMap<u64, Connection>,
    founders: BTreeSet<u64>,
    faults: bool,
    /// Nothing speaks against a first view.
    undisturbed: bool,
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    let mut frames = FrameDecoder::default();
    frames.push(bytes);
    frames.decode_next().unwrap().unwrap()
}

impl Network {
    /// The first `seeds` machines are the seeds; who has a disk is told by `disks`.
    fn new(seed: u64, seeds: usize, disks: &[bool]) -> Network {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut machines: Vec<Machine> = (0..disks.len())
            .map(|at| Machine {
                ip: Ipv4Addr::new(10, 9, 0, rng.random_range(0..20u8) + 20 * at as u8),
                disk: disks[at].then(Disk::default),
                process: None,
                incarnation: 0,
                wiped: false,
            })
            .collect();
        // Addresses tell nothing of the order of seeds.
        if rng.random_range(0..2u32) == 0 {
            let ips: Vec<Ipv4Addr> = machines.iter().rev().map(|m| m.ip).collect();
            machines.iter_mut().zip(ips).for_each(|(m, ip)| m.ip = ip);
        }
        let seeds = machines[..seeds]
            .iter()
            .map(|m| SocketAddrV4::new(m.ip, 8_166))
            .collect();
        Network {
            rng,
            now: 0,
            events: BTreeMap::new(),
            count: 0,
            machines,
            seeds,
            connections: BTreeMap::new(),
            founders: BTreeSet::new(),
            faults: false,
            undisturbed: true,
        }
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.count += 1;
        self.events.insert((ms, self.count), event);
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now + ms, event);
    }

    fn delay(&mut self) -> u64 {
        let long = self.rng.random_range(0..40u32) == 0;
        self.rng
            .random_range(if long { 300..1_500u64 } else { 1..40 })
    }

    fn is_running(&self, (at, incarnation): ProcessId) -> bool {
        self.machines[at].process.is_some() && self.machines[at].incarnation == incarnation
    }

    fn start(&mut self, at: usize, first: bool) {
        if self.machines[at].process.is_some() {
            return;
        }
        let (incarnation, id): (u64, u64) = (self.rng.random(), self.rng.random());
        let (seeds, machine) = (self.seeds.clone(), &mut self.machines[at]);
        let first = first && !machine.wiped;
        machine.incarnation = incarnation;
        let address = SocketAddrV4::new(machine.ip, PORT);
        let process = match &mut machine.disk {
            None => Process::StatelessController(StatelessController::new(StatelessStart {
                address,
                zone: "quay".into(),
                seeds,
                first_start: first,
            })),
            Some(disk) => {
                let fresh = disk.id.is_none();
                if fresh {
                    disk.bootstrap = first.then(|| Bootstrap::new(machine.ip, &seeds).encode());
                }
                let controller = Controller::new(ControllerStart {
                    me: Member {
                        id: *disk.id.get_or_insert(id),
                        incarnation,
                        address,
                    },
                    seeds,
                    tolerated_losses: 0,
                    heartbeat_ms: 1_500,
                    drain_ms: 2_500,
                    zone: "quay".into(),
                    bootstrap: disk.bootstrap.as_deref().and_then(Bootstrap::decode),
                    chain_rows: (!fresh).then(|| disk.rows.clone().into_iter().collect()),
                    instance_rows: Vec::new(),
                });
                Process::Controller {
                    controller,
                    round: 0,
                }
            }
        };
        machine.process = Some(process);
        self.after(50, Event::Tick((at, incarnation)));
        self.run_effects(at);
    }

    fn stop(&mut self, at: usize, wiped: bool) {
        if self.machines[at].process.take().is_none() {
            return;
        }
        if wiped && let Some(disk) = &mut self.machines[at].disk {
            *disk = Disk::default();
            self.machines[at].wiped = true;
        }
        let of = |connection: &Connection| connection.ends.iter().position(|end| end.0 == at);
        let ended: Vec<(u64, usize)> = self
            .connections
            .iter()
            .filter_map(|(n, connection)| Some((*n, 1 - of(connection)?)))
            .collect();
        for (connection, side) in ended {
            self.send(connection, side, |connection, side| Event::Closed {
                connection,
                side,
            });
        }
    }

    /// To the end of a connection with this side.
    fn send(&mut self, connection: u64, side: usize, event: impl FnOnce(u64, usize) -> Event) {
        let ms = self.now + self.delay();
        let Some(of) = self.connections.get_mut(&connection) else {
            return;
        };
        of.last_ms[side] = of.last_ms[side].max(ms);
        let ms = of.last_ms[side];
        self.at(ms, event(connection, side));
    }

    fn send_frame(&mut self, connection: Option<u64>, side: usize, bytes: Vec<u8>) {
        let Some(connection) = connection else { return };
        self.send(connection, side, |connection, side| Event::Received {
            connection,
            side,
            bytes,
        });
    }

    fn outgoing_connection(&self, by: usize, ip: Ipv4Addr) -> Option<u64> {
        let is = |connection: &Connection| {
            self.is_running(connection.ends[0]) && connection.ends[0].0 == by
        };
        let to = |connection: &Connection| self.machines[connection.ends[1].0].ip == ip;
        self.connections
            .iter()
            .filter(|(_, connection)| is(connection) && to(connection))
            .map(|(n, _)| *n)
            .next_back()
    }

    fn accepted_connection(&self, by: usize, number: u64) -> Option<u64> {
        let is = |connection: &Connection| {
            connection.ends[1].0 == by
                && self.is_running(connection.ends[1])
                && connection.number == number
        };
        self.connections
            .iter()
            .find(|(_, connection)| !connection.of_controllers && is(connection))
            .map(|(n, _)| *n)
    }

    fn run_effects(&mut self, at: usize) {
        let by = (at, self.machines[at].incarnation);
        match &mut self.machines[at].process {
            None => {}
            Some(Process::Controller { controller, .. }) => {
                let effects = controller.take_effects();
                let view = controller.chain.view().filter(|view| view.number == 1);
                self.founders.extend(view.map(|view| view.members[0].id));
                for effect in effects {
                    match effect {
                        Effect::Connect(ip) => self.after(1, Event::Connect { by, ip }),
                        Effect::SendToPeer { to, frame } => {
                            self.send_frame(self.outgoing_connection(at, to), 1, frame)
                        }
                        Effect::SendToProxy { connection, frame } => {
                            self.send_frame(self.accepted_connection(at, connection), 0, frame)
                        }
                        Effect::WriteChain { ticket, records } => {
                            let ms = self.now + self.rng.random_range(1..120u64);
                            let disk = self.machines[at].disk.as_mut().unwrap();
                            disk.synced_ms = disk.synced_ms.max(ms);
                            let ms = disk.synced_ms;
                            self.at(
                                ms,
                                Event::Synced {
                                    by,
                                    ticket,
                                    records,
                                },
                            );
                        }
                        Effect::DiscardStore => panic!("a store is to be discarded"),
                        _ => {}
                    }
                }
            }
            Some(Process::StatelessController(stateless)) => {
                for effect in stateless.take_effects() {
                    match effect {
                        StatelessEffect::Connect(ip) => self.after(1, Event::Connect { by, ip }),
                        StatelessEffect::SendToController { to, message } => {
                            if self.faults
                                && matches!(message, ProxyToController::AppointFounder { .. })
                            {
                                self.fail_around_appointment(at, to);
                            }
                            // Messages may arrive twice.
                            for _ in 0..self.rng.random_range(1..=2u32) {
                                self.send_frame(
                                    self.outgoing_connection(at, to),
                                    1,
                                    encode_frame(&message),
                                );
                            }
                        }
                        StatelessEffect::SendToClient { connection, frame } => {
                            self.send_frame(self.accepted_connection(at, connection), 0, frame)
                        }
                        StatelessEffect::Log(_) => {}
                    }
                }
            }
        }
        assert!(
            self.founders.len() <= 1,
            "two founded: {:x?}",
            self.founders
        );
    }

    /// Who names and who is named end at about the moment that it is said.
    fn fail_around_appointment(&mut self, by: usize, to: Ipv4Addr) {
        let named = self.machines.iter().position(|m| m.ip == to).unwrap();
        for (at, first) in [(by, false), (named, true)] {
            if self.rng.random_range(0..3u32) > 0 {
                let (ms, down) = (
                    self.rng.random_range(0..300u64),
                    self.rng.random_range(1..2_500u64),
                );
                self.after(ms, Event::Stop { at, wiped: false });
                self.after(ms + down, Event::Again { at, first });
                self.undisturbed &= at != by;
            }
        }
    }

    fn connect(&mut self, by: ProcessId, ip: Ipv4Addr) {
        let now = self.now as f64;
        let to = self
            .machines
            .iter()
            .position(|m| m.ip == ip)
            .filter(|to| self.machines[*to].process.is_some());
        let Some(to) = to else {
            return self.connect_again(by, ip);
        };
        let ends = [by, (to, self.machines[to].incarnation)];
        let of_controllers = matches!(
            self.machines[by.0].process,
            Some(Process::Controller { .. })
        );
        let number = match self.machines[to].process.as_mut().unwrap() {
            Process::Controller { controller, .. } => controller.next_number(),
            Process::StatelessController(_) => 1_000_000 + self.count,
        };
        self.count += 1;
        let connection = Connection {
            ends,
            of_controllers,
            number,
            peer: None,
            said_hello: false,
            last_ms: [self.now; 2],
        };
        self.connections.insert(self.count, connection);
        match self.machines[by.0].process.as_mut().unwrap() {
            Process::Controller { controller, .. } => controller.peer_connected(now, ip),
            Process::StatelessController(stateless) => stateless.controller_connected(now, ip),
        }
        self.run_effects(by.0);
    }

    fn connect_again(&mut self, by: ProcessId, ip: Ipv4Addr) {
        let now = self.now as f64;
        let over = match self.machines[by.0].process.as_mut().unwrap() {
            Process::Controller { controller, .. } => {
                let over = !controller.is_peer_wanted(now, ip);
                if over {
                    controller.forget_peer(ip);
                }
                over
            }
            Process::StatelessController(stateless) => stateless.is_forgotten(now, ip),
        };
        if !over {
            self.after(150, Event::Connect { by, ip });
        }
    }

    fn receive(&mut self, connection: u64, side: usize, bytes: &[u8]) {
        let now = self.now as f64;
        let Some(of) = self.connections.get_mut(&connection) else {
            return;
        };
        let (end, other) = (of.ends[side], of.ends[1 - side]);
        let from = self.machines[other.0].ip;
        let machine = &mut self.machines[end.0];
        if machine.incarnation != end.1 {
            return;
        }
        match (machine.process.as_mut(), side, of.of_controllers) {
            (Some(Process::Controller { controller, .. }), 1, true) => {
                controller.handle_peer_message(now, &mut of.peer, decode::<PeerMessage>(bytes));
            }
            (Some(Process::Controller { controller, .. }), 1, false) => {
                match decode::<ProxyToController>(bytes) {
                    ProxyToController::StatelessHello {
                        address,
                        controllers,
                    } if !std::mem::replace(&mut of.said_hello, true) => {
                        controller.stateless_connected(now, of.number, address, &controllers);
                    }
                    message => controller.handle_stateless_message(now, of.number, &message),
                }
            }
            (Some(Process::StatelessController(stateless)), 1, true) => {
                if let PeerMessage::Hello { from, .. } = decode(bytes) {
                    stateless.handle_peer_hello(now, from);
                }
            }
            (Some(Process::StatelessController(stateless)), 1, false) => {
                stateless.client_connected(of.number, &decode::<ProxyToController>(bytes))
            }
            (Some(Process::StatelessController(stateless)), 0, _) => {
                stateless.handle_controller_message(now, from, decode::<ControllerToProxy>(bytes))
            }
            _ => {}
        }
        self.run_effects(end.0);
    }

    fn close(&mut self, connection: u64, side: usize) {
        let now = self.now as f64;
        let Some(of) = self.connections.remove(&connection) else {
            return;
        };
        let (end, ip) = (of.ends[side], self.machines[of.ends[1 - side].0].ip);
        if !self.is_running(end) {
            return;
        }
        match (self.machines[end.0].process.as_mut().unwrap(), side) {
            (Process::Controller { controller, .. }, 0) => controller.peer_disconnected(ip),
            (Process::Controller { controller, .. }, _) if of.of_controllers => {
                of.peer
                    .into_iter()
                    .for_each(|id| controller.peer_session_ended(now, id));
            }
            (Process::Controller { controller, .. }, _) => {
                controller.stateless_disconnected(now, of.number)
            }
            (Process::StatelessController(stateless), 0) => stateless.controller_disconnected(ip),
            (Process::StatelessController(stateless), _) => {
                stateless.client_disconnected(of.number)
            }
        }
        if side == 0 {
            self.connect_again(end, ip);
        }
        self.run_effects(end.0);
    }

    fn run(&mut self, until: u64) {
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            match event {
                Event::Start { at, first } => self.start(at, first),
                Event::Again { at, first } if self.machines[at].incarnation != 0 => {
                    self.start(at, first)
                }
                Event::Stop { at, wiped } => self.stop(at, wiped),
                Event::Tick(by) if self.is_running(by) => {
                    let now = self.now as f64;
                    match self.machines[by.0].process.as_mut().unwrap() {
                        Process::Controller { controller, round } => {
                            controller.tick(now, *round);
                            *round += 1;
                            self.after(50, Event::Tick(by));
                        }
                        Process::StatelessController(stateless) => {
                            stateless.tick(now);
                            self.after(1_000, Event::Tick(by));
                        }
                    }
                    self.run_effects(by.0);
                }
                Event::Connect { by, ip } if self.is_running(by) => self.connect(by, ip),
                Event::Received {
                    connection,
                    side,
                    bytes,
                } => self.receive(connection, side, &bytes),
                Event::Closed { connection, side } => self.close(connection, side),
                Event::Synced {
                    by,
                    ticket,
                    records,
                } if self.is_running(by) => {
                    let rows = &mut self.machines[by.0].disk.as_mut().unwrap().rows;
                    for record in records {
                        match record {
                            Record::Put { key, value } => _ = rows.insert(key, value),
                            Record::Delete { key } => _ = rows.remove(&key),
                        }
                    }
                    let now = self.now as f64;
                    if let Some(Process::Controller { controller, .. }) =
                        &mut self.machines[by.0].process
                    {
                        controller.handle_synced(now, Some(ticket), None, 1.0);
                    }
                    self.run_effects(by.0);
                }
                _ => {}
            }
        }
        self.now = until;
    }

    fn all_have_a_view(&self) -> bool {
        self.machines.iter().all(|m| match &m.process {
            Some(Process::Controller { controller, .. }) => controller.chain.view().is_some(),
            _ => true,
        })
    }
}

/// All orders of seeds with and without disks, and others with a disk behind them. `faults`: ends of processes in the
/// first seconds.
fn simulate(seed: u64, faults: bool) -> (Network, String) {
    let (seeds, mask) = (1 + (seed % 3) as usize, (seed / 3) % 8);
    let mut disks: Vec<bool> = (0..seeds).map(|at| mask >> at & 1 == 1).collect();
    let mut draw = ChaCha8Rng::seed_from_u64(seed);
    let others = draw.random_range(1..=3usize);
    disks.extend((0..others).map(|at| at == 0 || draw.random_range(0..2u32) == 0));
    let named = !disks[..seeds].contains(&true);
    let mut network = Network::new(seed, seeds, &disks);
    for at in 0..disks.len() {
        let ms = draw.random_range(0..1_500u64);
        network.at(ms, Event::Start { at, first: true });
    }
    // The first seed names once, so it must not be told twice that this is the first start.
    network.faults = faults;
    for _ in 0..if faults {
        draw.random_range(1..=6u32)
    } else {
        0
    } {
        let at = if draw.random_range(0..3u32) == 0 {
            0
        } else {
            draw.random_range(0..disks.len())
        };
        let (ms, down) = (
            draw.random_range(0..5_000u64),
            draw.random_range(1..1_200u64),
        );
        let wiped = disks[at] && draw.random_range(0..6u32) == 0;
        let first = !wiped && (!named || at != 0) && draw.random_range(0..2u32) == 0;
        network.undisturbed &= !wiped && (!named || at != 0);
        network.at(ms, Event::Stop { at, wiped });
        network.at(ms + down, Event::Again { at, first });
    }
    network.run(12_000);
    let told = format!("seed {seed}: {seeds} seeds, disks {disks:?}");
    if network.undisturbed {
        assert!(network.founders.len() == 1, "nobody founded: {told}");
        assert!(network.all_have_a_view(), "one knows of no view: {told}");
    }
    (network, told)
}

#[test]
fn the_first_seed_with_a_disk_founds_else_one_that_the_first_seed_names() {
    for seed in 0..72 {
        let (network, told) = simulate(seed, false);
        let with_disk = |m: &&Machine| m.disk.is_some();
        let first = network.machines[..network.seeds.len()]
            .iter()
            .find(with_disk);
        let id = first.map(|m| m.disk.as_ref().unwrap().id.unwrap());
        let founder = *network.founders.first().unwrap();
        assert!(id.is_none_or(|id| id == founder), "{told}");
    }
}

#[test]
fn never_do_two_found_whatever_ends_when() {
    for seed in 0..240 {
        simulate(seed, true);
    }
}

#[test]
fn a_bootstrap_record_is_read_as_it_was_written() {
    let seeds: Vec<SocketAddrV4> = (1..=3)
        .map(|n| SocketAddrV4::new(Ipv4Addr::new(10, n, 0, 1), 8_166))
        .collect();
    for me in (1..=4).map(|n| Ipv4Addr::new(10, n, 0, 1)) {
        let bootstrap = Bootstrap::new(me, &seeds);
        assert_eq!(Bootstrap::decode(&bootstrap.encode()), Some(bootstrap));
    }
    // As disks had it that were minted to found.
    assert_eq!(
        Bootstrap::decode(&[]),
        Some(Bootstrap::new(*seeds[0].ip(), &seeds))
    );
    assert_eq!(Bootstrap::decode(&[1, 10, 0, 0]), None);
}
