//! Known controllers of a proxy, and the choice of its primary.
//!
//! All proxies rank controllers identically and so choose the same primary, whose decision module then sees the load
//! reports of the whole fleet.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;

/// How long the primary may be out of touch before another one is chosen.
const PRIMARY_FAILOVER_MS: f64 = 600.0;
/// How long a controller is kept after it was last announced.
const CONTROLLER_EXPIRY_MS: f64 = 60_000.0;
const MAX_CONTROLLERS: usize = 64;
/// The primary pushes newer configurations. After the first delay without one it is requested from the primary, and
/// after the second from any controller. A primary that announces no configuration has left the chain and pushes none, so
/// a proxy that already has one requests at once. Requests are rate-limited because a configuration can saturate a slow
/// link.
const PRIMARY_REQUEST_DELAY_MS: f64 = 400.0;
const REQUEST_DELAY_MS: f64 = 700.0;
const REQUEST_INTERVAL_MS: f64 = 500.0;

/// State of one controller as seen by this proxy.
struct KnownController {
    is_connected: bool,
    is_in_touch: bool,
    /// Newest configuration version that it announced, or 0 if it can't send any.
    configuration: u64,
    /// When it last reported being in touch, or when the connection was opened.
    in_touch_ms: f64,
    /// When it was last announced, by the seed list or by a controller.
    announced_ms: f64,
}

impl KnownController {
    fn is_usable(&self) -> bool {
        self.is_connected && self.is_in_touch
    }

    /// Whether it may stay primary: connected, and in touch within the failover timeout.
    fn may_remain_primary(&self, now_ms: f64) -> bool {
        let is_within_timeout = now_ms - self.in_touch_ms < PRIMARY_FAILOVER_MS;
        self.is_connected && (self.is_in_touch || is_within_timeout)
    }
}

/// A change of the primary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrimaryChange {
    /// Previous primary.
    pub from: Option<Ipv4Addr>,
    /// New primary.
    pub to: Ipv4Addr,
}

/// A configuration newer than the held one has been announced.
#[derive(Clone, Copy)]
struct NewerConfiguration {
    /// Version held by this proxy.
    held: u64,
    since_ms: f64,
}

/// Tracks the known controllers and chooses the primary.
#[derive(Default)]
pub struct ControllerSelection {
    controllers: BTreeMap<Ipv4Addr, KnownController>,
    primary: Option<Ipv4Addr>,
    newer: Option<NewerConfiguration>,
    requested_ms: Option<f64>,
}

impl ControllerSelection {
    /// The controller that publishes this proxy's endpoint tables.
    pub fn primary(&self) -> Option<Ipv4Addr> {
        self.primary
    }

    /// Records an announced controller. Returns true if it is new and should be connected to.
    pub fn discover(&mut self, now_ms: f64, controller: Ipv4Addr) -> bool {
        if let Some(known) = self.controllers.get_mut(&controller) {
            known.announced_ms = now_ms;
            return false;
        }
        if self.controllers.len() >= MAX_CONTROLLERS {
            return false;
        }
        let known = KnownController {
            is_connected: false,
            is_in_touch: false,
            configuration: 0,
            in_touch_ms: 0.0,
            announced_ms: now_ms,
        };
        self.controllers.insert(controller, known);
        true
    }

    /// Removes a controller that has not been announced recently. Returns true if it is unknown now, so no reconnection
    /// is needed.
    pub fn remove_if_expired(&mut self, now_ms: f64, controller: Ipv4Addr) -> bool {
        let known = self.controllers.get(&controller);
        let is_expired =
            known.is_none_or(|known| now_ms - known.announced_ms > CONTROLLER_EXPIRY_MS);
        if is_expired {
            self.controllers.remove(&controller);
        }
        is_expired
    }

    /// Records that the connection to a controller is open.
    pub fn connected(&mut self, now_ms: f64, controller: Ipv4Addr) {
        if let Some(known) = self.controllers.get_mut(&controller) {
            known.is_connected = true;
            known.in_touch_ms = now_ms;
        }
    }

    /// Records that the connection to a controller is closed.
    pub fn disconnected(&mut self, controller: Ipv4Addr) {
        if let Some(known) = self.controllers.get_mut(&controller) {
            known.is_connected = false;
            known.is_in_touch = false;
        }
    }

    /// Controllers that reported being in touch within the last `within_ms`.
    pub fn in_touch(&self, now_ms: f64, within_ms: f64) -> impl Iterator<Item = Ipv4Addr> {
        let is_fresh = move |known: &KnownController| now_ms - known.in_touch_ms <= within_ms;
        self.controllers
            .iter()
            .filter(move |(_, known)| known.is_usable() && is_fresh(known))
            .map(|(ip, _)| *ip)
    }

    /// Processes a controller's status. Returns true if its newer configuration should be requested.
    pub fn handle_status(
        &mut self,
        now_ms: f64,
        controller: Ipv4Addr,
        in_touch: bool,
        configuration: u64,
        held: u64,
    ) -> bool {
        let Some(known) = self.controllers.get_mut(&controller) else {
            return false;
        };
        known.is_in_touch = in_touch;
        known.configuration = configuration;
        if in_touch {
            known.in_touch_ms = now_ms;
        }
        if configuration <= held {
            return false;
        }
        let newer = self.newer.filter(|newer| newer.held == held);
        let newer = newer.unwrap_or(NewerConfiguration {
            held,
            since_ms: now_ms,
        });
        self.newer = Some(newer);
        let is_due = now_ms - newer.since_ms >= self.request_delay_ms(controller, held);
        let is_allowed = self
            .requested_ms
            .is_none_or(|requested_ms| now_ms - requested_ms >= REQUEST_INTERVAL_MS);
        if is_due && is_allowed {
            self.requested_ms = Some(now_ms);
        }
        is_due && is_allowed
    }

    /// How long to wait for a configuration newer than `held` before requesting it from this controller.
    fn request_delay_ms(&self, controller: Ipv4Addr, held: u64) -> f64 {
        let Some(primary) = self.primary else {
            return 0.0;
        };
        let known = self.controllers.get(&primary);
        if !known.is_some_and(KnownController::is_usable) {
            0.0
        } else if primary == controller {
            PRIMARY_REQUEST_DELAY_MS
        } else if held > 0 && known.is_some_and(|known| known.configuration == 0) {
            0.0
        } else {
            REQUEST_DELAY_MS
        }
    }

    /// Chooses a new primary if the current one may not stay.
    pub fn choose_primary(&mut self, now_ms: f64) -> Option<PrimaryChange> {
        let from = self.primary;
        let known = from.and_then(|primary| self.controllers.get(&primary));
        if known.is_some_and(|known| known.may_remain_primary(now_ms)) {
            return None;
        }
        let usable = self.controllers.iter();
        let usable = usable.filter(|(_, known)| known.is_usable());
        let to = usable.map(|(ip, _)| *ip).max_by_key(|ip| rank(*ip))?;
        if from == Some(to) {
            return None;
        }
        self.primary = Some(to);
        Some(PrimaryChange { from, to })
    }
}

/// Deterministic rank, identical on all proxies.
fn rank(controller: Ipv4Addr) -> u64 {
    let mut hasher = DefaultHasher::new();
    controller.hash(&mut hasher);
    hasher.finish()
}
