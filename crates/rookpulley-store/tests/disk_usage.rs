//! The room that a controller's store takes, and what is written into it. A binary of its own: it counts what its process
//! writes.

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
    heard: UnboundedReceiver<StoreEvent>,
}

impl Controller {
    fn begin(folder: &Path) -> Self {
        let (said, heard) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder, 7, Some(&[]), said).unwrap();
        let me = Member {
            id: 7,
            incarnation: 1,
            address: "127.0.0.1:7".parse().unwrap(),
        };
        let boot = StartState {
            me,
            founder: true,
            tolerated_losses: 0,
            seed: 7,
            persisted: None,
        };
        let mut new = Self {
            now: 0,
            chain: Chain::start(0, boot, ReplicatedState::default()),
            store,
            heard,
        };
        (0..20).for_each(|_| new.tick());
        new
    }

    fn give(&mut self, input: Input) -> Option<Outcome> {
        let (mut inputs, mut answer) = (VecDeque::from([input]), None);
        while let Some(input) = inputs.pop_front() {
            for effect in self.chain.handle(self.now, input) {
                match effect {
                    Effect::Write { ticket, records } => {
                        assert!(self.store.write(StoreTree::Chain, ticket, records));
                        self.synced(ticket);
                        inputs.push_back(Input::Synced { ticket });
                    }
                    Effect::Reply { outcome, .. } => answer = Some(outcome),
                    _ => {}
                }
            }
        }
        answer
    }

    fn synced(&mut self, ticket: u64) {
        while !matches!(self.heard.blocking_recv(), Some(StoreEvent::Synced { chain, .. }) if chain >= Some(ticket))
        {
        }
    }

    fn tick(&mut self) {
        self.now += 50;
        self.give(Input::Tick);
    }
}

/// What this process has written to files so far.
fn written() -> u64 {
    let told = std::fs::read_to_string("/proc/self/io").unwrap();
    let line = told.lines().find_map(|line| line.strip_prefix("wchar: "));
    line.unwrap().parse().unwrap()
}

/// The longest that the store's file was, and what was written for each update behind the first ones, in bytes.
fn plays(load: &Load, updates: u64) -> (u64, u64) {
    let folder = tempfile::tempdir().unwrap();
    let (mut controller, mut longest, mut from) = (Controller::begin(folder.path()), 0, 0);
    let first = updates / 5;
    for n in 1..=updates {
        let body = load.update(n).encode();
        let outcome = controller.give(Input::ClientRequest {
            token: n,
            kind: RequestKind::Update,
            body,
        });
        assert!(
            matches!(outcome, Some(Outcome::Completed(_))),
            "update {n}: {outcome:?}"
        );
        longest = longest.max(length(folder.path()));
        if n == first {
            from = written();
        }
        if n % 3 == 0 {
            controller.tick();
        }
    }
    (longest, (written() - from) / (updates - first))
}

fn length(folder: &Path) -> u64 {
    std::fs::metadata(folder.join("store/db")).unwrap().len()
}

/// Of states of 1 MiB. One test, so that nothing else is written meanwhile.
#[test]
fn what_is_long_takes_a_few_times_its_room_and_writes_little_but_what_has_changed() {
    let state = 1 << 20;
    // One route of 6,000 changed, and all of them.
    let (longest, each) = plays(&Load::Routes(6_000), 20);
    assert!(
        longest < 6 * state && each < state / 8,
        "{longest} bytes, {each} for an update"
    );
    let (longest, each) = plays(&Load::All(6_000), 10);
    assert!(
        longest < 18 * state && each < 7 * state,
        "{longest} bytes, {each} for an update"
    );

    // A little changed all over: no page is written anew for that.
    let folder = tempfile::tempdir().unwrap();
    let mut controller = Controller::begin(folder.path());
    let mut value: Vec<u8> = (0..state / 8)
        .flat_map(|n| load::drawn(n).to_be_bytes())
        .collect();
    let (mut longest, from) = (0, written());
    for n in 1..=150 {
        for at in 0..20 {
            value[(load::drawn(20 * n + at) % state) as usize] ^= 1;
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
        controller.synced(u64::MAX - 150 + n);
        longest = longest.max(length(folder.path()));
    }
    let each = (written() - from) / 150;
    assert!(
        longest < 6 * state && each < state / 2,
        "{longest} bytes, {each} for a write"
    );
}
