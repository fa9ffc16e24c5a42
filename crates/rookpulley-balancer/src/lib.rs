//! Load balancing of the proxy: endpoint selection, retry policy and the final response to the client.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `endpoint_picker` | endpoint tables published by controllers, and endpoint selection |
//! | `endpoint` | per-endpoint latency, failures and load as seen by this proxy |
//! | `request_attempts` | retry decisions and the outcome of one request |
//! | `retry_budget` | token bucket that limits the retries of a service |
//! | `controller_selection` | known controllers, and the choice of the primary |
//! | `fleet_size` | number of proxies, and the connection share of one proxy |
//!
//! Times are in milliseconds since an arbitrary epoch. The crate does no I/O and reads no clock.

#![warn(missing_docs)]

mod controller_selection;
mod endpoint;
mod endpoint_picker;
mod fleet_size;
mod request_attempts;
mod retry_budget;

pub use controller_selection::{ControllerSelection, PrimaryChange};
pub use endpoint_picker::{EndpointPicker, Pick};
pub use fleet_size::FleetSize;
pub use request_attempts::{AttemptOutcome, NextAction, RequestAttempts};
pub use retry_budget::RetryBudget;
