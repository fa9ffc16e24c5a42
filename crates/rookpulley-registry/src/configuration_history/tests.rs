use super::*;
use rookpulley_protocol::{FrameDecoder, unpack};

fn body(version: u64) -> Vec<u8> {
    (0..4_000u64)
        .map(|n| n * version % 251)
        .flat_map(u64::to_le_bytes)
        .collect()
}

fn decode(frame: &[u8], held: &BTreeMap<u64, Vec<u8>>) -> (u64, u64, Vec<u8>) {
    let mut frames = FrameDecoder::default();
    frames.push(frame);
    match frames.decode_next().unwrap().unwrap() {
        ControllerToProxy::Configuration {
            version,
            base,
            length,
            packed,
        } => {
            let base_body = held.get(&base).cloned().unwrap_or_default();
            (
                version,
                base,
                unpack(&packed, &base_body, length as usize, 1 << 20).unwrap(),
            )
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn frame_is_a_delta_against_a_retained_version_or_complete() {
    let (mut history, mut all) = (ConfigurationHistory::default(), BTreeMap::new());
    assert!(history.frame_for(0).is_none());
    for version in 1..40u64 {
        all.insert(version, body(version));
        history.add(version, &body(version));
        history.add(version - 1, &body(3));
        assert_eq!(history.published(), version - 1);
        history.publish();
        for held in 0..version {
            let retained = held + MAX_VERSIONS as u64 > version;
            let expected = (version, if retained { held } else { 0 }, body(version));
            for _ in 0..2 {
                assert_eq!(decode(&history.frame_for(held).unwrap(), &all), expected);
            }
        }
        assert!(history.frame_for(version).is_none() && history.frame_for(99).is_none());
    }
}

#[test]
fn unpublished_version_is_a_valid_base_and_published_version_is_not_evicted() {
    let mut history = ConfigurationHistory::default();
    history.add(1, &body(1));
    history.publish();
    (2..100u64).for_each(|version| history.add(version, &body(version)));
    let mut all = BTreeMap::new();
    assert_eq!(
        decode(&history.frame_for(0).unwrap(), &all),
        (1, 0, body(1))
    );
    history.publish();
    all.insert(90, body(90));
    assert_eq!(
        decode(&history.frame_for(90).unwrap(), &all),
        (99, 90, body(99))
    );
    assert_eq!(history.published_body(), Some(body(99).as_slice()));
}

#[test]
fn oversized_versions_are_published_as_a_delta_against_the_previous_one() {
    let long = |version: u64| [version.to_le_bytes().to_vec(), vec![7; MAX_BYTES - 8]].concat();
    let mut history = ConfigurationHistory::default();
    for version in 1..6 {
        history.add(version, &long(version));
        assert_eq!(history.published(), version - 1);
        history.publish();
        assert_eq!(history.published_body(), Some(long(version).as_slice()));
        let Some(frame) = history.frame_for(version - 1) else {
            panic!("no frame for version {version}")
        };
        let mut frames = FrameDecoder::default();
        frames.push(&frame);
        let Ok(Some(ControllerToProxy::Configuration { base, .. })) = frames.decode_next() else {
            panic!("no configuration")
        };
        assert_eq!(base, version - 1);
    }
}
