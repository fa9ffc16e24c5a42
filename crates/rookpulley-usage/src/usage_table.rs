//! Counts of many proxies. Merging the same counts twice, or older ones late, changes nothing.

use crate::window::Window;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Requests of one tenant in a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Name of the tenant.
    pub tenant: String,
    /// Requests that began to run in the window so far.
    pub requests: u64,
}

/// Cumulative counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// The window.
    pub window: Window,
    /// Counts by tenant.
    pub tenants: Vec<TenantUsage>,
}

/// Cumulative counts of one proxy incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyUsage {
    /// Random number of the proxy's incarnation.
    pub incarnation: u64,
    /// Counts by window.
    pub windows: Vec<WindowUsage>,
}

/// Counts by tenant.
type TenantCounts = BTreeMap<String, u64>;

/// Counts by window, proxy incarnation and tenant. Each of the maps in it has an entry.
type Windows = BTreeMap<Window, BTreeMap<u64, TenantCounts>>;

/// Bound of the encoded numbers and lengths of a window, of a proxy in it, and of a report: two numbers of 10 bytes.
const GROUP_BYTES: usize = 20;

/// Bound of the encoded numbers and lengths of a tenant: a count of 10 bytes and a length of 2 bytes.
const TENANT_BYTES: usize = 12;

/// Upper bound of the encoded size of a tenant's count, in bytes, for names of up to 16,383 bytes.
fn tenant_bytes(tenant: &str) -> usize {
    tenant.len() + TENANT_BYTES
}

/// Upper bound of the encoded size of one window's counts, in bytes.
pub fn window_bytes(tenants: &[TenantUsage]) -> usize {
    let tenants = tenants.iter().map(|usage| tenant_bytes(&usage.tenant));
    GROUP_BYTES + tenants.sum::<usize>()
}

/// Counts by window, proxy incarnation and tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedTable")]
pub struct UsageTable {
    windows: Windows,
    /// Upper bound of the encoded size.
    #[serde(skip)]
    bytes: usize,
}

/// What of a table is encoded.
#[derive(Deserialize)]
struct EncodedTable {
    windows: Windows,
}

impl From<EncodedTable> for UsageTable {
    fn from(EncodedTable { windows }: EncodedTable) -> Self {
        let bytes = windows.values().map(size_of_window).sum();
        Self { windows, bytes }
    }
}

fn size_of_window(proxies: &BTreeMap<u64, TenantCounts>) -> usize {
    let proxies = proxies.values().map(|counts| {
        let names = counts.keys().map(|tenant| tenant_bytes(tenant));
        GROUP_BYTES + names.sum::<usize>()
    });
    GROUP_BYTES + proxies.sum::<usize>()
}

impl UsageTable {
    /// Merges the counts of one incarnation in one window. Returns whether anything has changed.
    pub fn merge(&mut self, incarnation: u64, usage: &WindowUsage) -> bool {
        let growth_bytes = self.growth_bytes(incarnation, usage);
        let counted = usage.tenants.iter().filter(|usage| usage.requests > 0);
        let mut has_changed = false;
        for TenantUsage { tenant, requests } in counted {
            let proxies = self.windows.entry(usage.window).or_default();
            let counts = proxies.entry(incarnation).or_default();
            let count = counts.entry(tenant.clone()).or_default();
            if *count < *requests {
                *count = *requests;
                has_changed = true;
            }
        }
        self.bytes += growth_bytes;
        has_changed
    }

    /// How much `size_bytes` will grow by a merge, in bytes.
    pub fn growth_bytes(&self, incarnation: u64, usage: &WindowUsage) -> usize {
        let proxies = self.windows.get(&usage.window);
        let counts = proxies.and_then(|proxies| proxies.get(&incarnation));
        let tenants = usage.tenants.iter().filter(|usage| usage.requests > 0);
        let names: BTreeSet<&str> = tenants.map(|usage| usage.tenant.as_str()).collect();
        if names.is_empty() {
            return 0;
        }
        let is_new = |tenant: &&str| counts.is_none_or(|counts| !counts.contains_key(*tenant));
        let new = names.into_iter().filter(is_new).map(tenant_bytes);
        let window_bytes = if proxies.is_none() { GROUP_BYTES } else { 0 };
        let proxy_bytes = if counts.is_none() { GROUP_BYTES } else { 0 };
        window_bytes + proxy_bytes + new.sum::<usize>()
    }

    /// Sums of a window by tenant.
    pub fn totals(&self, window: Window) -> BTreeMap<String, u64> {
        let mut totals = TenantCounts::new();
        let proxies = self.windows.get(&window).into_iter().flatten();
        for (tenant, requests) in proxies.flat_map(|(_, counts)| counts) {
            let total = totals.entry(tenant.clone()).or_default();
            *total = total.saturating_add(*requests);
        }
        totals
    }

    /// The windows that have counts, in order.
    pub fn windows(&self) -> impl Iterator<Item = Window> {
        self.windows.keys().copied()
    }

    /// Removes a window and all earlier ones.
    pub fn remove_through(&mut self, window: Window) {
        while let Some(first) = self.windows.first_entry() {
            if *first.key() > window {
                return;
            }
            self.bytes -= size_of_window(&first.remove());
        }
    }

    /// Counts of one proxy incarnation in one window.
    pub fn usage(&self, window: Window, incarnation: u64) -> WindowUsage {
        let proxies = self.windows.get(&window);
        let counts = proxies.and_then(|proxies| proxies.get(&incarnation));
        let tenants = counts.into_iter().flatten();
        let tenants = tenants.map(|(tenant, requests)| TenantUsage {
            tenant: tenant.clone(),
            requests: *requests,
        });
        WindowUsage {
            window,
            tenants: tenants.collect(),
        }
    }

    /// Counts of a window by proxy incarnation.
    pub fn proxies(&self, window: Window) -> Vec<ProxyUsage> {
        let proxies = self.windows.get(&window).into_iter().flatten();
        let proxies = proxies.map(|(incarnation, _)| ProxyUsage {
            incarnation: *incarnation,
            windows: vec![self.usage(window, *incarnation)],
        });
        proxies.collect()
    }

    /// Upper bound of the encoded size of the windows after one, in bytes.
    pub fn size_after(&self, window: Window) -> usize {
        let before = self
            .windows
            .range(..=window)
            .map(|(_, of)| size_of_window(of));
        self.bytes - before.sum::<usize>()
    }

    /// Upper bound of the encoded size, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.bytes
    }
}
