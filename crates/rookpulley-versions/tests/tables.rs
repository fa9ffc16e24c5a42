//! Tables, digests, deltas and the version history.

use proptest::prelude::*;
use rookpulley_versions::history::LookupError;
use rookpulley_versions::table::TableError;
use rookpulley_versions::version::start_id;
use rookpulley_versions::*;
use std::sync::Arc;

fn table(lines: &[(&str, f64)]) -> Table {
    Table::from_lines(lines.iter().map(|(n, w)| (Name::from(*n), *w))).unwrap()
}

fn issuer(assigner: &str, start: u64) -> Issuer {
    Issuer {
        assigner: assigner.into(),
        start,
    }
}

const LIMITS: RetentionLimits = RetentionLimits {
    per_table: 8,
    bytes: 1 << 20,
};

#[test]
fn golden_bytes_and_digests() {
    let two = table(&[("s-2", 0.25), ("s-1", 1.5)]);
    let hex: String = two.canonical().iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(
        hex,
        "52505431000000020003732d313ff80000000000000003732d323fd0000000000000"
    );
    assert_eq!(two.canonical_len(), two.canonical().len());
    let digests = [Table::default(), two, table(&[("é", 1e-300)])].map(|t| t.digest().to_string());
    assert_eq!(
        digests,
        [
            "faYpF0JPvc5sB0KrU_JiMQ",
            "t5amqQqd_wd60dnS3iOweg",
            "5RPONgunjX_qQa9GdbHZFw"
        ]
    );
}

#[test]
fn digest_does_not_depend_on_the_notation_of_a_weight() {
    let read = |text: &str| text.parse::<f64>().unwrap();
    let spellings = ["1", "1.0", "1e0", "0.1e1", "1.00000000000000000000001"];
    let digests: Vec<Digest> = spellings
        .iter()
        .map(|t| table(&[("s-1", read(t))]).digest())
        .collect();
    assert!(
        digests.windows(2).all(|pair| pair[0] == pair[1]),
        "{digests:?}"
    );
    assert_eq!(
        table(&[("s-1", 1.0), ("s-2", 0.0)]).digest(),
        digests[0],
        "lines with weight 0 are omitted"
    );
    assert_eq!(table(&[("s-1", 1.0), ("s-2", -0.0)]).digest(), digests[0]);
}

#[test]
fn digests_of_tables_with_equal_concatenated_text_differ() {
    // Names and weights concatenated without lengths give the same text.
    let ambiguous = [
        table(&[("a", 1.0), ("b1", 1.0)]),
        table(&[("a1", 1.0), ("b", 1.0)]),
        table(&[("ab", 1.0)]),
        table(&[("a", 1.0), ("b", 1.0)]),
        table(&[("a", 1.0), ("b", 1.0 + f64::EPSILON)]),
    ];
    for (i, a) in ambiguous.iter().enumerate() {
        assert!(
            ambiguous[i + 1..].iter().all(|b| a.digest() != b.digest()),
            "{a:?}"
        );
    }
}

#[test]
fn invalid_lines_are_rejected_with_a_remedy() {
    let of =
        |lines: &[(&str, f64)]| Table::from_lines(lines.iter().map(|(n, w)| (Name::from(*n), *w)));
    assert_eq!(
        of(&[("a", 1.0), ("b", 1.0), ("a", 2.0)]),
        Err(TableError::DuplicateName("a".into()))
    );
    for weight in [-1.0, f64::NAN, f64::INFINITY] {
        let message = of(&[("a", weight)]).unwrap_err().to_string();
        assert!(message.contains("write a number above 0"), "{message}");
    }
    assert!(matches!(
        of(&[(&"n".repeat(70_000), 1.0)]),
        Err(TableError::NameTooLong(70_000))
    ));
}

#[test]
fn versions_round_trip_through_text() {
    let start = start_id(1_764_612_000_123.9, 0xfff_abcde);
    let version = Version {
        issuer: Arc::new(issuer("n~0", start)),
        number: 17,
    };
    assert_eq!(version.to_string().parse(), Ok(version.clone()));
    assert_eq!(version.issuer.start & 0xf_ffff, 0xabcde, "20 random bits");
    for invalid in [
        "",
        "n0",
        "n0~17",
        "~18f3a2c41b7e0042~17",
        "n0~18f3~17",
        "n0~18f3a2c41b7e0042~+1",
        "n0~+8f3a2c41b7e0042~1",
    ] {
        let message = invalid.parse::<Version>().unwrap_err().to_string();
        assert!(message.contains("write it as"), "{message}");
    }
}

#[test]
fn lookup_errors_distinguish_the_cause() {
    let mut history = History::new(
        issuer("n0", 5),
        1,
        RetentionLimits {
            per_table: 2,
            ..LIMITS
        },
    );
    (1..=4).for_each(|n| _ = history.issue(n as f64, 0, table(&[("s", f64::from(n))])));
    let find = |text: &str| history.find(&text.parse().unwrap()).map(|_| ());
    assert_eq!(find("n0~0000000000000005~4"), Ok(()));
    assert!(matches!(
        find("n1~0000000000000005~4"),
        Err(LookupError::OtherAssigner { .. })
    ));
    assert!(matches!(
        find("n0~0000000000000004~4"),
        Err(LookupError::OtherStart { start: 5, .. })
    ));
    assert!(matches!(
        find("n0~0000000000000005~9"),
        Err(LookupError::NeverIssued { newest: 4, .. })
    ));
    assert!(matches!(
        find("n0~0000000000000005~0"),
        Err(LookupError::NeverIssued { .. })
    ));
    assert!(matches!(
        find("n0~0000000000000005~1"),
        Err(LookupError::Dropped { .. })
    ));
}

