//! Errors of starting and running a cluster.

use std::io;
use std::path::PathBuf;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ClusterError {
    #[error("cluster: {} does not exist", .0.display())]
    #[diagnostic(help(
        "build it into the same folder: cargo build -p rookpulley-controller -p rookpulley-proxy"
    ))]
    NotBuilt(PathBuf),
    #[error("cluster: no block of ports is free on all of 127.0.0.1, 127.0.0.2 and 127.0.0.3")]
    #[diagnostic(help(
        "stop other clusters; Linux has the three addresses by default, on other systems add them to the loopback interface"
    ))]
    NoPorts,
    #[error("cluster: {what}: {error}")]
    #[diagnostic(help(
        "check this user's limits: file descriptors, processes, space for temporary files"
    ))]
    System {
        what: &'static str,
        error: io::Error,
    },
    #[error("cluster: timed out after {seconds} s waiting for {what}{log_tails}")]
    #[diagnostic(help("run again with --keep --verbose and read the logs in the printed folder"))]
    Timeout {
        what: String,
        seconds: u64,
        log_tails: String,
    },
    #[error("cluster: {name} exited unexpectedly ({status}){log_tails}")]
    #[diagnostic(help("run again with --keep --verbose and read the logs in the printed folder"))]
    Exited {
        name: String,
        status: String,
        log_tails: String,
    },
    #[error("cluster: interrupted")]
    #[diagnostic(help("wait for the shutdown to finish instead of interrupting it a second time"))]
    Stopped,
}

impl ClusterError {
    pub fn system(what: &'static str) -> impl Fn(io::Error) -> Self {
        move |error| Self::System { what, error }
    }
}
