//! What is sent back to who wrote it: each fault with its place, what was found there and what to write instead.
//!
//! `faults` gathers them within bounds, in the manner of the text that they are of; `shown` names places and
//! values; `json` reads bytes within bounds, as what is sent back begins with what was sent.

mod faults;
mod json;
mod shown;

pub use faults::{Fault, Faults, Manner};
pub use json::{Bounds, Nesting, Unread, read};
pub use shown::{Place, counted, said};
