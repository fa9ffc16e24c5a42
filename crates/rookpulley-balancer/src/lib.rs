//! Load balancing of a proxy: which instance a request goes to, whether it may be retried, what its client is answered.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `endpoint_picker` | the tables as controllers publish them, and the choice of an instance from one |
//! | `endpoint` | what this proxy has measured of one instance: latency, failures, load |
//! | `request_attempts` | what one request may still do after an attempt, and how it ends |
//! | `retry_budget` | what pays for the retries of a service |
//! | `controller_selection` | the controllers that a proxy knows, and which of them is its primary |
//! | `fleet_size` | how many proxies there are, and the share of one of them |
//!
//! Times are in milliseconds from any fixed moment. Nothing here waits, reads a clock or opens a socket.

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
