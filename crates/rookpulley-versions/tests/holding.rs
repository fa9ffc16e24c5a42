//! Edge cases of order handling by dispatchers and of delivery tracking.

use rookpulley_versions::deliveries::{MAX_PENDING_MARKS, SYNC_TRANSITIONS, SyncEvent};
use rookpulley_versions::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const TIMEOUTS: AckTimeouts = AckTimeouts {
    ack_ms: 1_000.0,
    resend_ms: 500.0,
    resend_max_ms: 8_000.0,
};

fn table(n: u32) -> Arc<Table> {
    let lines = (1..=6).map(|k| {
        (
            Name::from(format!("s-{k}")),
            f64::from(k + if k == 1 { n } else { 0 }),
        )
    });
    Arc::new(Table::from_lines(lines).unwrap())
}

fn version(start: u64, number: u64) -> Version {
    Version {
        issuer: Arc::new(Issuer {
            assigner: "n0".into(),
            start,
        }),
        number,
    }
}

fn delta(number: u64, from: u32, to: u32) -> Order {
    Order {
        version: version(1, number),
        update: Update::Delta(Delta::between(&table(from), &table(to))),
    }
}

fn whole(number: u64, to: u32) -> Order {
    Order {
        version: version(1, number),
        update: Update::Whole(table(to)),
    }
}

fn holder_with(n: u32, number: u64) -> Holder {
    let mut holder = Holder::default();
    holder.follow_stream(7);
    assert_eq!(holder.handle(7, &whole(number, n)), Outcome::Applied);
    holder
}

#[test]
fn duplicate_delta_changes_nothing() {
    let mut holder = holder_with(1, 1);
    assert_eq!(holder.handle(7, &delta(2, 1, 2)), Outcome::Applied);
    assert_eq!(holder.handle(7, &delta(2, 1, 2)), Outcome::VersionUpdated);
    assert_eq!(holder.table(), Some(&table(2)));
}

#[test]
fn late_delta_is_ignored() {
    let mut holder = holder_with(1, 1);
    assert_eq!(
        holder.handle(7, &delta(3, 2, 3)),
        Outcome::Refused,
        "the preceding delta has not arrived"
    );
    assert_eq!(
        holder.table(),
        Some(&table(1)),
        "a refused delta leaves the table unchanged"
    );
    assert_eq!(holder.handle(7, &delta(2, 1, 2)), Outcome::Applied);
    assert_eq!(holder.handle(7, &delta(3, 2, 3)), Outcome::Applied);
    assert_eq!(holder.handle(7, &delta(2, 1, 2)), Outcome::Ignored);
    assert_eq!(holder.version(), Some(&version(1, 3)));
}

#[test]
fn delta_superseded_by_a_whole_table_is_ignored() {
    let mut holder = holder_with(1, 1);
    assert_eq!(
        holder.handle(7, &whole(4, 1)),
        Outcome::VersionUpdated,
        "same content as the held table"
    );
    assert_eq!(
        holder.handle(7, &delta(2, 1, 2)),
        Outcome::Ignored,
        "although its base matches"
    );
    assert_eq!(holder.handle(7, &whole(3, 9)), Outcome::Ignored);
    assert_eq!(
        (holder.version(), holder.table()),
        (Some(&version(1, 4)), Some(&table(1)))
    );
}

#[test]
fn orders_of_the_previous_stream_are_ignored() {
    let mut holder = holder_with(1, 40);
    holder.follow_stream(8);
    let of_new = Order {
        version: version(9, 2),
        update: Update::Whole(table(5)),
    };
    assert_eq!(
        holder.handle(7, &whole(41, 6)),
        Outcome::Ignored,
        "before the first order of the new stream"
    );
    assert_eq!(
        holder.handle(8, &of_new),
        Outcome::Applied,
        "numbers of another start are not compared"
    );
    assert_eq!(holder.handle(7, &whole(42, 6)), Outcome::Ignored);
    assert_eq!(holder.version(), Some(&version(9, 2)));
}

