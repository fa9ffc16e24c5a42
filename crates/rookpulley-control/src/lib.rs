//! A controller without I/O: messages, calls and the time go in, effects come out.
//!
//! [`Controller`] puts the chain, the registry and the tables together: it hands each input to the package that decides,
//! and turns what they want into [`Effect`]s. It decides nothing itself about views, tables or the replicated state.
//! [`StatelessController`] is the controller of a machine without a disk: it redirects calls and keeps nothing.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `start`, `effect`, `peer_message`, `proxy_session` | the values that go in, come out, and stand for a connection |
//! | `endpoint`, `reply`, `reply_kind` | what a call asks for, and what its caller is answered |
//! | `controller/peers` | the connections to other controllers |
//! | `controller/proxies`, `controller/publication` | the connections of proxies; their tables, drains and configuration |
//! | `controller/instances`, `controller/drains` | heartbeats; when a drain may be acknowledged |
//! | `controller/stateless`, `bootstrap` | the connections of controllers without a disk; who makes the first view |
//! | `watches`, `publish_pacer`, `counters` | who waits for a put; how soon configurations go out; figures for operators |
//! | `standby` | a controller whose store can't be used |

#![warn(missing_docs)]

mod bootstrap;
mod controller;
mod counters;
mod effect;
mod endpoint;
mod peer_message;
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
pub use standby::Standby;
pub use start::{ControllerStart, Rows};
pub use stateless::{StatelessController, StatelessEffect, StatelessStart};
