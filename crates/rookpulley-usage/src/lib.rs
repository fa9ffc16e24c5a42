//! Usage: how many requests of each tenant began to run in each window of the time of day.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `window` | numbers of windows |
//! | `counter` | counts at one proxy |
//! | `usage_table` | counts of many proxies, merged idempotently |
//! | `median_clock` | the time of day, tolerating clocks that step |
//!
//! Invariant: a count of one proxy incarnation, window and tenant never decreases, so counts can be sent again, arrive late
//! or out of order, and be merged by taking the maximum.

#![warn(missing_docs)]

mod counter;
mod median_clock;
mod usage_table;
mod window;

pub use counter::UsageCounter;
pub use median_clock::MedianClock;
pub use usage_table::{ProxyUsage, TenantUsage, UsageTable, WindowUsage, window_bytes};
pub use window::{Window, WindowLength};
