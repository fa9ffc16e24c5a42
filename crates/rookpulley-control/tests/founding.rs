//! Who makes the first view, with and without disks at the seeds: on a simulated network on which words come late and
//! twice, and processes end at any moment. Never do two found, and where nothing speaks against it one does.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_chain::{Member, Record};
use rookpulley_control::{
    Controller, Effect, Founding, Start, StatelessController, StatelessEffect, StatelessStart, Word,
};
use rookpulley_protocol::{Down, Frames, Up, frame};
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
    mark: Option<Vec<u8>>,
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

type Place = (usize, u64);

/// `ends`: who dialed, and who took it.
struct Line {
    ends: [Place; 2],
    /// Between controllers; else from a stateless controller.
    of_controllers: bool,
    number: u64,
    who: Option<u64>,
    greeted: bool,
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
    Tick(Place),
    Dial {
        by: Place,
        ip: Ipv4Addr,
    },
    Heard {
        line: u64,
        side: usize,
        bytes: Vec<u8>,
    },
    Ended {
        line: u64,
        side: usize,
    },
    Synced {
        by: Place,
        ticket: u64,
        records: Vec<Record>,
    },
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    machines: Vec<Machine>,
    seeds: Vec<SocketAddrV4>,
    lines: BTreeMap<u64, Line>,
    founders: BTreeSet<u64>,
    strikes: bool,
    /// Nothing speaks against a first view.
    calm: bool,
}

fn one<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    let mut frames = Frames::default();
    frames.push(bytes);
    frames.take().unwrap().unwrap()
}

