use super::*;
use crate::chunks::chunk_key;

#[test]
fn long_rows_are_restored_and_leave_nothing_behind_when_shortened_or_deleted() {
    let db = sled::Config::new().temporary(true).open().unwrap();
    let mut writer = RowWriter::default();
    let mut put = |key: &[u8], length: usize| {
        let mut batch = sled::Batch::default();
        let value: Vec<u8> = (0..length)
            .map(|n| (n / MAX_ROW_BYTES) as u8 ^ n as u8)
            .collect();
        writer.write(
            Record::Put {
                key: key.to_vec(),
                value: value.clone(),
            },
            &mut batch,
        );
        db.apply_batch(batch).unwrap();
        value
    };
    put(b"e1", 20 * MAX_ROW_BYTES);
    put(b"e10", 3 * MAX_ROW_BYTES + 1);
    let (short, shrunk) = (put(b"e2", MAX_ROW_BYTES), put(b"e1", 2 * MAX_ROW_BYTES));
    let longest = put(b"e3", 40 * MAX_ROW_BYTES + 7);
    let (rows, mut writer) = RowWriter::read(&db).unwrap();
    let find = |key: &[u8]| {
        rows.iter()
            .find(|(k, _)| k == key)
            .map(|(_, value)| value.clone())
    };
    assert_eq!(rows.len(), 4);
    assert_eq!(
        (find(b"e1"), find(b"e2"), find(b"e3")),
        (Some(shrunk), Some(short), Some(longest))
    );
    let mut batch = sled::Batch::default();
    for (key, _) in rows {
        writer.write(Record::Delete { key }, &mut batch);
    }
    db.apply_batch(batch).unwrap();
    assert!(db.iter().keys().all(|key| key.unwrap() == LISTS_MARKER));
}

fn count_keys(db: &sled::Db, kind: u8) -> usize {
    db.scan_prefix([kind]).count()
}

