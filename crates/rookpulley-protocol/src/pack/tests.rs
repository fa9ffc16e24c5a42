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
fn what_differs_is_short_and_makes_the_whole_again() {
    let (base, body) = (configuration(2_000, 0), configuration(2_050, 1_234));
    let packed = pack(&body, &base).unwrap();
    assert!(
        packed.len() * 50 < body.len(),
        "{} of {} bytes",
        packed.len(),
        body.len()
    );
    assert_eq!(unpack(&packed, &base, body.len(), 16 << 20).unwrap(), body);
    let whole = pack(&body, &[]).unwrap();
    assert!(
        whole.len() * 4 < body.len(),
        "{} of {} bytes",
        whole.len(),
        body.len()
    );
    assert_eq!(unpack(&whole, &[], body.len(), 16 << 20).unwrap(), body);
}

#[test]
fn what_differs_of_a_long_one_is_short() {
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
fn what_is_cut_changed_or_too_long_is_refused() {
    let (base, body) = (configuration(40, 0), configuration(41, 7));
    let packed = pack(&body, &base).unwrap();
    assert!(matches!(
        unpack(&packed, &base, body.len(), body.len() - 1),
        Err(PackError::TooLong(..))
    ));
    assert!(unpack(&packed, &base, body.len() + 1, 16 << 20).is_err());
    assert!(unpack(&packed, &base, body.len() - 1, 16 << 20).is_err());
    assert!(unpack(&packed, &configuration(40, 1), body.len(), 16 << 20).is_err());
    for cut in 0..packed.len() {
        assert!(
            unpack(&packed[..cut], &base, body.len(), 16 << 20).is_err(),
            "cut at {cut}"
        );
    }
}
