//! State shared by all parts of a proxy. No `RefCell` borrow may be held across an await point.

use crate::client_registry::ClientRegistry;
use crate::memory::MemoryLimit;
use crate::shutdown_schedule::{ShutdownPhase, ShutdownSchedule};
use crate::upstream_pool::UpstreamPools;
use rookpulley_proxy_core::{Effect, ProxyStart, ProxyState, UsageStart};
use rookpulley_routes::{Limits, RouteTable};
use rookpulley_runtime::connection::Outbox;
use rookpulley_runtime::unix_ms;
use rookpulley_settings::Node;
use rookpulley_usage::WindowLength;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// File descriptors reserved for controllers, listeners, the runtime and files.
const RESERVED_DESCRIPTORS: u64 = 400;
const MIN_DESCRIPTORS: u64 = 100;
/// Upper limit on upstream connections, which otherwise get a third of the descriptors.
const MAX_UPSTREAM_CONNECTIONS: usize = 800;
/// Responses up to this length are buffered before they are forwarded; the limit depends on the
/// link speed.
const FAST_LINK_MBPS: f64 = 100.0;
const FAST_LINK_BUFFER: usize = 1 << 20;
const SLOW_LINK_BUFFER: usize = 16 << 10;
/// The share of memory for buffered bodies.
const BODY_MEMORY_FRACTION: f64 = 0.25;
const MAX_INSTANT_MS: f64 = 1e12;

/// A proxy with its state, sockets and clock.
pub struct ProxyContext {
    pub node: Node,
    started: Instant,
    state: RefCell<ProxyState>,
    /// The open controller connections.
    pub(crate) controllers: RefCell<BTreeMap<Ipv4Addr, Outbox>>,
    pub(crate) upstreams: UpstreamPools,
    pub(crate) clients: ClientRegistry,
    /// Requests received whose responses are not fully written.
    pub(crate) requests_in_flight: Cell<usize>,
    pub(crate) memory: MemoryLimit,
    /// When the shutdown started and its schedule, or `None` before.
    shutdown: Cell<Option<(Instant, ShutdownSchedule)>>,
    /// The longest response that is buffered before it is forwarded.
    pub(crate) max_buffered_response: usize,
}

/// How usage is counted, if it is reported.
fn usage_start(node: &Node) -> Option<UsageStart> {
    let window = WindowLength::from_seconds(node.usage_window_s()?)?;
    let incarnation = RandomState::new().hash_one((&node.name, unix_ms().to_bits()));
    Some(UsageStart {
        window,
        incarnation,
    })
}

impl ProxyContext {
    pub fn new(node: Node) -> Rc<Self> {
        let started = Instant::now();
        let descriptors = node
            .limits
            .max_open_files
            .saturating_sub(RESERVED_DESCRIPTORS);
        let descriptors = descriptors.max(MIN_DESCRIPTORS) as usize;
        let upstream_connections = (descriptors / 3).min(MAX_UPSTREAM_CONNECTIONS);
        let max_buffered_response = if node.limits.link_mbps >= FAST_LINK_MBPS {
            FAST_LINK_BUFFER
        } else {
            SLOW_LINK_BUFFER
        };
        let bounds = &node.bounds;
        let state = ProxyState::new(ProxyStart {
            name: &node.name,
            zone: &node.zone,
            seeds: node.seeds.iter().map(|seed| *seed.ip()).collect(),
            retry_ratio: node.bounds.retry_budget_ratio,
            retry_slack: node.bounds.retry_budget_slack,
            seed: RandomState::new().hash_one(&node.name),
            revoke_ms: bounds.revocation_strict.then_some(bounds.revoke_ms as f64),
            origin_unix_ms: unix_ms(),
            usage: usage_start(&node),
        });
        let body_memory_bytes = node.limits.memory_mb * BODY_MEMORY_FRACTION * 1e6;
        Rc::new(Self {
            started,
            state: RefCell::new(state),
            controllers: RefCell::default(),
            upstreams: UpstreamPools::new(&node.zone, upstream_connections),
            clients: ClientRegistry::new(descriptors - upstream_connections),
            requests_in_flight: Cell::new(0),
            memory: MemoryLimit::new(body_memory_bytes as usize),
            shutdown: Cell::new(None),
            max_buffered_response,
            node,
        })
    }

    /// Milliseconds since the proxy started.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// The instant at this many milliseconds after the start.
    pub(crate) fn instant(&self, time_ms: f64) -> Instant {
        let offset = Duration::from_secs_f64(time_ms.clamp(0.0, MAX_INSTANT_MS) / 1e3);
        self.started + offset
    }

    /// Applies an input to the state and carries out the resulting effects.
    pub(crate) fn step<T>(self: &Rc<Self>, input: impl FnOnce(&mut ProxyState, f64) -> T) -> T {
        let (result, effects) = {
            let mut state = self.state.borrow_mut();
            let result = input(&mut state, self.now_ms());
            (result, state.take_effects())
        };
        for effect in effects {
            self.apply_effect(effect);
        }
        result
    }

    fn apply_effect(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Connect(controller) => self.connect_to_controller(controller),
            Effect::SendToController { to, message } => self.send_to_controller(to, &message),
            Effect::CloseConnections(incarnation) => self.upstreams.close(&incarnation),
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::LogWarning(line) => tracing::warn!("{line}"),
        }
    }

    /// Reads the state.
    pub(crate) fn inspect<T>(&self, read: impl FnOnce(&ProxyState) -> T) -> T {
        read(&self.state.borrow())
    }

    /// The limits of the current configuration.
    pub(crate) fn limits(&self) -> Limits {
        let routes: Option<Rc<RouteTable>> = self.inspect(ProxyState::route_table);
        routes.map_or_else(Limits::default, |routes| routes.limits)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.inspect(|state| state.is_ready(self.now_ms()))
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.inspect(|state| state.is_shutting_down)
    }

    /// Reports not ready from now on, and starts the schedule of the shutdown.
    pub(crate) fn start_shutdown(self: &Rc<Self>) -> ShutdownSchedule {
        let schedule = ShutdownSchedule::new(self.node.bounds.grace_period_s);
        self.step(|state, _| state.is_shutting_down = true);
        self.shutdown.set(Some((Instant::now(), schedule)));
        schedule
    }

    /// Whether a request with this deadline may begin now.
    pub(crate) fn may_begin(&self, deadline_ms: f64) -> bool {
        self.allows(ShutdownSchedule::may_begin, deadline_ms)
    }

    /// Whether a request with this deadline that began earlier may be sent to an instance now.
    pub(crate) fn may_send(&self, deadline_ms: f64) -> bool {
        self.allows(ShutdownSchedule::may_send, deadline_ms)
    }

    fn allows(
        &self,
        decision: fn(&ShutdownSchedule, Duration, Duration) -> bool,
        deadline_ms: f64,
    ) -> bool {
        self.shutdown.get().is_none_or(|(started, schedule)| {
            let remaining = self.instant(deadline_ms).duration_since(Instant::now());
            decision(&schedule, started.elapsed(), remaining)
        })
    }

    /// Whether the process is about to end, so that no attempt may start.
    pub(crate) fn is_ending(&self) -> bool {
        self.shutdown.get().is_some_and(|(started, schedule)| {
            let phase = schedule.phase(started.elapsed());
            matches!(phase, ShutdownPhase::Answering | ShutdownPhase::Ended)
        })
    }
}
