//! What offices say to each other about the chain.

use crate::CallKind;
use crate::view::{Ballot, Member, View};
use serde::{Deserialize, Serialize};

/// An update in its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub seq: u64,
    pub at_ms: u64,
    pub body: Vec<u8>,
    /// Which office it was asked of, by which token and which of its tries.
    pub from: Asked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    pub office: u64,
    pub life: u64,
    pub token: u64,
    pub attempt: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    pub body: Vec<u8>,
    pub from: Asked,
}

/// How an office stands, as it tells the others a few times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    pub me: Member,
    /// The newest view that it knows to be decided, the one it has installed, the newest known to be at work.
    pub decided: u64,
    pub installed: u64,
    pub at_work: u64,
    /// The last entry that it holds, and the last that it knows to be on all disks.
    pub last: u64,
    pub committed: u64,
    pub slow: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// `sent`: the sender's clock, from a start of its own for each life; `echo`: the newest `sent` heard from the
    /// receiver. `ledger`: its time, from a head.
    Ping {
        standing: Standing,
        sent: u64,
        echo: Option<u64>,
        ledger: Option<u64>,
    },
    /// Asks what another sees, before anything is proposed.
    Opinion {
        ask: u64,
    },
    Seen {
        ask: u64,
        standing: Standing,
        contacts: Vec<(u64, u64)>,
        never: u64,
        /// All decided views that it remembers: who missed one needs it to prove that it is dead.
        views: Vec<View>,
    },
    /// Asks for a promise never to install this view or an earlier one.
    Bury {
        ask: u64,
        number: u64,
    },
    Buried {
        ask: u64,
        number: u64,
        installed: u64,
    },
    /// For the view after `base`, by its members.
    Prepare {
        base: View,
        ballot: Ballot,
    },
    Promise {
        number: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
    },
    Accept {
        ballot: Ballot,
        view: View,
    },
    Accepted {
        number: u64,
        ballot: Ballot,
    },
    /// A higher ballot was promised.
    Outbid {
        number: u64,
        ballot: Ballot,
    },
    /// These views are decided.
    Learn {
        views: Vec<View>,
    },
    /// What was committed up to `seq`, and behind it what the source holds beyond.
    Install {
        view: View,
        seq: u64,
        at_ms: u64,
        snapshot: Vec<u8>,
        log: Vec<Entry>,
    },
    AtWork {
        number: u64,
    },
    /// `echo`: the head's time as last heard; `age_ms`: how long ago the call was made.
    Forward {
        view: u64,
        echo: u64,
        age_ms: u64,
        from: Asked,
        kind: CallKind,
        body: Vec<u8>,
    },
    /// The head took nothing of it and never will.
    Refuse {
        from: Asked,
    },
    Pass {
        view: u64,
        entries: Vec<Entry>,
        questions: Vec<Question>,
        synced_to: u64,
    },
    Answer {
        from: Asked,
        body: Vec<u8>,
    },
    Commit {
        view: u64,
        seq: u64,
    },
}

impl Message {
    /// Whether it asks what only somebody may answer who has forgotten nothing.
    pub(crate) fn asks_for_a_say(&self) -> bool {
        matches!(self, Self::Opinion { .. } | Self::Bury { .. } | Self::Prepare { .. } | Self::Accept { .. })
    }
}
