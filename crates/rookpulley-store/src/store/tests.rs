use super::*;

fn open(
    folder: &Path,
    new_identity: u64,
) -> (Store, tokio::sync::mpsc::UnboundedReceiver<StoreEvent>) {
    let (sender, events) = tokio::sync::mpsc::unbounded_channel();
    (
        Store::open(folder, new_identity, None, sender).unwrap(),
        events,
    )
}

#[test]
fn reopening_returns_synced_rows_and_identity() {
    let folder = tempfile::tempdir().unwrap();
    let (store, mut events) = open(folder.path(), 7);
    assert!(store.is_new);
    for n in 0..20u64 {
        let put = Record::Put {
            key: n.to_be_bytes().to_vec(),
            value: vec![n as u8; 1000],
        };
        assert!(store.write(StoreTree::Chain, n, vec![put]));
    }
    assert!(store.write(
        StoreTree::Chain,
        20,
        vec![Record::Delete {
            key: 3u64.to_be_bytes().to_vec()
        }]
    ));
    while let Some(StoreEvent::Synced { chain, .. }) = events.blocking_recv() {
        if chain == Some(20) {
            break;
        }
    }
    drop(store);
    while events.blocking_recv().is_some() {}
    let (reopened, _events) = open(folder.path(), 8);
    assert!(!reopened.is_new);
    assert_eq!(reopened.identity, 7);
    assert_eq!(reopened.chain_rows.len(), 19);
}

#[test]
fn long_values_create_no_blob_files() {
    let folder = tempfile::tempdir().unwrap();
    let (store, mut events) = open(folder.path(), 7);
    // Large configurations and snapshot pieces, with old configurations deleted in between.
    for n in 0..60u64 {
        // Unique content, so that deduplication doesn't shorten any value.
        let random_bytes = |at: u64, length: u64| -> Vec<u8> {
            let words = (0..length / 8)
                .map(|word| (n << 40 | at << 32 | word).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            words
                .flat_map(|word| {
                    (word ^ word >> 29)
                        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
                        .to_be_bytes()
                })
                .collect()
        };
        let mut records: Vec<Record> = (0..4u64)
            .map(|at| Record::Put {
                key: (10 * n + at).to_be_bytes().to_vec(),
                value: random_bytes(at, 90 << 10),
            })
            .collect();
        records.extend((0..20u8).map(|at| Record::Put {
            key: vec![b's', at],
            value: random_bytes(9 + u64::from(at), 32 << 10),
        }));
        if n % 8 == 7 {
            let old = 10 * (n - 7)..10 * (n + 1);
            records.extend(old.map(|at| Record::Delete {
                key: at.to_be_bytes().to_vec(),
            }));
        }
        assert!(store.write(StoreTree::Chain, n, records));
    }
    while let Some(StoreEvent::Synced { chain, .. }) = events.blocking_recv() {
        if chain == Some(59) {
            break;
        }
    }
    drop(store);
    while events.blocking_recv().is_some() {}
    let blobs =
        std::fs::read_dir(folder.path().join("store/blobs")).map_or(0, |files| files.count());
    assert_eq!(blobs, 0);
    let (reopened, _events) = open(folder.path(), 8);
    let (count, length) = (
        reopened.chain_rows.len(),
        reopened
            .chain_rows
            .iter()
            .map(|(_, v)| v.len())
            .sum::<usize>(),
    );
    assert_eq!(
        (reopened.identity, count, length),
        (7, 20 + 16, 20 * (32 << 10) + 16 * (90 << 10))
    );
}

#[test]
fn a_store_in_use_is_not_modified() {
    let folder = tempfile::tempdir().unwrap();
    let (store, mut events) = open(folder.path(), 7);
    let (sender, _) = tokio::sync::mpsc::unbounded_channel();
    assert!(matches!(
        Store::open_with_retries(folder.path(), 8, None, sender, 0),
        Err(StoreError::InUse(_))
    ));
    assert!(matches!(
        crate::inspect(folder.path()),
        Err(crate::InspectError::InUse(_))
    ));
    drop(store);
    while events.blocking_recv().is_some() {}
    assert_eq!(open(folder.path(), 9).0.identity, 7);
}

#[test]
fn a_corrupted_store_is_replaced_by_an_empty_one_with_a_new_identity() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir_all(folder.path().join("store")).unwrap();
    std::fs::write(folder.path().join("store/db"), vec![0xa5; 4 << 20]).unwrap();
    std::fs::write(folder.path().join("store/conf"), b"not written by sled").unwrap();
    let (store, _events) = open(folder.path(), 9);
    assert!(store.is_new);
    assert_eq!(store.identity, 9);
    assert!(store.chain_rows.is_empty());
}

#[test]
fn a_discarded_store_is_replaced_by_an_empty_one_once() {
    let folder = tempfile::tempdir().unwrap();
    let (sender, mut events) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(folder.path(), 7, Some(&[1, 2]), sender).unwrap();
    assert_eq!(store.bootstrap.as_deref(), Some(&[1, 2][..]));
    Store::discard(folder.path()).unwrap();
    drop(store);
    while events.blocking_recv().is_some() {}
    let (store, mut events) = open(folder.path(), 8);
    assert_eq!(
        (store.identity, store.is_new, &store.bootstrap),
        (8, true, &None)
    );
    drop(store);
    while events.blocking_recv().is_some() {}
    let (store, _events) = open(folder.path(), 9);
    assert_eq!((store.identity, store.is_new), (8, false));
}
