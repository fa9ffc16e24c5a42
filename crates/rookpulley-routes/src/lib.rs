//! The operator's configuration: read, checked, and asked for the route of a request.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `split` | cuts the bytes into rules and the rest, so that unchanged rules needn't be read again |
//! | `json`, `values` | bytes to JSON values within bounds, and fields out of those |
//! | `read` | checks what the fields say |
//! | `route_table`, `route` | the checked configuration, as requests are routed by it |
//! | `faults` | how what is wrong with a configuration is said |

#![warn(missing_docs)]

mod faults;
mod json;
mod read;
mod route;
mod route_table;
mod split;
mod values;

pub use json::{MAX_BYTES, MAX_DEPTH, MAX_VALUES};
pub use rookpulley_diagnostics::{Fault, Faults};
pub use route::{Route, RouteKind};
pub use route_table::{Limits, RouteTable, Service};
