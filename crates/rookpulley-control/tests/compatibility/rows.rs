//! Compatibility of the rows that a chain stores on disk.

use crate::{Encoded, read_fixture};
use rookpulley_chain::{
    Chain, Effect, Input, Member, Outcome, Record, RequestKind, StartState, find_inconsistencies,
};
use rookpulley_control::ReplicatedState;
use rookpulley_state::{Answer, Update};
use std::collections::{BTreeMap, VecDeque};

type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

fn member(at: usize) -> Member {
    let id = at as u64 + 1;
    Member {
        id,
        incarnation: 1 << 20 | id,
        address: format!("10.0.0.{id}:7332").parse().unwrap(),
    }
}

/// Chain members with instant message delivery and disk syncs.
#[derive(Default)]
struct Cluster {
    now: u64,
    chains: Vec<(Chain<ReplicatedState>, Rows)>,
    token: u64,
}

impl Cluster {
    fn start(&mut self) {
        let at = self.chains.len();
        let start = StartState {
            me: member(at),
            founder: at == 0,
            tolerated_losses: 1,
            seed: 7,
            persisted: None,
        };
        self.chains.push((
            Chain::start(self.now, start, ReplicatedState::default()),
            Rows::new(),
        ));
        for other in 0..at {
            self.handle(other, Input::PeerDiscovered { member: member(at) });
            self.handle(
                at,
                Input::PeerDiscovered {
                    member: member(other),
                },
            );
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 50;
            for at in 0..self.chains.len() {
                self.handle(at, Input::Tick);
            }
        }
    }

    /// Passes an input to one member and delivers all resulting messages and syncs.
    fn handle(&mut self, at: usize, input: Input) -> Option<Outcome> {
        let mut inputs = VecDeque::from([(at, input)]);
        let mut answer = None;
        while let Some((at, input)) = inputs.pop_front() {
            let members = self.chains.len();
            let (chain, rows) = &mut self.chains[at];
            for effect in chain.handle(self.now, input) {
                match effect {
                    Effect::Send { to, message } if to as usize <= members => {
                        let from = member(at).id;
                        inputs.push_back((to as usize - 1, Input::Received { from, message }));
                    }
                    Effect::Write { ticket, records } => {
                        write(rows, records);
                        inputs.push_back((at, Input::Synced { ticket }));
                    }
                    Effect::Reply { outcome, .. } => answer = Some(outcome),
                    _ => {}
                }
            }
        }
        answer
    }

    fn update(&mut self, update: &Update) -> Answer {
        self.token += 1;
        let body = update.encode();
        let outcome = self.handle(
            1,
            Input::ClientRequest {
                token: self.token,
                kind: RequestKind::Update,
                body,
            },
        );
        let Some(Outcome::Completed(answer)) = outcome else {
            panic!("{update:?}: {outcome:?}")
        };
        Answer::decode(&answer).unwrap()
    }
}

fn write(rows: &mut Rows, records: Vec<Record>) {
    for record in records {
        match record {
            Record::Put { key, value } => _ = rows.insert(key, value),
            Record::Delete { key } => _ = rows.remove(&key),
        }
    }
}

fn put(name: &str, value: &str) -> Update {
    Update::PutKey {
        name: name.into(),
        value: value.into(),
        expected: None,
    }
}

fn updates() -> Vec<Update> {
    let lock = Update::AcquireLock {
        name: "hearing".into(),
        holder: "counter".into(),
        lease_ms: 5_000,
    };
    let configuration = Update::PutConfiguration {
        version: 17,
        body: b"{\"version\":17}".to_vec(),
    };
    let number = Update::NextNumber {
        name: "permits".into(),
    };
    vec![
        configuration,
        lock,
        number,
        put("lots.7", "open"),
        put("lots.8", "sold"),
        put("lots.7", "sold"),
    ]
}

/// Runs two members through 600 updates, enough to write a snapshot and delete the first log entries.
fn cluster_with_updates() -> Cluster {
    let mut cluster = Cluster::default();
    cluster.start();
    cluster.run(500);
    cluster.start();
    cluster.run(1_500);
    for update in updates() {
        cluster.update(&update);
    }
    for n in 0..600 {
        cluster.update(&put("lots.9", &format!("bid {n}")));
        cluster.run(if n % 100 == 0 { 50 } else { 0 });
    }
    cluster.run(500);
    cluster
}

#[test]
fn stored_rows_keep_their_bytes() {
    let mut encoded = Encoded::default();
    for (at, (_, rows)) in cluster_with_updates().chains.into_iter().enumerate() {
        for (key, value) in rows {
            encoded.add_bytes(&format!("member {at}, row {}", crate::hex(&key)), value);
        }
    }
    encoded.assert_matches("disk.txt");
}

#[test]
fn a_chain_starts_from_the_rows_of_an_earlier_build() {
    let fixture = read_fixture("disk.txt");
    for at in 0..2 {
        let prefix = format!("member {at}, row ");
        let row = |(name, value): (&String, &Vec<u8>)| {
            let key = crate::unhex(name.strip_prefix(&prefix)?);
            Some((key, value.clone()))
        };
        let rows: Vec<(Vec<u8>, Vec<u8>)> = fixture.iter().filter_map(row).collect();
        assert!(rows.len() > 80, "{} rows", rows.len());
        assert_eq!(find_inconsistencies(&rows, Some(member(at).id)), Vec::new());
        let persisted = rookpulley_chain::PersistedState::read(rows);
        assert!(persisted.is_sound());
        let me = Member {
            incarnation: 2 << 20,
            ..member(at)
        };
        let start = StartState {
            me,
            founder: false,
            tolerated_losses: 1,
            seed: 7,
            persisted: Some(persisted),
        };
        let started = Chain::start(0, start, ReplicatedState::default());
        let machine = &started.state().machine;
        let sizes = machine.usage();
        assert_eq!((sizes.locks, sizes.counters, sizes.keys), (1, 1, 3));
        // The commit of the last of 603 puts is not stored yet.
        assert_eq!((machine.version(), machine.revision("lots.")), (17, 602));
        assert_eq!(started.view().map(|view| view.number), Some(2));
    }
}
