use super::*;
use rookpulley_protocol::{Frames, unpack};

fn body(version: u64) -> Vec<u8> {
    (0..4_000u64)
        .map(|n| n * version % 251)
        .flat_map(u64::to_le_bytes)
        .collect()
}

fn read(frame: &[u8], held: &BTreeMap<u64, Vec<u8>>) -> (u64, u64, Vec<u8>) {
    let mut frames = Frames::default();
    frames.push(frame);
    match frames.take().unwrap().unwrap() {
        Down::Config {
            version,
            base,
            length,
            packed,
        } => {
            let on = held.get(&base).cloned().unwrap_or_default();
            (
                version,
                base,
                unpack(&packed, &on, length as usize, 1 << 20).unwrap(),
            )
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_proxy_gets_the_newest_on_what_it_holds_or_whole() {
    let (mut editions, mut all) = (Editions::default(), BTreeMap::new());
    assert!(editions.frame_for(0).is_none());
    for version in 1..40u64 {
        all.insert(version, body(version));
        editions.take(version, &body(version));
        editions.take(version - 1, &body(3));
        assert_eq!(editions.newest(), version - 1);
        editions.tell();
        for have in 0..version {
            let remembered = have + VERSIONS as u64 > version;
            let wanted = (version, if remembered { have } else { 0 }, body(version));
            for _ in 0..2 {
                assert_eq!(read(&editions.frame_for(have).unwrap(), &all), wanted);
            }
        }
        assert!(editions.frame_for(version).is_none() && editions.frame_for(99).is_none());
    }
}

#[test]
fn what_was_not_told_is_something_to_differ_from_and_what_is_told_stays() {
    let mut editions = Editions::default();
    editions.take(1, &body(1));
    editions.tell();
    (2..100u64).for_each(|version| editions.take(version, &body(version)));
    let mut all = BTreeMap::new();
    assert_eq!(read(&editions.frame_for(0).unwrap(), &all), (1, 0, body(1)));
    editions.tell();
    all.insert(90, body(90));
    assert_eq!(
        read(&editions.frame_for(90).unwrap(), &all),
        (99, 90, body(99))
    );
    assert_eq!(editions.newest_body(), Some(body(99).as_slice()));
}

#[test]
fn however_long_they_are_the_newest_is_told_on_the_one_before() {
    let long = |version: u64| [version.to_le_bytes().to_vec(), vec![7; BYTES - 8]].concat();
    let mut editions = Editions::default();
    for version in 1..6 {
        editions.take(version, &long(version));
        assert_eq!(editions.newest(), version - 1);
        editions.tell();
        assert_eq!(editions.newest_body(), Some(long(version).as_slice()));
        let Some(frame) = editions.frame_for(version - 1) else {
            panic!("version {version} goes nowhere")
        };
        let mut frames = Frames::default();
        frames.push(&frame);
        let Ok(Some(Down::Config { base, .. })) = frames.take() else {
            panic!("no configuration")
        };
        assert_eq!(base, version - 1);
    }
}