#[test]
fn unchanged_update_for_another_table_is_refused() {
    let mut holder = holder_with(1, 1);
    let same = Order {
        version: version(1, 2),
        update: Update::Unchanged(table(2).digest()),
    };
    assert_eq!(holder.handle(7, &same), Outcome::Refused);
    assert_eq!(Holder::default().handle(0, &same), Outcome::Refused);
}

struct Fixture {
    book: VersionManager,
    now: f64,
    mark: u64,
}

impl Fixture {
    /// Creates a manager with versions 1 to `newest` of table 0 and joins dispatcher 3.
    fn new(newest: u32, claims: Option<Claim>, reports_versions: bool) -> Self {
        let issuer = Issuer {
            assigner: "n0".into(),
            start: 1,
        };
        let book = VersionManager::new(
            issuer,
            1,
            RetentionLimits {
                per_table: 300,
                bytes: 1 << 24,
            },
            TIMEOUTS,
        );
        let mut fixture = Self {
            book,
            now: 0.0,
            mark: 0,
        };
        (1..=newest).for_each(|n| fixture.issue(n));
        let claims = claims.map(|c| BTreeMap::from([(1, c)]));
        fixture.book.join(
            fixture.now,
            3,
            if reports_versions {
                Some(claims.unwrap_or_default())
            } else {
                None
            },
        );
        fixture.book.bind(fixture.now, 3, 1, 0);
        fixture
    }

    fn issue(&mut self, n: u32) {
        let table = Arc::unwrap_or_clone(table(n));
        self.book.issue(self.now, 0, table);
    }

    fn send(&mut self) -> u64 {
        self.mark += 1;
        self.book.record_sent(self.now, 3, &[0], Some(self.mark));
        self.mark
    }

    fn acknowledge(&mut self, mark: u64, holds: Option<u32>) {
        let named = |d| {
            self.book
                .history
                .with_digest(0, d)
                .map(|i| i.version.clone())
        };
        let claim = |digest| Claim {
            version: named(digest),
            digest,
        };
        let claims = holds.map(|n| (1, claim(table(n).digest())));
        self.book
            .acknowledge(self.now, 3, mark, &claims.into_iter().collect());
    }

    fn sync_state(&self) -> SyncState {
        let entry = self.book.deliveries.entry(3).unwrap();
        entry
            .tables()
            .next()
            .map_or(SyncState::Unknown, |(_, held)| held.sync_state)
    }

    fn advance(&mut self, ms: f64) -> usize {
        self.now += ms;
        self.book.due_resends(self.now).len()
    }
}

fn claim(assigner: &str, start: u64, number: u64, holds: u32) -> Claim {
    let issuer = Arc::new(Issuer {
        assigner: assigner.into(),
        start,
    });
    Claim {
        version: Some(Version { issuer, number }),
        digest: table(holds).digest(),
    }
}

#[test]
fn claim_from_another_assigner_with_equal_table_gets_unchanged_update() {
    let fixture = Fixture::new(3, Some(claim("n1", 77, 9, 3)), true);
    assert_eq!(fixture.sync_state(), SyncState::InSync);
    let update = fixture.book.order(3, 0).unwrap().update;
    assert_eq!(
        update,
        Update::Unchanged(table(3).digest()),
        "equal digests mean equal tables"
    );
}

#[test]
fn claim_of_an_earlier_start_with_retained_table_gets_a_delta() {
    let fixture = Fixture::new(3, Some(claim("n0", 0, 2, 2)), true);
    assert_eq!(fixture.sync_state(), SyncState::Behind);
    let Update::Delta(delta) = fixture.book.order(3, 0).unwrap().update else {
        panic!("no delta")
    };
    assert_eq!(
        (delta.from, delta.to),
        (table(2).digest(), table(3).digest())
    );
}

