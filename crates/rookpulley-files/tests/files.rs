//! Reading, rendering and sealing server files.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_files::read::{ReadError, seal};
use rookpulley_files::{read, render, with_seal};
use rookpulley_lists::{Candidate, Entry};
use std::path::Path;

const FILE: &str = "servers.star";

fn read_text(text: &str) -> Result<Candidate, ReadError> {
    read(Path::new(FILE), text.as_bytes())
}

fn entry(n: usize) -> Entry {
    Entry {
        name: format!("s-{n}"),
        address: format!("10.0.{}.{}:80", n / 250, n % 250),
        zone: if n.is_multiple_of(2) { "east" } else { "west" }.into(),
        machine: "small".into(),
        bay: (n % 3) as u16,
        weight: 0.5 + (n % 5) as f64,
        drains: n % 7 == 3,
        started_ms: if n.is_multiple_of(4) {
            1_764_612_000_000.0
        } else {
            0.0
        },
        ..Entry::default()
    }
}

fn list(generation: u64, servers: usize) -> Candidate {
    Candidate {
        generation,
        loss: None,
        entries: (1..=servers).map(entry).collect(),
    }
}

fn without_places(mut candidate: Candidate) -> Candidate {
    candidate.entries.iter_mut().for_each(|e| e.place = None);
    candidate
}

#[test]
fn rendered_files_round_trip_with_positions() {
    let text = render(&list(12, 9));
    let read = read_text(&text).unwrap();
    assert_eq!(read.entries[0].place, Some((3, 1)));
    assert_eq!(without_places(read), list(12, 9));
    let declared_loss = Candidate {
        loss: Some(0.75),
        ..list(1, 2)
    };
    assert_eq!(
        without_places(read_text(&render(&declared_loss)).unwrap()),
        declared_loss
    );
}

#[test]
fn truncated_files_are_rejected_at_every_offset() {
    let text = render(&list(3, 6));
    let complete_len = text.trim_end().len();
    for at in 0..complete_len {
        let cut = read(Path::new(FILE), &text.as_bytes()[..at]);
        assert!(
            matches!(cut, Err(ReadError::MissingClosing(_))),
            "cut at {at}: {cut:?}"
        );
    }
    for at in complete_len..=text.len() {
        assert_eq!(
            without_places(read_text(&text[..at]).unwrap()),
            list(3, 6),
            "only the final newline is missing"
        );
    }
}

#[test]
fn partially_overwritten_files_are_rejected() {
    // Both files have the same length and number of servers; the weights differ.
    let old = render(&list(3, 6));
    let mut updated = list(4, 6);
    updated.entries.iter_mut().for_each(|e| e.weight += 1.0);
    let new = render(&updated);
    assert_eq!(old.len(), new.len());
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for round in 0..30 {
        let mut places: Vec<usize> = (0..old.len())
            .filter(|at| old.as_bytes()[*at] != new.as_bytes()[*at])
            .collect();
        match round % 3 {
            0 => {}
            1 => places.reverse(),
            _ => (1..places.len()).for_each(|n| places.swap(n, rng.random_range(0..=n))),
        }
        let mut bytes = old.clone().into_bytes();
        for (done, at) in places.iter().enumerate() {
            bytes[*at] = new.as_bytes()[*at];
            let result = read(Path::new(FILE), &bytes);
            assert_eq!(
                result.is_ok(),
                done + 1 == places.len(),
                "after {done} of {}: {result:?}",
                places.len()
            );
        }
        assert_eq!(
            without_places(read_text(&String::from_utf8(bytes).unwrap()).unwrap()),
            updated
        );
    }
}

