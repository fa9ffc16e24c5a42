//! All that is wrong with the rows of a disk, for who wants to know more than whether they are sound.

use crate::message::Entry;
use crate::persisted::{AcceptorState, PersistedState, SnapshotHeader};
use crate::view::View;
use serde::de::DeserializeOwned;
use std::fmt::Display;

/// A place, what was found there, and what should be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inconsistency {
    pub place: String,
    pub found: String,
    pub instead: String,
}

#[derive(Default)]
struct Inconsistencies(Vec<Inconsistency>);

impl Inconsistencies {
    fn add(&mut self, place: impl Display, found: impl Display, instead: impl Display) {
        let (place, found, instead) = (place.to_string(), found.to_string(), instead.to_string());
        self.0.push(Inconsistency {
            place,
            found,
            instead,
        });
    }

    fn read<T: DeserializeOwned>(&mut self, key: &[u8], row: &[u8], kind: &str) -> Option<T> {
        let value = postcard::from_bytes(row).ok();
        if value.is_none() {
            self.add(
                named(key),
                format!("unreadable ({} bytes)", row.len()),
                kind,
            );
        }
        value
    }

    /// A row stands under the number that it is of.
    fn under(&mut self, key: &[u8], number: u64) {
        if numbered(key) != Some(number) {
            self.add(
                named(key),
                format!("of number {number}"),
                "of the number of its key",
            );
        }
    }
}

fn numbered(key: &[u8]) -> Option<u64> {
    key.get(1..)?.try_into().ok().map(u64::from_be_bytes)
}

/// `i`, or `v 6`.
fn named(key: &[u8]) -> String {
    let kind = key
        .first()
        .map_or(String::new(), |kind| kind.escape_ascii().to_string());
    match numbered(key) {
        Some(number) => format!("row {kind} {number}"),
        None => format!("row {}", key.escape_ascii()),
    }
}

type Rows = [(Vec<u8>, Vec<u8>)];

/// What is wrong with the chain's rows of a disk with this identity, apart from what its state and updates mean.
pub fn find_inconsistencies(rows: &Rows, identity: Option<u64>) -> Vec<Inconsistency> {
    let (mut flaws, mut head, mut agreed, mut entries) =
        (Inconsistencies::default(), None, None, Vec::new());
    for (key, row) in rows {
        match key.first() {
            Some(b'b' | b'i' | b'n') => _ = flaws.read::<u64>(key, row, "a whole number"),
            Some(b'c') => agreed = flaws.read::<(u64, u64)>(key, row, "an update with its time"),
            Some(b'p') => _ = flaws.read::<AcceptorState>(key, row, "a vote"),
            Some(b'v') => {
                if let Some(view) = flaws.read::<View>(key, row, "a view") {
                    flaws.under(key, view.number);
                }
            }
            Some(b'e') => {
                if let Some((view, entry)) =
                    flaws.read::<(u64, Entry)>(key, row, "an update with its view")
                {
                    flaws.under(key, entry.seq);
                    entries.push((view, entry));
                }
            }
            Some(b'S') => head = flaws.read::<SnapshotHeader>(key, row, "the head of a snapshot"),
            _ => {}
        }
    }
    let kept = PersistedState::read(rows.iter().cloned());
    of_state(&mut flaws, rows, &kept, head);
    of_log(
        &mut flaws,
        &kept,
        agreed.map_or(0, |(seq, _)| seq),
        &entries,
    );
    of_views(&mut flaws, &kept, identity);
    flaws.0
}

