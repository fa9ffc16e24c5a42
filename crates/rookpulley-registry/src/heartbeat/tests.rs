use super::*;

const NESTED: &str = r#"{"address":"10.128.0.9:8080",
    "nodeInfo":{"targetService":"a","configVersion":"v1","zone":"z","capacitySlots":4},
    "currentStatus":{"lifecycleState":"draining","callSequence":4,"coldRemainingMs":0}}"#;
const FLAT: &str = r#"{"address":"10.128.0.9:8080","targetService":"a","configVersion":"v1","zone":"z",
    "capacitySlots":4,"lifecycleState":"draining","callSequence":4,"coldRemainingMs":0}"#;

#[test]
fn nested_and_flat_bodies_parse_to_the_same_heartbeat() {
    let heartbeat = Heartbeat::read("i-1", NESTED.as_bytes()).unwrap();
    assert_eq!(heartbeat, Heartbeat::read("i-1", FLAT.as_bytes()).unwrap());
    assert_eq!(
        (heartbeat.slots, heartbeat.draining, heartbeat.sequence),
        (4, true, 4)
    );
}

#[test]
fn invalid_heartbeat_is_rejected_with_help_and_never_panics() {
    let invalid = [
        ("\"a\"", "7"),
        ("4", "0"),
        ("draining", "gone"),
        (":8080", ""),
        ("\"z\"", "[[]]"),
    ];
    for (from, to) in invalid {
        let error = Heartbeat::read("i-1", NESTED.replacen(from, to, 1).as_bytes()).unwrap_err();
        assert!(miette::Diagnostic::help(&error).is_some(), "{error}");
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
