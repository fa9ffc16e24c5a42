//! Compares the messages to proxies with the effects that they implement.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley::interface::*;
use rookpulley_assigner::messages::{MAX_LINE_BYTES, server_id};
use rookpulley_assigner::orders::{Names, Orders, ProxyMessage};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

const KINDS: [&str; 3] = ["read", "write", "list"];
const SERVERS: usize = 6;
const PROXIES: ProxyId = 4;

fn name(n: usize) -> String {
    format!("s-{n}")
}

fn names() -> Names {
    (0..SERVERS)
        .map(|n| (server_id(&name(n)), name(n)))
        .collect()
}

fn orders() -> Orders {
    Orders::new(KINDS.map(String::from).to_vec(), None)
}

fn line(table: TableId, n: usize, weight: f64) -> Effect {
    Effect::SetWeight {
        table,
        server: server_id(&name(n)),
        weight,
    }
}

fn withdraw(n: usize, out: bool) -> Effect {
    Effect::WithdrawServer {
        server: server_id(&name(n)),
        out,
    }
}

fn bind(proxy: ProxyId, table: TableId, kinds: u16) -> Effect {
    Effect::BindTable {
        proxy,
        table,
        kinds,
    }
}

fn set_admission(table: Option<TableId>, kinds: u16, level: f64, retry: Retry) -> Effect {
    Effect::SetAdmission {
        table,
        kinds,
        level,
        retry,
    }
}

fn mark(mark: u64, all: bool) -> Effect {
    Effect::RequestAck { mark, all }
}

#[test]
fn scripted_effects() {
    let (mut orders, mut trace) = (orders(), String::new());
    let mut step = |orders: &mut Orders, what: &str, effects: Vec<Effect>| {
        trace += &format!("-- {what}\n");
        for written in orders.carry_out(0.0, &effects, &names()) {
            let text = String::from_utf8(written.bytes).unwrap();
            trace += &format!("p{}, {} lines:\n{text}", written.proxy, written.lines);
        }
    };
    orders.join(0.0, 0, true, None);
    orders.join(0.0, 1, false, None);
    let all = set_admission(None, 0, 1.0, Retry::IfNotExecuted);
    step(
        &mut orders,
        "a common level is sent to all joined proxies",
        vec![all, mark(1, false)],
    );
    let first = vec![
        line(0, 0, 2.0),
        line(0, 1, 0.5),
        bind(0, 0, 0),
        mark(2, false),
    ];
    step(&mut orders, "a new proxy is bound for all kinds", first);
    let second = vec![
        line(1, 2, 1.0),
        bind(1, 0, 0b001),
        bind(1, 1, 0b110),
        mark(3, false),
    ];
    step(
        &mut orders,
        "a rejoined proxy is bound: earlier withdrawals are lifted",
        second,
    );
    step(
        &mut orders,
        "a change is sent to both",
        vec![line(0, 3, 1.5), line(0, 1, 0.0), mark(4, false)],
    );
    step(
        &mut orders,
        "a drain: only p1 uses s-2",
        vec![withdraw(2, true), line(1, 2, 0.0), mark(5, false)],
    );
    step(
        &mut orders,
        "restored: no table contains it",
        vec![withdraw(2, false), mark(6, false)],
    );
    step(
        &mut orders,
        "in a table again: restored with its line",
        vec![line(1, 2, 0.25), mark(7, false)],
    );
    let lower = vec![
        set_admission(Some(1), 0b010, 0.5, Retry::Never),
        mark(8, true),
    ];
    step(
        &mut orders,
        "a level for one kind of one table, and a mark for all",
        lower,
    );
    orders.join(0.0, 1, false, None);
    step(
        &mut orders,
        "p1 rejoined: no changes until it is bound",
        vec![line(0, 4, 1.0), mark(9, false)],
    );
    step(
        &mut orders,
        "p1 is bound and receives the whole table",
        vec![bind(1, 0, 0), mark(10, false)],
    );
    orders.leave(0.0, 1);
    let after_leave = vec![
        line(0, 4, 0.0),
        bind(1, 0, 0),
        withdraw(4, true),
        mark(11, true),
    ];
    step(&mut orders, "p1 left: nothing is sent to it", after_leave);
    let clear = vec![
        Effect::ClearTable { table: 0 },
        line(0, 5, 1.0),
        mark(12, false),
    ];
    step(&mut orders, "a table is cleared and filled again", clear);
    insta::assert_snapshot!(trace);
}

