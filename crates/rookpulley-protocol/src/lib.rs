//! What the programs of the gateway say to each other.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `messages` | the messages between proxies and controllers |
//! | `frame` | how a message is turned into bytes and back |
//! | `pack` | how the operator's configuration is compressed |

#![warn(missing_docs)]

pub mod frame;
pub mod messages;
pub mod pack;

pub use frame::{FrameError, Frames, frame};
pub use messages::*;
pub use pack::{PackError, pack, unpack};
