//! Limits on the size of a store and on the bytes written per update. Runs in its own process, as it counts the bytes that
//! the process writes.

#[path = "../examples/load/mod.rs"]
mod load;

use load::Load;
use rookpulley_chain::{Chain, Effect, Input, Member, Outcome, Record, RequestKind, StartState};
use rookpulley_control::ReplicatedState;
use rookpulley_store::{Store, StoreEvent, StoreTree};
use std::collections::VecDeque;
use std::path::Path;
use tokio::sync::mpsc::UnboundedReceiver;

struct Controller {
    now: u64,
    chain: Chain<ReplicatedState>,
    store: Store,
    events: UnboundedReceiver<StoreEvent>,
}

impl Controller {
    fn start(folder: &Path) -> Self {
        let (sender, events) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder, 7, Some(&[]), sender).unwrap();
        let me = Member {
            id: 7,
            incarnation: 1,
            address: "127.0.0.1:7".parse().unwrap(),
        };
        let start = StartState {
            me,
            founder: true,
            tolerated_losses: 0,
            seed: 7,
            persisted: None,
        };
        let mut controller = Self {
            now: 0,
            chain: Chain::start(0, start, ReplicatedState::default()),
            store,
            events,
        };
        (0..20).for_each(|_| controller.tick());
        controller
    }

    fn handle(&mut self, input: Input) -> Option<Outcome> {
        let (mut inputs, mut reply) = (VecDeque::from([input]), None);
        while let Some(input) = inputs.pop_front() {
            for effect in self.chain.handle(self.now, input) {
                match effect {
                    Effect::Write { ticket, records } => {
                        assert!(self.store.write(StoreTree::Chain, ticket, records));
                        self.wait_for_sync(ticket);
                        inputs.push_back(Input::Synced { ticket });
                    }
                    Effect::Reply { outcome, .. } => reply = Some(outcome),
                    _ => {}
                }
            }
        }
        reply
    }

    fn wait_for_sync(&mut self, ticket: u64) {
        while !matches!(self.events.blocking_recv(), Some(StoreEvent::Synced { chain, .. }) if chain >= Some(ticket))
        {
        }
    }

    fn tick(&mut self) {
        self.now += 50;
        self.handle(Input::Tick);
    }
}

/// The number of bytes that this process has written so far.
fn written_bytes() -> u64 {
    let counters = std::fs::read_to_string("/proc/self/io").unwrap();
    let line = counters
        .lines()
        .find_map(|line| line.strip_prefix("wchar: "));
    line.unwrap().parse().unwrap()
}

/// Applies a load, and returns the peak size of the store's file and the bytes written per update after a warm-up.
fn measure(load: &Load, updates: u64) -> (u64, u64) {
    let folder = tempfile::tempdir().unwrap();
    let (mut controller, mut peak, mut from) = (Controller::start(folder.path()), 0, 0);
    let warm_up = updates / 5;
    for n in 1..=updates {
        let body = load.update(n).encode();
        let outcome = controller.handle(Input::ClientRequest {
            token: n,
            kind: RequestKind::Update,
            body,
        });
        assert!(
            matches!(outcome, Some(Outcome::Completed(_))),
            "update {n}: {outcome:?}"
        );
        peak = peak.max(file_size(folder.path()));
        if n == warm_up {
            from = written_bytes();
        }
        if n % 3 == 0 {
            controller.tick();
        }
    }
    (peak, (written_bytes() - from) / (updates - warm_up))
}

fn file_size(folder: &Path) -> u64 {
    std::fs::metadata(folder.join("store/db")).unwrap().len()
}

/// Uses states of 1 MiB. A single test, as concurrent tests would add to the written bytes.
#[test]
fn long_values_take_a_bounded_multiple_of_their_size_and_updates_write_mostly_changes() {
    let state = 1 << 20;
    // First one of 6,000 routes changes with each update, then all of them.
    let (peak, per_update) = measure(&Load::Routes(6_000), 20);
    assert!(
        peak < 6 * state && per_update < state / 8,
        "{peak} bytes, {per_update} for an update"
    );
    let (peak, per_update) = measure(&Load::All(6_000), 10);
    assert!(
        peak < 18 * state && per_update < 7 * state,
        "{peak} bytes, {per_update} for an update"
    );

    // Small changes spread over the whole value: few rows of each page change, so `sled` alone rewrites no page.
    let folder = tempfile::tempdir().unwrap();
    let mut controller = Controller::start(folder.path());
    let mut value: Vec<u8> = (0..state / 8)
        .flat_map(|n| load::random(n).to_be_bytes())
        .collect();
    let (mut peak, from) = (0, written_bytes());
    for n in 1..=150 {
        for at in 0..20 {
            value[(load::random(20 * n + at) % state) as usize] ^= 1;
        }
        let put = Record::Put {
            key: b"a long row".to_vec(),
            value: value.clone(),
        };
        assert!(
            controller
                .store
                .write(StoreTree::Chain, u64::MAX - 150 + n, vec![put])
        );
        controller.wait_for_sync(u64::MAX - 150 + n);
        peak = peak.max(file_size(folder.path()));
    }
    let per_update = (written_bytes() - from) / 150;
    assert!(
        peak < 6 * state && per_update < state / 2,
        "{peak} bytes, {per_update} for a write"
    );
}
