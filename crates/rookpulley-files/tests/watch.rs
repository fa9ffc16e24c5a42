//! The watch on a server file, against editors of all sorts.

use rookpulley_files::render;
use rookpulley_files::watch::{Found, follow};
use rookpulley_lists::{Candidate, Entry};
use std::path::Path;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(30);

fn text(generation: u64) -> String {
    let entry = Entry {
        name: "s-1".into(),
        address: "10.0.0.1:80".into(),
        zone: "a".into(),
        machine: "m".into(),
        weight: 1.0,
        ..Entry::default()
    };
    render(&Candidate {
        generation,
        loss: None,
        entries: vec![entry],
    })
}

fn watching<F: Future<Output = ()>>(
    test: impl FnOnce(std::path::PathBuf, mpsc::Receiver<Found>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir(folder.path().join("etc")).unwrap();
    runtime.block_on(async {
        let file = folder.path().join("etc/servers.star");
        let (sender, found) = mpsc::channel(1);
        let following = tokio::spawn(follow(file.clone(), sender));
        timeout(LONG, test(file, found)).await.expect("it hangs");
        following.abort();
    });
}

/// The next whole file; what is not taken on the way is counted.
async fn next(found: &mut mpsc::Receiver<Found>, others: &mut usize) -> u64 {
    loop {
        match found.recv().await.unwrap() {
            Found::List(list) => return list.generation,
            Found::Rejected(_) | Found::Missing(_) => *others += 1,
        }
    }
}

/// Writes in several steps, and waits for word of the unfinished file in between.
async fn in_steps(file: &Path, text: &str, found: &mut mpsc::Receiver<Found>) {
    let half = text.len() / 2;
    std::fs::write(file, &text[..half]).unwrap();
    match found.recv().await.unwrap() {
        Found::Rejected(why) => assert!(why.contains("still being written"), "{why}"),
        other => panic!("{other:?}"),
    }
    std::fs::write(file, text).unwrap();
}

#[test]
fn editors_that_write_in_steps_rename_link_and_replace_the_folder_are_followed() {
    watching(|file, mut found| async move {
        assert!(
            matches!(found.recv().await, Some(Found::Missing(_))),
            "there is none yet"
        );
        let mut others = 0;
        std::fs::write(&file, text(1)).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 1);
        in_steps(&file, &text(2), &mut found).await;
        assert_eq!(next(&mut found, &mut others).await, 2);
        let beside = file.with_extension("new");
        std::fs::write(&beside, text(3)).unwrap();
        std::fs::rename(&beside, &file).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 3);
        // A link to a file elsewhere, which then changes; no notification comes from there.
        let elsewhere = file
            .parent()
            .unwrap()
            .parent()
            .unwrap()
            .join("elsewhere.star");
        std::fs::write(&elsewhere, text(4)).unwrap();
        std::fs::remove_file(&file).unwrap();
        std::os::unix::fs::symlink(&elsewhere, &file).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 4);
        std::fs::write(&elsewhere, text(5)).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 5);
        // The folder is replaced by another.
        let folder = file.parent().unwrap().to_path_buf();
        let staged = folder.with_extension("staged");
        std::fs::create_dir(&staged).unwrap();
        std::fs::write(staged.join("servers.star"), text(6)).unwrap();
        std::fs::rename(&folder, folder.with_extension("old")).unwrap();
        std::fs::rename(&staged, &folder).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 6);
        std::fs::write(&file, text(7)).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 7);
    });
}

#[test]
fn what_can_not_be_read_is_told_once_and_waited_out() {
    watching(|file, mut found| async move {
        let mut others = 0;
        std::fs::write(&file, text(1)).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 1);
        std::fs::remove_file(&file).unwrap();
        assert!(matches!(found.recv().await, Some(Found::Missing(_))));
        // A pipe has no end; it is not even opened.
        let made = std::process::Command::new("mkfifo")
            .arg(&file)
            .status()
            .unwrap();
        assert!(made.success());
        std::fs::remove_file(&file).unwrap();
        std::fs::write(&file, b"\xff\xfe").unwrap();
        let mut not_text = false;
        while !not_text {
            not_text = matches!(found.recv().await.unwrap(), Found::Rejected(why) if why.contains("no UTF-8"));
        }
        std::fs::write(&file, text(2)).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 2);
    });
}

#[test]
fn the_same_bytes_again_are_no_news() {
    watching(|file, mut found| async move {
        let mut others = 0;
        std::fs::write(&file, text(1)).unwrap();
        assert_eq!(next(&mut found, &mut others).await, 1);
        let before = others;
        for _ in 0..20 {
            std::fs::write(file.with_extension("new"), text(1)).unwrap();
            std::fs::rename(file.with_extension("new"), &file).unwrap();
            tokio::task::yield_now().await;
        }
        std::fs::write(file.with_extension("new"), text(2)).unwrap();
        std::fs::rename(file.with_extension("new"), &file).unwrap();
        assert_eq!((next(&mut found, &mut others).await, others), (2, before));
    });
}

#[test]
fn two_files_swapped_by_rename_in_a_loop_are_each_seen_whole_or_not_at_all() {
    watching(|file, mut found| async move {
        let (mut others, beside, spare) = (0, file.with_extension("b"), file.with_extension("c"));
        std::fs::write(&file, text(1)).unwrap();
        std::fs::write(&beside, text(2)).unwrap();
        let (swapping, stop) = (
            file.clone(),
            std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)),
        );
        let stopped = stop.clone();
        let loops = std::thread::spawn(move || {
            while !stopped.load(std::sync::atomic::Ordering::Relaxed) {
                std::fs::rename(&swapping, &spare).unwrap();
                std::fs::rename(&beside, &swapping).unwrap();
                std::fs::rename(&spare, &beside).unwrap();
            }
        });
        let mut seen = std::collections::BTreeSet::new();
        while seen.len() < 2 {
            seen.insert(next(&mut found, &mut others).await);
        }
        assert_eq!(seen.into_iter().collect::<Vec<_>>(), [1, 2]);
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        loops.join().unwrap();
    });
}
