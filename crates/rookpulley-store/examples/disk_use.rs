//! What a controller's store takes on the disk, and how long it takes to open: `cargo run --release -p
//! rookpulley-store --example disk_use [FOLDER [LOAD]]`, for all loads or those with this in their name. A controller
//! alone, with its chain, its ledger and its store, takes one update every 20 ms of its clock; each waits for its sync.

mod load;

use load::Load;
use rookpulley_chain::{Chain, Effect, Input, Member, Outcome, RequestKind, StartState};
use rookpulley_control::ReplicatedState;
use rookpulley_state::Answer;
use rookpulley_store::{Store, StoreEvent, StoreTree};
use std::collections::VecDeque;
use std::path::Path;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;

const PACE_MS: u64 = 20;
const TICK_MS: u64 = 50;

struct Controller {
    chain: Chain<ReplicatedState>,
    store: Store,
    heard: UnboundedReceiver<StoreEvent>,
    now: u64,
    ticked: u64,
    syncs: u64,
}

impl Controller {
    /// Also how long opening took, the chain's start included.
    fn open(folder: &Path, incarnation: u64) -> (Self, f64) {
        let began = Instant::now();
        let (said, heard) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder, 7, Some(&[]), said).unwrap();
        let me = Member {
            id: store.identity,
            incarnation,
            address: "127.0.0.1:7".parse().unwrap(),
        };
        let kept = (!store.is_new)
            .then(|| rookpulley_chain::PersistedState::read(store.chain_rows.iter().cloned()));
        let boot = StartState {
            me,
            founder: store.bootstrap.is_some(),
            tolerated_losses: 0,
            seed: incarnation,
            persisted: kept,
        };
        let chain = Chain::start(0, boot, ReplicatedState::default());
        let took = began.elapsed().as_secs_f64() * 1e3;
        let mut controller = Self {
            chain,
            store,
            heard,
            now: 0,
            ticked: 0,
            syncs: 0,
        };
        controller.play(1_000);
        (controller, took)
    }

    /// One input, and all that comes of it till the disk has all.
    fn step(&mut self, input: Input) -> Option<Outcome> {
        let (mut inputs, mut answer) = (VecDeque::from([input]), None);
        while let Some(input) = inputs.pop_front() {
            for effect in self.chain.handle(self.now, input) {
                match effect {
                    Effect::Write { ticket, records } => {
                        assert!(self.store.write(StoreTree::Chain, ticket, records));
                        while let Some(StoreEvent::Synced { chain, .. }) =
                            self.heard.blocking_recv()
                        {
                            if chain >= Some(ticket) {
                                break;
                            }
                        }
                        self.syncs += 1;
                        inputs.push_back(Input::Synced { ticket });
                    }
                    Effect::Reply { outcome, .. } => answer = Some(outcome),
                    _ => {}
                }
            }
        }
        answer
    }

    fn play(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            if self.now >= self.ticked + TICK_MS {
                self.ticked = self.now;
                self.step(Input::Tick);
            }
        }
    }

    fn close(self) {
        let Self {
            store, mut heard, ..
        } = self;
        drop(store);
        while heard.blocking_recv().is_some() {}
    }
}

/// Bytes and files below a folder, as its file system counts them.
fn size(folder: &Path) -> (u64, usize) {
    use std::os::unix::fs::MetadataExt;
    let (mut bytes, mut files) = (0, 0);
    for entry in std::fs::read_dir(folder).unwrap() {
        let entry = entry.unwrap();
        // A file may go while it is looked at.
        let Ok(meta) = entry.metadata() else { continue };
        if meta.is_dir() {
            let below = size(&entry.path());
            (bytes, files) = (bytes + below.0, files + below.1);
        } else {
            (bytes, files) = (bytes + 512 * meta.blocks(), files + 1);
        }
    }
    (bytes, files)
}

fn mib(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

fn plays(at: &Path, name: &str, load: &Load, updates: u64) {
    if std::env::args()
        .nth(2)
        .is_some_and(|wanted| !name.contains(&wanted))
    {
        return;
    }
    let folder = tempfile::tempdir_in(at).unwrap();
    let (mut controller, _) = Controller::open(folder.path(), 1);
    let (mut highest, mut most_files, began) = (0, 0, Instant::now());
    for n in 1..=updates {
        let body = load.update(n).encode();
        let outcome = controller.step(Input::ClientRequest {
            token: n,
            kind: RequestKind::Update,
            body,
        });
        let Some(Outcome::Completed(answer)) = outcome else {
            panic!("update {n}: {outcome:?}")
        };
        let answer = Answer::decode(&answer).unwrap();
        assert!(load.took(n, &answer), "update {n}: {answer:?}");
        let (bytes, files) = size(folder.path());
        (highest, most_files) = (bytes.max(highest), files.max(most_files));
        if n.is_multiple_of(updates / 10) {
            eprintln!(
                "  {name}: {n}, {:.1} MiB, highest {:.1}",
                mib(bytes),
                mib(highest)
            );
        }
        controller.play(PACE_MS);
    }
    let took = began.elapsed().as_secs_f64();
    let (state, syncs) = (
        controller.chain.state().machine.snapshot().len(),
        controller.syncs,
    );
    let digest = controller.chain.state().machine.digest();
    controller.close();
    let (left, files) = size(folder.path());
    let mut opened = Vec::new();
    for incarnation in 2..7 {
        let (controller, took) = Controller::open(folder.path(), incarnation);
        assert_eq!(controller.chain.state().machine.digest(), digest);
        opened.push(took);
        controller.close();
    }
    opened.sort_by(f64::total_cmp);
    println!(
        "{name}: {updates} updates, state {} KiB: highest {:.1} MiB in {most_files} files, at the end {:.1} MiB in \
         {files}; opens in {:.0} ms ({:.0} to {:.0}); {syncs} syncs, {:.2} ms an update",
        state >> 10,
        mib(highest),
        mib(left),
        opened[2],
        opened[0],
        opened[4],
        took * 1e3 / updates as f64,
    );
}

fn main() {
    let at = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, Into::into);
    plays(
        &at,
        "configurations of 40 routes",
        &Load::Routes(40),
        10_000,
    );
    plays(
        &at,
        "configurations of 700 routes",
        &Load::Routes(700),
        10_000,
    );
    plays(&at, "puts of cells", &Load::Cells(1_000), 100_000);
    for routes in [6_000, 12_000, 24_000] {
        plays(
            &at,
            &format!("configurations of {routes} routes"),
            &Load::Routes(routes),
            200,
        );
    }
    plays(
        &at,
        "configurations of 24000 routes, all changed",
        &Load::All(24_000),
        400,
    );
    plays(&at, "the most that a ledger holds", &Load::Longest, 40_000);
}
