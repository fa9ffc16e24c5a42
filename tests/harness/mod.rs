//! Test harness that runs one controller on scripted inputs and records its effects as text.

use rookpulley::interface::*;
use rookpulley::rules::Controller;
use std::collections::BTreeMap;
use std::fmt::Write;

pub struct Harness {
    controller: Controller,
    now: f64,
    alarms: Vec<(f64, u64)>,
    marks: BTreeMap<ProxyId, u64>,
    reached: Vec<ProxyId>,
    bound: BTreeMap<TableId, ProxyId>,
    /// Table contents according to the effects.
    lines: BTreeMap<TableId, BTreeMap<u8, f64>>,
    pub trace: String,
}

pub fn server(n: u8) -> ServerId {
    [10, 0, 0, n, 80, 0]
}

pub fn listed(n: u8, zone: ZoneId) -> ServerEntry {
    let (stage, weight, started_ms) = (Stage::Ready, 2.0, 0.0);
    ServerEntry {
        server: server(n),
        zone,
        machine: 0,
        bay: zone,
        stage,
        weight,
        started_ms,
    }
}

pub fn kind(name: &str, value: f64, repeat: RepeatSafety) -> RequestKind {
    RequestKind {
        name: name.into(),
        response_target_ms: 1_000.0,
        client_timeout_ms: 3_000.0,
        value,
        late_value_share: 0.1,
        repeat,
        writes: false,
        zones: vec![],
        machines: vec![],
        own_zone: false,
    }
}

/// Default settings: one request kind, two proxies, and no zone-local traffic.
pub fn start() -> Start {
    Start {
        seed: 7,
        topology: Topology {
            controllers: 2,
            zones: vec!["a".into(), "b".into()],
            proxies: 2,
            ..Topology::default()
        },
        kinds: vec![kind("view", 1.0, RepeatSafety::Replayable)],
        bounds: SafetyBounds {
            max_unbound_ms: 3_000.0,
            drain_grace_ms: 2_000.0,
            cold_share: 0.25,
            warm_up_ms: 15_000.0,
            fall_multiple: 3.0,
            overload_ms: 2_000.0,
            soft_removal: false,
        },
        channel: ChannelLimits {
            lines_per_s: 1_000.0,
            header_lines: 6.0,
            bind_lines: 1.0,
            backlog_lines: 1_500.0,
            messages_most: 0,
            message_window_ms: 10_000.0,
            transit_ms: 100.0,
            max_transit_ms: 300.0,
        },
        proxy_behavior: ProxyBehavior {
            levels: AdmissionMode::Rate,
            default_retry: Retry::IfNotExecuted,
            ..ProxyBehavior::default()
        },
        list: ListSettings::default(),
        capabilities: Capabilities {
            report_period_ms: 1_000.0,
            min_connections: f64::INFINITY,
            flow_steps: COARSE_FLOW_STEPS,
            ..Capabilities::default()
        },
        load_fields: vec![],
    }
}

impl Harness {
    /// A started controller with this server list. The clock starts well after 0, which means an unknown start time.
    pub fn new(start: Start, lines: Vec<ServerEntry>) -> Self {
        let now = 100_000.0;
        let controller = Controller::new(now, start);
        let (marks, bound) = (BTreeMap::new(), BTreeMap::new());
        let (alarms, reached, trace) = (vec![], vec![], String::new());
        let mut harness = Self {
            controller,
            now,
            alarms,
            marks,
            reached,
            bound,
            lines: BTreeMap::new(),
            trace,
        };
        harness.handle(vec![Input::List {
            scope: ListScope::Cached,
            version: 1,
            lines,
        }]);
        harness
    }

    pub fn heading(&mut self, what: &str) {
        writeln!(self.trace, "-- {what}").unwrap();
    }

