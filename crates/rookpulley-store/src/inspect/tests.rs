use super::*;
use crate::{Store, StoreTree};
use rookpulley_chain::Record;

#[test]
fn inspect_returns_the_rows_and_leaves_them_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    assert!(matches!(
        inspect(folder.path()),
        Err(InspectError::NotFound(_))
    ));
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0);
    let (sender, mut events) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(folder.path(), 7, None, sender).unwrap();
    let put = |key: &str| Record::Put {
        key: key.into(),
        value: vec![1; 9],
    };
    assert!(store.write(StoreTree::Chain, 1, vec![put("a"), put("b")]));
    assert!(store.write(StoreTree::Instances, 1, vec![put("i-1")]));
    drop(store);
    while events.blocking_recv().is_some() {}
    let contents = inspect(folder.path()).unwrap();
    assert_eq!(
        (
            contents.identity,
            contents.chain_rows.len(),
            contents.instance_rows.len()
        ),
        (Some(7), 2, 1)
    );
    assert_eq!(inspect(folder.path()).unwrap(), contents);
    let (sender, _events) = tokio::sync::mpsc::unbounded_channel();
    let reopened = Store::open(folder.path(), 8, None, sender).unwrap();
    assert_eq!(
        (reopened.identity, reopened.is_new, &reopened.chain_rows),
        (7, false, &contents.chain_rows)
    );
}

#[test]
fn a_corrupted_store_is_reported_and_kept() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir_all(folder.path().join("store")).unwrap();
    std::fs::write(folder.path().join("store/db"), vec![0xa5; 1 << 20]).unwrap();
    std::fs::write(folder.path().join("store/conf"), b"not written by sled").unwrap();
    assert!(matches!(
        inspect(folder.path()),
        Err(InspectError::Corrupted(..))
    ));
    assert!(folder.path().join("store/db").is_file());
}

/// A store that has just been closed was reported as in use, because `sled` had not yet released its lock.
#[test]
fn inspect_waits_for_a_lock_that_is_released_shortly_after() {
    let folder = tempfile::tempdir().unwrap();
    let (sender, mut events) = tokio::sync::mpsc::unbounded_channel();
    drop(Store::open(folder.path(), 7, None, sender).unwrap());
    while events.blocking_recv().is_some() {}
    let held = lock(&folder.path().join(FOLDER).join(PAGES)).unwrap();
    std::thread::scope(|scope| {
        let inspected = scope.spawn(|| inspect(folder.path()));
        std::thread::sleep(std::time::Duration::from_millis(100));
        drop(held);
        assert_eq!(inspected.join().unwrap().unwrap().identity, Some(7));
    });
}
