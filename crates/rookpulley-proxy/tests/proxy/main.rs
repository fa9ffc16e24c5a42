//! End-to-end tests of the proxy over loopback sockets.

mod authentication;
mod client_disconnects;
mod clients;
mod controllers;
mod deadlines;
mod early_response_ends;
mod early_responses;
mod harness;
mod instances;
mod randomized;
mod requests;
mod responses;
mod revocation;
mod shutdown;
mod tenant_headers;
