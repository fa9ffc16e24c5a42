use super::*;

fn opened(folder: &Path, mint: u64) -> (Store, tokio::sync::mpsc::UnboundedReceiver<StoreEvent>) {
    let (said, heard) = tokio::sync::mpsc::unbounded_channel();
    (Store::open(folder, mint, None, said).unwrap(), heard)
}

#[test]
fn what_was_said_to_be_synced_is_there_again_under_the_same_identity() {
    let folder = tempfile::tempdir().unwrap();
    let (store, mut heard) = opened(folder.path(), 7);
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
    while let Some(StoreEvent::Synced { chain, .. }) = heard.blocking_recv() {
        if chain == Some(20) {
            break;
        }
    }
    drop(store);
    while heard.blocking_recv().is_some() {}
    let (again, _heard) = opened(folder.path(), 8);
    assert!(!again.is_new);
    assert_eq!(again.identity, 7);
    assert_eq!(again.chain_rows.len(), 19);
}

#[test]
fn nothing_goes_to_a_file_of_its_own_that_nobody_syncs() {
    let folder = tempfile::tempdir().unwrap();
    let (store, mut heard) = opened(folder.path(), 7);
    // Configurations of many routes as they come, and the state with them in pieces, again and again.
    for n in 0..60u64 {
        // Nothing is there twice, so each is written whole.
        let drawn = |at: u64, length: u64| -> Vec<u8> {
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
                value: drawn(at, 90 << 10),
            })
            .collect();
        records.extend((0..20u8).map(|at| Record::Put {
            key: vec![b's', at],
            value: drawn(9 + u64::from(at), 32 << 10),
        }));
        if n % 8 == 7 {
            let old = 10 * (n - 7)..10 * (n + 1);
            records.extend(old.map(|at| Record::Delete {
                key: at.to_be_bytes().to_vec(),
            }));
        }
        assert!(store.write(StoreTree::Chain, n, records));
    }
    while let Some(StoreEvent::Synced { chain, .. }) = heard.blocking_recv() {
        if chain == Some(59) {
            break;
        }
    }
    drop(store);
    while heard.blocking_recv().is_some() {}
    let blobs =
        std::fs::read_dir(folder.path().join("store/blobs")).map_or(0, |files| files.count());
    assert_eq!(blobs, 0);
    let (again, _heard) = opened(folder.path(), 8);
    let (of, length) = (
        again.chain_rows.len(),
        again.chain_rows.iter().map(|(_, v)| v.len()).sum::<usize>(),
    );
    assert_eq!(
        (again.identity, of, length),
        (7, 20 + 16, 20 * (32 << 10) + 16 * (90 << 10))
    );
}

#[test]
fn a_store_that_another_process_has_is_left_alone() {
    let folder = tempfile::tempdir().unwrap();
    let (store, mut heard) = opened(folder.path(), 7);
    let (said, _) = tokio::sync::mpsc::unbounded_channel();
    assert!(matches!(
        Store::open_with_retries(folder.path(), 8, None, said, 0),
        Err(StoreError::InUse(_))
    ));
    assert!(matches!(
        crate::inspect(folder.path()),
        Err(crate::InspectError::InUse(_))
    ));
    drop(store);
    while heard.blocking_recv().is_some() {}
    assert_eq!(opened(folder.path(), 9).0.identity, 7);
}

#[test]
fn a_store_that_cant_be_opened_is_an_empty_disk_with_a_new_identity() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir_all(folder.path().join("store")).unwrap();
    std::fs::write(folder.path().join("store/db"), vec![0xa5; 4 << 20]).unwrap();
    std::fs::write(folder.path().join("store/conf"), b"nothing that sled wrote").unwrap();
    let (store, _heard) = opened(folder.path(), 9);
    assert!(store.is_new);
    assert_eq!(store.identity, 9);
    assert!(store.chain_rows.is_empty());
}
#[test]
fn a_store_that_was_given_up_is_an_empty_disk_with_a_new_identity_once() {
    let folder = tempfile::tempdir().unwrap();
    let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(folder.path(), 7, Some(&[1, 2]), said).unwrap();
    assert_eq!(store.bootstrap.as_deref(), Some(&[1, 2][..]));
    Store::discard(folder.path()).unwrap();
    drop(store);
    while heard.blocking_recv().is_some() {}
    let (store, mut heard) = opened(folder.path(), 8);
    assert_eq!(
        (store.identity, store.is_new, &store.bootstrap),
        (8, true, &None)
    );
    drop(store);
    while heard.blocking_recv().is_some() {}
    let (store, _heard) = opened(folder.path(), 9);
    assert_eq!((store.identity, store.is_new), (8, false));
}