#[test]
fn restart_does_not_reuse_version_identifiers() {
    let mut seen = std::collections::BTreeSet::new();
    // The clock is set back between two starts, and two starts share a millisecond.
    for (at, chance) in [(5_000.0, 1), (4_000.0, 2), (5_000.0, 3), (5_000.9, 4)] {
        let mut history = History::new(issuer("n0", start_id(at, chance)), 1, LIMITS);
        for n in 1..=50 {
            let issued = history
                .issue(0.0, 0, table(&[("s", f64::from(n))]))
                .unwrap();
            assert!(seen.insert(issued.to_string()), "{issued} twice");
        }
    }
    // Numbering starts at `first`.
    let mut history = History::new(issuer("n0", 9), 1_000, LIMITS);
    assert_eq!(
        history.issue(0.0, 0, table(&[("s", 1.0)])).unwrap().number,
        1_000
    );
}

#[test]
fn history_evicts_all_but_pinned_and_newest_versions() {
    let mut history = History::new(
        issuer("n0", 1),
        1,
        RetentionLimits {
            per_table: 3,
            bytes: 1 << 20,
        },
    );
    let issue = |history: &mut History, n: u32| {
        history
            .issue(f64::from(n), 0, table(&[("s", f64::from(n))]))
            .unwrap()
            .number
    };
    let first = issue(&mut history, 1);
    history.pin(first);
    (2..=20).for_each(|n| _ = issue(&mut history, n));
    let kept: Vec<u64> = history.all().map(|(_, i)| i.version.number).collect();
    assert_eq!(kept, [1, 19, 20], "the pinned and the newest versions");
    assert!(
        history.as_of(0, 1).is_some() && history.as_of(0, 7).is_none(),
        "evicted versions are not approximated"
    );
    history.unpin(first);
    issue(&mut history, 21);
    assert!(history.get(first).is_none());
    assert!(
        history.issue(0.0, 0, table(&[("s", 21.0)])).is_none(),
        "equal content is not issued again"
    );
    // The memory limit applies to all tables; pinned and newest versions are kept regardless.
    let mut limited = History::new(
        issuer("n0", 1),
        1,
        RetentionLimits {
            per_table: 100,
            bytes: 1_000,
        },
    );
    for n in 1..=200_u32 {
        let number = limited
            .issue(0.0, (n % 4) as TableId, table(&[("s", f64::from(n))]))
            .unwrap()
            .number;
        _ = (n == 30).then(|| limited.pin(number));
    }
    assert!(
        limited.bytes() <= 1_000 && limited.get(30).is_some(),
        "{}",
        limited.bytes()
    );
    assert!((0..4).all(|id| limited.newest(id).is_some()));
}

fn lines() -> impl Strategy<Value = Vec<(u8, u8)>> {
    prop::collection::vec((0_u8..40, 0_u8..6), 0..40)
}

fn table_from(lines: &[(u8, u8)]) -> Table {
    let by_name: std::collections::BTreeMap<u8, u8> = lines.iter().copied().collect();
    Table::from_lines(
        by_name
            .iter()
            .map(|(n, w)| (Name::from(format!("s-{n}")), f64::from(*w))),
    )
    .unwrap()
}

proptest! {
    #[test]
    fn delta_is_minimal_and_verified(a in lines(), b in lines(), other in lines()) {
        let (a, b, other) = (table_from(&a), table_from(&b), table_from(&other));
        let delta = Delta::between(&a, &b);
        prop_assert_eq!(delta.apply(&a).unwrap(), b.clone());
        let names = a.lines().chain(b.lines()).map(|(n, _)| n.clone());
        let names: std::collections::BTreeSet<Name> = names.collect();
        let differ = names.iter().filter(|n| a.weight(n) != b.weight(n)).count();
        prop_assert_eq!(delta.changes.len(), differ, "one change per differing line");
        // A delta applies to its base table only.
        if other != a {
            let refused = matches!(delta.apply(&other), Err(delta::ApplyError::BaseMismatch { .. }));
            prop_assert!(refused);
        }
        // A missing change is detected by the digest of the result.
        if !delta.changes.is_empty() {
            let mut cut = delta.clone();
            cut.changes.pop();
            let refused = matches!(cut.apply(&a), Err(delta::ApplyError::ResultMismatch { .. }));
            prop_assert!(refused);
        }
        let shortest = match Update::shortest(Some(&a), &Arc::new(b.clone())) {
            Update::Unchanged(_) => 0,
            Update::Delta(d) => d.canonical_len(),
            Update::Whole(t) => t.canonical_len(),
        };
        prop_assert!(shortest <= b.canonical_len());
    }

    #[test]
    fn equal_digests_mean_equal_lines(a in lines(), b in lines()) {
        let (a, b) = (table_from(&a), table_from(&b));
        prop_assert_eq!(a.digest() == b.digest(), a.canonical() == b.canonical());
        prop_assert_eq!(a == b, a.digest() == b.digest());
    }
}
