//! Compatibility with stores written by earlier builds.
//!
//! `fixtures/store` contains the zstd-compressed files of a store written by the build of commit 3e09636: a short and a
//! long chain row, and one instance row.

use rookpulley_store::{Store, inspect};
use std::path::{Path, PathBuf};
use tokio::sync::mpsc::unbounded_channel;

const IDENTITY: u64 = 0x1234_5678_9abc_def0;

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/store")
}

/// A value that exceeds the maximum row length, so that it is stored in chunks.
fn long_value() -> Vec<u8> {
    (0..40_000u32)
        .flat_map(|n| n.wrapping_mul(0x9e37_79b9).to_be_bytes())
        .take(30 << 10)
        .collect()
}

fn unpack(into: &Path) {
    std::fs::create_dir(into).unwrap();
    for entry in std::fs::read_dir(fixtures()).unwrap() {
        let from = entry.unwrap().path();
        let name = from.file_stem().unwrap();
        let bytes = zstd::decode_all(std::fs::File::open(&from).unwrap()).unwrap();
        std::fs::write(into.join(name), bytes).unwrap();
    }
}

#[test]
fn a_store_of_an_earlier_build_is_opened_with_its_whole_content() {
    let folder = tempfile::tempdir().unwrap();
    unpack(&folder.path().join("store"));
    let (sender, mut events) = unbounded_channel();
    let store = Store::open(folder.path(), 7, None, sender).unwrap();
    assert_eq!((store.is_new, store.identity), (false, IDENTITY));
    assert_eq!(store.bootstrap.as_deref(), Some(&b"founding"[..]));
    let rows = vec![
        (b"x-long".to_vec(), long_value()),
        (b"x-short".to_vec(), b"short".to_vec()),
    ];
    assert_eq!(store.chain_rows, rows);
    assert_eq!(
        store.instance_rows,
        vec![(b"i-1".to_vec(), b"note".to_vec())]
    );
    drop(store);
    while events.blocking_recv().is_some() {}
}

#[test]
fn a_store_of_an_earlier_build_can_be_inspected_offline() {
    let folder = tempfile::tempdir().unwrap();
    unpack(&folder.path().join("store"));
    let contents = inspect(folder.path()).unwrap();
    assert_eq!(contents.identity, Some(IDENTITY));
    assert_eq!(
        (contents.chain_rows.len(), contents.instance_rows.len()),
        (2, 1)
    );
}
