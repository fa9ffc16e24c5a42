//! Benchmark of the disk usage and the opening time of a controller's store.
//!
//! `cargo run --release -p rookpulley-store --example disk_use [FOLDER [LOAD]]` runs all loads, or those whose name contains
//! LOAD. A single controller with its chain and store applies one update per 20 ms of simulated time, and waits for each
//! sync.

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

const UPDATE_INTERVAL_MS: u64 = 20;
const TICK_MS: u64 = 50;

struct Controller {
    chain: Chain<ReplicatedState>,
    store: Store,
    events: UnboundedReceiver<StoreEvent>,
    now: u64,
    last_tick: u64,
    syncs: u64,
}

impl Controller {
    /// Also returns how long opening took, including the start of the chain, in milliseconds.
    fn open(folder: &Path, incarnation: u64) -> (Self, f64) {
        let started = Instant::now();
        let (sender, events) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder, 7, Some(&[]), sender).unwrap();
        let me = Member {
            id: store.identity,
            incarnation,
            address: "127.0.0.1:7".parse().unwrap(),
        };
        let persisted = (!store.is_new)
            .then(|| rookpulley_chain::PersistedState::read(store.chain_rows.iter().cloned()));
        let start = StartState {
            me,
            founder: store.bootstrap.is_some(),
            tolerated_losses: 0,
            seed: incarnation,
            persisted,
        };
        let chain = Chain::start(0, start, ReplicatedState::default());
        let took = started.elapsed().as_secs_f64() * 1e3;
        let mut controller = Self {
            chain,
            store,
            events,
            now: 0,
            last_tick: 0,
            syncs: 0,
        };
        controller.advance(1_000);
        (controller, took)
    }

    /// Handles one input and its follow-up inputs, and waits until all writes are synced.
    fn step(&mut self, input: Input) -> Option<Outcome> {
        let (mut inputs, mut reply) = (VecDeque::from([input]), None);
        while let Some(input) = inputs.pop_front() {
            for effect in self.chain.handle(self.now, input) {
                match effect {
                    Effect::Write { ticket, records } => {
                        assert!(self.store.write(StoreTree::Chain, ticket, records));
                        while let Some(StoreEvent::Synced { chain, .. }) =
                            self.events.blocking_recv()
                        {
                            if chain >= Some(ticket) {
                                break;
                            }
                        }
                        self.syncs += 1;
                        inputs.push_back(Input::Synced { ticket });
                    }
                    Effect::Reply { outcome, .. } => reply = Some(outcome),
                    _ => {}
                }
            }
        }
        reply
    }

    /// Advances the clock.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            if self.now >= self.last_tick + TICK_MS {
                self.last_tick = self.now;
                self.step(Input::Tick);
            }
        }
    }

    fn close(self) {
        let Self {
            store, mut events, ..
        } = self;
        drop(store);
        while events.blocking_recv().is_some() {}
    }
}

/// The allocated bytes and the number of files below a folder.
fn size(folder: &Path) -> (u64, usize) {
    use std::os::unix::fs::MetadataExt;
    let (mut bytes, mut files) = (0, 0);
    for entry in std::fs::read_dir(folder).unwrap() {
        let entry = entry.unwrap();
        // The file may have been deleted meanwhile.
        let Ok(meta) = entry.metadata() else { continue };
        if meta.is_dir() {
            let nested = size(&entry.path());
            (bytes, files) = (bytes + nested.0, files + nested.1);
        } else {
            (bytes, files) = (bytes + 512 * meta.blocks(), files + 1);
        }
    }
    (bytes, files)
}

fn mib(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

fn measure(at: &Path, name: &str, load: &Load, updates: u64) {
    if std::env::args()
        .nth(2)
        .is_some_and(|wanted| !name.contains(&wanted))
    {
        return;
    }
    let folder = tempfile::tempdir_in(at).unwrap();
    let (mut controller, _) = Controller::open(folder.path(), 1);
    let (mut peak, mut most_files, started) = (0, 0, Instant::now());
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
        assert!(load.is_applied(n, &answer), "update {n}: {answer:?}");
        let (bytes, files) = size(folder.path());
        (peak, most_files) = (bytes.max(peak), files.max(most_files));
        if n.is_multiple_of(updates / 10) {
            eprintln!(
                "  {name}: {n}, {:.1} MiB, peak {:.1}",
                mib(bytes),
                mib(peak)
            );
        }
        controller.advance(UPDATE_INTERVAL_MS);
    }
    let took = started.elapsed().as_secs_f64();
    let (state, syncs) = (
        controller.chain.state().machine.snapshot().len(),
        controller.syncs,
    );
    let digest = controller.chain.state().machine.digest();
    controller.close();
    let (left, files) = size(folder.path());
    let mut open_times = Vec::new();
    for incarnation in 2..7 {
        let (controller, took) = Controller::open(folder.path(), incarnation);
        assert_eq!(controller.chain.state().machine.digest(), digest);
        open_times.push(took);
        controller.close();
    }
    open_times.sort_by(f64::total_cmp);
    println!(
        "{name}: {updates} updates, state {} KiB: peak {:.1} MiB in {most_files} files, at the end {:.1} MiB in \
         {files}; opens in {:.0} ms ({:.0} to {:.0}); {syncs} syncs, {:.2} ms per update",
        state >> 10,
        mib(peak),
        mib(left),
        open_times[2],
        open_times[0],
        open_times[4],
        took * 1e3 / updates as f64,
    );
}

fn main() {
    let at = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, Into::into);
    measure(
        &at,
        "configurations of 40 routes",
        &Load::Routes(40),
        10_000,
    );
    measure(
        &at,
        "configurations of 700 routes",
        &Load::Routes(700),
        10_000,
    );
    measure(&at, "writes to keys", &Load::Keys(1_000), 100_000);
    for routes in [6_000, 12_000, 24_000] {
        measure(
            &at,
            &format!("configurations of {routes} routes"),
            &Load::Routes(routes),
            200,
        );
    }
    measure(
        &at,
        "configurations of 24000 routes, all changed",
        &Load::All(24_000),
        400,
    );
    measure(&at, "the largest state", &Load::Largest, 40_000);
}
