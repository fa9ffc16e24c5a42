//! Parts that the cases of the second review share: a small deployment of the project's programs on loopback addresses,
//! plain HTTP/1.1, and a record of what was seen. Only the standard library is used.

pub mod deployment;
pub mod http;
pub mod record;