    pub fn handle(&mut self, inputs: Vec<Input>) {
        let effects = self.controller.handle(self.now, &inputs);
        let mut lines: BTreeMap<TableId, Vec<String>> = BTreeMap::new();
        let mut said = Vec::new();
        self.reached.clear();
        for effect in effects {
            match effect {
                Effect::SetTimer { in_ms, name } => self.alarms.push((self.now + in_ms, name)),
                Effect::SetWeight {
                    table,
                    server,
                    weight,
                } => {
                    self.reached.extend(self.bound.get(&table));
                    lines
                        .entry(table)
                        .or_default()
                        .push(format!("s{}={weight}", server[3]));
                    self.lines
                        .entry(table)
                        .or_default()
                        .insert(server[3], weight);
                }
                Effect::BindTable {
                    proxy,
                    table,
                    kinds,
                } => {
                    self.bound.insert(table, proxy);
                    self.reached.push(proxy);
                    said.push(format!("bind p{proxy} to t{table} for kinds {kinds:b}"));
                }
                Effect::WithdrawServer { server, out } => {
                    said.push(format!(
                        "{} s{}",
                        if out { "withdraw" } else { "let back" },
                        server[3]
                    ));
                }
                Effect::SetAdmission {
                    kinds,
                    level,
                    retry,
                    ..
                } => {
                    said.push(format!(
                        "kinds {kinds:b}: admit {level:.1}, retry {retry:?}"
                    ));
                }
                Effect::RequestAck { mark, .. } => {
                    self.reached
                        .iter()
                        .for_each(|p| _ = self.marks.insert(*p, mark));
                }
                Effect::Log(text) => said.push(format!("log {text}")),
                other => said.push(format!("{other:?}")),
            }
        }
        let tables = lines
            .iter()
            .map(|(table, lines)| format!("t{table}: {}", lines.join(" ")));
        for what in tables.chain(said) {
            writeln!(self.trace, "{:6.0} {what}", self.now - 100_000.0).unwrap();
        }
    }

    /// Advances the clock, fires the timers that are due, and calls `each` after each of them.
    pub fn advance(&mut self, ms: f64, mut each: impl FnMut(&mut Self)) {
        let end = self.now + ms;
        while let Some(at) =
            (0..self.alarms.len()).min_by(|a, b| self.alarms[*a].0.total_cmp(&self.alarms[*b].0))
        {
            if self.alarms[at].0 > end {
                break;
            }
            let (due, name) = self.alarms.remove(at);
            self.now = due;
            self.handle(vec![Input::TimerFired { name }]);
            each(self);
        }
        self.now = end;
    }

    pub fn join(&mut self, proxy: ProxyId, zone: ZoneId) {
        self.handle(vec![Input::ProxyJoined {
            proxy,
            zone,
            usual_per_s: 10.0,
            fresh: true,
        }]);
    }

    /// Applies a list change for one server.
    pub fn change(&mut self, n: u8, stage: Stage, started_ms: f64) {
        let line = ServerEntry {
            stage,
            started_ms,
            ..listed(n, 0)
        };
        self.handle(vec![Input::List {
            scope: ListScope::Changes,
            version: 2,
            lines: vec![line],
        }]);
    }

    /// Acknowledges all outstanding requests.
    pub fn answer(&mut self) {
        for (proxy, mark) in std::mem::take(&mut self.marks) {
            self.handle(vec![Input::Acknowledged {
                proxy,
                mark,
                took_ms: 150.0,
            }]);
        }
    }

    pub fn report(&mut self, n: u8, tries: f64, bad: f64, mean_ms: f64) {
        let (zone, server, span_ms, load) = (0, server(n), 1_000.0, vec![0.0]);
        self.handle(vec![Input::ServerReport {
            zone,
            server,
            tries,
            bad,
            mean_ms,
            span_ms,
            load,
        }]);
    }

    pub fn usage(&mut self, proxy: ProxyId, kind: KindId, came: f64) {
        self.handle(vec![Input::ProxyUsage {
            proxy,
            kind,
            came,
            bad: 0.0,
            span_ms: 1_000.0,
        }]);
    }

    /// Load per server if each table brings a load of 1, split by its weights.
    pub fn sent(&self) -> BTreeMap<u8, f64> {
        let mut sent = BTreeMap::new();
        for lines in self.bound.keys().filter_map(|table| self.lines.get(table)) {
            let all: f64 = lines.values().sum();
            lines
                .iter()
                .for_each(|(n, weight)| *sent.entry(*n).or_insert(0.0) += weight / all);
        }
        sent
    }

    pub fn known(&self) -> Vec<u8> {
        (1..=u8::MAX)
            .filter(|n| self.controller.knows(&server(*n)))
            .collect()
    }

    pub fn now(&self) -> f64 {
        self.now
    }
}
