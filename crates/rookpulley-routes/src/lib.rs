//! Parses and validates the operator's configuration, and looks up the routes of requests.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `split` | splits the text into rules and the rest, so that unchanged rules are not parsed again |
//! | `json`, `values` | bounded JSON parsing and typed access to fields |
//! | `read` | validates the fields and builds the route table |
//! | `tenants` | validates the tenants and their API keys |
//! | `route_table`, `route` | the validated configuration and route lookup |
//! | `faults` | formatting of validation errors |

#![warn(missing_docs)]

mod faults;
mod json;
mod read;
mod route;
mod route_table;
mod split;
mod tenants;
mod values;

pub use json::{MAX_BYTES, MAX_DEPTH, MAX_VALUES};
pub use rookpulley_diagnostics::{Fault, Faults};
pub use route::{Route, RouteKind};
pub use route_table::{Limits, RouteTable, Service};
