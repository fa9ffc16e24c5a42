//! All that a controller decides and keeps, put together. No sockets, files or clocks.
//!
//! `controller` is where its parts meet: each input comes with the time, and what is to be done about it is taken from
//! `Controller::effects` afterwards. `calls` reads what callers ask and writes what they are told, `watches` are those who
//! wait for a put, `word` is what controllers say to each other, `state` the ledger as the chain keeps it, `tally` counts.
//! `founding` is who makes the first view, `stateless` a controller without a disk.

mod calls;
mod controller;
mod founding;
mod pace;
mod replicated_state;
mod stateless;
mod tally;
mod watches;
mod word;

pub use calls::{Content, Path, Reply, Wants, read};
pub use controller::{Controller, Effect, ProxySession, Rows, Start};
pub use founding::Founding;
pub use replicated_state::ReplicatedState;
pub use stateless::{StatelessController, StatelessEffect, StatelessStart};
pub use tally::Tally;
pub use word::Word;
