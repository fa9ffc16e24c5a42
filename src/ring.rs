//! Counters over a sliding time window.

/// Sums of `N` measures per fixed-width time bucket, kept in a ring buffer; older buckets are overwritten.
#[derive(Clone, Debug)]
pub struct TimeBuckets<const N: usize> {
    width_ms: f64,
    newest: i64,
    sums: Vec<[f64; N]>,
}

impl<const N: usize> TimeBuckets<N> {
    pub fn new(width_ms: f64, count: usize) -> Self {
        let (newest, sums) = (i64::MIN, vec![[0.0; N]; count.max(1)]);
        Self {
            width_ms,
            newest,
            sums,
        }
    }

    fn turn_to(&mut self, now_ms: f64) {
        let at = (now_ms / self.width_ms).floor() as i64;
        let count = self.sums.len() as i64;
        if at > self.newest {
            let stale = at.saturating_sub(self.newest).min(count);
            for k in 0..stale {
                self.sums[(at - k).rem_euclid(count) as usize] = [0.0; N];
            }
            self.newest = at;
        }
    }

    pub fn add(&mut self, now_ms: f64, what: [f64; N]) {
        self.turn_to(now_ms);
        let slot = self.newest.rem_euclid(self.sums.len() as i64) as usize;
        for (sum, x) in self.sums[slot].iter_mut().zip(what) {
            *sum += x;
        }
    }

    /// Sums over the last `span_ms`, including the current bucket.
    pub fn over(&mut self, now_ms: f64, span_ms: f64) -> [f64; N] {
        self.between(now_ms, span_ms, 0.0)
    }

    /// Sums over the window that starts `from_ms` ago and ends `to_ms` ago.
    pub fn between(&mut self, now_ms: f64, from_ms: f64, to_ms: f64) -> [f64; N] {
        self.turn_to(now_ms);
        let count = self.sums.len() as i64;
        let last = ((from_ms / self.width_ms).ceil() as i64).clamp(1, count);
        let first = ((to_ms / self.width_ms).ceil() as i64).clamp(0, count);
        let mut total = [0.0; N];
        for k in first..last {
            let slot = (self.newest - k).rem_euclid(count) as usize;
            for (sum, x) in total.iter_mut().zip(self.sums[slot]) {
                *sum += x;
            }
        }
        total
    }
}
