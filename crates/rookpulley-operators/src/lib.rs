//! The operators' file and the operators' HTTP API of an assigner.
//!
//! - [`mod@file`]: the operators' file, a script in a restricted dialect of Starlark.
//! - [`api`]: the requests and responses of the API as typed values.
//! - [`server`]: the HTTP/1.1 server of the API, with JSON bodies and limits on connections, sizes and times.
//! - [`script`]: evaluation of restricted Starlark scripts.
//!
//! The server passes each request on over a channel and sends back the response that it receives.

pub mod api;
pub mod file;
pub mod script;
pub mod server;
mod subset;

pub use api::{ApiError, ApiRequest, ApiResponse, PendingRequest};
pub use file::{FileError, OperatorSettings};
