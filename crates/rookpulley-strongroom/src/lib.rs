//! An office's store on disk. `store` is what an office writes to, `rows` how long rows are kept,
//! `look` reads a store that nobody uses.

mod look;
mod rows;
mod store;

pub use look::{Contents, LookError, look};
pub use store::{Part, Said, Store, StoreError};
