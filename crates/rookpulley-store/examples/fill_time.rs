//! Benchmark of the catch-up of an empty controller, and of the pause in updates that it causes.
//!
//! `cargo run --release -p rookpulley-store --example fill_time [FOLDER]`. Three controllers, each with a thread and a
//! store, are connected over loopback. Updates are sent one at a time, 5 ms apart.

mod load;

use load::configuration;
use rookpulley_chain::{Chain, Effect, Input, Member, Message, Outcome, RequestKind, StartState};
use rookpulley_control::ReplicatedState;
use rookpulley_protocol::{FrameDecoder, encode_frame};
use rookpulley_state::Update;
use rookpulley_store::{Store, StoreEvent, StoreTree};
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

enum Event {
    PeerStarted(Member),
    Received(u64, Message),
    Store(StoreEvent),
    /// An update, with the sender of its outcome.
    Call(Vec<u8>, Sender<Outcome>),
    Stop,
}

/// Progress of a controller.
enum Progress {
    /// The controller with this number is part of an active chain.
    Serving(u64),
    CaughtUp,
}

struct Controller {
    me: Member,
    events: Sender<Event>,
}

const TICK: Duration = Duration::from_millis(50);

/// Reads messages from a peer, which sends its identity first.
fn read_messages(mut stream: TcpStream, events: Sender<Event>) {
    let (mut id, mut frames, mut buffer) = ([0; 8], FrameDecoder::default(), vec![0; 64 << 10]);
    if stream.read_exact(&mut id).is_err() {
        return;
    }
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        frames.push(&buffer[..read]);
        while let Some(message) = frames.decode_next::<Message>().unwrap() {
            if events
                .send(Event::Received(u64::from_le_bytes(id), message))
                .is_err()
            {
                return;
            }
        }
    }
}

fn start(
    folder: PathBuf,
    number: u64,
    others: &[Controller],
    started: Instant,
    progress: Sender<Progress>,
) -> Controller {
    std::fs::create_dir_all(&folder).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddrV4 = listener.local_addr().unwrap().to_string().parse().unwrap();
    let (events, queue) = channel();
    let (sender, mut store_events) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(&folder, number, (number == 1).then_some(&[]), sender).unwrap();
    let me = Member {
        id: store.identity,
        incarnation: 77,
        address,
    };
    let start = StartState {
        me,
        founder: store.bootstrap.is_some(),
        tolerated_losses: 1,
        seed: number,
        persisted: None,
    };
    let now = started.elapsed().as_millis() as u64;
    let chain = Chain::start(now, start, ReplicatedState::default());
    let to = events.clone();
    std::thread::spawn(move || {
        while let Some(event) = store_events.blocking_recv() {
            if to.send(Event::Store(event)).is_err() {
                return;
            }
        }
    });
    let to = events.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let to = to.clone();
            std::thread::spawn(move || read_messages(stream, to));
        }
    });
    std::thread::spawn(move || run(chain, &store, &queue, started, (number, &progress)));
    for other in others {
        other.events.send(Event::PeerStarted(me)).unwrap();
        events.send(Event::PeerStarted(other.me)).unwrap();
    }
    Controller { me, events }
}

/// Runs a controller until it is told to stop.
fn run(
    mut chain: Chain<ReplicatedState>,
    store: &Store,
    queue: &Receiver<Event>,
    started: Instant,
    (number, progress): (u64, &Sender<Progress>),
) {
    let (mut connections, mut pending) = (
        BTreeMap::<u64, TcpStream>::new(),
        BTreeMap::<u64, Sender<Outcome>>::new(),
    );
    let (mut tick, mut token, mut serving) = (Instant::now(), 0, false);
    loop {
        let input = match queue.recv_timeout(tick.saturating_duration_since(Instant::now())) {
            Err(RecvTimeoutError::Timeout) => {
                tick = Instant::now() + TICK;
                Input::Tick
            }
            Ok(Event::PeerStarted(member)) => {
                let mut stream = TcpStream::connect(member.address).unwrap();
                stream.set_nodelay(true).unwrap();
                stream.write_all(&chain.me().id.to_le_bytes()).unwrap();
                connections.insert(member.id, stream);
                Input::PeerDiscovered { member }
            }
            Ok(Event::Received(from, message)) => Input::Received { from, message },
            Ok(Event::Store(StoreEvent::Synced {
                chain: Some(ticket),
                ..
            })) => Input::Synced { ticket },
            Ok(Event::Store(event)) => panic!("{event:?}"),
            Ok(Event::Call(body, answer)) => {
                token += 1;
                pending.insert(token, answer);
                Input::ClientRequest {
                    token,
                    kind: RequestKind::Update,
                    body,
                }
            }
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
        };
        let now = started.elapsed().as_millis() as u64;
        for effect in chain.handle(now, input) {
            match effect {
                Effect::Send { to, message } => {
                    connections
                        .get_mut(&to)
                        .into_iter()
                        .for_each(|stream| stream.write_all(&encode_frame(&message)).unwrap());
                }
                Effect::Write { ticket, records } => {
                    assert!(store.write(StoreTree::Chain, ticket, records))
                }
                Effect::Reply { token, outcome } => {
                    _ = pending.remove(&token).map(|sender| sender.send(outcome))
                }
                Effect::Log(line) if line.contains("restored a snapshot up to update") => {
                    _ = progress.send(Progress::CaughtUp)
                }
                _ => {}
            }
        }
        if !std::mem::replace(&mut serving, chain.serving(now)) && serving {
            _ = progress.send(Progress::Serving(number));
        }
    }
}

