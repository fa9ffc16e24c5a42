//! What the parts of a proxy share. Nothing borrowed from here is held across a wait.

use crate::client_registry::ClientRegistry;
use crate::memory::MemoryLimit;
use crate::upstream_pool::UpstreamPools;
use rookpulley_proxy_core::{Effect, ProxyStart, ProxyState};
use rookpulley_routes::{Limits, RouteTable};
use rookpulley_runtime::connection::Outbox;
use rookpulley_settings::Node;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Descriptors for controllers, listeners, the runtime, and those kept for files.
const RESERVED_DESCRIPTORS: u64 = 400;
const MIN_DESCRIPTORS: u64 = 100;
/// Connections to instances take a third of the descriptors, and no more than this.
const MAX_UPSTREAM_CONNECTIONS: usize = 800;
/// Up to which length a response is held until it is complete, on a quick link and on a slow one.
const QUICK_LINK_MBPS: f64 = 100.0;
const QUICK_LINK_BUFFER: usize = 1 << 20;
const SLOW_LINK_BUFFER: usize = 16 << 10;
/// Bodies that are held take this part of the memory.
const BODIES_MEMORY_PART: f64 = 0.25;
const MAX_INSTANT_MS: f64 = 1e12;

/// A proxy on sockets and clock.
pub struct ProxyContext {
    pub node: Node,
    started: Instant,
    state: RefCell<ProxyState>,
    /// The open connections to controllers.
    pub(crate) controllers: RefCell<BTreeMap<Ipv4Addr, Outbox>>,
    pub(crate) upstreams: UpstreamPools,
    pub(crate) clients: ClientRegistry,
    /// Requests that were read and whose answers aren't written yet.
    pub(crate) requests_in_flight: Cell<usize>,
    pub(crate) memory: MemoryLimit,
    /// A response up to this length is held until it is complete.
    pub(crate) max_buffered_response: usize,
}

impl ProxyContext {
    pub fn new(node: Node) -> Rc<Self> {
        let descriptors = node
            .limits
            .max_open_files
            .saturating_sub(RESERVED_DESCRIPTORS);
        let descriptors = descriptors.max(MIN_DESCRIPTORS) as usize;
        let upstream_connections = (descriptors / 3).min(MAX_UPSTREAM_CONNECTIONS);
        let max_buffered_response = if node.limits.link_mbps >= QUICK_LINK_MBPS {
            QUICK_LINK_BUFFER
        } else {
            SLOW_LINK_BUFFER
        };
        let state = ProxyState::new(ProxyStart {
            name: &node.name,
            zone: &node.zone,
            seeds: node.seeds.iter().map(|seed| *seed.ip()).collect(),
            retry_ratio: node.bounds.retry_budget_ratio,
            retry_slack: node.bounds.retry_budget_slack,
            seed: RandomState::new().hash_one(&node.name),
        });
        let bodies_bytes = node.limits.memory_mb * BODIES_MEMORY_PART * 1e6;
        Rc::new(Self {
            started: Instant::now(),
            state: RefCell::new(state),
            controllers: RefCell::default(),
            upstreams: UpstreamPools::new(&node.zone, upstream_connections),
            clients: ClientRegistry::new(descriptors - upstream_connections),
            requests_in_flight: Cell::new(0),
            memory: MemoryLimit::new(bodies_bytes as usize),
            max_buffered_response,
            node,
        })
    }

    /// Since the start, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// The moment so many milliseconds after the start.
    pub(crate) fn instant(&self, at_ms: f64) -> Instant {
        let after = Duration::from_secs_f64(at_ms.clamp(0.0, MAX_INSTANT_MS) / 1e3);
        self.started + after
    }

    /// Hands something to the state, and carries out what it wants.
    pub(crate) fn step<T>(self: &Rc<Self>, input: impl FnOnce(&mut ProxyState, f64) -> T) -> T {
        let (result, effects) = {
            let mut state = self.state.borrow_mut();
            let result = input(&mut state, self.now_ms());
            (result, state.take_effects())
        };
        for effect in effects {
            self.carry_out(effect);
        }
        result
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Connect(controller) => self.connect_to_controller(controller),
            Effect::SendToController { to, message } => self.send_to_controller(to, &message),
            Effect::CloseConnections(incarnation) => self.upstreams.close(&incarnation),
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::LogWarning(line) => tracing::warn!("{line}"),
        }
    }

    /// Looks at the state.
    pub(crate) fn inspect<T>(&self, look: impl FnOnce(&ProxyState) -> T) -> T {
        look(&self.state.borrow())
    }

    /// The limits of the configuration in force.
    pub(crate) fn limits(&self) -> Limits {
        let routes: Option<Rc<RouteTable>> = self.inspect(ProxyState::route_table);
        routes.map_or_else(Limits::default, |routes| routes.limits)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.inspect(ProxyState::is_ready)
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.inspect(|state| state.is_shutting_down)
    }
}