/// Pseudo-random bytes without repetitions.
fn random_bytes(length: usize, seed: u64) -> Vec<u8> {
    let words =
        (0..length.div_ceil(8) as u64).map(|n| (n + seed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 3);
    words
        .flat_map(|word| {
            (word ^ (word >> 31))
                .wrapping_mul(0xbf58_476d_1ce4_e5b9)
                .to_le_bytes()
        })
        .take(length)
        .collect()
}

#[test]
fn shared_chunks_of_long_rows_are_written_once() {
    let (db, mut writer) = (
        sled::Config::new().temporary(true).open().unwrap(),
        RowWriter::default(),
    );
    let mut put = |key: &[u8], value: &[u8]| {
        let mut batch = sled::Batch::default();
        writer.write(
            Record::Put {
                key: key.to_vec(),
                value: value.to_vec(),
            },
            &mut batch,
        );
        db.apply_batch(batch).unwrap();
        writer.take_written_bytes()
    };
    let mut value = random_bytes(1 << 20, 7);
    assert_eq!(put(b"e1", &value), 1 << 20);
    value.splice(0..10, *b"another number");
    value.insert(600_000, 7);
    assert!(put(b"e2", &value) <= 8 * MAX_ROW_BYTES);
    // The same value embedded in a longer one, as in a snapshot.
    assert!(put(b"s1", &[b"before", value.as_slice(), b"behind"].concat()) <= 4 * MAX_ROW_BYTES);
    let bytes: usize = db.iter().map(|row| row.unwrap().1.len()).sum();
    assert!(bytes < (1 << 20) + 20 * MAX_ROW_BYTES, "{bytes} bytes");
}

/// Random inserts, changes and deletions: rows are read back unchanged, and no unreferenced chunks or lists remain.
#[test]
fn rows_with_shared_chunks_are_restored_as_written() {
    arbtest::arbtest(|u| {
        let (db, mut writer) = (
            sled::Config::new().temporary(true).open().unwrap(),
            RowWriter::default(),
        );
        let (mut rows, mut value) = (BTreeMap::new(), random_bytes(40 << 10, 7));
        for _ in 0..u.int_in_range(1..=24)? {
            let mut batch = sled::Batch::default();
            for _ in 0..u.int_in_range(1..=3)? {
                let key = vec![b'e', u.int_in_range(0..=4)?];
                let at = u.choose_index(value.len())?;
                let record = match u.int_in_range(0..=4)? {
                    0 => Record::Delete { key },
                    1 => Record::Put {
                        key,
                        value: value[..u.choose_index(2 * MAX_ROW_BYTES)?.min(value.len())]
                            .to_vec(),
                    },
                    2 => {
                        value.splice(
                            at..(at + 100).min(value.len()),
                            random_bytes(at % 300 + 1, u.arbitrary()?),
                        );
                        Record::Put {
                            key,
                            value: value.clone(),
                        }
                    }
                    3 => Record::Put {
                        key,
                        value: [&value[at..], &value[..at]].concat(),
                    },
                    _ => Record::Put {
                        key,
                        value: value.clone(),
                    },
                };
                match record.clone() {
                    Record::Put { key, value } => _ = rows.insert(key, value),
                    Record::Delete { key } => _ = rows.remove(&key),
                }
                writer.write(record, &mut batch);
            }
            db.apply_batch(batch).unwrap();
            if u.ratio(1, 3)? {
                let (read, reread) = RowWriter::read(&db).unwrap();
                assert_eq!(read, rows.clone().into_iter().collect::<Rows>());
                assert_eq!(
                    (count_keys(&db, LIST_PREFIX), count_keys(&db, CHUNK_PREFIX)),
                    (reread.lists.len(), reread.chunks.count())
                );
                writer = reread;
            }
        }
        for key in rows.into_keys() {
            let mut batch = sled::Batch::default();
            writer.write(Record::Delete { key }, &mut batch);
            db.apply_batch(batch).unwrap();
        }
        assert!(db.iter().keys().all(|key| key.unwrap() == LISTS_MARKER));
        Ok(())
    })
    .budget_ms(1_500);
}

#[test]
fn rows_of_an_older_build_are_read_and_replaced_and_a_missing_chunk_is_an_error() {
    let (db, mut older) = (
        sled::Config::new().temporary(true).open().unwrap(),
        RowWriter::default(),
    );
    let value = random_bytes(9 * MAX_ROW_BYTES, 7);
    let mut batch = sled::Batch::default();
    older.put_pieces(b"e1".to_vec(), Some(value.clone()), &mut batch);
    older.put_pieces(b"e2".to_vec(), Some(value.clone()), &mut batch);
    db.apply_batch(batch).unwrap();
    assert_eq!(count_keys(&db, PIECE_PREFIX), 16);
    let (rows, mut writer) = RowWriter::read(&db).unwrap();
    assert_eq!(
        rows,
        vec![
            (b"e1".to_vec(), value.clone()),
            (b"e2".to_vec(), value.clone())
        ]
    );
    let mut batch = sled::Batch::default();
    writer.write(
        Record::Put {
            key: b"e1".to_vec(),
            value: value.clone(),
        },
        &mut batch,
    );
    writer.write(
        Record::Delete {
            key: b"e2".to_vec(),
        },
        &mut batch,
    );
    db.apply_batch(batch).unwrap();
    assert_eq!(count_keys(&db, PIECE_PREFIX), 0);
    let rows_for_older_build = db
        .iter()
        .map(|row| row.unwrap())
        .map(|(key, value)| (key.to_vec(), value.to_vec()));
    assert!(
        !rookpulley_chain::PersistedState::read(
            rows_for_older_build.filter(|(key, _)| key != b"e1")
        )
        .is_sound()
    );
    assert_eq!(
        RowWriter::read(&db).unwrap().0,
        vec![(b"e1".to_vec(), value)]
    );
    db.remove(chunk_key(3)).unwrap();
    assert!(RowWriter::read(&db).is_err());
}