#[test]
fn large_table_is_split_into_parts() {
    let long_name = |n: usize| format!("server-{n:0200}");
    let names: Names = (0..12_000)
        .map(|n| (server_id(&long_name(n)), long_name(n)))
        .collect();
    let mut orders = orders();
    orders.join(0.0, 0, true, None);
    let mut effects: Vec<Effect> = names
        .keys()
        .map(|server| Effect::SetWeight {
            table: 0,
            server: *server,
            weight: 1.0,
        })
        .collect();
    effects.extend([bind(0, 0, 0), mark(1, false)]);
    let written = orders.carry_out(0.0, &effects, &names).remove(0);
    let mut proxy = ProxyState::default();
    let parts = proxy.apply(&written);
    assert!(
        written
            .bytes
            .split(|b| *b == b'\n')
            .all(|part| part.len() < MAX_LINE_BYTES)
    );
    assert!(parts > 1 && parts <= 64, "{parts}");
    assert_eq!((proxy.tables[0].len(), written.lines), (12_000, 12_000 + 2));
}

#[test]
fn withdrawn_server_is_restored_after_it_was_forgotten() {
    let mut orders = orders();
    orders.join(0.0, 0, true, None);
    orders.carry_out(
        0.0,
        &[line(0, 0, 1.0), line(0, 1, 1.0), bind(0, 0, 0)],
        &names(),
    );
    orders.carry_out(0.0, &[withdraw(1, true), line(0, 1, 0.0)], &names());
    orders.carry_out(0.0, &[withdraw(1, false)], &names());
    orders.forget_server(&server_id(&name(1)));
    let written = orders.carry_out(0.0, &[line(0, 1, 0.5)], &names());
    let text = String::from_utf8(written[0].bytes.clone()).unwrap();
    assert!(text.contains(r#""back":["s-1"]"#), "{text}");
}

/// Proxy state according to the protocol.
#[derive(Clone, Default)]
struct ProxyState {
    tables: [BTreeMap<String, f64>; KINDS.len()],
    levels: [Option<(f64, u64)>; KINDS.len()],
    out: BTreeSet<String>,
}

impl ProxyState {
    /// Applies a message and returns the number of its parts.
    fn apply(&mut self, written: &ProxyMessage) -> usize {
        let text = std::str::from_utf8(&written.bytes).unwrap();
        let parts: Vec<Value> = text
            .lines()
            .map(|part| serde_json::from_str(part).unwrap())
            .collect();
        let mut counted = 0;
        for (at, part) in parts.iter().enumerate() {
            assert_eq!(part["msg"], "assign");
            assert_eq!(
                part["more"].as_bool().unwrap_or(false),
                at + 1 < parts.len()
            );
            let named = |kind| {
                part["classes"]
                    .as_array()
                    .is_none_or(|some| some.iter().any(|k| k == kind))
            };
            let whole = part["whole"].as_bool().unwrap_or(false);
            let lines = part["lines"].as_array().cloned().unwrap_or_default();
            for (k, _) in KINDS.iter().enumerate().filter(|(_, kind)| named(**kind)) {
                if whole {
                    (self.tables[k], self.levels[k]) = (BTreeMap::new(), None);
                }
                for line in &lines {
                    self.tables[k]
                        .insert(line[0].as_str().unwrap().into(), line[1].as_f64().unwrap());
                }
                self.tables[k].retain(|_, weight| *weight > 0.0);
                if let Some(level) = part["level"].as_f64() {
                    self.levels[k] = Some((level, part["retry"].as_u64().unwrap()));
                }
            }
            let listed = |key: &str| part[key].as_array().cloned().unwrap_or_default();
            counted += lines.len() + listed("out").len() + listed("back").len();
            counted += ["whole", "level", "ticket"]
                .iter()
                .filter(|key| !part[**key].is_null())
                .count();
            listed("out")
                .iter()
                .for_each(|s| _ = self.out.insert(s.as_str().unwrap().into()));
            listed("back")
                .iter()
                .for_each(|s| _ = self.out.remove(s.as_str().unwrap()));
        }
        assert_eq!(counted, written.lines, "{text}");
        parts.len()
    }

    fn usable(&self, kind: KindId) -> Vec<(String, f64)> {
        let open = self.tables[kind]
            .iter()
            .filter(|(server, _)| !self.out.contains(*server));
        open.map(|(server, weight)| (server.clone(), *weight))
            .collect()
    }
}

/// Reference model: applies the effects directly, as the simulator does.
#[derive(Default)]
struct Model {
    tables: BTreeMap<TableId, BTreeMap<ServerId, f64>>,
    own: BTreeMap<(TableId, KindId), (f64, u64)>,
    all: BTreeMap<KindId, (f64, u64)>,
    out: BTreeSet<ServerId>,
    /// The tables that the joined proxies are bound to, by kind.
    joined: BTreeMap<ProxyId, BTreeMap<KindId, TableId>>,
}

impl Model {
    fn usable(&self, table: TableId) -> Vec<(String, f64)> {
        let names = names();
        let open = self.tables[&table]
            .iter()
            .filter(|(s, _)| !self.out.contains(*s));
        let mut usable: Vec<_> = open.map(|(s, w)| (names[s].clone(), *w)).collect();
        usable.sort_by(|a, b| a.0.cmp(&b.0));
        usable
    }

    fn level(&self, table: TableId, kind: KindId) -> Option<(f64, u64)> {
        match (self.own.get(&(table, kind)), self.all.get(&kind)) {
            (Some((own, retry)), Some((all, _))) => Some((own.min(*all), *retry)),
            (own, all) => own.or(all).copied(),
        }
    }

    /// Returns for each proxy the lines that the effects may use, without levels, and how many of
    /// them are table lines.
    fn carry_out(&mut self, effects: &[Effect]) -> BTreeMap<ProxyId, (usize, usize)> {
        let mut cost: BTreeMap<ProxyId, (usize, usize)> = BTreeMap::new();
        for effect in effects {
            let uses =
                |bound: &BTreeMap<KindId, TableId>, t: &TableId| bound.values().any(|b| b == t);
            let kinds =
                |mask: u16| (0..KINDS.len()).filter(move |k| mask == 0 || mask >> k & 1 == 1);
            let mut reached: BTreeMap<ProxyId, usize> = BTreeMap::new();
            let mut tables = 0;
            match *effect {
                Effect::SetWeight {
                    table,
                    server,
                    weight,
                } => {
                    self.tables.entry(table).or_default().insert(server, weight);
                    self.tables
                        .entry(table)
                        .or_default()
                        .retain(|_, weight| *weight > 0.0);
                    tables = 1;
                    reached.extend(
                        self.joined
                            .iter()
                            .filter(|(_, b)| uses(b, &table))
                            .map(|(p, _)| (*p, 1)),
                    );
                }
                Effect::ClearTable { table } => {
                    self.tables.insert(table, BTreeMap::new());
                    self.own.retain(|(of, _), _| *of != table);
                    reached.extend(
                        self.joined
                            .iter()
                            .filter(|(_, b)| uses(b, &table))
                            .map(|(p, _)| (*p, 1)),
                    );
                }
                Effect::BindTable {
                    proxy,
                    table,
                    kinds: mask,
                } => {
                    let lines = self.tables.entry(table).or_default();
                    if let Some(bound) = self.joined.get_mut(&proxy) {
                        let withdrawn = lines.keys().filter(|s| self.out.contains(*s)).count();
                        tables = lines.len();
                        reached.insert(proxy, 1 + tables + withdrawn);
                        bound.extend(kinds(mask).map(|kind| (kind, table)));
                    }
                }
                Effect::WithdrawServer { server, out } => {
                    if out {
                        self.out.insert(server)
                    } else {
                        self.out.remove(&server)
                    };
                    let holds = |b: &BTreeMap<KindId, TableId>| {
                        b.len() < KINDS.len()
                            || b.values().any(|t| self.tables[t].contains_key(&server))
                    };
                    reached.extend(
                        self.joined
                            .iter()
                            .filter(|(_, b)| holds(b))
                            .map(|(p, _)| (*p, 1)),
                    );
                }
                Effect::SetAdmission {
                    table,
                    kinds: mask,
                    level,
                    retry,
                } => {
                    for kind in kinds(mask) {
                        match table {
                            None => _ = self.all.insert(kind, (level, retry as u64)),
                            Some(of) => _ = self.own.insert((of, kind), (level, retry as u64)),
                        }
                    }
                    let affected = self
                        .joined
                        .iter()
                        .filter(|(_, b)| table.is_none_or(|t| uses(b, &t)));
                    reached.extend(affected.map(|(p, _)| (*p, 0)));
                }
                Effect::RequestAck { all, .. } => {
                    let others = self.joined.keys().filter(|_| all).copied();
                    let marked: BTreeSet<ProxyId> = cost.keys().copied().chain(others).collect();
                    reached.extend(marked.into_iter().map(|p| (p, 1)));
                }
                _ => {}
            }
            for (proxy, lines) in reached {
                let (all, of_tables) = cost.entry(proxy).or_default();
                (*all, *of_tables) = (*all + lines, *of_tables + tables);
            }
        }
        cost
    }
}

fn random_effects(rng: &mut ChaCha8Rng, number: u64) -> Vec<Effect> {
    let mut effects = Vec::new();
    for _ in 0..rng.random_range(1..7) {
        let (table, n) = (rng.random_range(0..4), rng.random_range(0..SERVERS));
        let (proxy, kinds) = (rng.random_range(0..PROXIES), rng.random_range(0..8));
        effects.push(match rng.random_range(0..20) {
            0..9 => line(table, n, f64::from(rng.random_range(0..4_u8)) / 2.0),
            9..14 => bind(proxy, table, kinds),
            14..17 => withdraw(n, rng.random_bool(0.5)),
            17 => set_admission(
                None,
                kinds,
                f64::from(rng.random_range(0..3_u8)),
                Retry::IfNotExecuted,
            ),
            18 => set_admission(
                Some(table),
                kinds,
                f64::from(rng.random_range(0..3_u8)),
                Retry::Never,
            ),
            _ => Effect::ClearTable { table },
        });
    }
    effects.push(mark(number, rng.random_bool(0.1)));
    effects
}

#[test]
fn messages_match_the_reference_model_within_its_line_budget() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut orders, mut model) = (orders(), Model::default());
        let mut proxies: BTreeMap<ProxyId, ProxyState> =
            (0..PROXIES).map(|p| (p, ProxyState::default())).collect();
        for number in 0..40 {
            let id = rng.random_range(0..PROXIES);
            let proxy = proxies.get_mut(&id).unwrap();
            match rng.random_range(0..8) {
                // The stream breaks, and another assigner withdraws a server.
                0 => {
                    orders.leave(0.0, id);
                    model.joined.remove(&id);
                    proxy.out.insert(name(rng.random_range(0..SERVERS)));
                }
                1 | 2 => {
                    let fresh = rng.random_bool(0.3);
                    *proxy = if fresh {
                        ProxyState::default()
                    } else {
                        proxy.clone()
                    };
                    orders.join(0.0, id, fresh, None);
                    model.joined.insert(id, BTreeMap::new());
                }
                _ => {}
            }
            let effects = random_effects(&mut rng, number);
            let mut cost = model.carry_out(&effects);
            for written in orders.carry_out(0.0, &effects, &names()) {
                let proxy = proxies.get_mut(&written.proxy).unwrap();
                proxy.apply(&written);
                // Lines that the protocol adds: levels, and withdrawals or restores sent with a line.
                let text = String::from_utf8(written.bytes).unwrap();
                let of = |part: &Value, key: &str| part[key].as_array().map_or(0, Vec::len);
                let parts: Vec<Value> = text
                    .lines()
                    .map(|part| serde_json::from_str(part).unwrap())
                    .collect();
                let levels = parts.iter().filter(|p| !p["level"].is_null()).count();
                let withdrawals: usize = parts.iter().map(|p| of(p, "out") + of(p, "back")).sum();
                let (budget, tables) = cost
                    .remove(&written.proxy)
                    .expect("a message without an effect");
                let lines = written.lines - levels;
                assert!(
                    lines - withdrawals <= budget,
                    "seed {seed}: {lines} lines for {budget}: {text}"
                );
                // At most one extra per table line, which `bind_lines` accounts for.
                assert!(
                    lines <= budget + tables,
                    "seed {seed}: {lines} for {budget} + {tables}: {text}"
                );
            }
            assert!(cost.is_empty(), "seed {seed}: no message for {cost:?}");
            for (id, bound) in &model.joined {
                for (kind, table) in bound {
                    let proxy = &proxies[id];
                    assert_eq!(
                        proxy.usable(*kind),
                        model.usable(*table),
                        "seed {seed}, p{id}, {kind}"
                    );
                    assert_eq!(
                        proxy.levels[*kind],
                        model.level(*table, *kind),
                        "seed {seed}, p{id}, {kind}"
                    );
                }
            }
        }
    }
}
