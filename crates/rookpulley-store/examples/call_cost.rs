//! Benchmark of the CPU time and the messages per call, summed over all controllers of a chain.
//!
//! `cargo run --release -p rookpulley-store --example call_cost [CONTROLLERS KIND CALLS]`, where KIND is `update`, `read`
//! or `idle`. All controllers run on one thread, with encoded messages and instant disks. Simulated time advances by 20 ms
//! per call, and the controllers receive the calls in turn. To count instructions, compare a run under
//! `valgrind --tool=callgrind` with an `idle` run of as many calls.

mod load;

use load::Load;
use rookpulley_chain::{Chain, Effect, Input, Member, Message, Outcome, RequestKind, StartState};
use rookpulley_control::ReplicatedState;
use rookpulley_protocol::{FrameDecoder, encode_frame};
use rookpulley_state::{Answer, Query};
use std::collections::VecDeque;
use std::time::Instant;

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Update,
    Read,
    Idle,
}

struct Cluster {
    now: u64,
    chains: Vec<Chain<ReplicatedState>>,
    /// Number and bytes of heartbeats, and of all other messages.
    sent: [(u64, u64); 2],
    written_rows: u64,
}

impl Cluster {
    fn member(at: usize) -> Member {
        Member {
            id: at as u64 + 1,
            incarnation: 77,
            address: format!("10.0.0.{}:7", at + 1).parse().unwrap(),
        }
    }

    fn start(controllers: usize) -> Self {
        let mut cluster = Self {
            now: 0,
            chains: Vec::new(),
            sent: [(0, 0); 2],
            written_rows: 0,
        };
        for at in 0..controllers {
            let start = StartState {
                me: Self::member(at),
                founder: at == 0,
                tolerated_losses: 1,
                seed: 7 + at as u64,
                persisted: None,
            };
            cluster
                .chains
                .push(Chain::start(0, start, ReplicatedState::default()));
        }
        for at in 0..controllers {
            for other in (0..controllers).filter(|other| *other != at) {
                cluster.handle(
                    at,
                    Input::PeerDiscovered {
                        member: Self::member(other),
                    },
                );
            }
        }
        (0..60).for_each(|_| cluster.tick());
        cluster
    }

    fn handle(&mut self, at: usize, input: Input) -> Option<Outcome> {
        let (mut inputs, mut reply) = (VecDeque::from([(at, input)]), None);
        while let Some((at, input)) = inputs.pop_front() {
            for effect in self.chains[at].handle(self.now, input) {
                match effect {
                    Effect::Send { to, message } => {
                        let sent = &mut self.sent
                            [usize::from(!matches!(message, Message::Heartbeat { .. }))];
                        let mut frames = FrameDecoder::default();
                        let bytes = encode_frame(&message);
                        *sent = (sent.0 + 1, sent.1 + bytes.len() as u64);
                        frames.push(&bytes);
                        let message: Message = frames.decode_next().unwrap().unwrap();
                        inputs.push_back((
                            to as usize - 1,
                            Input::Received {
                                from: at as u64 + 1,
                                message,
                            },
                        ));
                    }
                    Effect::Write { ticket, records } => {
                        self.written_rows += records.len() as u64;
                        inputs.push_back((at, Input::Synced { ticket }));
                    }
                    Effect::Reply { outcome, .. } => reply = Some(outcome),
                    _ => {}
                }
            }
        }
        reply
    }

    fn tick(&mut self) {
        self.now += 50;
        (0..self.chains.len()).for_each(|at| _ = self.handle(at, Input::Tick));
    }

    fn calls(&mut self, kind: Kind, calls: u64) {
        let load = Load::Keys(1_000);
        for n in 1..=calls {
            let (kind, body) = match kind {
                Kind::Update => (RequestKind::Update, load.update(n).encode()),
                Kind::Read => (
                    RequestKind::Read,
                    Query::Key {
                        name: format!("group{}.cell{n}", n % 100),
                    }
                    .encode(),
                ),
                Kind::Idle => (RequestKind::Read, Vec::new()),
            };
            if !body.is_empty() {
                let at = n as usize % self.chains.len();
                let outcome = self.handle(
                    at,
                    Input::ClientRequest {
                        token: n,
                        kind,
                        body,
                    },
                );
                let Some(Outcome::Completed(answer)) = outcome else {
                    panic!("call {n}: {outcome:?}")
                };
                let answer = Answer::decode(&answer).unwrap();
                assert!(
                    matches!(answer, Answer::Revision(_) | Answer::NotFound),
                    "call {n}: {answer:?}"
                );
            }
            if n % 5 == 0 || n % 5 == 3 {
                self.tick();
            }
        }
    }
}

/// Microseconds per call, the minimum of five rounds.
fn micros(controllers: usize, kind: Kind, calls: u64) -> f64 {
    let rounds = (0..5).map(|_| {
        let mut cluster = Cluster::start(controllers);
        let started = Instant::now();
        cluster.calls(kind, calls);
        started.elapsed().as_secs_f64() * 1e6 / calls as f64
    });
    rounds.min_by(f64::total_cmp).unwrap()
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [controllers, kind, calls] = &arguments[..] {
        let kind = match kind.as_str() {
            "update" => Kind::Update,
            "read" => Kind::Read,
            _ => Kind::Idle,
        };
        return Cluster::start(controllers.parse().unwrap()).calls(kind, calls.parse().unwrap());
    }
    for controllers in [3, 5] {
        let idle = micros(controllers, Kind::Idle, 8_192);
        for (name, kind) in [("update", Kind::Update), ("read", Kind::Read)] {
            let mut cluster = Cluster::start(controllers);
            let (before, written) = (cluster.sent, cluster.written_rows);
            cluster.calls(kind, 8_192);
            let per_call = |now: u64, before: u64| (now - before) as f64 / 8_192.0;
            println!(
                "{controllers} controllers, {name}: {:.2} messages, {:.0} bytes, {:.2} rows, {:.2} us above {idle:.2} us idle; \
                 heartbeats {:.1} bytes each",
                per_call(cluster.sent[1].0, before[1].0),
                per_call(cluster.sent[1].1, before[1].1),
                per_call(cluster.written_rows, written),
                micros(controllers, kind, 8_192) - idle,
                (cluster.sent[0].1 - before[0].1) as f64 / (cluster.sent[0].0 - before[0].0) as f64,
            );
        }
    }
}