#[test]
fn claim_of_an_unknown_table_gets_a_whole_table() {
    for unknown in [
        claim("n0", 1, 900, 50),
        claim("n0", 1, 2, 51),
        claim("nobody", 8, 1, 52),
    ] {
        let mut fixture = Fixture::new(3, Some(unknown), true);
        assert_eq!(fixture.sync_state(), SyncState::Diverged);
        assert_eq!(fixture.advance(0.0), 1, "a resend is due");
        assert!(matches!(
            fixture.book.order(3, 0).unwrap().update,
            Update::Whole(_)
        ));
        let mark = fixture.send();
        fixture.acknowledge(mark, Some(3));
        assert_eq!(fixture.sync_state(), SyncState::InSync);
    }
}

#[test]
fn repeated_loss_is_resent_with_backoff() {
    let mut fixture = Fixture::new(1, None, true);
    let mark = fixture.send();
    fixture.acknowledge(mark, Some(1));
    fixture.issue(2);
    let mut resend_delays = Vec::new();
    for _ in 0..6 {
        let mark = fixture.send();
        fixture.acknowledge(mark, Some(1));
        assert_eq!(
            fixture.sync_state(),
            SyncState::Lost,
            "acknowledged, but still holds the old version"
        );
        let from = fixture.now;
        while fixture.advance(100.0) == 0 {}
        resend_delays.push((fixture.now - from).round());
    }
    assert_eq!(
        resend_delays,
        [100.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0],
        "the backoff doubles up to its maximum"
    );
}

#[test]
fn newest_table_claimed_under_an_older_version_is_a_loss() {
    let mut fixture = Fixture::new(1, None, true);
    let mark = fixture.send();
    fixture.acknowledge(mark, Some(1));
    let old = fixture.book.history.newest(0).unwrap().version.clone();
    fixture.issue(2);
    fixture.send();
    fixture.issue(1);
    let mark = fixture.send();
    // Neither order arrived; a delayed order for version 2 would still be applied.
    let claim = Claim {
        version: Some(old),
        digest: table(1).digest(),
    };
    fixture
        .book
        .acknowledge(fixture.now, 3, mark, &BTreeMap::from([(1, claim)]));
    assert_eq!(fixture.sync_state(), SyncState::Lost);
}

#[test]
fn acknowledgement_without_a_claim_is_a_loss() {
    let mut fixture = Fixture::new(1, None, true);
    let mark = fixture.send();
    fixture.acknowledge(mark, None);
    assert_eq!(fixture.sync_state(), SyncState::Lost);
}

#[test]
fn duplicate_acknowledgement_confirms_nothing() {
    let mut fixture = Fixture::new(1, None, true);
    let first = fixture.send();
    fixture.acknowledge(first, Some(1));
    fixture.issue(2);
    fixture.send();
    fixture.issue(1);
    fixture.send();
    // The newest table equals version 1, so the duplicated acknowledgement appears to confirm it.
    fixture.acknowledge(first, Some(1));
    assert_eq!(fixture.sync_state(), SyncState::Behind);
}

#[test]
fn silent_dispatcher_does_not_stay_in_sync() {
    let mut fixture = Fixture::new(1, None, true);
    let mark = fixture.send();
    fixture.acknowledge(mark, Some(1));
    assert_eq!(fixture.sync_state(), SyncState::InSync);
    // A mark without a table that is never acknowledged.
    fixture.book.record_sent(fixture.now, 3, &[], Some(900));
    assert_eq!(
        (fixture.advance(900.0), fixture.sync_state()),
        (0, SyncState::InSync)
    );
    assert_eq!(
        (fixture.advance(200.0), fixture.sync_state()),
        (0, SyncState::Unknown)
    );
    let mark = fixture.send();
    assert_eq!(
        (fixture.advance(1_100.0), fixture.sync_state()),
        (1, SyncState::Lost)
    );
    fixture.acknowledge(mark, Some(1));
    assert_eq!(
        fixture.sync_state(),
        SyncState::InSync,
        "a late acknowledgement still counts"
    );
}

