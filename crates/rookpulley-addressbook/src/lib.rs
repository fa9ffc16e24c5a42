//! The operator's configuration, checked and turned into a snapshot that routes.
//!
//! `json` turns bytes into values within bounds, `values` takes fields out of them, `read` checks what they say,
//! `book` and `route` are the snapshot, `faults` names what is wrong with a configuration.

mod book;
mod faults;
mod json;
mod read;
mod route;
mod values;

pub use book::{Book, Limits, Service};
pub use faults::{Fault, Faults};
pub use json::{BYTES_MOST, DEPTH_MOST, VALUES_MOST};
pub use route::{Route, RouteKind};
