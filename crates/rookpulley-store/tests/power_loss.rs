//! Simulated power loss while a store is written: any part of the unsynced data may have reached the disk.

use rookpulley_chain::{Chain, Effect, Input, Member, Outcome, Record, RequestKind, StartState};
use rookpulley_control::ReplicatedState;
use rookpulley_state::Update;
use rookpulley_store::{Store, StoreEvent, StoreTree, inspect, replace};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;

type Batches = Vec<Vec<Record>>;

/// Controllers with instant messages and disks. The batches that each writes are recorded.
#[derive(Default)]
struct Cluster {
    now: u64,
    controllers: Vec<(Chain<ReplicatedState>, Batches)>,
    token: u64,
    tolerated_losses: usize,
}

impl Cluster {
    fn member(at: usize) -> Member {
        Member {
            id: at as u64 + 1,
            incarnation: 77,
            address: format!("10.0.0.{}:7", at + 1).parse().unwrap(),
        }
    }

    fn start(&mut self) {
        let at = self.controllers.len();
        let me = Self::member(at);
        let start = StartState {
            me,
            founder: at == 0,
            tolerated_losses: self.tolerated_losses,
            seed: 7 + at as u64,
            persisted: None,
        };
        self.controllers.push((
            Chain::start(self.now, start, ReplicatedState::default()),
            Vec::new(),
        ));
        for other in 0..at {
            self.handle(other, Input::PeerDiscovered { member: me });
            self.handle(
                at,
                Input::PeerDiscovered {
                    member: Self::member(other),
                },
            );
        }
        self.advance(1_500);
    }

    fn handle(&mut self, at: usize, input: Input) -> Option<Outcome> {
        let (mut inputs, mut reply) = (VecDeque::from([(at, input)]), None);
        while let Some((at, input)) = inputs.pop_front() {
            let known = self.controllers.len();
            let (chain, batches) = &mut self.controllers[at];
            for effect in chain.handle(self.now, input) {
                match effect {
                    Effect::Send { to, message } if to as usize <= known => {
                        inputs.push_back((
                            to as usize - 1,
                            Input::Received {
                                from: at as u64 + 1,
                                message,
                            },
                        ));
                    }
                    Effect::Write { ticket, records } => {
                        batches.push(records);
                        inputs.push_back((at, Input::Synced { ticket }));
                    }
                    Effect::Reply { outcome, .. } => reply = Some(outcome),
                    _ => {}
                }
            }
        }
        reply
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += 50;
            (0..self.controllers.len()).for_each(|at| _ = self.handle(at, Input::Tick));
        }
    }

    fn update(&mut self, update: &Update) {
        self.advance(50);
        self.token += 1;
        let call = Input::ClientRequest {
            token: self.token,
            kind: RequestKind::Update,
            body: update.encode(),
        };
        assert!(matches!(self.handle(0, call), Some(Outcome::Completed(_))));
    }

    /// Starts a controller on these rows, and asserts that its state includes all acknowledged updates, and at most the one
    /// update after them.
    fn restart_on(&mut self, rows: Rows, history: &[(usize, u64)], acknowledged: usize) {
        let persisted = rookpulley_chain::PersistedState::read(rows);
        let me = Member {
            incarnation: 78,
            ..Self::member(0)
        };
        let start = StartState {
            me,
            founder: true,
            tolerated_losses: 0,
            seed: 9,
            persisted: Some(persisted),
        };
        self.controllers = vec![(
            Chain::start(self.now, start, ReplicatedState::default()),
            Vec::new(),
        )];
        self.advance(3_000);
        let chain = &self.controllers[0].0;
        assert!(chain.serving(self.now));
        let digest = chain.state().machine.digest();
        let expected = acknowledged
            .checked_sub(1)
            .map_or(ReplicatedState::default().machine.digest(), |last| {
                history[last].1
            });
        let next = history.get(acknowledged).map(|(_, digest)| *digest);
        assert!(
            digest == expected || Some(digest) == next,
            "{acknowledged} of {}",
            history.len()
        );
    }

    fn configure(&mut self, length: usize) {
        let version = self.token + 1;
        self.update(&Update::PutConfiguration {
            version,
            body: configuration(version, length),
        });
    }
}

/// Builds a configuration that differs from other versions in a few bytes.
fn configuration(version: u64, length: usize) -> Vec<u8> {
    let mut rng = Rng(7);
    let mut body: Vec<u8> = (0..length.div_ceil(8))
        .flat_map(|_| rng.below(u64::MAX).to_be_bytes())
        .collect();
    let at = Rng(version).below(length as u64) as usize;
    body.splice(at..at + 1, version.to_string().into_bytes());
    body.truncate(length);
    body
}

