//! Counts at one proxy. They are cumulative for each window, so each message replaces the earlier ones.

use crate::usage_table::{TenantUsage, WindowUsage};
use crate::window::Window;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Windows retained to be sent again to another controller.
const MAX_WINDOWS: usize = 8;

#[derive(Debug, Default)]
struct WindowCounts {
    requests: BTreeMap<Arc<str>, u64>,
    /// Whether the counts have changed since they were last taken.
    has_changed: bool,
}

/// Requests by window and tenant, of one proxy incarnation.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<Window, WindowCounts>,
}

impl UsageCounter {
    /// Counts a request that began to run in a window.
    pub fn count(&mut self, window: Window, tenant: &Arc<str>) {
        let counts = self.windows.entry(window).or_default();
        counts.has_changed = true;
        *counts.requests.entry(tenant.clone()).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the cumulative counts of the windows that have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<WindowUsage> {
        let windows = self.windows.iter_mut();
        let changed = windows.filter_map(|(window, counts)| {
            let has_changed = std::mem::take(&mut counts.has_changed);
            has_changed.then(|| counts.to_usage(*window))
        });
        changed.collect()
    }

    /// Marks all retained windows as changed, because another controller collects the counts now.
    pub fn send_all_again(&mut self) {
        for counts in self.windows.values_mut() {
            counts.has_changed = true;
        }
    }
}

impl WindowCounts {
    fn to_usage(&self, window: Window) -> WindowUsage {
        let tenants = self.requests.iter().map(|(tenant, requests)| TenantUsage {
            tenant: tenant.to_string(),
            requests: *requests,
        });
        WindowUsage {
            window,
            tenants: tenants.collect(),
        }
    }
}
