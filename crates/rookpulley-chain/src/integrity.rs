//! Consistency check of the chain's rows in a store, with a description of each inconsistency for operators.

use crate::message::Entry;
use crate::persisted::{AcceptorState, CommittedUpTo, PersistedState, SnapshotHeader, kind};
use crate::view::View;
use serde::de::DeserializeOwned;
use std::fmt::Display;

/// One inconsistency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inconsistency {
    /// The row or item that it concerns.
    pub place: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

#[derive(Default)]
struct Inconsistencies(Vec<Inconsistency>);

impl Inconsistencies {
    fn add(&mut self, place: impl Display, found: impl Display, expected: impl Display) {
        self.0.push(Inconsistency {
            place: place.to_string(),
            found: found.to_string(),
            expected: expected.to_string(),
        });
    }

    /// Decodes a row, and reports it if it cannot be decoded. `kind` describes the expected contents.
    fn decode<T: DeserializeOwned>(&mut self, key: &[u8], row: &[u8], kind: &str) -> Option<T> {
        let value = postcard::from_bytes(row).ok();
        if value.is_none() {
            let found = format!("unreadable ({} bytes)", row.len());
            self.add(row_name(key), found, kind);
        }
        value
    }

    /// Reports a row whose contents have another number than its key.
    fn check_number(&mut self, key: &[u8], number: u64) {
        if number_in(key) != Some(number) {
            let found = format!("numbered {number}");
            self.add(row_name(key), found, "numbered as in its key");
        }
    }
}

fn number_in(key: &[u8]) -> Option<u64> {
    key.get(1..)?.try_into().ok().map(u64::from_be_bytes)
}

/// `row i`, or `row v 6`.
fn row_name(key: &[u8]) -> String {
    match (key.first(), number_in(key)) {
        (Some(kind), Some(number)) => format!("row {} {number}", kind.escape_ascii()),
        _ => format!("row {}", key.escape_ascii()),
    }
}

type Rows = [(Vec<u8>, Vec<u8>)];

/// Checks the chain's rows of a store with this identity. The contents of snapshots and updates are not decoded.
pub fn find_inconsistencies(rows: &Rows, identity: Option<u64>) -> Vec<Inconsistency> {
    let mut found = Inconsistencies::default();
    let mut header = None;
    let mut committed = CommittedUpTo::default();
    let mut entries = Vec::new();
    for (key, row) in rows {
        match key.first().copied() {
            Some(kind::INCARNATION | kind::INSTALLED | kind::ABANDONED) => {
                _ = found.decode::<u64>(key, row, "an integer");
            }
            Some(kind::COMMITTED) => {
                let decoded = found.decode(key, row, "a commit position with its time");
                committed = decoded.unwrap_or_default();
            }
            Some(kind::ACCEPTOR) => _ = found.decode::<AcceptorState>(key, row, "a vote"),
            Some(kind::VIEW) => {
                if let Some(view) = found.decode::<View>(key, row, "a view") {
                    found.check_number(key, view.number);
                }
            }
            Some(kind::ENTRY) => {
                let entry = found.decode::<(u64, Entry)>(key, row, "a log entry with its view");
                if let Some((view, entry)) = entry {
                    found.check_number(key, entry.seq);
                    entries.push((view, entry));
                }
            }
            Some(kind::SNAPSHOT_HEADER) => {
                header = found.decode(key, row, "a snapshot header");
            }
            _ => {}
        }
    }
    let persisted = PersistedState::read(rows.iter().cloned());
    check_snapshot(&mut found, rows, &persisted, header);
    check_log(&mut found, &persisted, committed.seq, &entries);
    check_views(&mut found, &persisted, identity);
    check_acceptor(&mut found, &persisted, identity);
    found.0
}

fn check_snapshot(
    found: &mut Inconsistencies,
    rows: &Rows,
    persisted: &PersistedState,
    header: Option<SnapshotHeader>,
) {
    let has_header = rows.iter().any(|(key, _)| key == &[kind::SNAPSHOT_HEADER]);
    match header {
        None if !has_header && persisted.installed > 0 => {
            let expected = format!("present, as view {} is installed", persisted.installed);
            found.add("snapshot", "missing", expected);
        }
        Some(header) if persisted.snapshot.is_none() => {
            let chunks = rows
                .iter()
                .filter(|(key, _)| key.first() == Some(&kind::SNAPSHOT_CHUNK));
            let lengths = chunks.take(header.chunks as usize).map(|(_, c)| c.len());
            let length: usize = lengths.sum();
            if length as u64 == header.length {
                let actual = "corrupt (checksum mismatch)";
                found.add("snapshot", actual, "intact");
            } else {
                let actual = format!("{length} bytes long");
                found.add("snapshot", actual, format!("{} bytes long", header.length));
            }
        }
        Some(_) if persisted.status().snapshot.is_none() => found.add(
            "snapshot",
            "without a readable reply cache",
            "a reply cache followed by the state",
        ),
        _ => {}
    }
}

