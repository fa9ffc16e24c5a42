//! An HTTP/1.1 server for requests of instances, operators and applications.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `serve` | accepts connections and answers the requests of each in order |
//! | `connection_limiter` | bounds the number of connections, evicts idle ones, and closes them on shutdown |
//! | `message_reader` | reads complete requests from a connection within the limits |
//! | `head`, `chunks` | parse request heads and decode chunked bodies |
//! | `codec` | the only module that uses `async-h1` |
//! | `matcher` | routes a method and a path |
//! | `call`, `refusal`, `bounds` | requests and replies, reasons for rejection, limits of a server |

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
