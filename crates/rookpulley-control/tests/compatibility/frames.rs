//! Every message between our programs, every call of the replicated state and every note on an instance.

use crate::Encoded;
use rookpulley_chain::{
    Ballot, CatchUpChunk, Entry, Member, MemberStatus, Message, ReadRequest, RequestId,
    RequestKind, View,
};
use rookpulley_control::Word;
use rookpulley_protocol::{Down, Line, Report, ServiceReport, TaskReport, Up};
use rookpulley_registry::{Heartbeat, News, Still};
use rookpulley_state::{Answer, Ask, Update};
use std::net::SocketAddrV4;

fn address(last: u8) -> SocketAddrV4 {
    format!("10.0.0.{last}:7331").parse().unwrap()
}

fn member(id: u64) -> Member {
    Member {
        id,
        incarnation: 1 << 40 | id,
        address: address(id as u8),
    }
}

fn view(number: u64) -> View {
    View {
        number,
        members: vec![member(1), member(2)],
        voters: vec![member(3)],
    }
}

fn asked(token: u64) -> RequestId {
    RequestId {
        controller: 2,
        incarnation: 1 << 40 | 2,
        token,
        attempt: 3,
    }
}

fn entry(seq: u64) -> Entry {
    Entry {
        seq,
        at_ms: 90_000 + seq,
        body: vec![1, 2, 3, 200],
        from: asked(seq),
    }
}

fn standing() -> MemberStatus {
    MemberStatus {
        me: member(2),
        decided: 7,
        installed: 6,
        at_work: 5,
        last: 400,
        committed: 399,
        slow: true,
        swept: (256, u64::MAX),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        incarnation: "i-1".into(),
        service: "lots".into(),
        address: address(9),
        zone: "quay".into(),
        software: "v2".into(),
        slots: 12,
        draining: true,
        cold_ms: 1_500.0,
        sequence: 42,
    }
}

fn chain_messages() -> Vec<(&'static str, Message)> {
    let (ballot, ask, number) = (Ballot { round: 4, by: 9 }, 11, 7);
    let updates = CatchUpChunk::Updates {
        committed: 399,
        entries: vec![entry(398), entry(399)],
    };
    let (seq, at_ms, piece, pieces) = (399, 90_399, 1, 3);
    let piece = CatchUpChunk::Piece {
        seq,
        at_ms,
        piece,
        pieces,
        sum: 77,
        bytes: vec![9, 8, 7],
    };
    let (kind, body) = (RequestKind::Update, vec![5, 6]);
    let question = ReadRequest {
        body: vec![4],
        from: asked(2),
    };
    let (standing, committed) = (standing(), 399);
    vec![
        (
            "ping",
            Message::Heartbeat {
                standing: standing.clone(),
                sent: 500,
                echo: Some(450),
                ledger: Some(90_500),
            },
        ),
        ("opinion", Message::StatusRequest { ask }),
        (
            "seen",
            Message::StatusReply {
                ask,
                standing,
                contacts: vec![(1, 2), (3, 4)],
                never: 5,
                views: vec![view(6)],
            },
        ),
        ("bury", Message::AbandonView { ask, number }),
        (
            "buried",
            Message::ViewAbandoned {
                ask,
                number,
                installed: 6,
            },
        ),
        (
            "prepare",
            Message::Prepare {
                base: view(6),
                ballot,
            },
        ),
        (
            "promise",
            Message::Promise {
                number,
                ballot,
                accepted: Some((ballot, view(7))),
            },
        ),
        (
            "accept",
            Message::Accept {
                ballot,
                view: view(7),
            },
        ),
        ("accepted", Message::Accepted { number, ballot }),
        ("outbid", Message::Preempted { number, ballot }),
        (
            "learn",
            Message::Learn {
                views: vec![view(6), view(7)],
            },
        ),
        (
            "install",
            Message::Install {
                view: view(7),
                committed,
                at_ms: 90_400,
                log: vec![entry(400)],
            },
        ),
        (
            "fetch",
            Message::CatchUpRequest {
                ask,
                held: 120,
                piece: Some((399, 2)),
            },
        ),
        (
            "filled with updates",
            Message::CatchUpReply { ask, fill: updates },
        ),
        (
            "filled with a piece",
            Message::CatchUpReply { ask, fill: piece },
        ),
        ("at work", Message::ViewActive { number }),
        (
            "forward",
            Message::Forward {
                view: 7,
                echo: 90_400,
                age_ms: 12,
                from: asked(1),
                kind,
                body,
            },
        ),
        ("refuse", Message::Reject { from: asked(1) }),
        (
            "pass",
            Message::Append {
                view: 7,
                entries: vec![entry(400)],
                questions: vec![question],
                synced_to: 398,
            },
        ),
        (
            "answer",
            Message::Response {
                from: asked(1),
                view: 7,
                committed,
                body: vec![3],
            },
        ),
        ("commit", Message::Commit { view: 7, seq: 400 }),
    ]
}

fn to_controllers() -> Vec<(&'static str, Up)> {
    let task = TaskReport {
        incarnation: "i-1".into(),
        tries: 90,
        bad: 2,
        mean_ms: 12.5,
    };
    let service = ServiceReport {
        service: "lots".into(),
        came: 100,
        bad: 3,
        tasks: vec![task],
    };
    let (config, tables) = (17, true);
    let (node, zone) = ("edge-7".into(), "quay".into());
    vec![
        (
            "hello",
            Up::Hello {
                node,
                zone,
                home: true,
                config,
                tables,
                gone: vec!["i-2".into()],
            },
        ),
        (
            "home",
            Up::Home {
                home: false,
                config,
                tables,
            },
        ),
        ("want configuration", Up::WantConfig { have: 16 }),
        (
            "report",
            Up::Report(Report {
                span_ms: 1_000,
                services: vec![service],
            }),
        ),
        ("took", Up::Took { mark: 88 }),
        (
            "without a disk",
            Up::StatelessHello {
                address: address(8),
                controllers: vec![address(1), address(2)],
            },
        ),
        ("found", Up::Found { id: 3 }),
    ]
}

