//! Compatibility of messages, replicated state requests and instance updates.

use crate::Encoded;
use rookpulley_chain::{
    Ballot, CatchUpData, ChunkPosition, Contact, Entry, ForwardedRequest, Member, MemberStatus,
    Message, ReadRequest, RequestId, RequestKind, StateDigest, View,
};
use rookpulley_control::PeerMessage;
use rookpulley_protocol::{
    ControllerToProxy, InstanceLoad, LoadReport, ProxyHello, ProxyToController, ServiceLoad,
    TableEntry, Verification, VerificationRequest,
};
use rookpulley_registry::{Heartbeat, InstanceUpdate, Refresh};
use rookpulley_state::{Answer, Query, Update};
use rookpulley_usage::{ProxyUsage, TenantUsage, Window, WindowUsage};
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
        software_version: "v2".into(),
        slots: 12,
        draining: true,
        warm_up_ms: 1_500.0,
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
    let (ballot, number) = (
        Ballot {
            round: 4,
            proposer: 9,
        },
        7,
    );
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

fn to_controllers() -> Vec<(&'static str, ProxyToController)> {
    let instance = InstanceLoad {
        incarnation: "i-1".into(),
        attempts: 90,
        failed: 2,
        mean_ms: 12.5,
    };
    let service = ServiceLoad {
        service: "lots".into(),
        received: 100,
        failed: 3,
        instances: vec![instance],
    };
    let (config, tables) = (17, true);
    let (node, zone) = ("edge-7".into(), "quay".into());
    vec![
        (
            "hello",
            ProxyToController::Hello(ProxyHello {
                node,
                zone,
                is_primary: true,
                configuration: config,
                has_tables: tables,
                gone: vec!["i-2".into()],
            }),
        ),
        (
            "home",
            ProxyToController::PrimaryChanged {
                is_primary: false,
                configuration: config,
                has_tables: tables,
            },
        ),
        (
            "want configuration",
            ProxyToController::RequestConfiguration { held: 16 },
        ),
        (
            "report",
            ProxyToController::Report(LoadReport {
                span_ms: 1_000,
                services: vec![service],
            }),
        ),
        ("took", ProxyToController::TablesApplied { up_to: 88 }),
        (
            "without a disk",
            ProxyToController::StatelessHello {
                address: address(8),
                controllers: vec![address(1), address(2)],
            },
        ),
        ("found", ProxyToController::AppointFounder { id: 3 }),
    ]
}

fn to_proxies() -> Vec<(&'static str, ControllerToProxy)> {
    let (service, zone, incarnation) = ("lots".to_string(), "quay".to_string(), "i-1".to_string());
    let table_entry = TableEntry {
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
            ControllerToProxy::Status {
                in_touch: true,
                configuration: 17,
                proxies: 300,
                controllers,
            },
        ),
        (
            "configuration",
            ControllerToProxy::Configuration {
                version: 17,
                base: 16,
                length: 4_000,
                packed: vec![40, 181, 47],
            },
        ),
        (
            "table",
            ControllerToProxy::Table {
                service,
                revision: u64::MAX - 1,
                sequence: 88,
                entries: vec![table_entry],
            },
        ),
        (
            "gone",
            ControllerToProxy::InstancesGone {
                incarnations: vec![incarnation],
            },
        ),
        (
            "place",
            ControllerToProxy::ControllerInfo {
                zone,
                founder: Some(3),
                knows_view: true,
            },
        ),
    ]
}

