//! The HTTP server for calls of instances, operators and applications.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `serve` | accepts connections, and answers their calls one after the other |
//! | `connection_limiter` | how many connections there are, which are idle, and when they are to close |
//! | `message_reader` | takes one message at a time off a connection, complete and within bounds |
//! | `head`, `chunks` | the bytes of a head and of a chunked body |
//! | `codec` | the one place that speaks with `async-h1` |
//! | `matcher` | which call a method and a path name |
//! | `call`, `refusal`, `bounds` | what handlers are given, why messages are refused, what a server grants |

pub mod bounds;
pub mod call;
pub mod chunks;
mod codec;
mod connection_limiter;
pub mod head;
pub mod matcher;
pub mod message_reader;
pub mod refusal;
pub mod serve;

pub use bounds::Bounds;
pub use call::{Call, Reply};
pub use matcher::{Match, Tree, TreeError, query};
pub use refusal::Refusal;
pub use serve::serve;