/// The batches written by the first controller at its start, and by one that catches up from a snapshot and then receives
/// updates.
fn recorded_batches() -> [Batches; 2] {
    let mut cluster = Cluster {
        tolerated_losses: 1,
        ..Cluster::default()
    };
    cluster.start();
    cluster.start();
    (0..6).for_each(|n| cluster.configure(300 + 9_000 * (n % 2)));
    let first = cluster.controllers[0].1.clone();
    (0..24).for_each(|_| cluster.configure(100 << 10));
    cluster.start();
    for n in 0..5 {
        cluster.update(&Update::NextNumber {
            name: format!("n{n}"),
        });
        cluster.configure(40 << 10);
    }
    assert_eq!(
        cluster.controllers[2].0.state().machine.digest(),
        cluster.controllers[0].0.state().machine.digest()
    );
    [first, std::mem::take(&mut cluster.controllers[2].1)]
}

/// SplitMix64 pseudo-random number generator.
struct Rng(u64);

impl Rng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

/// The content of the files in a folder, by relative path.
type Image = BTreeMap<String, Vec<u8>>;

fn image(folder: &Path) -> Image {
    fn add(image: &mut Image, folder: &Path, at: &str) {
        for entry in std::fs::read_dir(folder).unwrap() {
            let entry = entry.unwrap();
            let name = format!("{at}{}", entry.file_name().to_str().unwrap());
            match entry.file_type().unwrap().is_dir() {
                true => add(image, &entry.path(), &format!("{name}/")),
                false => _ = image.insert(name, std::fs::read(entry.path()).unwrap()),
            }
        }
    }
    let mut all = Image::new();
    add(&mut all, folder, "");
    all
}

fn write_image(folder: &Path, image: &Image) {
    for (name, bytes) in image {
        let at = folder.join(name);
        std::fs::create_dir_all(at.parent().unwrap()).unwrap();
        std::fs::write(at, bytes).unwrap();
    }
}

/// A state between two images, as after a power loss: files may be missing or left over, truncated, and consist of blocks
/// of either image.
fn torn(before: &Image, after: &Image, rng: &mut Rng) -> Image {
    let block = [512, 4_096, 65_536][rng.below(3) as usize];
    let names: std::collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut all = Image::new();
    for name in names {
        let Some(new) = after.get(name) else {
            if rng.below(2) == 0 {
                all.insert(name.clone(), before[name].clone());
            }
            continue;
        };
        if !before.contains_key(name) && rng.below(3) == 0 {
            continue;
        }
        let old = before.get(name).cloned().unwrap_or_default();
        let length = if rng.below(2) == 0 {
            new.len()
        } else {
            rng.below(1 + new.len() as u64) as usize
        };
        let mut bytes = old.clone();
        bytes.resize(old.len().max(length).min(old.len().max(new.len())), 0);
        for (at, piece) in new.chunks(block).enumerate() {
            let at = at * block;
            let end = (at + piece.len()).min(bytes.len());
            if at < end && rng.below(2) == 0 {
                bytes[at..end].copy_from_slice(&piece[..end - at]);
            }
        }
        all.insert(name.clone(), bytes);
    }
    all
}

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

fn close((store, mut events): (Store, tokio::sync::mpsc::UnboundedReceiver<StoreEvent>)) {
    drop(store);
    while events.blocking_recv().is_some() {}
}

type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

fn apply(rows: &mut Rows, records: &[Record]) {
    for record in records {
        match record {
            Record::Put { key, value } => _ = rows.insert(key.clone(), value.clone()),
            Record::Delete { key } => _ = rows.remove(key),
        }
    }
}

/// Opens a store on an image. Returns its rows, or None if it was replaced by an empty one.
fn reopen(image: &Image, new_identity: u64) -> Option<Rows> {
    let folder = tempfile::tempdir().unwrap();
    write_image(folder.path(), image);
    let opened = open(folder.path(), new_identity);
    assert_eq!(opened.0.is_new, opened.0.identity == new_identity);
    let rows = (!opened.0.is_new).then(|| opened.0.chain_rows.iter().cloned().collect());
    assert!(!opened.0.is_new || opened.0.chain_rows.is_empty());
    close(opened);
    rows
}

#[test]
fn a_torn_write_loses_no_earlier_write_or_the_store_is_replaced_by_an_empty_one() {
    let mut rng = Rng(7);
    let (mut complete, mut empty) = (0, 0);
    for batches in recorded_batches() {
        let folder = tempfile::tempdir().unwrap();
        let (store, mut events) = open(folder.path(), 7);
        let mut images = vec![
            (Image::new(), Rows::new()),
            (image(folder.path()), Rows::new()),
        ];
        for (n, records) in (1..).zip(batches) {
            let mut rows = images.last().unwrap().1.clone();
            apply(&mut rows, &records);
            assert!(store.write(StoreTree::Chain, n, records));
            while !matches!(events.blocking_recv(), Some(StoreEvent::Synced { chain, .. }) if chain == Some(n))
            {
            }
            images.push((image(folder.path()), rows));
        }
        close((store, events));
        for pair in images.windows(2) {
            let [(before, old), (after, new)] = pair else {
                unreachable!()
            };
            assert_eq!(reopen(after, 8).as_ref(), Some(new));
            for _ in 0..3 {
                match reopen(&torn(before, after, &mut rng), 8) {
                    None => empty += 1,
                    Some(rows) => {
                        assert!(
                            rows == *old || rows == *new,
                            "{} of {} and {}",
                            rows.len(),
                            old.len(),
                            new.len()
                        );
                        complete += 1;
                    }
                }
            }
        }
    }
    assert!(complete > 4 * empty, "{complete} complete, {empty} empty");
}

