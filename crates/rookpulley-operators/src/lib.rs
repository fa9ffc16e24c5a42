//! The operators' file and the operators' HTTP API of an assigner.
//!
//! - [`mod@file`]: the operators' file, a script in a restricted dialect of Starlark.
//! - [`asks`]: the requests and responses of the API as typed values.
//! - [`address`]: the HTTP/1.1 server of the API, with JSON bodies and limits on connections, sizes and times.
//! - [`script`]: evaluation of restricted Starlark scripts.
//!
//! The server passes each request on over a channel and sends back the response that it receives.

pub mod address;
pub mod asks;
pub mod file;
pub mod script;
mod subset;

pub use asks::{Answer, Ask, Asked, Refusal};
pub use file::{FileError, Operators};
