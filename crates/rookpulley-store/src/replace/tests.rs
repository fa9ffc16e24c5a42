use super::*;
use crate::placement::REPLACED;
use crate::{Store, StoreTree, inspect};

fn put(key: &str) -> Record {
    Record::Put {
        key: key.into(),
        value: vec![1; 9],
    }
}

/// What is in the store once nobody has it any more.
fn looked(folder: &Path) -> Contents {
    loop {
        match inspect(folder) {
            Err(InspectError::InUse(_)) => std::thread::yield_now(),
            seen => return seen.unwrap(),
        }
    }
}

fn a_store() -> (tempfile::TempDir, Contents) {
    let folder = tempfile::tempdir().unwrap();
    let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(folder.path(), 7, None, said).unwrap();
    assert!(store.write(StoreTree::Chain, 1, vec![put("a")]));
    assert!(store.write(StoreTree::Instances, 1, vec![put("i-1")]));
    drop(store);
    while heard.blocking_recv().is_some() {}
    let old = looked(folder.path());
    (folder, old)
}

fn what(seen: &Contents) -> (Option<u64>, Vec<&[u8]>, Vec<&[u8]>) {
    fn keys(rows: &[(Vec<u8>, Vec<u8>)]) -> Vec<&[u8]> {
        rows.iter().map(|(key, _)| key.as_slice()).collect()
    }
    (
        seen.identity,
        keys(&seen.chain_rows),
        keys(&seen.instance_rows),
    )
}

#[test]
fn a_crash_at_any_step_of_a_replacement_leaves_the_old_store_or_the_new_one() {
    for step in 0..4 {
        let (folder, old) = a_store();
        let at = |name: &str| folder.path().join(name);
        let new = (Some(9), vec![&b"c"[..]], vec![&b"i-1"[..]]);
        let wanted = match step {
            // While it is written; what stands there already may be anything.
            0 => {
                write_store(&at(MAKING), &old, 9, &[put("b")]).unwrap();
                what(&old)
            }
            // It is whole; the old one is still in its place, or it has left it.
            1 | 2 => {
                write_next(folder.path(), &old, 9, &[put("c")]).unwrap();
                if step == 2 {
                    rename(at(FOLDER), at(REPLACED)).unwrap();
                }
                new.clone()
            }
            _ => {
                replace(folder.path(), &old, 9, &[put("c")]).unwrap();
                new.clone()
            }
        };
        let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder.path(), 8, None, said).unwrap();
        assert_eq!(
            (Some(store.identity), store.is_new),
            (wanted.0, false),
            "step {step}"
        );
        drop(store);
        while heard.blocking_recv().is_some() {}
        assert_eq!(what(&looked(folder.path())), wanted, "step {step}");
        if step == 0 {
            replace(folder.path(), &old, 9, &[put("c")]).unwrap();
            assert_eq!(what(&looked(folder.path())), new);
        }
        assert!(at("store.before/db").is_file());
        let again = replace(folder.path(), &old, 10, &[put("d")]);
        assert!(
            matches!(again, Err(InspectError::ReplacedStoreExists(_))),
            "{again:?}"
        );
    }
}

#[test]
fn a_store_in_use_is_not_replaced() {
    let (folder, old) = a_store();
    let (said, _heard) = tokio::sync::mpsc::unbounded_channel();
    let _store = Store::open(folder.path(), 8, None, said).unwrap();
    assert!(matches!(
        replace(folder.path(), &old, 9, &[put("c")]),
        Err(InspectError::InUse(_))
    ));
    assert!(!folder.path().join(NEXT).exists() && !folder.path().join(REPLACED).exists());
}