fn instance_updates() -> Vec<(&'static str, InstanceUpdate)> {
    let refresh = Refresh {
        incarnation: "i-1".into(),
        sequence: 43,
        age_ms: 20.0,
    };
    vec![
        (
            "heartbeat",
            InstanceUpdate::Heartbeat {
                heartbeat: heartbeat(),
                age_ms: 250.0,
            },
        ),
        (
            "gone",
            InstanceUpdate::Gone {
                incarnation: "i-1".into(),
                age_ms: 0.5,
            },
        ),
        (
            "heard",
            InstanceUpdate::Refreshed {
                incarnations: vec![refresh],
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
            Update::AcquireLock {
                name: name.clone(),
                holder: holder.clone(),
                lease_ms: 900,
            },
        ),
        (
            "renew lock",
            Update::RenewLock {
                name: name.clone(),
                holder: holder.clone(),
                fence: 5,
                lease_ms: 900,
            },
        ),
        (
            "drop lock",
            Update::ReleaseLock {
                name: name.clone(),
                holder,
                fence: 5,
            },
        ),
        ("next number", Update::NextNumber { name: name.clone() }),
        (
            "put key",
            Update::PutKey {
                name,
                value: "open".into(),
                expected: Some(4),
            },
        ),
    ]
}

fn answers() -> Vec<(&'static str, Answer)> {
    vec![
        ("configured", Answer::Configured { version: 17 }),
        ("fence", Answer::Acquired(5)),
        ("renewed", Answer::Renewed),
        ("held", Answer::LockHeld),
        ("dropped", Answer::Released),
        ("number", Answer::Number(6)),
        ("revision", Answer::Revision(7)),
        ("conflict", Answer::Conflict { revision: 8 }),
        (
            "key",
            Answer::Value {
                value: "open".into(),
                revision: 9,
            },
        ),
        ("nothing", Answer::NotFound),
        (
            "configuration",
            Answer::Configuration {
                version: 17,
                body: b"{}".to_vec(),
            },
        ),
        ("full", Answer::CapacityExceeded),
        ("too long", Answer::TooLong),
        ("unreadable", Answer::Malformed),
        ("release may be stale", Answer::ReleaseMayBeStale),
    ]
}

#[test]
fn messages_between_controllers_keep_their_bytes() {
    let mut encoded = Encoded::default();
    for (name, message) in chain_messages() {
        encoded.add(name, &PeerMessage::Chain(message));
    }
    encoded.add(
        "hello",
        &PeerMessage::Hello {
            from: member(1),
            controllers: vec![address(2)],
        },
    );
    for (name, update) in instance_updates() {
        encoded.add(
            &format!("news: {name}"),
            &PeerMessage::InstanceUpdates {
                query: 12,
                updates: vec![update],
            },
        );
    }
    encoded.add("took", &PeerMessage::UpdatesStored { query: 12 });
    encoded.assert_matches("between-controllers.txt");
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
    encoded.add_bytes(
        "frame",
        rookpulley_protocol::encode_frame(&ProxyToController::TablesApplied { up_to: 88 }),
    );
    encoded.assert_matches("proxies-and-controllers.txt");
}

#[test]
fn verification_messages_keep_their_bytes() {
    let (sent_ms, unix_ms) = (4_250.5, 1_764_771_600_000.25);
    let question = ProxyToController::RequestVerification(VerificationRequest { sent_ms, unix_ms });
    let answer = ControllerToProxy::ConfigurationVerified(Verification {
        sent_ms,
        version: 17,
        unix_ms,
    });
    let mut encoded = Encoded::default();
    encoded.add("to a controller: question", &question);
    encoded.add("to a proxy: answer", &answer);
    encoded.add("read: version", &Query::ConfigurationVersion);
    encoded.assert_matches("verification.txt");
}

fn counts() -> ProxyUsage {
    let tenants = vec![TenantUsage {
        tenant: "kaje80".into(),
        requests: 412,
    }];
    let window = Window(353_445_120);
    ProxyUsage {
        incarnation: 77,
        windows: vec![WindowUsage { window, tenants }],
    }
}

#[test]
fn usage_and_duties_keep_their_bytes() {
    let window = Window(353_445_120);
    let (duty, holder) = ("usage_reporting".to_owned(), "edge-1".to_owned());
    let proxies = vec![counts()];
    let acquire = Update::AcquireDuty {
        duty: duty.clone(),
        holder: holder.clone(),
        lease_ms: 3_000,
        above: 11,
    };
    let release = Update::ReleaseDuty {
        duty,
        holder,
        fence: 12,
    };
    let mut encoded = Encoded::default();
    let usage = ProxyToController::Usage(counts());
    encoded.add("to a controller: usage", &usage);
    encoded.add("update: record", &Update::RecordUsage { proxies });
    encoded.add("update: close", &Update::CloseUsage { window });
    encoded.add("update: reported", &Update::UsageReported { window });
    encoded.add("update: acquire", &acquire);
    encoded.add("update: release", &release);
    encoded.add("answer: done", &Answer::Done);
    encoded.assert_matches("usage.txt");
}

#[test]
fn instance_updates_keep_their_bytes() {
    let mut encoded = Encoded::default();
    for (name, update) in instance_updates() {
        encoded.add(name, &update);
    }
    encoded.assert_matches("notes.txt");
}

#[test]
fn replicated_state_requests_keep_their_bytes() {
    let mut encoded = Encoded::default();
    for (name, update) in updates() {
        encoded.add(&format!("update: {name}"), &update);
    }
    let (name, group) = ("hearings.7".into(), "hearings.".into());
    for (name, query) in [
        ("configuration", Query::Configuration),
        ("key", Query::Key { name }),
        ("revision", Query::Revision { group }),
    ] {
        encoded.add(&format!("read: {name}"), &query);
    }
    for (name, answer) in answers() {
        encoded.add(&format!("answer: {name}"), &answer);
    }
    encoded.assert_matches("calls.txt");
}
