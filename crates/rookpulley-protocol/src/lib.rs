//! What the programs of the gateway say to each other: values and their bytes.
//!
//! `messages` holds the values between proxies and controllers, `frame` turns values into bytes and back,
//! `pack` makes the operator's configuration short.

pub mod frame;
pub mod messages;
pub mod pack;

pub use frame::{FrameError, Frames, frame};
pub use messages::*;
pub use pack::{PackError, pack, unpack};
