//! Controller logic without I/O: messages, requests and the current time go in, [`Effect`]s come out.
//!
//! [`Controller`] connects the chain, the registry and the table publisher: it routes each input to the responsible
//! component and translates the results into [`Effect`]s. Views, tables and the replicated state are handled by those
//! components. [`StatelessController`] runs on a machine without a disk: it redirects requests and stores nothing.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `start`, `effect`, `peer_message`, `proxy_session` | start parameters, effects, peer messages and proxy sessions |
//! | `endpoint`, `reply`, `reply_kind` | request parsing and responses |
//! | `pending_request` | who waits for the chain's outcome of a request |
//! | `controller/peers` | connections to other controllers |
//! | `controller/proxies`, `controller/publication` | proxy connections; tables, drains and configuration for proxies |
//! | `controller/verification` | questions of proxies for the newest configuration version |
//! | `controller/usage` | usage counts of proxies, replicated once their windows have ended |
//! | `controller/instances`, `controller/drains` | heartbeats; acknowledgement of drains |
//! | `controller/duties` | the duty of reporting usage |
//! | `controller/stateless`, `bootstrap` | connections of stateless controllers; creation of the first view |
//! | `watches`, `publish_pacer`, `counters` | pending watches; rate limit for configurations; metrics |
//! | `standby` | redirects while the store is unusable |

#![warn(missing_docs)]

mod bootstrap;
mod controller;
mod counters;
mod effect;
mod endpoint;
mod peer_message;
mod pending_request;
mod proxy_session;
mod publish_pacer;
mod replicated_state;
mod reply;
mod reply_kind;
mod standby;
mod start;
mod stateless;
mod watches;

pub use bootstrap::Bootstrap;
pub use controller::Controller;
pub use counters::Counters;
pub use effect::Effect;
pub use endpoint::{Endpoint, Operation, parse};
pub use peer_message::PeerMessage;
pub use proxy_session::ProxySession;
pub use replicated_state::ReplicatedState;
pub use reply::{Content, Reply};
pub use rookpulley_duties::{DutySettings, PlatformAnswer, PlatformCall};
pub use rookpulley_usage::{TenantUsage, Window, WindowLength};
pub use standby::Standby;
pub use start::{ControllerStart, Rows};
pub use stateless::{StatelessController, StatelessEffect, StatelessStart};
