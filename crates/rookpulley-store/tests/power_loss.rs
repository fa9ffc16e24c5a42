//! Power lost while a controller's store is written: of what isn't synced any part may have reached the disk, cut anywhere.

use rookpulley_chain::{Chain, Effect, Input, Member, Outcome, Record, RequestKind, StartState};
use rookpulley_control::ReplicatedState;
use rookpulley_state::Update;
use rookpulley_store::{Store, StoreEvent, StoreTree, inspect, replace};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;

type Batches = Vec<Vec<Record>>;

/// Controllers whose messages and disks take no time; what each writes is noted.
#[derive(Default)]
struct ControllerSelection {
    now: u64,
    all: Vec<(Chain<ReplicatedState>, Batches)>,
    token: u64,
    losses: usize,
}

impl ControllerSelection {
    fn member(at: usize) -> Member {
        Member {
            id: at as u64 + 1,
            incarnation: 77,
            address: format!("10.0.0.{}:7", at + 1).parse().unwrap(),
        }
    }

    fn start(&mut self) {
        let at = self.all.len();
        let me = Self::member(at);
        let boot = StartState {
            me,
            founder: at == 0,
            tolerated_losses: self.losses,
            seed: 7 + at as u64,
            persisted: None,
        };
        self.all.push((
            Chain::start(self.now, boot, ReplicatedState::default()),
            Vec::new(),
        ));
        for other in 0..at {
            self.give(other, Input::PeerDiscovered { member: me });
            self.give(
                at,
                Input::PeerDiscovered {
                    member: Self::member(other),
                },
            );
        }
        self.play(1_500);
    }

