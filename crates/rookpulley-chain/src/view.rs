//! Who is in the chain, and in which order.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// An office: its disk's identity, its process's life, where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub id: u64,
    pub life: u64,
    pub address: SocketAddrV4,
}

/// The source is the first member, and the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub number: u64,
    pub members: Vec<Member>,
}

impl View {
    pub fn place(&self, id: u64) -> Option<usize> {
        self.members.iter().position(|m| m.id == id)
    }

    pub fn names(&self, id: u64, life: u64) -> bool {
        self.members.iter().any(|m| m.id == id && m.life == life)
    }

    pub fn head(&self) -> Option<&Member> {
        self.members.first()
    }

    pub fn tail(&self) -> Option<&Member> {
        self.members.last()
    }

    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// Orders proposals for one view number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: u64,
}