#[test]
fn invalid_files_are_rejected_with_position_and_remedy() {
    let sealed_body = |body: &str, servers: usize| {
        format!("{body}end(servers = {servers}, seal = {:?})\n", seal(body))
    };
    let one = "server(\"s-1\", \"10.0.0.1:80\", zone = \"east\", weight = 1)\n";
    let cases = [
        (
            sealed_body(one, 1),
            "servers.star:1:1: generation() is missing; write generation(1)",
        ),
        (
            sealed_body(&format!("generation(1)\n{one}"), 2),
            "says 2 servers and names 1; where it is whole, write end(servers = 1",
        ),
        (
            format!("generation(1)\n{one}end(servers = 1, seal = \"AAAAAAAA\")"),
            "its seal is \"AAAAAAAA\" and does not fit",
        ),
        (
            format!("generation(1)\n{one}"),
            "write end(servers = 1, seal = \"",
        ),
        (
            sealed_body("generation(-1)\n", 0),
            "servers.star:1:1: generation(-1) is no whole number",
        ),
        (
            sealed_body("generation(1)\ngeneration(2)\n", 0),
            "servers.star:2:1: generation() is called twice",
        ),
        (
            sealed_body("generation(1)\nserver(\"s-1\")\n", 1),
            "servers.star:2:1",
        ),
        (
            sealed_body(
                &format!("generation(1)\n{}", one.replace("1)", "\"1\")")),
                1,
            ),
            "servers.star:2:1",
        ),
        (
            sealed_body("generation(1)\nservers(\"s-1\")\n", 1),
            "the file knows generation(), loss(), server() and end()",
        ),
        (
            sealed_body(
                &format!(
                    "generation(1)\n{}",
                    one.replace("weight = 1", "weight = 1, started = \"noon\"")
                ),
                1,
            ),
            "is no time; write \"2026-12-01T10:00:00Z\"",
        ),
        (
            sealed_body("generation(1)\nfor a in []:\n  pass\n", 0),
            "a loop can't be used",
        ),
        (
            sealed_body("generation(1)\nend(servers = 0, seal = \"\")\n", 0),
            "",
        ),
    ];
    for (text, expected) in cases {
        let message = read_text(&text)
            .map(|c| format!("taken: {c:?}"))
            .unwrap_or_else(|e| e.to_string());
        assert!(message.contains(expected), "{text}\n{message}");
    }
    let message = read(Path::new(FILE), b"generation(1)\n# \xff\n")
        .unwrap_err()
        .to_string();
    assert_eq!(message, "byte 16 is no UTF-8 text");
}

#[test]
fn scripts_beyond_the_limits_are_rejected() {
    for body in [
        "x = \"y\" * 1000000000000\n".to_string(),
        "def f():\n  return f()\nf()\n".to_string(),
        format!("x = {}\n", "[".repeat(100_000)),
        format!("x = {}1\n", "- ".repeat(50_000)),
        format!("x = 1{}\n", "+1".repeat(50_000)),
        format!("x = a{}\n", "()".repeat(50_000)),
        format!("x = a{}\n", ".b".repeat(50_000)),
        format!("x = {}1\n", "not ".repeat(50_000)),
    ] {
        let text = format!("{body}end(servers = 0, seal = {:?})\n", seal(&body));
        assert!(read_text(&text).is_err(), "{}", &body[..20.min(body.len())]);
    }
    assert!(read_text(&" ".repeat(9 << 20)).is_err());
}

#[test]
fn ten_thousand_servers_are_accepted() {
    let text = render(&list(1, 10_000));
    assert_eq!(read_text(&text).unwrap().entries.len(), 10_000);
}

#[test]
fn sealing_changes_only_the_closing_statement() {
    let text = render(&list(3, 4)).replace("weight = 1.5", "weight = 2.25");
    assert!(matches!(
        read_text(&text),
        Err(ReadError::SealMismatch { .. })
    ));
    let sealed_text = with_seal(Path::new(FILE), &text).unwrap();
    assert_eq!(read_text(&sealed_text).unwrap().entries[0].weight, 2.25);
    let body = |t: &str| t.rsplit_once("end(").unwrap().0.to_string();
    assert_eq!(body(&sealed_text), body(&text));
    assert_eq!(
        with_seal(Path::new(FILE), &sealed_text).unwrap(),
        sealed_text,
        "sealing is idempotent"
    );
    let unsealed = body(&text);
    assert_eq!(
        with_seal(Path::new(FILE), unsealed.trim_end()).unwrap(),
        sealed_text
    );
    assert!(
        with_seal(Path::new(FILE), "server(").is_err(),
        "invalid files are not sealed"
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        _ = read(Path::new(FILE), &bytes);
    }

    #[test]
    fn unusual_strings_round_trip(name in "\\PC{0,12}", zone in "[\"\\\\\n\r\ta-z]{0,8}") {
        let mut unusual = list(1, 1);
        (unusual.entries[0].name, unusual.entries[0].zone) = (name, zone);
        prop_assert_eq!(without_places(read_text(&render(&unusual)).unwrap()), unusual);
    }

    #[test]
    fn single_bit_changes_are_detected(at in 0_usize..1_000, bit in 0_u8..8) {
        let text = render(&list(3, 6));
        let complete_len = text.trim_end().len();
        let mut bytes = text.clone().into_bytes();
        bytes[at % complete_len] ^= 1 << bit;
        prop_assert!(read(Path::new(FILE), &bytes).is_err());
    }
}
