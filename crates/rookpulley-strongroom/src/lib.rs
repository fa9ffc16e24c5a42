//! An office's store on disk. `store` is what an office writes to, `look` reads one that nobody uses, `replace`
//! puts another in its place.

mod look;
mod replace;
mod store;

pub use look::{Contents, LookError, look};
pub use replace::{before, replace};
pub use store::{Part, Said, Store, StoreError};
