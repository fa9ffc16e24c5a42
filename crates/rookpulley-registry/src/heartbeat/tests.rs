use super::*;

const NESTED: &str = r#"{"address":"10.128.0.9:8080",
    "nodeInfo":{"targetService":"a","configVersion":"v1","zone":"z","capacitySlots":4},
    "currentStatus":{"lifecycleState":"draining","callSequence":4,"coldRemainingMs":0}}"#;
const FLAT: &str = r#"{"address":"10.128.0.9:8080","targetService":"a","configVersion":"v1","zone":"z",
    "capacitySlots":4,"lifecycleState":"draining","callSequence":4,"coldRemainingMs":0}"#;

#[test]
fn a_heartbeat_reads_alike_in_parts_and_flat() {
    let heartbeat = Heartbeat::read("i-1", NESTED.as_bytes()).unwrap();
    assert_eq!(heartbeat, Heartbeat::read("i-1", FLAT.as_bytes()).unwrap());
    assert_eq!(
        (heartbeat.slots, heartbeat.draining, heartbeat.sequence),
        (4, true, 4)
    );
}

#[test]
fn a_spoilt_heartbeat_is_refused_with_words_and_never_ends_the_program() {
    let spoilt = [
        ("\"a\"", "7"),
        ("4", "0"),
        ("draining", "gone"),
        (":8080", ""),
        ("\"z\"", "[[]]"),
    ];
    for (was, is) in spoilt {
        let fault = Heartbeat::read("i-1", NESTED.replacen(was, is, 1).as_bytes()).unwrap_err();
        assert!(miette::Diagnostic::help(&fault).is_some(), "{fault}");
    }
    assert!(Heartbeat::read("i-1", &[b'['; 10_000]).is_err());
    assert!(Heartbeat::read("i 1", NESTED.as_bytes()).is_err());
    rookpulley_samples::run_cases(2_000, 64, |u| {
        let mut body = NESTED.as_bytes().to_vec();
        for _ in 0..u.int_in_range(1..=4)? {
            let at = u.choose_index(body.len())?;
            body[at] = u.arbitrary()?;
        }
        _ = Heartbeat::read("i-1", &body);
        Ok(())
    });
}
