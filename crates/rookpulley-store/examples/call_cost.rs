//! What a call of the chain takes in all its controllers together: `cargo run --release -p rookpulley-store --example
//! call_cost [OFFICES KIND CALLS]`, the kind one of `update`, `read` and `idle`. Controllers with their ledgers on one
//! thread, messages framed and read back, disks that take no time; a call every 20 ms of their clock, asked of each
//! controller in turn. For instructions: `valgrind --tool=callgrind`, the difference to `idle` of as many calls.

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

struct ControllerSelection {
    now: u64,
    all: Vec<Chain<ReplicatedState>>,
    /// Of pings, and of all else.
    said: [(u64, u64); 2],
    written: u64,
}

impl ControllerSelection {
    fn member(at: usize) -> Member {
        Member {
            id: at as u64 + 1,
            incarnation: 77,
            address: format!("10.0.0.{}:7", at + 1).parse().unwrap(),
        }
    }

    fn begin(controllers: usize) -> Self {
        let mut new = Self {
            now: 0,
            all: Vec::new(),
            said: [(0, 0); 2],
            written: 0,
        };
        for at in 0..controllers {
            let boot = StartState {
                me: Self::member(at),
                founder: at == 0,
                tolerated_losses: 1,
                seed: 7 + at as u64,
                persisted: None,
            };
            new.all
                .push(Chain::start(0, boot, ReplicatedState::default()));
        }
        for at in 0..controllers {
            for other in (0..controllers).filter(|other| *other != at) {
                new.give(
                    at,
                    Input::PeerDiscovered {
                        member: Self::member(other),
                    },
                );
            }
        }
        (0..60).for_each(|_| new.tick());
        new
    }

    fn give(&mut self, at: usize, input: Input) -> Option<Outcome> {
        let (mut inputs, mut answer) = (VecDeque::from([(at, input)]), None);
        while let Some((at, input)) = inputs.pop_front() {
            for effect in self.all[at].handle(self.now, input) {
                match effect {
                    Effect::Send { to, message } => {
                        let said = &mut self.said
                            [usize::from(!matches!(message, Message::Heartbeat { .. }))];
                        let mut frames = FrameDecoder::default();
                        let bytes = encode_frame(&message);
                        *said = (said.0 + 1, said.1 + bytes.len() as u64);
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
                        self.written += records.len() as u64;
                        inputs.push_back((at, Input::Synced { ticket }));
                    }
                    Effect::Reply { outcome, .. } => answer = Some(outcome),
                    _ => {}
                }
            }
        }
        answer
    }

    fn tick(&mut self) {
        self.now += 50;
        (0..self.all.len()).for_each(|at| _ = self.give(at, Input::Tick));
    }

    fn calls(&mut self, kind: Kind, calls: u64) {
        let load = Load::Cells(1_000);
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
                let at = n as usize % self.all.len();
                let outcome = self.give(
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

/// Microseconds a call, the least of five rounds.
fn micros(controllers: usize, kind: Kind, calls: u64) -> f64 {
    let rounds = (0..5).map(|_| {
        let mut all = ControllerSelection::begin(controllers);
        let began = Instant::now();
        all.calls(kind, calls);
        began.elapsed().as_secs_f64() * 1e6 / calls as f64
    });
    rounds.min_by(f64::total_cmp).unwrap()
}

fn main() {
    let told: Vec<String> = std::env::args().skip(1).collect();
    if let [controllers, kind, calls] = &told[..] {
        let kind = match kind.as_str() {
            "update" => Kind::Update,
            "read" => Kind::Read,
            _ => Kind::Idle,
        };
        return ControllerSelection::begin(controllers.parse().unwrap())
            .calls(kind, calls.parse().unwrap());
    }
    for controllers in [3, 5] {
        let idle = micros(controllers, Kind::Idle, 8_192);
        for (name, kind) in [("update", Kind::Update), ("read", Kind::Read)] {
            let mut all = ControllerSelection::begin(controllers);
            let (before, written) = (all.said, all.written);
            all.calls(kind, 8_192);
            let each = |now: u64, before: u64| (now - before) as f64 / 8_192.0;
            println!(
                "{controllers} controllers, {name}: {:.2} messages, {:.0} bytes, {:.2} rows, {:.2} us beside {idle:.2} idle; \
                 pings {:.1} bytes each",
                each(all.said[1].0, before[1].0),
                each(all.said[1].1, before[1].1),
                each(all.written, written),
                micros(controllers, kind, 8_192) - idle,
                (all.said[0].1 - before[0].1) as f64 / (all.said[0].0 - before[0].0) as f64,
            );
        }
    }
}
