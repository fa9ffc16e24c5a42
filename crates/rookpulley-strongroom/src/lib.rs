//! An office's store on disk. `store` is what an office writes to, `look` reads one that nobody uses.

mod look;
mod store;

pub use look::{Contents, LookError, look};
pub use store::{Part, Said, Store, StoreError};
