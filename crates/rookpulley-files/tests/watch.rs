//! Watching a server file while it is edited, renamed, linked and replaced.

use rookpulley_files::render;
use rookpulley_files::watch::{Found, follow};
use rookpulley_lists::{Candidate, Entry};
use std::path::Path;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

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

fn with_watched_file<F: Future<Output = ()>>(
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
        timeout(TEST_TIMEOUT, test(file, found))
            .await
            .expect("the test timed out");
        following.abort();
    });
}

/// Waits for the next valid file and counts the other states before it.
async fn next_generation(found: &mut mpsc::Receiver<Found>, rejected: &mut usize) -> u64 {
    loop {
        match found.recv().await.unwrap() {
            Found::List(list) => return list.generation,
            Found::Rejected(_) | Found::Missing(_) => *rejected += 1,
        }
    }
}

/// Writes a file in two steps and expects the incomplete file to be rejected in between.
async fn write_in_two_steps(file: &Path, text: &str, found: &mut mpsc::Receiver<Found>) {
    let half = text.len() / 2;
    std::fs::write(file, &text[..half]).unwrap();
    match found.recv().await.unwrap() {
        Found::Rejected(why) => assert!(why.contains("still being written"), "{why}"),
        other => panic!("{other:?}"),
    }
    std::fs::write(file, text).unwrap();
}

#[test]
fn partial_writes_renames_links_and_replaced_directories_are_followed() {
    with_watched_file(|file, mut found| async move {
        assert!(
            matches!(found.recv().await, Some(Found::Missing(_))),
            "the file does not exist yet"
        );
        let mut rejected = 0;
        std::fs::write(&file, text(1)).unwrap();
        assert_eq!(next_generation(&mut found, &mut rejected).await, 1);
        write_in_two_steps(&file, &text(2), &mut found).await;
        assert_eq!(next_generation(&mut found, &mut rejected).await, 2);
        let sibling = file.with_extension("new");
        std::fs::write(&sibling, text(3)).unwrap();
        std::fs::rename(&sibling, &file).unwrap();
        assert_eq!(next_generation(&mut found, &mut rejected).await, 3);
        // A symbolic link to a file in another directory, which sends no notifications.
        let elsewhere = file
            .parent()
            .unwrap()
            .parent()
            .unwrap()
            .join("elsewhere.star");
        std::fs::write(&elsewhere, text(4)).unwrap();
        std::fs::remove_file(&file).unwrap();
        std::os::unix::fs::symlink(&elsewhere, &file).unwrap();
        assert_eq!(next_generation(&mut found, &mut rejected).await, 4);
        std::fs::write(&elsewhere, text(5)).unwrap();
        assert_eq!(next_generation(&mut found, &mut rejected).await, 5);
        // The directory is replaced.
        let folder = file.parent().unwrap().to_path_buf();
        let staged = folder.with_extension("staged");
        std::fs::create_dir(&staged).unwrap();
        std::fs::write(staged.join("servers.star"), text(6)).unwrap();
        std::fs::rename(&folder, folder.with_extension("old")).unwrap();
        std::fs::rename(&staged, &folder).unwrap();
        assert_eq!(next_generation(&mut found, &mut rejected).await, 6);
        std::fs::write(&file, text(7)).unwrap();
        assert_eq!(next_generation(&mut found, &mut rejected).await, 7);
    });
}

#[test]
fn unreadable_files_are_reported_once_until_they_recover() {
    with_watched_file(|file, mut found| async move {
        let mut rejected = 0;
        std::fs::write(&file, text(1)).unwrap();
        assert_eq!(next_generation(&mut found, &mut rejected).await, 1);
        std::fs::remove_file(&file).unwrap();
        assert!(matches!(found.recv().await, Some(Found::Missing(_))));
        // A named pipe must not be opened.
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
        assert_eq!(next_generation(&mut found, &mut rejected).await, 2);
    });
}

#[test]
fn rewriting_the_same_content_is_not_reported() {
    with_watched_file(|file, mut found| async move {
        let mut rejected = 0;
        std::fs::write(&file, text(1)).unwrap();
        assert_eq!(next_generation(&mut found, &mut rejected).await, 1);
        let before = rejected;
        for _ in 0..20 {
            std::fs::write(file.with_extension("new"), text(1)).unwrap();
            std::fs::rename(file.with_extension("new"), &file).unwrap();
            tokio::task::yield_now().await;
        }
        std::fs::write(file.with_extension("new"), text(2)).unwrap();
        std::fs::rename(file.with_extension("new"), &file).unwrap();
        assert_eq!(
            (next_generation(&mut found, &mut rejected).await, rejected),
            (2, before)
        );
    });
}

#[test]
fn files_swapped_by_rename_are_never_seen_in_part() {
    with_watched_file(|file, mut found| async move {
        let (mut rejected, sibling, spare) =
            (0, file.with_extension("b"), file.with_extension("c"));
        std::fs::write(&file, text(1)).unwrap();
        std::fs::write(&sibling, text(2)).unwrap();
        let (watched, stop) = (
            file.clone(),
            std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)),
        );
        let stopped = stop.clone();
        let swapper = std::thread::spawn(move || {
            while !stopped.load(std::sync::atomic::Ordering::Relaxed) {
                std::fs::rename(&watched, &spare).unwrap();
                std::fs::rename(&sibling, &watched).unwrap();
                std::fs::rename(&spare, &sibling).unwrap();
            }
        });
        let mut seen = std::collections::BTreeSet::new();
        while seen.len() < 2 {
            seen.insert(next_generation(&mut found, &mut rejected).await);
        }
        assert_eq!(seen.into_iter().collect::<Vec<_>>(), [1, 2]);
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        swapper.join().unwrap();
    });
}