impl World {
    /// The first `seeds` machines are the seeds; who has a disk is told by `disks`.
    fn new(seed: u64, seeds: usize, disks: &[bool]) -> World {
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
        World {
            rng,
            now: 0,
            events: BTreeMap::new(),
            count: 0,
            machines,
            seeds,
            lines: BTreeMap::new(),
            founders: BTreeSet::new(),
            strikes: false,
            calm: true,
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

    fn incarnations(&self, (at, incarnation): Place) -> bool {
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
                    disk.mark = first.then(|| Founding::new(machine.ip, &seeds).mark());
                }
                let controller = Controller::new(Start {
                    me: Member {
                        id: *disk.id.get_or_insert(id),
                        incarnation,
                        address,
                    },
                    seeds,
                    losses: 0,
                    heartbeat_ms: 1_500,
                    drain_ms: 2_500,
                    zone: "quay".into(),
                    founding: disk.mark.as_deref().and_then(Founding::read),
                    held: (!fresh).then(|| disk.rows.clone().into_iter().collect()),
                    incarnations: Vec::new(),
                });
                Process::Controller {
                    controller,
                    round: 0,
                }
            }
        };
        machine.process = Some(process);
        self.after(50, Event::Tick((at, incarnation)));
        self.carry_out(at);
    }

    fn stop(&mut self, at: usize, wiped: bool) {
        if self.machines[at].process.take().is_none() {
            return;
        }
        if wiped && let Some(disk) = &mut self.machines[at].disk {
            *disk = Disk::default();
            self.machines[at].wiped = true;
        }
        let of = |line: &Line| line.ends.iter().position(|end| end.0 == at);
        let ended: Vec<(u64, usize)> = self
            .lines
            .iter()
            .filter_map(|(n, line)| Some((*n, 1 - of(line)?)))
            .collect();
        for (line, side) in ended {
            self.send(line, side, |line, side| Event::Ended { line, side });
        }
    }

    /// To the end of a line with this side.
    fn send(&mut self, line: u64, side: usize, event: impl FnOnce(u64, usize) -> Event) {
        let ms = self.now + self.delay();
        let Some(of) = self.lines.get_mut(&line) else {
            return;
        };
        of.last_ms[side] = of.last_ms[side].max(ms);
        let ms = of.last_ms[side];
        self.at(ms, event(line, side));
    }

    fn say(&mut self, line: Option<u64>, side: usize, bytes: Vec<u8>) {
        let Some(line) = line else { return };
        self.send(line, side, |line, side| Event::Heard { line, side, bytes });
    }

    fn dialed_line(&self, by: usize, ip: Ipv4Addr) -> Option<u64> {
        let is = |line: &Line| self.incarnations(line.ends[0]) && line.ends[0].0 == by;
        let to = |line: &Line| self.machines[line.ends[1].0].ip == ip;
        self.lines
            .iter()
            .filter(|(_, line)| is(line) && to(line))
            .map(|(n, _)| *n)
            .next_back()
    }

    fn taken_line(&self, by: usize, number: u64) -> Option<u64> {
        let is = |line: &Line| {
            line.ends[1].0 == by && self.incarnations(line.ends[1]) && line.number == number
        };
        self.lines
            .iter()
            .find(|(_, line)| !line.of_controllers && is(line))
            .map(|(n, _)| *n)
    }

    fn carry_out(&mut self, at: usize) {
        let by = (at, self.machines[at].incarnation);
        match &mut self.machines[at].process {
            None => {}
            Some(Process::Controller { controller, .. }) => {
                let effects = controller.effects();
                let view = controller.chain.view().filter(|view| view.number == 1);
                self.founders.extend(view.map(|view| view.members[0].id));
                for effect in effects {
                    match effect {
                        Effect::Dial(ip) => self.after(1, Event::Dial { by, ip }),
                        Effect::Word { to, frame } => self.say(self.dialed_line(at, to), 1, frame),
                        Effect::Down { line, frame } => {
                            self.say(self.taken_line(at, line), 0, frame)
                        }
                        Effect::Write { ticket, records } => {
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
                        Effect::DiscardStore => panic!("a copy is spoilt"),
                        _ => {}
                    }
                }
            }
            Some(Process::StatelessController(stateless)) => {
                for effect in stateless.effects() {
                    match effect {
                        StatelessEffect::Dial(ip) => self.after(1, Event::Dial { by, ip }),
                        StatelessEffect::Up { to, up } => {
                            if self.strikes && matches!(up, Up::Found { .. }) {
                                self.strike_naming(at, to);
                            }
                            // Words may come twice.
                            for _ in 0..self.rng.random_range(1..=2u32) {
                                self.say(self.dialed_line(at, to), 1, frame(&up));
                            }
                        }
                        StatelessEffect::Down { line, frame } => {
                            self.say(self.taken_line(at, line), 0, frame)
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
    fn strike_naming(&mut self, by: usize, to: Ipv4Addr) {
        let named = self.machines.iter().position(|m| m.ip == to).unwrap();
        for (at, first) in [(by, false), (named, true)] {
            if self.rng.random_range(0..3u32) > 0 {
                let (ms, down) = (
                    self.rng.random_range(0..300u64),
                    self.rng.random_range(1..2_500u64),
                );
                self.after(ms, Event::Stop { at, wiped: false });
                self.after(ms + down, Event::Again { at, first });
                self.calm &= at != by;
            }
        }
    }

    fn dial(&mut self, by: Place, ip: Ipv4Addr) {
        let now = self.now as f64;
        let to = self
            .machines
            .iter()
            .position(|m| m.ip == ip)
            .filter(|to| self.machines[*to].process.is_some());
        let Some(to) = to else {
            return self.dial_again(by, ip);
        };
        let ends = [by, (to, self.machines[to].incarnation)];
        let of_controllers = matches!(
            self.machines[by.0].process,
            Some(Process::Controller { .. })
        );
        let number = match self.machines[to].process.as_mut().unwrap() {
            Process::Controller { controller, .. } => controller.number(),
            Process::StatelessController(_) => 1_000_000 + self.count,
        };
        self.count += 1;
        let line = Line {
            ends,
            of_controllers,
            number,
            who: None,
            greeted: false,
            last_ms: [self.now; 2],
        };
        self.lines.insert(self.count, line);
        match self.machines[by.0].process.as_mut().unwrap() {
            Process::Controller { controller, .. } => controller.dialed(now, ip),
            Process::StatelessController(stateless) => stateless.opened(now, ip),
        }
        self.carry_out(by.0);
    }

    fn dial_again(&mut self, by: Place, ip: Ipv4Addr) {
        let now = self.now as f64;
        let over = match self.machines[by.0].process.as_mut().unwrap() {
            Process::Controller { controller, .. } => {
                let over = !controller.still_known(now, ip);
                if over {
                    controller.forget(ip);
                }
                over
            }
            Process::StatelessController(stateless) => stateless.forgotten(now, ip),
        };
        if !over {
            self.after(150, Event::Dial { by, ip });
        }
    }

    fn heard(&mut self, line: u64, side: usize, bytes: &[u8]) {
        let now = self.now as f64;
        let Some(of) = self.lines.get_mut(&line) else {
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
                controller.word(now, &mut of.who, one::<Word>(bytes));
            }
            (Some(Process::Controller { controller, .. }), 1, false) => match one::<Up>(bytes) {
                Up::StatelessHello {
                    address,
                    controllers,
                } if !std::mem::replace(&mut of.greeted, true) => {
                    controller.stateless_in(now, of.number, address, &controllers);
                }
                up => controller.stateless_said(now, of.number, &up),
            },
            (Some(Process::StatelessController(stateless)), 1, true) => {
                if let Word::Hello { from, .. } = one(bytes) {
                    stateless.hello(now, from);
                }
            }
            (Some(Process::StatelessController(stateless)), 1, false) => {
                stateless.guest_in(of.number, &one::<Up>(bytes))
            }
            (Some(Process::StatelessController(stateless)), 0, _) => {
                stateless.told(now, from, one::<Down>(bytes))
            }
            _ => {}
        }
        self.carry_out(end.0);
    }

    fn ended(&mut self, line: u64, side: usize) {
        let now = self.now as f64;
        let Some(of) = self.lines.remove(&line) else {
            return;
        };
        let (end, ip) = (of.ends[side], self.machines[of.ends[1 - side].0].ip);
        if !self.incarnations(end) {
            return;
        }
        match (self.machines[end.0].process.as_mut().unwrap(), side) {
            (Process::Controller { controller, .. }, 0) => controller.hung_up(ip),
            (Process::Controller { controller, .. }, _) if of.of_controllers => {
                of.who
                    .into_iter()
                    .for_each(|id| controller.line_ended(now, id));
            }
            (Process::Controller { controller, .. }, _) => controller.stateless_out(now, of.number),
            (Process::StatelessController(stateless), 0) => stateless.lost(ip),
            (Process::StatelessController(stateless), _) => stateless.guest_out(of.number),
        }
        if side == 0 {
            self.dial_again(end, ip);
        }
        self.carry_out(end.0);
    }

    fn play(&mut self, until: u64) {
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
                Event::Tick(by) if self.incarnations(by) => {
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
                    self.carry_out(by.0);
                }
                Event::Dial { by, ip } if self.incarnations(by) => self.dial(by, ip),
                Event::Heard { line, side, bytes } => self.heard(line, side, &bytes),
                Event::Ended { line, side } => self.ended(line, side),
                Event::Synced {
                    by,
                    ticket,
                    records,
                } if self.incarnations(by) => {
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
                        controller.stored(now, Some(ticket), None, 1.0);
                    }
                    self.carry_out(by.0);
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

/// All orders of seeds with and without disks, and others with a disk behind them. `strikes`: ends of processes in the
/// first seconds.
fn played(seed: u64, strikes: bool) -> (World, String) {
    let (seeds, mask) = (1 + (seed % 3) as usize, (seed / 3) % 8);
    let mut disks: Vec<bool> = (0..seeds).map(|at| mask >> at & 1 == 1).collect();
    let mut draw = ChaCha8Rng::seed_from_u64(seed);
    let others = draw.random_range(1..=3usize);
    disks.extend((0..others).map(|at| at == 0 || draw.random_range(0..2u32) == 0));
    let named = !disks[..seeds].contains(&true);
    let mut world = World::new(seed, seeds, &disks);
    for at in 0..disks.len() {
        let ms = draw.random_range(0..1_500u64);
        world.at(ms, Event::Start { at, first: true });
    }
    // The first seed names once, so it must not be told twice that this is the first start.
    world.strikes = strikes;
    for _ in 0..if strikes {
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
        world.calm &= !wiped && (!named || at != 0);
        world.at(ms, Event::Stop { at, wiped });
        world.at(ms + down, Event::Again { at, first });
    }
    world.play(12_000);
    let told = format!("seed {seed}: {seeds} seeds, disks {disks:?}");
    if world.calm {
        assert!(world.founders.len() == 1, "nobody founded: {told}");
        assert!(world.all_have_a_view(), "one knows of no view: {told}");
    }
    (world, told)
}

#[test]
fn the_first_seed_with_a_disk_founds_else_one_that_the_first_seed_names() {
    for seed in 0..72 {
        let (world, told) = played(seed, false);
        let with_disk = |m: &&Machine| m.disk.is_some();
        let first = world.machines[..world.seeds.len()].iter().find(with_disk);
        let id = first.map(|m| m.disk.as_ref().unwrap().id.unwrap());
        let founder = *world.founders.first().unwrap();
        assert!(id.is_none_or(|id| id == founder), "{told}");
    }
}

#[test]
fn never_do_two_found_whatever_ends_when() {
    for seed in 0..240 {
        played(seed, true);
    }
}

#[test]
fn a_mark_is_read_as_it_was_written() {
    let seeds: Vec<SocketAddrV4> = (1..=3)
        .map(|n| SocketAddrV4::new(Ipv4Addr::new(10, n, 0, 1), 8_166))
        .collect();
    for me in (1..=4).map(|n| Ipv4Addr::new(10, n, 0, 1)) {
        let founding = Founding::new(me, &seeds);
        assert_eq!(Founding::read(&founding.mark()), Some(founding));
    }
    // As disks had it that were minted to found.
    assert_eq!(
        Founding::read(&[]),
        Some(Founding::new(*seeds[0].ip(), &seeds))
    );
    assert_eq!(Founding::read(&[1, 10, 0, 0]), None);
}
