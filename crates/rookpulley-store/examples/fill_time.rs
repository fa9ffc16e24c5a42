//! How long an empty controller takes to be filled, and how long updates pause meanwhile: `cargo run --release -p
//! rookpulley-store --example fill_time [FOLDER]`. Three controllers, a thread and a store each, lines over loopback;
//! an update every 5 ms as long as the one before is answered.

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
    Met(Member),
    Heard(u64, Message),
    StoreEvent(StoreEvent),
    /// Asked of this controller; who asked hears what became of it.
    Call(Vec<u8>, Sender<Outcome>),
    End,
}

/// What a controller tells of itself.
enum Told {
    /// It is part of a chain at work.
    Serving(u64),
    Filled,
}

struct Controller {
    me: Member,
    events: Sender<Event>,
}

const TICK: Duration = Duration::from_millis(50);

/// Whoever speaks says its identity first.
fn reads(mut stream: TcpStream, events: Sender<Event>) {
    let (mut id, mut frames, mut buffer) = ([0; 8], FrameDecoder::default(), vec![0; 64 << 10]);
    if stream.read_exact(&mut id).is_err() {
        return;
    }
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        frames.push(&buffer[..read]);
        while let Some(message) = frames.decode_next::<Message>().unwrap() {
            if events
                .send(Event::Heard(u64::from_le_bytes(id), message))
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
    began: Instant,
    told: Sender<Told>,
) -> Controller {
    std::fs::create_dir_all(&folder).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddrV4 = listener.local_addr().unwrap().to_string().parse().unwrap();
    let (events, queue) = channel();
    let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(&folder, number, (number == 1).then_some(&[]), said).unwrap();
    let me = Member {
        id: store.identity,
        incarnation: 77,
        address,
    };
    let boot = StartState {
        me,
        founder: store.bootstrap.is_some(),
        tolerated_losses: 1,
        seed: number,
        persisted: None,
    };
    let now = began.elapsed().as_millis() as u64;
    let chain = Chain::start(now, boot, ReplicatedState::default());
    let to = events.clone();
    std::thread::spawn(move || {
        while let Some(said) = heard.blocking_recv() {
            if to.send(Event::StoreEvent(said)).is_err() {
                return;
            }
        }
    });
    let to = events.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let to = to.clone();
            std::thread::spawn(move || reads(stream, to));
        }
    });
    std::thread::spawn(move || runs(chain, &store, &queue, began, (number, &told)));
    for other in others {
        other.events.send(Event::Met(me)).unwrap();
        events.send(Event::Met(other.me)).unwrap();
    }
    Controller { me, events }
}

fn runs(
    mut chain: Chain<ReplicatedState>,
    store: &Store,
    queue: &Receiver<Event>,
    began: Instant,
    (number, told): (u64, &Sender<Told>),
) {
    let (mut lines, mut asked) = (
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
            Ok(Event::Met(member)) => {
                let mut line = TcpStream::connect(member.address).unwrap();
                line.set_nodelay(true).unwrap();
                line.write_all(&chain.me().id.to_le_bytes()).unwrap();
                lines.insert(member.id, line);
                Input::PeerDiscovered { member }
            }
            Ok(Event::Heard(from, message)) => Input::Received { from, message },
            Ok(Event::StoreEvent(StoreEvent::Synced {
                chain: Some(ticket),
                ..
            })) => Input::Synced { ticket },
            Ok(Event::StoreEvent(said)) => panic!("{said:?}"),
            Ok(Event::Call(body, answer)) => {
                token += 1;
                asked.insert(token, answer);
                Input::ClientRequest {
                    token,
                    kind: RequestKind::Update,
                    body,
                }
            }
            Ok(Event::End) | Err(RecvTimeoutError::Disconnected) => return,
        };
        let now = began.elapsed().as_millis() as u64;
        for effect in chain.handle(now, input) {
            match effect {
                Effect::Send { to, message } => {
                    lines
                        .get_mut(&to)
                        .into_iter()
                        .for_each(|l| l.write_all(&encode_frame(&message)).unwrap());
                }
                Effect::Write { ticket, records } => {
                    assert!(store.write(StoreTree::Chain, ticket, records))
                }
                Effect::Reply { token, outcome } => {
                    _ = asked.remove(&token).map(|a| a.send(outcome))
                }
                Effect::Log(line) if line.contains("filled") => _ = told.send(Told::Filled),
                _ => {}
            }
        }
        if !std::mem::replace(&mut serving, chain.serving(now)) && serving {
            _ = told.send(Told::Serving(number));
        }
    }
}

