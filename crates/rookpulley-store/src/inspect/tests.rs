use super::*;
use crate::{Store, StoreTree};
use rookpulley_chain::Record;

/// `sled` may let go of its lock a little after its owner is gone.
fn looked(folder: &Path) -> Contents {
    loop {
        match inspect(folder) {
            Err(InspectError::InUse(_)) => std::thread::yield_now(),
            seen => return seen.unwrap(),
        }
    }
}

#[test]
fn a_look_shows_what_was_written_and_changes_nothing_of_it() {
    let folder = tempfile::tempdir().unwrap();
    assert!(matches!(
        inspect(folder.path()),
        Err(InspectError::Nothing(_))
    ));
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0);
    let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(folder.path(), 7, None, said).unwrap();
    let put = |key: &str| Record::Put {
        key: key.into(),
        value: vec![1; 9],
    };
    assert!(store.write(StoreTree::Chain, 1, vec![put("a"), put("b")]));
    assert!(store.write(StoreTree::Instances, 1, vec![put("i-1")]));
    drop(store);
    while heard.blocking_recv().is_some() {}
    let seen = looked(folder.path());
    assert_eq!(
        (
            seen.identity,
            seen.chain_rows.len(),
            seen.instance_rows.len()
        ),
        (Some(7), 2, 1)
    );
    assert_eq!(looked(folder.path()), seen);
    let (said, _heard) = tokio::sync::mpsc::unbounded_channel();
    let again = Store::open(folder.path(), 8, None, said).unwrap();
    assert_eq!(
        (again.identity, again.is_new, &again.chain_rows),
        (7, false, &seen.chain_rows)
    );
}

#[test]
fn a_spoilt_store_is_told_of_and_stays() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir_all(folder.path().join("store")).unwrap();
    std::fs::write(folder.path().join("store/db"), vec![0xa5; 1 << 20]).unwrap();
    std::fs::write(folder.path().join("store/conf"), b"nothing that sled wrote").unwrap();
    assert!(matches!(
        inspect(folder.path()),
        Err(InspectError::Corrupted(..))
    ));
    assert!(folder.path().join("store/db").is_file());
}
