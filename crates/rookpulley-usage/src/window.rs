//! Numbers of windows: window `k` begins `k` times the window length after the start of 1970.

use serde::{Deserialize, Serialize};

/// Number of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Window(pub u64);

impl Window {
    /// The window after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Length of all windows of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLength {
    ms: f64,
}

impl WindowLength {
    /// Returns None unless the length is positive.
    pub fn from_seconds(seconds: f64) -> Option<Self> {
        let ms = seconds * 1e3;
        (ms.is_finite() && ms > 0.0).then_some(Self { ms })
    }

    /// The window that contains a time, in milliseconds since the start of 1970.
    pub fn window_at(self, unix_ms: f64) -> Window {
        Window((unix_ms.max(0.0) / self.ms) as u64)
    }

    /// When a window ends, in milliseconds since the start of 1970.
    pub fn end_ms(self, window: Window) -> f64 {
        window.next().0 as f64 * self.ms
    }
}
