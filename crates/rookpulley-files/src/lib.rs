//! Server files edited by hand: a script that names servers and ends with a closing statement over all before it.
//!
//! ```python
//! generation(12)
//! server("s-1", "10.0.0.1:8000", zone = "east", machine = "small", weight = 1.0)
//! server("s-2", "10.0.0.2:8000", zone = "west", machine = "large", weight = 2.0, drains = True)
//! end(servers = 2, seal = "Qk3xY_9a")
//! ```
//!
//! The closing statement is the last line. A file that was cut off anywhere lacks it or its last bracket; one that
//! an editor is writing over in place, in whatever order, does not fit its seal. So no file is taken for whole that
//! was not, whoever writes it. What the servers are checked for is `rookpulley-lists`'.

pub mod read;
pub mod render;
pub mod watch;

pub use read::{ReadError, read};
pub use render::{render, with_seal};
pub use watch::read_bytes;