/// A single controller applies random updates and loses power during any write. A controller restarted on the remaining
/// data must have the state after all acknowledged updates, or after the one that was being written.
#[test]
fn a_controller_keeps_all_acknowledged_updates_after_a_power_loss() {
    arbtest::arbtest(|u| {
        let mut cluster = Cluster { tolerated_losses: 0, ..Cluster::default() };
        cluster.start();
        let (length, mut history) = (*u.choose(&[20_000, 300_000, 1_100_000])?, Vec::new());
        for _ in 0..u.int_in_range(4..=9)? {
            match u.int_in_range(0..=3)? {
                0 => cluster.update(&Update::NextNumber { name: "n".into() }),
                1 => cluster.update(&Update::PutKey {
                    name: format!("g.{}", u.int_in_range(0..=3)?),
                    value: "v".repeat(u.int_in_range(1..=9_000)?) + &cluster.token.to_string(),
                    expected: None,
                }),
                _ => cluster.configure(length),
            }
            history.push((cluster.controllers[0].1.len(), cluster.controllers[0].0.state().machine.digest()));
        }
        let (_, batches) = cluster.controllers.remove(0);
        let (folder, mut rng) = (tempfile::tempdir().unwrap(), Rng(u.arbitrary()?));
        let (store, mut events) = open(folder.path(), 1);
        let mut before = image(folder.path());
        for (n, records) in (1..).zip(&batches) {
            assert!(store.write(StoreTree::Chain, n, records.clone()));
            while !matches!(events.blocking_recv(), Some(StoreEvent::Synced { chain, .. }) if chain == Some(n)) {}
            let after = image(folder.path());
            let last = n == batches.len() as u64;
            if last || u.ratio(1, 4)? {
                let remaining = if last { after.clone() } else { torn(&before, &after, &mut rng) };
                let rows = reopen(&remaining, 8);
                assert!(rows.is_some() || !last, "the image was complete, but the store was replaced by an empty one");
                let acknowledged =
                    history.iter().filter(|(written, _)| *written < n as usize + usize::from(last)).count();
                rows.into_iter().for_each(|rows| cluster.restart_on(rows, &history, acknowledged));
            }
            before = after;
        }
        close((store, events));
        Ok(())
    })
    .budget_ms(4_000);
}

/// A new store takes effect once it is completely on the disk, and not before.
#[test]
fn an_incomplete_replacement_leaves_the_old_store_in_effect() {
    let mut rng = Rng(7);
    let folder = tempfile::tempdir().unwrap();
    let (store, events) = open(folder.path(), 7);
    let mut rows = Rows::new();
    for (n, records) in (1..).zip(&recorded_batches()[0]) {
        apply(&mut rows, records);
        assert!(store.write(StoreTree::Chain, n, records.clone()));
    }
    close((store, events));
    let old = image(folder.path());
    let mut new_rows = rows.clone();
    new_rows.remove(&b"b"[..]);
    let records: Vec<Record> = new_rows
        .iter()
        .map(|(key, value)| Record::Put {
            key: key.clone(),
            value: value.clone(),
        })
        .collect();
    let replace_store =
        |folder: &Path| replace(folder, &inspect(folder).unwrap(), 9, &records).unwrap();
    replace_store(folder.path());
    let new = image(folder.path());
    let renamed = |image: &Image, from: &str, to: &str| -> Image {
        let files = image
            .iter()
            .filter_map(|(name, bytes)| Some((name.strip_prefix(from)?, bytes)));
        files
            .map(|(name, bytes)| (format!("{to}{name}"), bytes.clone()))
            .collect()
    };
    let temporary = renamed(&new, "store/", "store.making/");
    for _ in 0..12 {
        let mut all = torn(&Image::new(), &temporary, &mut rng);
        all.extend(old.clone());
        assert_eq!(reopen(&all, 8).as_ref(), Some(&rows));
        let folder = tempfile::tempdir().unwrap();
        write_image(folder.path(), &all);
        replace_store(folder.path());
        assert_eq!(inspect(folder.path()).unwrap().identity, Some(9));
    }
    // Complete, but not yet at its final path.
    let mut all = renamed(&new, "store/", "store.next/");
    all.extend(old.clone());
    assert_eq!(reopen(&all, 8), Some(new_rows));
}
