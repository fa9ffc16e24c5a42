//! What controllers say to each other.

use rookpulley_chain::{Member, Message};
use rookpulley_registry::News;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Word {
    /// The first on a line, and again every two seconds: the known controllers may have changed.
    Hello {
        from: Member,
        controllers: Vec<SocketAddrV4>,
    },
    Chain(Message),
    /// `ask`: to be confirmed by this number once it is known there and told on.
    News {
        ask: u64,
        news: Vec<News>,
    },
    Took {
        ask: u64,
    },
}
