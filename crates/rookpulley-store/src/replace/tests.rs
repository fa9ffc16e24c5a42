use super::*;
use crate::placement::REPLACED;
use crate::{Store, StoreTree, inspect};

fn put(key: &str) -> Record {
    Record::Put {
        key: key.into(),
        value: vec![1; 9],
    }
}

fn create_store() -> (tempfile::TempDir, Contents) {
    let folder = tempfile::tempdir().unwrap();
    let (sender, mut events) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(folder.path(), 7, None, sender).unwrap();
    assert!(store.write(StoreTree::Chain, 1, vec![put("a")]));
    assert!(store.write(StoreTree::Instances, 1, vec![put("i-1")]));
    drop(store);
    while events.blocking_recv().is_some() {}
    let old = inspect(folder.path()).unwrap();
    (folder, old)
}

/// The identity and the keys of the chain and the instances.
fn identity_and_keys(contents: &Contents) -> (Option<u64>, Vec<&[u8]>, Vec<&[u8]>) {
    fn keys(rows: &[(Vec<u8>, Vec<u8>)]) -> Vec<&[u8]> {
        rows.iter().map(|(key, _)| key.as_slice()).collect()
    }
    (
        contents.identity,
        keys(&contents.chain_rows),
        keys(&contents.instance_rows),
    )
}

#[test]
fn a_crash_during_replacement_leaves_the_old_or_the_new_store() {
    for step in 0..4 {
        let (folder, old) = create_store();
        let path = |name: &str| folder.path().join(name);
        let new = (Some(9), vec![&b"c"[..]], vec![&b"i-1"[..]]);
        let expected = match step {
            // Crash while the new store is written: the old one stays in effect.
            0 => {
                write_store(&path(TEMPORARY), &old, 9, &[put("b")]).unwrap();
                identity_and_keys(&old)
            }
            // Crash after the new store is complete, before or after the old one is moved aside.
            1 | 2 => {
                write_next(folder.path(), &old, 9, &[put("c")]).unwrap();
                if step == 2 {
                    rename(path(FOLDER), path(REPLACED)).unwrap();
                }
                new.clone()
            }
            _ => {
                replace(folder.path(), &old, 9, &[put("c")]).unwrap();
                new.clone()
            }
        };
        let (sender, mut events) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder.path(), 8, None, sender).unwrap();
        assert_eq!(
            (Some(store.identity), store.is_new),
            (expected.0, false),
            "step {step}"
        );
        drop(store);
        while events.blocking_recv().is_some() {}
        assert_eq!(
            identity_and_keys(&inspect(folder.path()).unwrap()),
            expected,
            "step {step}"
        );
        if step == 0 {
            replace(folder.path(), &old, 9, &[put("c")]).unwrap();
            assert_eq!(identity_and_keys(&inspect(folder.path()).unwrap()), new);
        }
        assert!(path("store.before/db").is_file());
        let second = replace(folder.path(), &old, 10, &[put("d")]);
        assert!(
            matches!(second, Err(InspectError::ReplacedStoreExists(_))),
            "{second:?}"
        );
    }
}

#[test]
fn a_store_in_use_is_not_replaced() {
    let (folder, old) = create_store();
    let (sender, _events) = tokio::sync::mpsc::unbounded_channel();
    let _store = Store::open(folder.path(), 8, None, sender).unwrap();
    assert!(matches!(
        replace(folder.path(), &old, 9, &[put("c")]),
        Err(InspectError::InUse(_))
    ));
    assert!(!folder.path().join(NEXT).exists() && !folder.path().join(REPLACED).exists());
}
