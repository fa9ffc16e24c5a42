//! A controller's store on disk. `store` is what a controller writes to, `rows` how long rows are kept, `look` reads a store
//! that nobody uses, `replace` puts another in its place.

mod look;
mod replace;
mod rows;
mod store;

pub use look::{Contents, LookError, look};
pub use replace::{before, replace};
pub use store::{Part, Said, Store, StoreError};
