//! Why a cluster can't be started, or doesn't come up.

use std::io;
use std::path::PathBuf;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ClusterError {
    #[error("cluster: {} isn't there", .0.display())]
    #[diagnostic(help(
        "build it into the same folder: cargo build -p rookpulley-controller -p rookpulley-proxy"
    ))]
    NotBuilt(PathBuf),
    #[error("cluster: no ports are free on 127.0.0.1, 127.0.0.2 and 127.0.0.3 alike")]
    #[diagnostic(help(
        "end other depots; the three addresses are there on Linux, other systems need them added"
    ))]
    NoPorts,
    #[error("cluster: {what}: {why}")]
    #[diagnostic(help(
        "look at the limits of this user: descriptors, processes, space for temporary files"
    ))]
    System { what: &'static str, why: io::Error },
    #[error("cluster: {what} did not happen within {seconds} s{tails}")]
    #[diagnostic(help(
        "run it with --keep --verbose and read the logs in the folder that it names"
    ))]
    Late {
        what: String,
        seconds: u64,
        tails: String,
    },
    #[error("cluster: {name} ended by itself ({how}){tails}")]
    #[diagnostic(help(
        "run it with --keep --verbose and read the logs in the folder that it names"
    ))]
    Ended {
        name: String,
        how: String,
        tails: String,
    },
    #[error("cluster: it was told to end")]
    #[diagnostic(help("let it run to its end, or give it more time by --for"))]
    Stopped,
}

impl ClusterError {
    pub fn system(what: &'static str) -> impl Fn(io::Error) -> Self {
        move |why| Self::System { what, why }
    }
}