    fn give(&mut self, at: usize, input: Input) -> Option<Outcome> {
        let (mut inputs, mut answer) = (VecDeque::from([(at, input)]), None);
        while let Some((at, input)) = inputs.pop_front() {
            let known = self.all.len();
            let (chain, batches) = &mut self.all[at];
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
                    Effect::Reply { outcome, .. } => answer = Some(outcome),
                    _ => {}
                }
            }
        }
        answer
    }

    fn play(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += 50;
            (0..self.all.len()).for_each(|at| _ = self.give(at, Input::Tick));
        }
    }

    fn update(&mut self, update: &Update) {
        self.play(50);
        self.token += 1;
        let call = Input::ClientRequest {
            token: self.token,
            kind: RequestKind::Update,
            body: update.encode(),
        };
        assert!(matches!(self.give(0, call), Some(Outcome::Completed(_))));
    }

    /// A controller that starts on these rows shows all that was answered, or the one update more that was being written.
    fn starts_on(&mut self, rows: Rows, copies: &[(usize, u64)], answered: usize) {
        let kept = rookpulley_chain::PersistedState::read(rows);
        let me = Member {
            incarnation: 78,
            ..Self::member(0)
        };
        let boot = StartState {
            me,
            founder: true,
            tolerated_losses: 0,
            seed: 9,
            persisted: Some(kept),
        };
        self.all = vec![(
            Chain::start(self.now, boot, ReplicatedState::default()),
            Vec::new(),
        )];
        self.play(3_000);
        let chain = &self.all[0].0;
        assert!(chain.serving(self.now));
        let digest = chain.state().machine.digest();
        let shown = answered
            .checked_sub(1)
            .map_or(ReplicatedState::default().machine.digest(), |last| {
                copies[last].1
            });
        let next = copies.get(answered).map(|(_, digest)| *digest);
        assert!(
            digest == shown || Some(digest) == next,
            "{answered} of {}",
            copies.len()
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

/// Most of it as in the version before.
fn configuration(version: u64, length: usize) -> Vec<u8> {
    let mut coins = Coins(7);
    let mut body: Vec<u8> = (0..length.div_ceil(8))
        .flat_map(|_| coins.draw(u64::MAX).to_be_bytes())
        .collect();
    let at = Coins(version).draw(length as u64) as usize;
    body.splice(at..at + 1, version.to_string().into_bytes());
    body.truncate(length);
    body
}

/// What the founder writes in its first seconds, and what one writes that is filled by pieces and then takes updates.
fn written() -> [Batches; 2] {
    let mut controllers = ControllerSelection {
        losses: 1,
        ..ControllerSelection::default()
    };
    controllers.start();
    controllers.start();
    (0..6).for_each(|n| controllers.configure(300 + 9_000 * (n % 2)));
    let first = controllers.all[0].1.clone();
    (0..24).for_each(|_| controllers.configure(100 << 10));
    controllers.start();
    for n in 0..5 {
        controllers.update(&Update::NextNumber {
            name: format!("n{n}"),
        });
        controllers.configure(40 << 10);
    }
    assert_eq!(
        controllers.all[2].0.state().machine.digest(),
        controllers.all[0].0.state().machine.digest()
    );
    [first, std::mem::take(&mut controllers.all[2].1)]
}

/// Drawn by a seed, spread by the mixer of SplitMix64.
struct Coins(u64);

impl Coins {
    fn draw(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % most
    }
}

/// The files of a folder, by their paths from it.
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

fn lay(folder: &Path, image: &Image) {
    for (name, bytes) in image {
        let at = folder.join(name);
        std::fs::create_dir_all(at.parent().unwrap()).unwrap();
        std::fs::write(at, bytes).unwrap();
    }
}

/// Between the one and the other: files that are new or gone, ends that are missing, blocks of either.
fn torn(before: &Image, after: &Image, coins: &mut Coins) -> Image {
    let block = [512, 4_096, 65_536][coins.draw(3) as usize];
    let names: std::collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut all = Image::new();
    for name in names {
        let Some(new) = after.get(name) else {
            if coins.draw(2) == 0 {
                all.insert(name.clone(), before[name].clone());
            }
            continue;
        };
        if !before.contains_key(name) && coins.draw(3) == 0 {
            continue;
        }
        let old = before.get(name).cloned().unwrap_or_default();
        let length = if coins.draw(2) == 0 {
            new.len()
        } else {
            coins.draw(1 + new.len() as u64) as usize
        };
        let mut bytes = old.clone();
        bytes.resize(old.len().max(length).min(old.len().max(new.len())), 0);
        for (at, piece) in new.chunks(block).enumerate() {
            let at = at * block;
            let end = (at + piece.len()).min(bytes.len());
            if at < end && coins.draw(2) == 0 {
                bytes[at..end].copy_from_slice(&piece[..end - at]);
            }
        }
        all.insert(name.clone(), bytes);
    }
    all
}

fn open(folder: &Path, mint: u64) -> (Store, tokio::sync::mpsc::UnboundedReceiver<StoreEvent>) {
    let (said, heard) = tokio::sync::mpsc::unbounded_channel();
    (Store::open(folder, mint, None, said).unwrap(), heard)
}

fn close((store, mut heard): (Store, tokio::sync::mpsc::UnboundedReceiver<StoreEvent>)) {
    drop(store);
    while heard.blocking_recv().is_some() {}
}

type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

fn put(rows: &mut Rows, records: &[Record]) {
    for record in records {
        match record {
            Record::Put { key, value } => _ = rows.insert(key.clone(), value.clone()),
            Record::Delete { key } => _ = rows.remove(key),
        }
    }
}

/// What a start finds: the rows under the identity that was minted first, or an empty disk.
fn found(image: &Image, mint: u64) -> Option<Rows> {
    let folder = tempfile::tempdir().unwrap();
    lay(folder.path(), image);
    let opened = open(folder.path(), mint);
    assert_eq!(opened.0.is_new, opened.0.identity == mint);
    let rows = (!opened.0.is_new).then(|| opened.0.chain_rows.iter().cloned().collect());
    assert!(!opened.0.is_new || opened.0.chain_rows.is_empty());
    close(opened);
    rows
}

#[test]
fn whatever_of_a_write_reaches_the_disk_all_before_it_is_there_or_it_is_taken_for_empty() {
    let mut coins = Coins(7);
    let (mut whole, mut empty) = (0, 0);
    for batches in written() {
        let folder = tempfile::tempdir().unwrap();
        let (store, mut heard) = open(folder.path(), 7);
        let mut images = vec![
            (Image::new(), Rows::new()),
            (image(folder.path()), Rows::new()),
        ];
        for (n, records) in (1..).zip(batches) {
            let mut rows = images.last().unwrap().1.clone();
            put(&mut rows, &records);
            assert!(store.write(StoreTree::Chain, n, records));
            while !matches!(heard.blocking_recv(), Some(StoreEvent::Synced { chain, .. }) if chain == Some(n))
            {
            }
            images.push((image(folder.path()), rows));
        }
        close((store, heard));
        for pair in images.windows(2) {
            let [(before, old), (after, new)] = pair else {
                unreachable!()
            };
            assert_eq!(found(after, 8).as_ref(), Some(new));
            for _ in 0..3 {
                match found(&torn(before, after, &mut coins), 8) {
                    None => empty += 1,
                    Some(rows) => {
                        assert!(
                            rows == *old || rows == *new,
                            "{} of {} and {}",
                            rows.len(),
                            old.len(),
                            new.len()
                        );
                        whole += 1;
                    }
                }
            }
        }
    }
    assert!(whole > 4 * empty, "{whole} whole, {empty} empty");
}

/// A controller alone that takes configurations, each much like the one before, puts and numbers; it loses its power at any
/// write. The controller that starts on what is left shows, once it is at work, what a copy in memory shows after all updates
/// that were answered, or after the one more that was being written.
#[test]
fn a_controller_that_lost_its_power_at_any_write_has_all_that_it_answered() {
    arbtest::arbtest(|u| {
        let mut controller = ControllerSelection { losses: 0, ..ControllerSelection::default() };
        controller.start();
        let (length, mut copies) = (*u.choose(&[20_000, 300_000, 1_100_000])?, Vec::new());
        for _ in 0..u.int_in_range(4..=9)? {
            match u.int_in_range(0..=3)? {
                0 => controller.update(&Update::NextNumber { name: "n".into() }),
                1 => controller.update(&Update::PutKey {
                    name: format!("g.{}", u.int_in_range(0..=3)?),
                    value: "v".repeat(u.int_in_range(1..=9_000)?) + &controller.token.to_string(),
                    expected: None,
                }),
                _ => controller.configure(length),
            }
            copies.push((controller.all[0].1.len(), controller.all[0].0.state().machine.digest()));
        }
        let (_, batches) = controller.all.remove(0);
        let (folder, mut coins) = (tempfile::tempdir().unwrap(), Coins(u.arbitrary()?));
        let (store, mut heard) = open(folder.path(), 1);
        let mut before = image(folder.path());
        for (n, records) in (1..).zip(&batches) {
            assert!(store.write(StoreTree::Chain, n, records.clone()));
            while !matches!(heard.blocking_recv(), Some(StoreEvent::Synced { chain, .. }) if chain == Some(n)) {}
            let after = image(folder.path());
            let last = n == batches.len() as u64;
            if last || u.ratio(1, 4)? {
                let left = if last { after.clone() } else { torn(&before, &after, &mut coins) };
                let rows = found(&left, 8);
                assert!(rows.is_some() || !last, "all was there, and the disk is taken for empty");
                let answered =
                    copies.iter().filter(|(written, _)| *written < n as usize + usize::from(last)).count();
                rows.into_iter().for_each(|rows| controller.starts_on(rows, &copies, answered));
            }
            before = after;
        }
        close((store, heard));
        Ok(())
    })
    .budget_ms(4_000);
}

/// Another store is in its place once it is whole on the disk, and not before.
#[test]
fn whatever_there_is_of_a_store_that_is_founded_anew_the_old_one_stays() {
    let mut coins = Coins(7);
    let folder = tempfile::tempdir().unwrap();
    let (store, heard) = open(folder.path(), 7);
    let mut rows = Rows::new();
    for (n, records) in (1..).zip(&written()[0]) {
        put(&mut rows, records);
        assert!(store.write(StoreTree::Chain, n, records.clone()));
    }
    close((store, heard));
    let old = image(folder.path());
    let mut left = rows.clone();
    left.remove(&b"b"[..]);
    let records: Vec<Record> = left
        .iter()
        .map(|(key, value)| Record::Put {
            key: key.clone(),
            value: value.clone(),
        })
        .collect();
    let founds = |folder: &Path| replace(folder, &inspect(folder).unwrap(), 9, &records).unwrap();
    founds(folder.path());
    let new = image(folder.path());
    let of = |image: &Image, from: &str, to: &str| -> Image {
        let files = image
            .iter()
            .filter_map(|(name, bytes)| Some((name.strip_prefix(from)?, bytes)));
        files
            .map(|(name, bytes)| (format!("{to}{name}"), bytes.clone()))
            .collect()
    };
    let making = of(&new, "store/", "store.making/");
    for _ in 0..12 {
        let mut all = torn(&Image::new(), &making, &mut coins);
        all.extend(old.clone());
        assert_eq!(found(&all, 8).as_ref(), Some(&rows));
        let folder = tempfile::tempdir().unwrap();
        lay(folder.path(), &all);
        founds(folder.path());
        assert_eq!(inspect(folder.path()).unwrap().identity, Some(9));
    }
    // Whole, and not in its place yet.
    let mut all = of(&new, "store/", "store.next/");
    all.extend(old.clone());
    assert_eq!(found(&all, 8), Some(left));
}
