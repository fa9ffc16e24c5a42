//! The operator's configuration, checked and turned into a snapshot that routes.
//!
//! `split` cuts the bytes into rules and the rest, `json` turns bytes into values within bounds, `values` takes fields out of them, `read` checks what they say,
//! `book` and `route` are the snapshot, `faults` says how what is wrong with it is told.

mod faults;
mod json;
mod read;
mod route;
mod route_table;
mod split;
mod values;

pub use json::{BYTES_MOST, DEPTH_MOST, VALUES_MOST};
pub use rookpulley_diagnostics::{Fault, Faults};
pub use route::{Route, RouteKind};
pub use route_table::{Limits, RouteTable, Service};
