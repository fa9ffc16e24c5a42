//! Hand-edited server files: scripts that list servers and end with a closing statement.
//!
//! ```python
//! generation(12)
//! server("s-1", "10.0.0.1:8000", zone = "east", machine = "small", weight = 1.0)
//! server("s-2", "10.0.0.2:8000", zone = "west", machine = "large", weight = 2.0, drains = True)
//! end(servers = 2, seal = "Qk3xY_9a")
//! ```
//!
//! The closing statement contains the number of servers and a checksum, the seal, of all text before it. A
//! truncated file lacks the statement, and a file that an editor is overwriting in place does not match the seal, so
//! incomplete files are never accepted. `rookpulley-lists` validates the listed servers.

pub mod read;
pub mod render;
pub mod watch;

pub use read::{ReadError, read};
pub use render::{render, with_seal};
pub use watch::read_bytes;
