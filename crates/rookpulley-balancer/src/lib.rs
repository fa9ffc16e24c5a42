//! One request's incarnation: which task it goes to, whether it may go to a further one, what its client is told.
//!
//! `budget` pays for further sends, `post` picks tasks, `spot` is what is known of one task, `round` keeps to what a
//! request may suffer. `controllers` chooses the home, `fleet` is what of all proxies' means is this one's. Times are in ms from any fixed moment; nothing here waits, reads a clock or opens a socket.

mod budget;
mod controller_selection;
mod fleet;
mod post;
mod round;
mod spot;

pub use budget::Budget;
pub use controller_selection::{ControllerSelection, Move};
pub use fleet::Fleet;
pub use post::{Pick, Post};
pub use round::{Fate, Next, Round};