fn of_state(
    flaws: &mut Inconsistencies,
    rows: &Rows,
    kept: &PersistedState,
    head: Option<SnapshotHeader>,
) {
    let headless = rows.iter().all(|(key, _)| key != b"S");
    match head {
        None if headless && kept.installed > 0 => flaws.add(
            "snapshot",
            "missing",
            format!("there, as view {} is installed", kept.installed),
        ),
        Some(head) if kept.snapshot.is_none() => {
            let pieces = rows.iter().filter(|(key, _)| key.first() == Some(&b's'));
            let length: usize = pieces
                .take(head.pieces as usize)
                .map(|(_, piece)| piece.len())
                .sum();
            if length as u64 == head.length {
                flaws.add(
                    "snapshot",
                    "spoilt (its sum is another)",
                    "as it was written",
                );
            } else {
                flaws.add(
                    "snapshot",
                    format!("{length} bytes long"),
                    format!("{} bytes long", head.length),
                );
            }
        }
        Some(_) if kept.shown().snapshot.is_none() => flaws.add(
            "snapshot",
            "without the late answers",
            "the late answers, then the state",
        ),
        _ => {}
    }
}

fn of_log(
    flaws: &mut Inconsistencies,
    kept: &PersistedState,
    agreed: u64,
    entries: &[(u64, Entry)],
) {
    let Some((head, _)) = &kept.snapshot else {
        return;
    };
    let last = kept.log.last().map_or(head.seq, |entry| entry.seq);
    let newest = entries.iter().map(|(view, _)| *view).max().unwrap_or(0);
    let counts =
        |view: u64, seq: u64| seq <= agreed || (view == newest && kept.installed <= newest);
    let behind = entries
        .iter()
        .filter(|(view, e)| e.seq > last && counts(*view, e.seq))
        .count();
    if behind > 0 || agreed > last {
        let found = format!(
            "without update {}, and {behind} behind it are there",
            last + 1
        );
        flaws.add(
            "log",
            found,
            format!("whole from update {} on", head.seq + 1),
        );
    }
    for pair in kept.log.windows(2) {
        if let [before, entry] = pair
            && entry.at_ms < before.at_ms
        {
            let least = before.at_ms;
            flaws.add(
                format!("update {}", entry.seq),
                format!("of {} ms", entry.at_ms),
                format!("of {least} ms or later"),
            );
        }
    }
}

fn of_views(flaws: &mut Inconsistencies, kept: &PersistedState, identity: Option<u64>) {
    for view in &kept.views {
        if view.members.is_empty() {
            flaws.add(
                format!("view {}", view.number),
                "without members",
                "of one member at least",
            );
        }
    }
    let (oldest, newest) = (
        kept.views.first().map(|v| v.number),
        kept.views.last().map_or(0, |v| v.number),
    );
    let of = |number: u64| kept.views.iter().find(|view| view.number == number);
    // A view that was installed long ago may be forgotten.
    if kept.installed > 0 && oldest.is_none_or(|oldest| oldest <= kept.installed) {
        match of(kept.installed) {
            None => flaws.add(
                "installed view",
                format!("{}, which is not known", kept.installed),
                "a known one",
            ),
            Some(view) if identity.is_some_and(|id| view.place(id).is_none()) => flaws.add(
                "installed view",
                format!("{} without this identity", view.number),
                "one that names it",
            ),
            _ => {}
        }
    }
    if kept.never > newest {
        let found = format!("{} (never installed up to it)", kept.never);
        flaws.add("row n", found, format!("at most {newest}, the newest view"));
    }
    let vote = &kept.vote;
    if vote.number > newest + 1 {
        let found = format!("for view {}", vote.number);
        flaws.add(
            "vote",
            found,
            format!("for view {} at most, the one after the newest", newest + 1),
        );
    }
    let before = vote.number.checked_sub(1).and_then(of);
    if before.is_some_and(|view| identity.is_some_and(|id| !view.votes(id))) {
        flaws.add(
            "vote",
            format!("for view {}", vote.number),
            "for a view after one that this identity votes in",
        );
    }
    if let Some((ballot, view)) = &vote.accepted {
        if view.number != vote.number {
            flaws.add(
                "vote",
                format!("an accepted view {}", view.number),
                format!("view {}", vote.number),
            );
        }
        if *ballot > vote.promised {
            flaws.add(
                "vote",
                "accepted in a ballot above the promised one",
                "of the promised ballot at most",
            );
        }
    }
}
