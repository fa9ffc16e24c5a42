//! Test doubles for the peers of an assigner: discovery, dispatchers (proxies), fault-injecting links that drop,
//! delay, duplicate, reorder and disconnect, and a checker that verifies the protocol from the observed traffic.
//! The checker implements the public protocol description and shares no code with the assigner.
//!
//! All randomness is seeded.

pub mod checker;
pub mod client;
pub mod discovery;
pub mod dispatcher;
pub mod link;
pub mod lists;
pub mod platform;

pub use checker::Checker;
pub use client::TestClient;
pub use discovery::{DiscoveryServer, ScriptedDiscovery, Watch};
pub use dispatcher::Dispatcher;
pub use link::{Faults, Link};
pub use platform::{Platform, UsageReport, Violation};
