//! Instance registry and table publisher. Performs no I/O; callers pass the current time in milliseconds.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `heartbeat` | parses and validates heartbeat request bodies |
//! | `instance_update` | instance updates that controllers replicate to each other |
//! | `registry` | known incarnations and their status |
//! | `drain_tracker` | replication acknowledgements of drains |
//! | `configuration_history` | recent configuration versions and their delta frames |
//! | `proxy_roster` | number of proxies in the cluster |
//! | `table_publisher` | proxies whose primary is this controller, and a `hosted_service` for each service |
//! | `hosted_service` | decision module, inputs and published tables of one service |
//! | `decision_module`, `server_list`, `published_table` | wrapper of the decision module, its input and its output |
//!
//! All state is in memory. Controllers persist instance updates and replay them at startup.

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
