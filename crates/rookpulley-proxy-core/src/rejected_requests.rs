//! Counts of the requests that were rejected for lack of a known key, and their log line.

/// Minimum time between two log lines.
const LOG_INTERVAL_MS: f64 = 5_000.0;

/// Why a request was not authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionCause {
    /// It has no `Authorization` header.
    NoKey,
    /// Its key is in no tenant of the configuration: it never was, or it was revoked.
    UnknownKey,
    /// Its `Authorization` header does not consist of one key.
    Malformed,
}

/// Counts since the last log line.
#[derive(Default)]
pub(crate) struct RejectedRequests {
    no_key: u32,
    unknown_key: u32,
    malformed: u32,
    /// When the last line was logged.
    logged_ms: Option<f64>,
}

impl RejectedRequests {
    /// Counts a rejected request.
    pub fn count(&mut self, cause: RejectionCause) {
        let count = match cause {
            RejectionCause::NoKey => &mut self.no_key,
            RejectionCause::UnknownKey => &mut self.unknown_key,
            RejectionCause::Malformed => &mut self.malformed,
        };
        *count = count.saturating_add(1);
    }

    /// Returns the line to log and resets the counts, if there are any and the last line is old enough.
    pub fn take_log_line(&mut self, now_ms: f64) -> Option<String> {
        let is_due = self
            .logged_ms
            .is_none_or(|logged_ms| now_ms - logged_ms >= LOG_INTERVAL_MS);
        let Self {
            no_key,
            unknown_key,
            malformed,
            ..
        } = *self;
        if !is_due || (no_key, unknown_key, malformed) == (0, 0, 0) {
            return None;
        }
        *self = Self {
            logged_ms: Some(now_ms),
            ..Self::default()
        };
        Some(format!(
            "authentication: rejected {no_key} requests without a key, {unknown_key} with an unknown or revoked key, \
             {malformed} with a malformed header"
        ))
    }
}
