//! The room that an office's store takes, and what is written into it. A binary of its own: it counts what its process
//! writes.

#[path = "../examples/load/mod.rs"]
mod load;

use load::Load;
use rookpulley_chain::{Boot, CallKind, Chain, Effect, Input, Member, Outcome};
use rookpulley_clerk::Kept;
use rookpulley_strongroom::{Part, Said, Store};
use std::collections::VecDeque;
use std::path::Path;
use tokio::sync::mpsc::UnboundedReceiver;

struct Office {
    now: u64,
    chain: Chain<Kept>,
    store: Store,
    heard: UnboundedReceiver<Said>,
}

impl Office {
    fn begin(folder: &Path) -> Self {
        let (said, heard) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder, 7, true, said).unwrap();
        let me = Member { id: 7, life: 1, address: "127.0.0.1:7".parse().unwrap() };
        let boot = Boot { me, founder: true, losses: 0, seed: 7, kept: None };
        let mut new = Self { now: 0, chain: Chain::start(0, boot, Kept::default()), store, heard };
        (0..20).for_each(|_| new.tick());
        new
    }

    fn give(&mut self, input: Input) -> Option<Outcome> {
        let (mut inputs, mut answer) = (VecDeque::from([input]), None);
        while let Some(input) = inputs.pop_front() {
            for effect in self.chain.handle(self.now, input) {
                match effect {
                    Effect::Write { ticket, records } => {
                        assert!(self.store.write(Part::Chain, ticket, records));
                        while !matches!(self.heard.blocking_recv(), Some(Said::Synced { chain, .. }) if chain >= Some(ticket))
                        {
                        }
                        inputs.push_back(Input::Synced { ticket });
                    }
                    Effect::Answer { outcome, .. } => answer = Some(outcome),
                    _ => {}
                }
            }
        }
        answer
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

/// The largest that the store's file was, in states, and what an update wrote after the first ones, in KiB.
fn plays(load: &Load, updates: u64) -> (f64, f64) {
    let folder = tempfile::tempdir().unwrap();
    let (mut office, mut highest, mut from) = (Office::begin(folder.path()), 0, 0);
    for n in 1..=updates {
        let body = load.update(n).encode();
        let outcome = office.give(Input::Call { token: n, kind: CallKind::Update, body });
        assert!(matches!(outcome, Some(Outcome::Done(_))), "update {n}: {outcome:?}");
        highest = highest.max(std::fs::metadata(folder.path().join("store/db")).unwrap().len());
        if n == updates / 5 {
            from = written();
        }
        if n % 3 == 0 {
            office.tick();
        }
    }
    let each = (written() - from) / (updates - updates / 5);
    (highest as f64 / office.chain.state().ledger.snapshot().len() as f64, each as f64 / 1024.0)
}

#[test]
fn a_storm_of_long_configurations_takes_a_few_times_the_room_of_one_and_writes_what_has_changed() {
    let (room, each) = plays(&Load::Routes(6_000), 60);
    println!("{room} {each}");
    let (room, each) = plays(&Load::All(6_000), 60);
    println!("{room} {each}");
    let (room, each) = plays(&Load::Cells(1_000), 6000);
    println!("{room} {each}");
}
