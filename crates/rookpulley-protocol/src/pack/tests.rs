use super::*;

fn configuration(routes: u64, changed: u64) -> Vec<u8> {
    let route = |n: u64| {
        let (name, path) = (
            n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            n.wrapping_mul(0xd6e8_feb8_6659_fd93),
        );
        let timeout = if n == changed { 900 } else { 1_500 };
        format!(
            "{{\"name\":\"r-{name:x}\",\"pathPrefix\":\"/{path:x}/\",\"routeKind\":\"read_only\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":250,\"priority\":2,\"targetService\":\"huvo11a\",\
             \"maxAttempts\":2}}"
        )
    };
    (0..routes)
        .map(route)
        .collect::<Vec<_>>()
        .join(",")
        .into_bytes()
}

#[test]
fn difference_to_the_base_is_small_and_round_trips() {
    let (base, body) = (configuration(2_000, 0), configuration(2_050, 1_234));
    let packed = pack(&body, &base).unwrap();
    assert!(
        packed.len() * 50 < body.len(),
        "{} of {} bytes",
        packed.len(),
        body.len()
    );
    assert_eq!(unpack(&packed, &base, body.len(), 16 << 20).unwrap(), body);
    let without_base = pack(&body, &[]).unwrap();
    assert!(
        without_base.len() * 4 < body.len(),
        "{} of {} bytes",
        without_base.len(),
        body.len()
    );
    assert_eq!(
        unpack(&without_base, &[], body.len(), 16 << 20).unwrap(),
        body
    );
}

#[test]
fn difference_to_a_large_base_is_small() {
    let (base, body) = (configuration(35_000, 0), configuration(35_000, 17_000));
    let packed = pack(&body, &base).unwrap();
    assert!(
        packed.len() * 1_000 < body.len(),
        "{} of {} bytes",
        packed.len(),
        body.len()
    );
    assert_eq!(unpack(&packed, &base, body.len(), 16 << 20).unwrap(), body);
}

#[test]
fn truncated_mismatched_or_oversized_data_is_rejected() {
    let (base, body) = (configuration(40, 0), configuration(41, 7));
    let packed = pack(&body, &base).unwrap();
    assert!(matches!(
        unpack(&packed, &base, body.len(), body.len() - 1),
        Err(PackError::TooLong(..))
    ));
    assert!(unpack(&packed, &base, body.len() + 1, 16 << 20).is_err());
    assert!(unpack(&packed, &base, body.len() - 1, 16 << 20).is_err());
    assert!(unpack(&packed, &configuration(40, 1), body.len(), 16 << 20).is_err());
    for length in 0..packed.len() {
        assert!(
            unpack(&packed[..length], &base, body.len(), 16 << 20).is_err(),
            "truncated to {length} bytes"
        );
    }
}
