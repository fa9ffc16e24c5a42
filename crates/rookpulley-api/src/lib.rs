//! An HTTP/1.1 server for requests of instances, operators and applications.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `serve` | accepts connections and answers the requests of each in order |
//! | `connection_limiter` | bounds the number of connections, evicts idle ones, and closes them on shutdown |
//! | `message_reader` | reads complete requests from a connection within the limits |
//! | `head`, `chunks` | parse request heads and decode chunked bodies |
//! | `codec` | the only module that uses `async-h1` |
//! | `router` | routes a method and a path |
//! | `call`, `rejection`, `bounds` | requests and replies, reasons for rejection, limits of a server |

pub mod bounds;
pub mod call;
pub mod chunks;
mod codec;
mod connection_limiter;
pub mod head;
pub mod message_reader;
pub mod rejection;
pub mod router;
pub mod serve;

pub use bounds::Bounds;
pub use call::{Call, Reply};
pub use rejection::Rejection;
pub use router::{Match, Router, RouterError, query_value};
pub use serve::serve;