fn to_proxies() -> Vec<(&'static str, Down)> {
    let (service, zone, incarnation) = ("lots".to_string(), "quay".to_string(), "i-1".to_string());
    let line = Line {
        incarnation: incarnation.clone(),
        address: address(9),
        zone: zone.clone(),
        weight: 0.25,
        slots: 12,
    };
    let controllers = vec![address(1), address(2)];
    vec![
        (
            "pulse",
            Down::Pulse {
                in_touch: true,
                config: 17,
                proxies: 300,
                controllers,
            },
        ),
        (
            "configuration",
            Down::Config {
                version: 17,
                base: 16,
                length: 4_000,
                packed: vec![40, 181, 47],
            },
        ),
        (
            "table",
            Down::Table {
                service,
                name: u64::MAX - 1,
                mark: 88,
                lines: vec![line],
            },
        ),
        (
            "gone",
            Down::Gone {
                incarnations: vec![incarnation],
            },
        ),
        (
            "place",
            Down::Place {
                zone,
                founds: Some(3),
                view: true,
            },
        ),
    ]
}

fn notes() -> Vec<(&'static str, News)> {
    let still = Still {
        incarnation: "i-1".into(),
        sequence: 43,
        age_ms: 20.0,
    };
    vec![
        (
            "heartbeat",
            News::Heartbeat {
                heartbeat: heartbeat(),
                age_ms: 250.0,
            },
        ),
        (
            "gone",
            News::Gone {
                incarnation: "i-1".into(),
                age_ms: 0.5,
            },
        ),
        (
            "heard",
            News::Heard {
                incarnations: vec![still],
            },
        ),
    ]
}

fn updates() -> Vec<(&'static str, Update)> {
    let (name, holder) = ("hearings.7".to_string(), "counter-2".to_string());
    vec![
        (
            "configuration",
            Update::PutConfiguration {
                version: 17,
                body: b"{}".to_vec(),
            },
        ),
        (
            "take lock",
            Update::TakeLock {
                name: name.clone(),
                holder: holder.clone(),
                hold_ms: 900,
            },
        ),
        (
            "renew lock",
            Update::RenewLock {
                name: name.clone(),
                holder: holder.clone(),
                fence: 5,
                hold_ms: 900,
            },
        ),
        (
            "drop lock",
            Update::DropLock {
                name: name.clone(),
                holder,
                fence: 5,
            },
        ),
        ("next number", Update::NextNumber { name: name.clone() }),
        (
            "put key",
            Update::PutCell {
                name,
                value: "open".into(),
                active: Some(4),
            },
        ),
    ]
}

fn answers() -> Vec<(&'static str, Answer)> {
    vec![
        ("configured", Answer::Configured { version: 17 }),
        ("fence", Answer::Fence(5)),
        ("renewed", Answer::Renewed),
        ("held", Answer::Held),
        ("dropped", Answer::Dropped),
        ("number", Answer::Number(6)),
        ("revision", Answer::Revision(7)),
        ("conflict", Answer::Conflict { revision: 8 }),
        (
            "key",
            Answer::Cell {
                value: "open".into(),
                revision: 9,
            },
        ),
        ("nothing", Answer::Nothing),
        (
            "configuration",
            Answer::Configuration {
                version: 17,
                body: b"{}".to_vec(),
            },
        ),
        ("full", Answer::Full),
        ("too long", Answer::TooLong),
        ("unreadable", Answer::Unreadable),
    ]
}

#[test]
fn messages_between_controllers_keep_their_bytes() {
    let mut encoded = Encoded::default();
    for (name, message) in chain_messages() {
        encoded.add(name, &Word::Chain(message));
    }
    encoded.add(
        "hello",
        &Word::Hello {
            from: member(1),
            controllers: vec![address(2)],
        },
    );
    for (name, note) in notes() {
        encoded.add(
            &format!("news: {name}"),
            &Word::News {
                ask: 12,
                news: vec![note],
            },
        );
    }
    encoded.add("took", &Word::Took { ask: 12 });
    encoded.matches("between-controllers.txt");
}

#[test]
fn messages_between_proxies_and_controllers_keep_their_bytes() {
    let mut encoded = Encoded::default();
    for (name, message) in to_controllers() {
        encoded.add(&format!("to a controller: {name}"), &message);
    }
    for (name, message) in to_proxies() {
        encoded.add(&format!("to a proxy: {name}"), &message);
    }
    encoded.add_bytes("frame", rookpulley_protocol::frame(&Up::Took { mark: 88 }));
    encoded.matches("proxies-and-controllers.txt");
}

#[test]
fn notes_on_instances_keep_their_bytes() {
    let mut encoded = Encoded::default();
    for (name, note) in notes() {
        encoded.add(name, &note);
    }
    encoded.matches("notes.txt");
}

#[test]
fn calls_of_the_replicated_state_keep_their_bytes() {
    let mut encoded = Encoded::default();
    for (name, update) in updates() {
        encoded.add(&format!("update: {name}"), &update);
    }
    let (name, group) = ("hearings.7".into(), "hearings.".into());
    for (name, ask) in [
        ("configuration", Ask::Configuration),
        ("key", Ask::Cell { name }),
        ("revision", Ask::Revision { group }),
    ] {
        encoded.add(&format!("read: {name}"), &ask);
    }
    for (name, answer) in answers() {
        encoded.add(&format!("answer: {name}"), &answer);
    }
    encoded.matches("calls.txt");
}
