//! Usage of tenants: counts of windows that are open, and the fixed reports of closed ones that the platform hasn't
//! accepted yet (`duties/LATER.md`, Duty and ONE).
//!
//! Invariants: a report never changes after its window was closed; windows are closed in order.

use crate::requests::Answer;
use rookpulley_usage::{ProxyUsage, TenantUsage, UsageTable, Window, window_bytes};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Windows without counts that are closed at once. Older ones get no report if more are missing.
const MAX_EMPTY_WINDOWS: u64 = 1_000;

/// Counts of open windows, and reports of closed ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLedger {
    table: UsageTable,
    reports: BTreeMap<Window, Vec<TenantUsage>>,
    closed_through: Option<Window>,
}

fn size_of<'a>(reports: impl IntoIterator<Item = &'a Vec<TenantUsage>>) -> usize {
    let sizes = reports.into_iter().map(|tenants| window_bytes(tenants));
    sizes.sum()
}

impl UsageLedger {
    /// The fixed reports that the platform hasn't accepted yet, in the order of their windows.
    pub fn reports(&self) -> impl Iterator<Item = (Window, &[TenantUsage])> {
        let reports = self.reports.iter();
        reports.map(|(window, tenants)| (*window, tenants.as_slice()))
    }

    /// The last window that was closed. All earlier ones are closed too.
    pub fn closed_through(&self) -> Option<Window> {
        self.closed_through
    }

    /// The open windows that have counts, in order.
    pub fn open_windows(&self) -> impl Iterator<Item = Window> {
        self.table.windows()
    }

    /// Sums of an open window by tenant.
    pub fn totals(&self, window: Window) -> BTreeMap<String, u64> {
        self.table.totals(window)
    }

    /// Whether the counts of a window can't change any more.
    pub fn is_closed(&self, window: Window) -> bool {
        self.closed_through.is_some_and(|closed| window <= closed)
    }

    /// Merges counts. Those of closed windows are ignored.
    pub(crate) fn record(&mut self, proxies: &[ProxyUsage], limit_bytes: usize) -> Answer {
        let open = || {
            let windows = proxies.iter().flat_map(|proxy| {
                let windows = proxy.windows.iter();
                windows.map(|usage| (proxy.incarnation, usage))
            });
            windows.filter(|(_, usage)| !self.is_closed(usage.window))
        };
        let growth = open().map(|(proxy, usage)| self.table.growth_bytes(proxy, usage));
        if growth.sum::<usize>() > limit_bytes.saturating_sub(self.bytes()) {
            return Answer::CapacityExceeded;
        }
        let open: Vec<_> = open().collect();
        for (incarnation, usage) in open {
            self.table.merge(incarnation, usage);
        }
        Answer::Done
    }

    /// Fixes the reports of a window and of the earlier ones that aren't closed.
    pub(crate) fn close(&mut self, window: Window, limit_bytes: usize) -> Answer {
        if self.is_closed(window) {
            return Answer::Done;
        }
        let closing = self.windows_to_close(window);
        let new = closing.map(|window| (window, self.report_of(window)));
        let new: BTreeMap<Window, Vec<TenantUsage>> = new.collect();
        let reports_bytes = size_of(self.reports.values()) + size_of(new.values());
        if self.table.size_after(window) + reports_bytes > limit_bytes {
            return Answer::CapacityExceeded;
        }
        self.table.remove_through(window);
        self.reports.extend(new);
        self.closed_through = Some(window);
        Answer::Done
    }

    /// The windows up to one that aren't closed: those with counts, and the newest ones without.
    fn windows_to_close(&self, through: Window) -> impl Iterator<Item = Window> {
        let with_counts = self.table.windows();
        let with_counts: BTreeSet<Window> = with_counts.take_while(|at| *at <= through).collect();
        let first = match self.closed_through {
            Some(closed) => closed.next(),
            None => with_counts.first().copied().unwrap_or(through),
        };
        let newest = through.0.saturating_sub(MAX_EMPTY_WINDOWS - 1);
        let gapless = first.0.max(newest)..=through.0;
        let windows: BTreeSet<Window> =
            with_counts.into_iter().chain(gapless.map(Window)).collect();
        windows.into_iter()
    }

    fn report_of(&self, window: Window) -> Vec<TenantUsage> {
        let totals = self.table.totals(window).into_iter();
        let report = totals.map(|(tenant, requests)| TenantUsage { tenant, requests });
        report.collect()
    }

    /// Removes a report that the platform has accepted.
    pub(crate) fn reported(&mut self, window: Window) -> Answer {
        self.reports.remove(&window);
        Answer::Done
    }

    /// Number of fixed reports.
    pub(crate) fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Accounted size: an upper bound of the encoded size.
    pub(crate) fn bytes(&self) -> usize {
        self.table.size_bytes() + size_of(self.reports.values())
    }

    /// Whether what a snapshot holds agrees: counts are of open windows, reports of closed ones.
    pub(crate) fn is_consistent(&self) -> bool {
        let is_open = |window: Window| !self.is_closed(window);
        self.table.windows().all(is_open) && self.reports.keys().all(|window| !is_open(*window))
    }
}
