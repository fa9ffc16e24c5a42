//! Usage counts of proxies: collected here, and replicated once their windows have ended.
//!
//! Invariant: counts that a proxy has sent stay here until their window is closed in the replicated state, and are
//! submitted again until the chain has acknowledged them.

use super::Controller;
use crate::pending_request::{InternalPurpose, PendingRequest};
use rookpulley_chain::{Outcome, RequestKind};
use rookpulley_state::{Answer, Limits, Update};
use rookpulley_usage::{ProxyUsage, UsageTable, Window, WindowLength, WindowUsage, window_bytes};
use std::collections::BTreeSet;

/// Time between two updates, in milliseconds.
const UPDATE_INTERVAL_MS: f64 = 500.0;
/// Time until a next update after one without a clear answer, in milliseconds.
const RETRY_INTERVAL_MS: f64 = 1_000.0;
/// Time until a next update after one that the state has refused, in milliseconds.
const REFUSED_INTERVAL_MS: f64 = 5_000.0;
/// Time from the end of a window until its counts are replicated: proxies send theirs each second. In milliseconds.
const SETTLE_MS: f64 = 1_200.0;
/// Accounted size of an update, in bytes. The counts of one proxy in one window aren't split.
const MAX_UPDATE_BYTES: usize = 64 << 10;
/// Accounted size of the collected counts, in bytes.
const MAX_COLLECTED_BYTES: usize = 4 << 20;
/// Windows after the present one whose counts are collected. Counts beyond come from a wrong clock.
const MAX_WINDOWS_AHEAD: u64 = 2;
/// Windows before the present one whose counts are collected.
const MAX_WINDOWS_BEHIND: u64 = 32;

/// Window and proxy incarnation of counts.
type CountsId = (Window, u64);

/// The counts that this controller has collected.
pub(super) struct UsageCollector {
    /// None if usage isn't reported.
    window_length: Option<WindowLength>,
    table: UsageTable,
    /// Counts that have changed since they were submitted last.
    changed: BTreeSet<CountsId>,
    /// Counts in the update that waits for the chain, if there is one.
    submitted: Option<BTreeSet<CountsId>>,
    next_update_ms: f64,
    /// Whether the state has refused the last update.
    is_refused: bool,
}

impl UsageCollector {
    pub(super) fn new(window_length: Option<WindowLength>) -> Self {
        Self {
            window_length,
            table: UsageTable::default(),
            changed: BTreeSet::new(),
            submitted: None,
            next_update_ms: 0.0,
            is_refused: false,
        }
    }

    /// Merges counts of one window. Counts that can't be kept are dropped.
    fn merge(&mut self, unix_ms: f64, incarnation: u64, mut usage: WindowUsage) {
        let max_bytes = Limits::default().name_bytes;
        usage.tenants.retain(|of| of.tenant.len() <= max_bytes);
        let growth_bytes = self.table.growth_bytes(incarnation, &usage);
        let has_room = self.table.size_bytes() + growth_bytes <= MAX_COLLECTED_BYTES;
        let is_kept = has_room && self.is_near(unix_ms, usage.window);
        if is_kept && self.table.merge(incarnation, &usage) {
            self.changed.insert((usage.window, incarnation));
        }
    }

    /// Whether a window is so near to the present one that its counts are plausible.
    fn is_near(&self, unix_ms: f64, window: Window) -> bool {
        self.window_length.is_some_and(|length| {
            let present = length.window_at(unix_ms).0;
            let earliest = present.saturating_sub(MAX_WINDOWS_BEHIND);
            (earliest..=present + MAX_WINDOWS_AHEAD).contains(&window.0)
        })
    }

    /// Removes the counts of closed windows.
    fn remove_closed(&mut self, closed_through: Window) {
        self.table.remove_through(closed_through);
        self.changed.retain(|(window, _)| *window > closed_through);
    }

    /// Takes the next update if one is due: counts of windows that have ended, the earliest first.
    fn take_update(&mut self, now: f64, unix_ms: f64) -> Option<Update> {
        let length = self.window_length?;
        if self.submitted.is_some() || now < self.next_update_ms {
            return None;
        }
        let has_ended = |window: Window| length.end_ms(window) + SETTLE_MS <= unix_ms;
        let ended = self.changed.iter().take_while(|(at, _)| has_ended(*at));
        let (mut proxies, mut taken, mut bytes) = (Vec::new(), BTreeSet::new(), 0);
        for (window, incarnation) in ended.copied() {
            let usage = self.table.usage(window, incarnation);
            bytes += window_bytes(&usage.tenants);
            if bytes > MAX_UPDATE_BYTES && !taken.is_empty() {
                break;
            }
            taken.insert((window, incarnation));
            proxies.push(ProxyUsage {
                incarnation,
                windows: vec![usage],
            });
        }
        if taken.is_empty() {
            return None;
        }
        self.changed.retain(|id| !taken.contains(id));
        self.submitted = Some(taken);
        self.next_update_ms = now + UPDATE_INTERVAL_MS;
        Some(Update::RecordUsage { proxies })
    }

    /// Processes the end of an update. Counts that may not have been recorded are submitted again.
    fn update_ended(&mut self, now: f64, is_recorded: bool, is_refused: bool) {
        let submitted = self.submitted.take().unwrap_or_default();
        self.is_refused = is_refused;
        if is_recorded {
            return;
        }
        self.changed.extend(submitted);
        let wait_ms = match is_refused {
            true => REFUSED_INTERVAL_MS,
            false => RETRY_INTERVAL_MS,
        };
        self.next_update_ms = now + wait_ms;
    }
}

impl Controller {
    /// Collects counts of a proxy.
    pub(super) fn handle_usage(&mut self, now: f64, usage: ProxyUsage) {
        let unix_ms = self.clock.unix_ms(now);
        for window in usage.windows {
            self.usage.merge(unix_ms, usage.incarnation, window);
        }
    }

    /// Submits changed counts of windows that have ended to the chain.
    pub(super) fn replicate_usage(&mut self, now: f64) {
        if let Some(closed_through) = self.state().usage_ledger().closed_through() {
            self.usage.remove_closed(closed_through);
        }
        let unix_ms = self.clock.unix_ms(now);
        let Some(update) = self.usage.take_update(now, unix_ms) else {
            return;
        };
        let token = self.next_number();
        let pending = PendingRequest::Internal(InternalPurpose::Usage);
        self.submit_to_chain(now, token, pending, RequestKind::Update, update.encode());
    }

    /// Handles the chain's outcome of an update of counts.
    pub(super) fn handle_usage_outcome(&mut self, now: f64, outcome: Outcome) {
        let answer = match outcome {
            Outcome::Completed(bytes) => Answer::decode(&bytes).ok(),
            Outcome::Rejected | Outcome::Unknown => None,
        };
        let is_recorded = answer == Some(Answer::Done);
        let is_refused = answer.is_some() && !is_recorded;
        if is_refused && !self.usage.is_refused {
            self.log(format!(
                "usage: the state has refused counts ({answer:?}); they are submitted again"
            ));
        }
        self.usage.update_ended(now, is_recorded, is_refused);
    }
}