#[test]
fn acknowledged_marks_suffice_without_version_reports() {
    let mut fixture = Fixture::new(1, None, false);
    assert_eq!(fixture.sync_state(), SyncState::Unknown);
    let first = fixture.send();
    fixture.issue(2);
    let second = fixture.send();
    fixture.acknowledge(first, None);
    assert_eq!(fixture.sync_state(), SyncState::Behind);
    fixture.acknowledge(second, None);
    assert_eq!(fixture.sync_state(), SyncState::InSync);
    fixture.issue(3);
    fixture.send();
    assert_eq!(fixture.sync_state(), SyncState::Behind);
    assert_eq!(
        (fixture.advance(5_000.0), fixture.sync_state()),
        (0, SyncState::Lost),
        "marked as lost, but not resent"
    );
    fixture.book.leave(fixture.now, 3);
    assert_eq!(fixture.sync_state(), SyncState::Unknown);
}

#[test]
fn oldest_pending_marks_are_dropped_beyond_the_limit() {
    let mut fixture = Fixture::new(1, None, false);
    let marks: Vec<u64> = (2..=MAX_PENDING_MARKS as u32 + 40)
        .map(|n| {
            fixture.issue(n);
            fixture.send()
        })
        .collect();
    let entry = fixture.book.deliveries.entry(3).unwrap();
    assert_eq!(entry.pending_mark_count(), MAX_PENDING_MARKS);
    fixture.acknowledge(marks[0], None);
    assert_eq!(
        fixture.sync_state(),
        SyncState::Behind,
        "a dropped mark confirms nothing"
    );
    fixture.acknowledge(marks[marks.len() - 2], None);
    assert_eq!(fixture.sync_state(), SyncState::Behind);
    fixture.acknowledge(marks[marks.len() - 1], None);
    assert_eq!(fixture.sync_state(), SyncState::InSync);
    assert_eq!(
        fixture
            .book
            .deliveries
            .entry(3)
            .unwrap()
            .pending_mark_count(),
        0
    );
}

#[test]
fn held_version_is_pinned_until_the_dispatcher_leaves() {
    let mut fixture = Fixture::new(1, None, true);
    let mark = fixture.send();
    fixture.acknowledge(mark, Some(1));
    (2..=600).for_each(|n| fixture.issue(n));
    assert!(fixture.book.history.get(1).is_some());
    fixture.book.leave(fixture.now, 3);
    fixture.issue(601);
    assert!(fixture.book.history.get(1).is_none());
}

#[test]
fn sync_transitions_are_unique_and_only_confirmation_leads_to_in_sync() {
    let mut rows: Vec<(SyncState, SyncEvent)> =
        SYNC_TRANSITIONS.iter().map(|row| (row.0, row.1)).collect();
    rows.sort();
    rows.dedup();
    assert_eq!(rows.len(), SYNC_TRANSITIONS.len());
    let disconnect = SYNC_TRANSITIONS
        .iter()
        .filter(|row| row.1 == SyncEvent::Disconnected);
    assert!(
        disconnect.clone().count() == 4
            && disconnect
                .into_iter()
                .all(|row| row.2 == SyncState::Unknown)
    );
    assert!(
        SYNC_TRANSITIONS
            .iter()
            .all(|row| row.2 != SyncState::InSync || row.1 == SyncEvent::ConfirmedNewest)
    );
}

#[test]
fn rollback_selects_one_table_or_all_tables_at_a_version() {
    let mut fixture = Fixture::new(2, None, true);
    fixture.book.issue(0.0, 5, Arc::unwrap_or_clone(table(30)));
    fixture.issue(3);
    fixture.book.issue(0.0, 5, Arc::unwrap_or_clone(table(31)));
    let rollback = |text: &str, table, all| {
        fixture
            .book
            .rollback_tables(&text.parse().unwrap(), table, all)
    };
    let one = rollback("n0~0000000000000001~2", None, false).unwrap();
    assert_eq!(one, [(0, table(2))]);
    let all = rollback("n0~0000000000000001~3", None, true).unwrap();
    assert_eq!(
        all,
        [(0, table(2)), (5, table(30))],
        "the newest versions at the time of version 3"
    );
    let said = rollback("n0~0000000000000001~2", Some(5), false)
        .unwrap_err()
        .to_string();
    assert!(said.contains("of table 0, not of table 5"), "{said}");
}
