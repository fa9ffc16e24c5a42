//! The proxies of the whole system, as this controller sees them come and go.

use std::collections::BTreeMap;

/// A proxy that was here so lately still counts, so that a budget is never dealt out twice.
const COUNTED_MS: f64 = 12_000.0;

#[derive(Default)]
pub struct Roll {
    /// None: it is here; else when it went.
    proxies: BTreeMap<String, Option<f64>>,
}

impl Roll {
    pub fn came(&mut self, proxy: &str) {
        self.proxies.insert(proxy.into(), None);
    }

    pub fn went(&mut self, now: f64, proxy: &str) {
        self.proxies.insert(proxy.into(), Some(now));
    }

    pub fn forget_old(&mut self, now: f64) {
        self.proxies
            .retain(|_, went| went.is_none_or(|at| now - at < COUNTED_MS));
    }

    pub fn count(&self) -> u32 {
        self.proxies.len() as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_went_counts_for_a_while_and_who_came_back_for_good() {
        let mut roll = Roll::default();
        ["a", "b"].into_iter().for_each(|name| roll.came(name));
        roll.went(0.0, "a");
        roll.went(0.0, "b");
        roll.came("b");
        roll.forget_old(11_999.0);
        assert_eq!(roll.count(), 2);
        roll.forget_old(12_000.0);
        assert_eq!(roll.count(), 1);
    }
}
