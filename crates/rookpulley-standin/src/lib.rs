//! Stand-ins for what an assigner meets: discovery, dispatchers (proxies), links between them that lose, delay,
//! double, reorder and cut, and a checker that judges by what crossed the sockets. Written from the protocol's
//! public description; for tests and for trying things out on loopback.
//!
//! Whatever is left to chance comes from a seed.

pub mod checker;
pub mod discovery;
pub mod dispatcher;
pub mod link;
pub mod lists;
pub mod wire;

pub use checker::Checker;
pub use discovery::{Agent, Discovery, Watch};
pub use dispatcher::Dispatcher;
pub use link::{Faults, Link};
pub use wire::Wire;
