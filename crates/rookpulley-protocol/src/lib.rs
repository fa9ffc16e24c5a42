//! Wire protocol between the proxies and controllers of the gateway.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `messages` | message types |
//! | `frame` | length-prefixed framing |
//! | `pack` | compression of the operator's configuration |

#![warn(missing_docs)]

pub mod frame;
pub mod messages;
pub mod pack;

pub use frame::{FrameDecoder, FrameError, encode_frame};
pub use messages::*;
pub use pack::{PackError, pack, unpack};