/// Applies updates with up to 64 in flight, and repeats those that fail.
fn apply(controller: &Controller, updates: impl Iterator<Item = Update>) {
    let send = |update: &Update| {
        let (answer, answered) = channel();
        controller
            .events
            .send(Event::Call(update.encode(), answer))
            .unwrap();
        answered
    };
    let mut in_flight = VecDeque::new();
    let complete = |(update, answered): (Update, Receiver<Outcome>)| {
        let mut answered = answered;
        while !matches!(answered.recv(), Ok(Outcome::Completed(_))) {
            answered = send(&update);
        }
    };
    for update in updates {
        let answered = send(&update);
        in_flight.push_back((update, answered));
        if in_flight.len() > 64 {
            in_flight.pop_front().into_iter().for_each(complete);
        }
    }
    in_flight.into_iter().for_each(complete);
}

fn next_number() -> Update {
    Update::NextNumber {
        name: "mine".into(),
    }
}

/// Sends one update at a time until `is_done` returns true. Returns the longest time between two replies, in milliseconds.
fn longest_pause(controller: &Controller, mut is_done: impl FnMut() -> bool) -> f64 {
    let (mut longest, mut last) = (0.0_f64, Instant::now());
    while !is_done() {
        let (answer, answered) = channel();
        controller
            .events
            .send(Event::Call(next_number().encode(), answer))
            .unwrap();
        if matches!(answered.recv(), Ok(Outcome::Completed(_))) {
            longest = longest.max(last.elapsed().as_secs_f64() * 1e3);
            last = Instant::now();
        }
        std::thread::park_timeout(Duration::from_millis(5));
    }
    longest.max(last.elapsed().as_secs_f64() * 1e3)
}

fn measure(at: &std::path::Path, routes: u64, keys: u64) {
    let folder = tempfile::tempdir_in(at).unwrap();
    let started = Instant::now();
    let (progress, progress_events) = channel();
    let mut controllers: Vec<Controller> = Vec::new();
    for n in 1..3 {
        controllers.push(start(
            folder.path().join(n.to_string()),
            n,
            &controllers,
            started,
            progress.clone(),
        ));
    }
    while !matches!(progress_events.recv(), Ok(Progress::Serving(2))) {}
    let body = configuration(routes, 1);
    let length = body.len() + 200 * keys as usize;
    apply(
        &controllers[0],
        (0..keys).map(|n| Update::PutKey {
            name: format!("group{}.cell{n}", n % 100),
            value: "v".repeat(60),
            expected: None,
        }),
    );
    apply(
        &controllers[0],
        std::iter::once(Update::PutConfiguration { version: 1, body }),
    );
    // More updates than the chain's log keeps, so that the third controller needs a snapshot.
    apply(&controllers[0], (0..4_200).map(|_| next_number()));
    let mut phase_start = Instant::now();
    let baseline = longest_pause(&controllers[0], || {
        phase_start.elapsed().as_millis() > 2_000
    });
    phase_start = Instant::now();
    controllers.push(start(
        folder.path().join("3"),
        3,
        &controllers,
        started,
        progress,
    ));
    let (mut caught_up, mut serving) = (0.0, 0.0);
    let pause = longest_pause(&controllers[0], || {
        match progress_events.try_recv() {
            Ok(Progress::CaughtUp) => caught_up = phase_start.elapsed().as_secs_f64() * 1e3,
            Ok(Progress::Serving(3)) => serving = phase_start.elapsed().as_secs_f64() * 1e3,
            _ => {}
        }
        serving > 0.0
    });
    println!(
        "about {} KB: caught up after {caught_up:.0} ms, in the chain after {serving:.0} ms; longest pause of updates \
         {pause:.0} ms, in the 2 s before {baseline:.0} ms",
        length / 1000
    );
    controllers
        .iter()
        .for_each(|controller| _ = controller.events.send(Event::Stop));
}

fn main() {
    let at = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, Into::into);
    for (routes, keys) in [(550, 0), (5_700, 0), (43_000, 12_000)] {
        measure(&at, routes, keys);
    }
}