fn check_log(
    found: &mut Inconsistencies,
    persisted: &PersistedState,
    committed: u64,
    entries: &[(u64, Entry)],
) {
    let Some((header, _)) = &persisted.snapshot else {
        return;
    };
    let last = persisted.log.last().map_or(header.seq, |entry| entry.seq);
    let newest = entries.iter().map(|(view, _)| *view).max().unwrap_or(0);
    let is_part_of_log =
        |view: u64, seq: u64| seq <= committed || (view == newest && persisted.installed <= newest);
    let later = entries
        .iter()
        .filter(|(view, entry)| entry.seq > last && is_part_of_log(*view, entry.seq))
        .count();
    if later > 0 || committed > last {
        let missing = last + 1;
        let actual = format!("missing update {missing}, with {later} later ones present");
        let expected = format!("complete from update {} on", header.seq + 1);
        found.add("log", actual, expected);
    }
    for (before, entry) in persisted.log.iter().zip(persisted.log.iter().skip(1)) {
        if entry.at_ms < before.at_ms {
            let place = format!("update {}", entry.seq);
            let actual = format!("timestamped {} ms", entry.at_ms);
            found.add(
                place,
                actual,
                format!("timestamped {} ms or later", before.at_ms),
            );
        }
    }
}

fn check_views(found: &mut Inconsistencies, persisted: &PersistedState, identity: Option<u64>) {
    for view in &persisted.views {
        if view.members.is_empty() {
            let place = format!("view {}", view.number);
            found.add(place, "without members", "with at least one member");
        }
    }
    let oldest = persisted.views.first().map(|view| view.number);
    let newest = persisted.views.last().map_or(0, |view| view.number);
    // The installed view may be older than the retained ones.
    let installed = persisted.installed;
    if installed > 0 && oldest.is_none_or(|oldest| oldest <= installed) {
        match view_of(persisted, installed) {
            None => {
                let actual = format!("{installed}, which is not in the store");
                found.add("installed view", actual, "a stored view");
            }
            Some(view) if identity.is_some_and(|id| view.position(id).is_none()) => {
                let actual = format!("{installed} without this identity");
                found.add("installed view", actual, "a view that contains it");
            }
            _ => {}
        }
    }
    if persisted.abandoned > newest {
        let actual = format!("{} (views up to it are abandoned)", persisted.abandoned);
        found.add(
            "row n",
            actual,
            format!("at most {newest}, the newest view"),
        );
    }
}

fn check_acceptor(found: &mut Inconsistencies, persisted: &PersistedState, identity: Option<u64>) {
    let acceptor = &persisted.acceptor;
    let number = acceptor.number;
    let newest = persisted.views.last().map_or(0, |view| view.number);
    if number > newest + 1 {
        let after = newest + 1;
        let expected = format!("for view {after} at most, the one after the newest");
        found.add("vote", format!("for view {number}"), expected);
    }
    let before = number
        .checked_sub(1)
        .and_then(|before| view_of(persisted, before));
    if before.is_some_and(|view| identity.is_some_and(|id| !view.is_acceptor(id))) {
        let expected = "for a view after one in which this identity is an acceptor";
        found.add("vote", format!("for view {number}"), expected);
    }
    let Some((ballot, view)) = &acceptor.accepted else {
        return;
    };
    if view.number != number {
        let actual = format!("with accepted view {}", view.number);
        found.add("vote", actual, format!("with accepted view {number}"));
    }
    if *ballot > acceptor.promised {
        let actual = "accepted in a ballot above the promised one";
        found.add(
            "vote",
            actual,
            "accepted in the promised ballot or a lower one",
        );
    }
}

fn view_of(persisted: &PersistedState, number: u64) -> Option<&View> {
    persisted.views.iter().find(|view| view.number == number)
}