/// These updates, many at once; what isn't taken is asked again.
fn asks(controller: &Controller, updates: impl Iterator<Item = Update>) {
    let ask = |update: &Update| {
        let (answer, answered) = channel();
        controller
            .events
            .send(Event::Call(update.encode(), answer))
            .unwrap();
        answered
    };
    let mut waiting = VecDeque::new();
    let settle = |(update, answered): (Update, Receiver<Outcome>)| {
        let mut answered = answered;
        while !matches!(answered.recv(), Ok(Outcome::Completed(_))) {
            answered = ask(&update);
        }
    };
    for update in updates {
        let answered = ask(&update);
        waiting.push_back((update, answered));
        if waiting.len() > 64 {
            waiting.pop_front().into_iter().for_each(settle);
        }
    }
    waiting.into_iter().for_each(settle);
}

fn number() -> Update {
    Update::NextNumber {
        name: "mine".into(),
    }
}

/// Updates one by one until it is told to end: the longest time without an answer, in milliseconds.
fn longest_pause(controller: &Controller, mut ends: impl FnMut() -> bool) -> f64 {
    let (mut longest, mut last) = (0.0_f64, Instant::now());
    while !ends() {
        let (answer, answered) = channel();
        controller
            .events
            .send(Event::Call(number().encode(), answer))
            .unwrap();
        if matches!(answered.recv(), Ok(Outcome::Completed(_))) {
            longest = longest.max(last.elapsed().as_secs_f64() * 1e3);
            last = Instant::now();
        }
        std::thread::park_timeout(Duration::from_millis(5));
    }
    longest.max(last.elapsed().as_secs_f64() * 1e3)
}

fn fills(at: &std::path::Path, routes: u64, cells: u64) {
    let folder = tempfile::tempdir_in(at).unwrap();
    let began = Instant::now();
    let (told, heard) = channel();
    let mut controllers: Vec<Controller> = Vec::new();
    for n in 1..3 {
        controllers.push(start(
            folder.path().join(n.to_string()),
            n,
            &controllers,
            began,
            told.clone(),
        ));
    }
    while !matches!(heard.recv(), Ok(Told::Serving(2))) {}
    let body = configuration(routes, 1);
    let length = body.len() + 200 * cells as usize;
    asks(
        &controllers[0],
        (0..cells).map(|n| Update::PutKey {
            name: format!("group{}.cell{n}", n % 100),
            value: "v".repeat(60),
            expected: None,
        }),
    );
    asks(
        &controllers[0],
        std::iter::once(Update::PutConfiguration { version: 1, body }),
    );
    // More than is kept at hand.
    asks(&controllers[0], (0..4_200).map(|_| number()));
    let mut calm = Instant::now();
    let before = longest_pause(&controllers[0], || calm.elapsed().as_millis() > 2_000);
    calm = Instant::now();
    controllers.push(start(folder.path().join("3"), 3, &controllers, began, told));
    let (mut filled, mut serving) = (0.0, 0.0);
    let meanwhile = longest_pause(&controllers[0], || {
        match heard.try_recv() {
            Ok(Told::Filled) => filled = calm.elapsed().as_secs_f64() * 1e3,
            Ok(Told::Serving(3)) => serving = calm.elapsed().as_secs_f64() * 1e3,
            _ => {}
        }
        serving > 0.0
    });
    println!(
        "some {} KB: filled after {filled:.0} ms, in the chain after {serving:.0} ms; longest pause of updates \
         {meanwhile:.0} ms, of 2 s before {before:.0} ms",
        length / 1000
    );
    controllers
        .iter()
        .for_each(|o| _ = o.events.send(Event::End));
}

fn main() {
    let at = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, Into::into);
    for (routes, cells) in [(550, 0), (5_700, 0), (43_000, 12_000)] {
        fills(&at, routes, cells);
    }
}
