//! What the programs of the gateway say to each other: values and their bytes.
//!
//! `messages` holds the values between couriers and offices, `frame` turns values into bytes and back.

pub mod frame;
pub mod messages;

pub use frame::{FrameError, Frames, frame};
pub use messages::*;
