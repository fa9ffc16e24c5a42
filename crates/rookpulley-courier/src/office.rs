//! One office as this courier sees it.

use rookpulley_mailroom::line::Outbox;

/// So long a home may be out of touch before another one is looked for.
const PATIENCE_MS: f64 = 600.0;

#[derive(Default)]
pub struct Office {
    /// There while the line stands.
    pub outbox: Option<Outbox>,
    pub in_touch: bool,
    /// When it was last in touch, or the line began.
    pub touched_ms: f64,
    /// When it was last named by a seed or an office.
    pub named_ms: f64,
    pub asked_ms: f64,
}

impl Office {
    pub fn connected(&self) -> bool {
        self.outbox.is_some()
    }

    /// Fit to be a home.
    pub fn fit(&self) -> bool {
        self.connected() && self.in_touch
    }

    /// Fit to remain one.
    pub fn bearable(&self, now_ms: f64) -> bool {
        self.connected() && (self.in_touch || now_ms - self.touched_ms < PATIENCE_MS)
    }
}
