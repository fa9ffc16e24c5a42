//! Every message between our programs, every call of the replicated state and every note on an instance.

use crate::Encoded;
use rookpulley_chain::{
    Ballot, CatchUpData, ChunkPosition, Contact, Entry, ForwardedRequest, Member, MemberStatus,
    Message, ReadRequest, RequestId, RequestKind, StateDigest, View,
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

fn request(token: u64) -> RequestId {
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
        request: request(seq),
    }
}

fn status() -> MemberStatus {
    MemberStatus {
        member: member(2),
        decided: 7,
        installed: 6,
        active: 5,
        last: 400,
        committed: 399,
        slow: true,
        digest: StateDigest {
            seq: 256,
            digest: u64::MAX,
        },
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
    let mut messages = status_messages();
    messages.extend(paxos_messages());
    messages.extend(catch_up_messages());
    messages.extend(replication_messages());
    messages
}

fn status_messages() -> Vec<(&'static str, Message)> {
    let contact = |id, incarnation| Contact { id, incarnation };
    let (query, number) = (11, 7);
    let heartbeat = Message::Heartbeat {
        status: status(),
        sent: 500,
        echo: Some(450),
        head_time_ms: Some(90_500),
    };
    let reply = Message::StatusReply {
        query,
        status: status(),
        contacts: vec![contact(1, 2), contact(3, 4)],
        abandoned: 5,
        views: vec![view(6)],
    };
    let abandoned = Message::ViewAbandoned {
        query,
        number,
        installed: 6,
    };
    vec![
        ("heartbeat", heartbeat),
        ("status request", Message::StatusRequest { query }),
        ("status reply", reply),
        ("abandon view", Message::AbandonView { query, number }),
        ("view abandoned", abandoned),
        ("view active", Message::ViewActive { number }),
    ]
}

fn paxos_messages() -> Vec<(&'static str, Message)> {
    let (ballot, number) = (Ballot { round: 4, by: 9 }, 7);
    let accepted = Some((ballot, view(7)));
    let promise = Message::Promise {
        number,
        ballot,
        accepted,
    };
    let (base, next) = (view(6), view(7));
    let views = vec![view(6), view(7)];
    vec![
        ("prepare", Message::Prepare { base, ballot }),
        ("promise", promise),
        ("accept", Message::Accept { ballot, view: next }),
        ("accepted", Message::Accepted { number, ballot }),
        ("preempted", Message::Preempted { number, ballot }),
        ("learn", Message::Learn { views }),
    ]
}

fn catch_up_messages() -> Vec<(&'static str, Message)> {
    let query = 11;
    let install = Message::Install {
        view: view(7),
        committed: 399,
        at_ms: 90_400,
        log: vec![entry(400)],
    };
    let request = Message::CatchUpRequest {
        query,
        applied: 120,
        chunk: Some(ChunkPosition { seq: 399, chunk: 2 }),
    };
    let updates = CatchUpData::Updates {
        committed: 399,
        entries: vec![entry(398), entry(399)],
    };
    let chunk = CatchUpData::SnapshotChunk {
        seq: 399,
        at_ms: 90_399,
        chunk: 1,
        chunks: 3,
        checksum: 77,
        bytes: vec![9, 8, 7],
    };
    let reply = |data| Message::CatchUpReply { query, data };
    vec![
        ("install", install),
        ("catch-up request", request),
        ("catch-up reply with updates", reply(updates)),
        ("catch-up reply with a chunk", reply(chunk)),
    ]
}

fn replication_messages() -> Vec<(&'static str, Message)> {
    let forward = ForwardedRequest {
        view: 7,
        echo: 90_400,
        age_ms: 12,
        request: request(1),
        kind: RequestKind::Update,
        body: vec![5, 6],
    };
    let read = ReadRequest {
        body: vec![4],
        request: request(2),
    };
    let append = Message::Append {
        view: 7,
        entries: vec![entry(400)],
        reads: vec![read],
        synced_up_to: 398,
    };
    let response = Message::Response {
        request: request(1),
        view: 7,
        committed: 399,
        body: vec![3],
    };
    let reject = Message::Reject {
        request: request(1),
    };
    vec![
        ("forward", Message::Forward(forward)),
        ("reject", reject),
        ("append", append),
        ("response", response),
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
