//! The instances of all services, and the tables that controllers publish to proxies. No sockets, files or clocks.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `heartbeat` | a heartbeat, read from the body of its call |
//! | `instance_update` | what controllers tell each other of instances |
//! | `registry` | which incarnations there are, and which of them may get requests |
//! | `drain_tracker` | which drains enough other controllers have on their disks |
//! | `configuration_history` | the configuration on its way to proxies |
//! | `proxy_roster` | how many proxies there are |
//! | `table_publisher` | the proxies that this controller is primary for, and one `hosted_service` each service |
//! | `hosted_service` | one service: its decision module, what the module is told, and what proxies were sent |
//! | `decision_module`, `server_list`, `published_table` | the design's module, its input, its output |
//!
//! Nothing here survives the process. A controller writes instance updates to its disk and begins with them.

#![warn(missing_docs)]

mod configuration_history;
mod decision_module;
mod drain_tracker;
mod heartbeat;
mod hosted_service;
mod instance_update;
mod proxy_roster;
mod published_table;
mod registry;
mod server_list;
mod service;
mod table_publisher;

pub use configuration_history::ConfigurationHistory;
pub use drain_tracker::DrainTracker;
pub use heartbeat::{Heartbeat, HeartbeatError};
pub use instance_update::{InstanceUpdate, Propagation, Refresh, UpdateOutcome};
pub use proxy_roster::ProxyRoster;
pub use registry::{Instance, InstanceStatus, Registry};
pub use service::Service;
pub use table_publisher::{PublisherOutput, TablePublisher, TableStatus};
