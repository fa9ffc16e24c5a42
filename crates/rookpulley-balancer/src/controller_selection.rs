//! The controllers that a proxy knows, and which of them is its primary.
//!
//! All proxies choose by the same rank, so the decision module that publishes their tables knows the whole of the demand
//! and hears of each instance from all of them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;

/// For so long a primary may be out of touch before another one is chosen.
const PRIMARY_PATIENCE_MS: f64 = 600.0;
/// A controller that nobody names for so long is no longer connected to.
const FORGOTTEN_MS: f64 = 60_000.0;
const MAX_CONTROLLERS: usize = 64;
/// A newer configuration comes from the primary unasked. Where it doesn't for so long, the primary is asked for it, and
/// after the longer time whoever has it. Each copy fills a slow link: one is asked for at a time.
const PRIMARY_LATE_MS: f64 = 400.0;
const LATE_MS: f64 = 700.0;
const REQUEST_INTERVAL_MS: f64 = 500.0;

/// One controller as this proxy sees it.
struct KnownController {
    is_connected: bool,
    is_in_touch: bool,
    /// When it was last in touch, or the connection was made.
    in_touch_ms: f64,
    /// When it was last named by a seed or a controller.
    named_ms: f64,
}

impl KnownController {
    fn is_usable(&self) -> bool {
        self.is_connected && self.is_in_touch
    }

    /// Whether it may remain the primary.
    fn may_remain_primary(&self, now_ms: f64) -> bool {
        let is_patient = now_ms - self.in_touch_ms < PRIMARY_PATIENCE_MS;
        self.is_connected && (self.is_in_touch || is_patient)
    }
}

/// Another primary than before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrimaryChange {
    /// The one before.
    pub from: Option<Ipv4Addr>,
    /// The one from now on.
    pub to: Ipv4Addr,
}

/// A newer configuration than the held one is known of.
#[derive(Clone, Copy)]
struct NewerConfiguration {
    /// The version that is held.
    held: u64,
    since_ms: f64,
}

/// The controllers that a proxy knows.
#[derive(Default)]
pub struct ControllerSelection {
    controllers: BTreeMap<Ipv4Addr, KnownController>,
    primary: Option<Ipv4Addr>,
    newer: Option<NewerConfiguration>,
    requested_ms: Option<f64>,
}

impl ControllerSelection {
    /// The controller that publishes this proxy's tables.
    pub fn primary(&self) -> Option<Ipv4Addr> {
        self.primary
    }

    /// Somebody names a controller. True: it wasn't known and is to be connected to.
    pub fn discover(&mut self, now_ms: f64, controller: Ipv4Addr) -> bool {
        if let Some(known) = self.controllers.get_mut(&controller) {
            known.named_ms = now_ms;
            return false;
        }
        if self.controllers.len() >= MAX_CONTROLLERS {
            return false;
        }
        let known = KnownController {
            is_connected: false,
            is_in_touch: false,
            in_touch_ms: 0.0,
            named_ms: now_ms,
        };
        self.controllers.insert(controller, known);
        true
    }

    /// Whether nobody has named a controller for long. It is forgotten then, and need not be connected to again.
    pub fn is_forgotten(&mut self, now_ms: f64, controller: Ipv4Addr) -> bool {
        let known = self.controllers.get(&controller);
        let is_old = known.is_none_or(|known| now_ms - known.named_ms > FORGOTTEN_MS);
        if is_old {
            self.controllers.remove(&controller);
        }
        is_old
    }

    /// The connection to a controller is open.
    pub fn connected(&mut self, now_ms: f64, controller: Ipv4Addr) {
        if let Some(known) = self.controllers.get_mut(&controller) {
            known.is_connected = true;
            known.in_touch_ms = now_ms;
        }
    }

    /// The connection to a controller is over.
    pub fn disconnected(&mut self, controller: Ipv4Addr) {
        if let Some(known) = self.controllers.get_mut(&controller) {
            known.is_connected = false;
            known.is_in_touch = false;
        }
    }

    /// The controllers that have said within this time that they are in touch.
    pub fn in_touch(&self, now_ms: f64, within_ms: f64) -> impl Iterator<Item = Ipv4Addr> {
        let is_fresh = move |known: &KnownController| now_ms - known.in_touch_ms <= within_ms;
        self.controllers
            .iter()
            .filter(move |(_, known)| known.is_usable() && is_fresh(known))
            .map(|(ip, _)| *ip)
    }

    /// A controller has sent its status. True: its configuration, which is newer than the held one, is to be requested.
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
        let is_late = now_ms - newer.since_ms >= self.late_ms(controller);
        let is_first = self
            .requested_ms
            .is_none_or(|requested_ms| now_ms - requested_ms >= REQUEST_INTERVAL_MS);
        if is_late && is_first {
            self.requested_ms = Some(now_ms);
        }
        is_late && is_first
    }

    /// For how long a newer configuration is waited for before this controller is asked for it.
    fn late_ms(&self, controller: Ipv4Addr) -> f64 {
        let Some(primary) = self.primary else {
            return 0.0;
        };
        let known = self.controllers.get(&primary);
        if !known.is_some_and(KnownController::is_usable) {
            0.0
        } else if primary == controller {
            PRIMARY_LATE_MS
        } else {
            LATE_MS
        }
    }

    /// Chooses another primary where the present one may not remain it.
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

/// The same for all proxies.
fn rank(controller: Ipv4Addr) -> u64 {
    let mut hasher = DefaultHasher::new();
    controller.hash(&mut hasher);
    hasher.finish()
}
