//! The dispatcher's side, and the ledger by its hard cases.

use rookpulley_versions::deliveries::{MAX_PENDING_MARKS, SYNC_TRANSITIONS, SyncEvent};
use rookpulley_versions::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const PATIENCE: AckTimeouts = AckTimeouts {
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

fn holding(n: u32, number: u64) -> Holder {
    let mut holder = Holder::default();
    holder.follow_stream(7);
    assert_eq!(holder.handle(7, &whole(number, n)), Outcome::Applied);
    holder
}

#[test]
fn a_delta_that_arrives_twice_changes_nothing() {
    let mut holder = holding(1, 1);
    assert_eq!(holder.handle(7, &delta(2, 1, 2)), Outcome::Applied);
    assert_eq!(holder.handle(7, &delta(2, 1, 2)), Outcome::VersionUpdated);
    assert_eq!(holder.table(), Some(&table(2)));
}

#[test]
fn a_delta_that_arrives_late_is_passed_over() {
    let mut holder = holding(1, 1);
    assert_eq!(
        holder.handle(7, &delta(3, 2, 3)),
        Outcome::Refused,
        "the one before it is on its way still"
    );
    assert_eq!(holder.table(), Some(&table(1)), "never half applied");
    assert_eq!(holder.handle(7, &delta(2, 1, 2)), Outcome::Applied);
    assert_eq!(holder.handle(7, &delta(3, 2, 3)), Outcome::Applied);
    assert_eq!(holder.handle(7, &delta(2, 1, 2)), Outcome::Ignored);
    assert_eq!(holder.version(), Some(&version(1, 3)));
}

#[test]
fn a_delta_after_the_whole_table_that_overtook_it_is_passed_over() {
    let mut holder = holding(1, 1);
    assert_eq!(
        holder.handle(7, &whole(4, 1)),
        Outcome::VersionUpdated,
        "the way back to the lines held"
    );
    assert_eq!(
        holder.handle(7, &delta(2, 1, 2)),
        Outcome::Ignored,
        "though it would fit"
    );
    assert_eq!(holder.handle(7, &whole(3, 9)), Outcome::Ignored);
    assert_eq!(
        (holder.version(), holder.table()),
        (Some(&version(1, 4)), Some(&table(1)))
    );
}

#[test]
fn orders_of_the_old_assigner_on_their_way_are_passed_over_after_a_move() {
    let mut holder = holding(1, 40);
    holder.follow_stream(8);
    let of_new = Order {
        version: version(9, 2),
        update: Update::Whole(table(5)),
    };
    assert_eq!(
        holder.handle(7, &whole(41, 6)),
        Outcome::Ignored,
        "before the first order of the new one"
    );
    assert_eq!(
        holder.handle(8, &of_new),
        Outcome::Applied,
        "a smaller number of another start is newer here"
    );
    assert_eq!(holder.handle(7, &whole(42, 6)), Outcome::Ignored);
    assert_eq!(holder.version(), Some(&version(9, 2)));
}

#[test]
fn word_that_nothing_changed_is_refused_by_whom_holds_something_else() {
    let mut holder = holding(1, 1);
    let same = Order {
        version: version(1, 2),
        update: Update::Unchanged(table(2).digest()),
    };
    assert_eq!(holder.handle(7, &same), Outcome::Refused);
    assert_eq!(Holder::default().handle(0, &same), Outcome::Refused);
}

// ---- The ledger ---------------------------------------------------------------------------

struct Publisher {
    book: VersionManager,
    now: f64,
    mark: u64,
}

impl Publisher {
    /// A book with versions 1 to `newest` of table 0, and dispatcher 3 joined.
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
            PATIENCE,
        );
        let mut publisher = Self {
            book,
            now: 0.0,
            mark: 0,
        };
        (1..=newest).for_each(|n| publisher.issue(n));
        let claims = claims.map(|c| BTreeMap::from([(1, c)]));
        publisher.book.join(
            publisher.now,
            3,
            if reports_versions {
                Some(claims.unwrap_or_default())
            } else {
                None
            },
        );
        publisher.book.bind(publisher.now, 3, 1, 0);
        publisher
    }

    fn issue(&mut self, n: u32) {
        let table = Arc::unwrap_or_clone(table(n));
        self.book.issue(self.now, 0, table);
    }

    fn write(&mut self) -> u64 {
        self.mark += 1;
        self.book.record_sent(self.now, 3, &[0], Some(self.mark));
        self.mark
    }

    fn answer(&mut self, mark: u64, holds: Option<u32>) {
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

    fn pass(&mut self, ms: f64) -> usize {
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
fn a_claim_of_the_other_assigner_with_our_table_is_not_sent_it_again() {
    let publisher = Publisher::new(3, Some(claim("n1", 77, 9, 3)), true);
    assert_eq!(publisher.sync_state(), SyncState::InSync);
    let update = publisher.book.order(3, 0).unwrap().update;
    assert_eq!(
        update,
        Update::Unchanged(table(3).digest()),
        "equal digests mean equal tables"
    );
}

#[test]
fn a_claim_of_an_earlier_start_with_a_kept_table_gets_a_delta() {
    let publisher = Publisher::new(3, Some(claim("n0", 0, 2, 2)), true);
    assert_eq!(publisher.sync_state(), SyncState::Behind);
    let Update::Delta(delta) = publisher.book.order(3, 0).unwrap().update else {
        panic!("no delta")
    };
    assert_eq!(
        (delta.from, delta.to),
        (table(2).digest(), table(3).digest())
    );
}

#[test]
fn a_claim_of_the_future_or_of_what_never_was_gets_a_whole_table() {
    for strange in [
        claim("n0", 1, 900, 50),
        claim("n0", 1, 2, 51),
        claim("nobody", 8, 1, 52),
    ] {
        let mut publisher = Publisher::new(3, Some(strange), true);
        assert_eq!(publisher.sync_state(), SyncState::Diverged);
        assert_eq!(publisher.pass(0.0), 1, "it is owed the table");
        assert!(matches!(
            publisher.book.order(3, 0).unwrap().update,
            Update::Whole(_)
        ));
        let mark = publisher.write();
        publisher.answer(mark, Some(3));
        assert_eq!(publisher.sync_state(), SyncState::InSync);
    }
}

#[test]
fn a_wrong_claim_after_an_answer_is_a_loss_and_is_paced() {
    let mut publisher = Publisher::new(1, None, true);
    let mark = publisher.write();
    publisher.answer(mark, Some(1));
    publisher.issue(2);
    let mut owed_at = Vec::new();
    for _ in 0..6 {
        let mark = publisher.write();
        publisher.answer(mark, Some(1));
        assert_eq!(
            publisher.sync_state(),
            SyncState::Lost,
            "it answers and still holds the old one"
        );
        let from = publisher.now;
        while publisher.pass(100.0) == 0 {}
        owed_at.push((publisher.now - from).round());
    }
    assert_eq!(
        owed_at,
        [100.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0],
        "never ever faster"
    );
}

#[test]
fn the_newest_lines_under_an_older_name_are_a_loss() {
    let mut publisher = Publisher::new(1, None, true);
    let mark = publisher.write();
    publisher.answer(mark, Some(1));
    let old = publisher.book.history.newest(0).unwrap().version.clone();
    publisher.issue(2);
    publisher.write();
    publisher.issue(1);
    let mark = publisher.write();
    // It got neither; the order for version 2 may still come and would be taken.
    let claim = Claim {
        version: Some(old),
        digest: table(1).digest(),
    };
    publisher
        .book
        .acknowledge(publisher.now, 3, mark, &BTreeMap::from([(1, claim)]));
    assert_eq!(publisher.sync_state(), SyncState::Lost);
}

#[test]
fn an_answer_without_a_claim_is_a_loss() {
    let mut publisher = Publisher::new(1, None, true);
    let mark = publisher.write();
    publisher.answer(mark, None);
    assert_eq!(publisher.sync_state(), SyncState::Lost);
}

#[test]
fn an_answer_that_comes_twice_proves_nothing_of_what_came_between() {
    let mut publisher = Publisher::new(1, None, true);
    let first = publisher.write();
    publisher.answer(first, Some(1));
    publisher.issue(2);
    publisher.write();
    publisher.issue(1);
    publisher.write();
    // The lines are those of the first version again; the old answer, doubled, seems to prove them held.
    publisher.answer(first, Some(1));
    assert_eq!(publisher.sync_state(), SyncState::Behind);
}

#[test]
fn a_silent_dispatcher_is_never_taken_for_one_in_step() {
    let mut publisher = Publisher::new(1, None, true);
    let mark = publisher.write();
    publisher.answer(mark, Some(1));
    assert_eq!(publisher.sync_state(), SyncState::InSync);
    // A mark without a table, never answered.
    publisher.book.record_sent(publisher.now, 3, &[], Some(900));
    assert_eq!(
        (publisher.pass(900.0), publisher.sync_state()),
        (0, SyncState::InSync)
    );
    assert_eq!(
        (publisher.pass(200.0), publisher.sync_state()),
        (0, SyncState::Unknown)
    );
    let mark = publisher.write();
    assert_eq!(
        (publisher.pass(1_100.0), publisher.sync_state()),
        (1, SyncState::Lost)
    );
    publisher.answer(mark, Some(1));
    assert_eq!(
        publisher.sync_state(),
        SyncState::InSync,
        "a late answer still tells"
    );
}

#[test]
fn marks_alone_feed_the_ledger_of_one_that_claims_nothing() {
    let mut publisher = Publisher::new(1, None, false);
    assert_eq!(publisher.sync_state(), SyncState::Unknown);
    let first = publisher.write();
    publisher.issue(2);
    let second = publisher.write();
    publisher.answer(first, None);
    assert_eq!(publisher.sync_state(), SyncState::Behind);
    publisher.answer(second, None);
    assert_eq!(publisher.sync_state(), SyncState::InSync);
    publisher.issue(3);
    publisher.write();
    assert_eq!(publisher.sync_state(), SyncState::Behind);
    assert_eq!(
        (publisher.pass(5_000.0), publisher.sync_state()),
        (0, SyncState::Lost),
        "known for lost, not written again"
    );
    publisher.book.leave(publisher.now, 3);
    assert_eq!(publisher.sync_state(), SyncState::Unknown);
}

#[test]
fn with_256_unanswered_marks_the_oldest_are_given_up() {
    let mut publisher = Publisher::new(1, None, false);
    let marks: Vec<u64> = (2..=MAX_PENDING_MARKS as u32 + 40)
        .map(|n| {
            publisher.issue(n);
            publisher.write()
        })
        .collect();
    let entry = publisher.book.deliveries.entry(3).unwrap();
    assert_eq!(entry.pending_mark_count(), MAX_PENDING_MARKS);
    publisher.answer(marks[0], None);
    assert_eq!(
        publisher.sync_state(),
        SyncState::Behind,
        "given up: proves nothing"
    );
    publisher.answer(marks[marks.len() - 2], None);
    assert_eq!(publisher.sync_state(), SyncState::Behind);
    publisher.answer(marks[marks.len() - 1], None);
    assert_eq!(publisher.sync_state(), SyncState::InSync);
    assert_eq!(
        publisher
            .book
            .deliveries
            .entry(3)
            .unwrap()
            .pending_mark_count(),
        0
    );
}

#[test]
fn what_a_joined_dispatcher_holds_is_pinned_until_it_leaves() {
    let mut publisher = Publisher::new(1, None, true);
    let mark = publisher.write();
    publisher.answer(mark, Some(1));
    (2..=600).for_each(|n| publisher.issue(n));
    assert!(publisher.book.history.get(1).is_some());
    publisher.book.leave(publisher.now, 3);
    publisher.issue(601);
    assert!(publisher.book.history.get(1).is_none());
}

#[test]
fn the_table_of_judgements_has_one_row_for_a_state_and_a_cue() {
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
fn the_way_back_names_a_table_or_a_moment_of_all() {
    let mut publisher = Publisher::new(2, None, true);
    publisher
        .book
        .issue(0.0, 5, Arc::unwrap_or_clone(table(30)));
    publisher.issue(3);
    publisher
        .book
        .issue(0.0, 5, Arc::unwrap_or_clone(table(31)));
    let back = |text: &str, table, all| {
        publisher
            .book
            .rollback_tables(&text.parse().unwrap(), table, all)
    };
    let one = back("n0~0000000000000001~2", None, false).unwrap();
    assert_eq!(one, [(0, table(2))]);
    let all = back("n0~0000000000000001~3", None, true).unwrap();
    assert_eq!(
        all,
        [(0, table(2)), (5, table(30))],
        "as they were when version 3 was the newest"
    );
    let said = back("n0~0000000000000001~2", Some(5), false)
        .unwrap_err()
        .to_string();
    assert!(said.contains("of table 0, not of table 5"), "{said}");
}
