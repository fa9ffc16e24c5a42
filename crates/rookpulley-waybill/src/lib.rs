//! What the programs of the gateway say to each other: values, their bytes, and a line that carries them.
//!
//! `messages` holds the values between couriers and offices, `frame` turns values into bytes and back, `line` is
//! the one place where a connection between two of our programs is opened, read and written.

pub mod frame;
pub mod line;
pub mod messages;

pub use frame::{FrameError, Frames, frame};
pub use messages::*;
