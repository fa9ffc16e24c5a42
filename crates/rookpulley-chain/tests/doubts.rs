//! Scenarios on one controller with hand-written messages, checking what it sends and what its disk holds at that time.

mod world;

use rookpulley_chain::{
    Ballot, CatchUpData, Chain, Contact, Effect, Entry, Input, Member, MemberStatus, Message,
    Outcome, PersistedState, Record, RequestId, RequestKind, StartState, State, View,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use twox_hash::XxHash64;
use world::history::{Call, check};
use world::names::{Names, Operation, Reply, body};

type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

fn member(id: u64, incarnation: u64) -> Member {
    Member {
        id,
        incarnation,
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, id as u8), 7),
    }
}

fn view(number: u64, ids: &[(u64, u64)]) -> View {
    View {
        number,
        members: ids
            .iter()
            .map(|(id, incarnation)| member(*id, *incarnation))
            .collect(),
        voters: Vec::new(),
    }
}

fn apply_record(rows: &mut Rows, record: &Record) {
    match record {
        Record::Put { key, value } => _ = rows.insert(key.clone(), value.clone()),
        Record::Delete { key } => _ = rows.remove(key),
    }
}

/// A controller whose writes stay pending until `sync`.
struct Controller {
    chain: Chain<Names>,
    now: u64,
    rows: Rows,
    writes: Vec<(u64, Vec<Record>)>,
    sent_messages: Vec<(u64, Message)>,
    outcomes: Vec<Outcome>,
}

impl Controller {
    fn start(id: u64, incarnation: u64, rows: Rows) -> Self {
        let kept = (!rows.is_empty()).then(|| PersistedState::read(rows.clone()));
        let boot = StartState {
            me: member(id, incarnation),
            founder: false,
            tolerated_losses: 1,
            seed: incarnation,
            persisted: kept,
        };
        let chain = Chain::start(0, boot, Names::default());
        let (writes, sent_messages, outcomes) = (Vec::new(), Vec::new(), Vec::new());
        Self {
            chain,
            now: 0,
            rows,
            writes,
            sent_messages,
            outcomes,
        }
    }

    fn handle(&mut self, input: Input) {
        for effect in self.chain.handle(self.now, input) {
            match effect {
                Effect::Write { ticket, records } => self.writes.push((ticket, records)),
                Effect::Send { to, message } => self.sent_messages.push((to, message)),
                Effect::Reply { outcome, .. } => self.outcomes.push(outcome),
                _ => {}
            }
        }
    }

    fn receive(&mut self, from: u64, message: Message) {
        self.handle(Input::Received { from, message });
    }

    /// Applies all pending writes in order and reports them as synced.
    fn sync(&mut self) {
        while !self.writes.is_empty() {
            let (ticket, records) = self.writes.remove(0);
            records.iter().for_each(|r| apply_record(&mut self.rows, r));
            self.handle(Input::Synced { ticket });
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 50;
            self.handle(Input::Tick);
            self.sync();
        }
    }

    /// Runs while answering heartbeats and status requests as idle peers would.
    fn run_with_peers(&mut self, peers: &[Member], ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.run(50);
            for (to, message) in std::mem::take(&mut self.sent_messages) {
                let Some(other) = peers.iter().find(|m| m.id == to) else {
                    continue;
                };
                let for_peer = |mut status: MemberStatus| {
                    (status.member, status.installed, status.active) = (*other, 1, 0);
                    status
                };
                match message {
                    Message::Heartbeat { status, sent, .. } => {
                        let (echo, head_time_ms) = (Some(sent), None);
                        self.receive(
                            to,
                            Message::Heartbeat {
                                status: for_peer(status),
                                sent: 1,
                                echo,
                                head_time_ms,
                            },
                        );
                    }
                    Message::StatusRequest { query } => {
                        let me = self.chain.me();
                        let contacts = peers
                            .iter()
                            .chain([&me])
                            .map(|m| Contact::from(*m))
                            .collect();
                        let status = for_peer(MemberStatus {
                            decided: 1,
                            installed: 1,
                            ..MemberStatus::unknown(me)
                        });
                        self.receive(
                            to,
                            Message::StatusReply {
                                query,
                                status,
                                contacts,
                                abandoned: 0,
                                views: Vec::new(),
                            },
                        );
                    }
                    other => self.sent_messages.push((to, other)),
                }
            }
        }
    }
}

/// The disk of a controller that installed view 1 with these members in its incarnation 1.
fn disk_with_first_view(id: u64, ids: &[(u64, u64)]) -> Rows {
    let mut controller = Controller::start(id, 1, Rows::new());
    let first = ids[0].0;
    let source = first == id;
    controller.receive(
        first,
        Message::Learn {
            views: vec![view(1, ids)],
        },
    );
    if !source {
        let before = ids[ids.iter().position(|m| m.0 == id).unwrap() - 1].0;
        let (view, log) = (view(1, ids), Vec::new());
        controller.receive(
            before,
            Message::Install {
                view,
                committed: 0,
                at_ms: 0,
                log,
            },
        );
    }
    controller.sync();
    controller.rows
}

#[test]
fn a_restarted_proposer_never_reuses_a_ballot() {
    let ids = [(1, 1), (2, 1), (3, 1)];
    let rows = disk_with_first_view(1, &ids);
    let mut ballots = Vec::new();
    for incarnation in [7, 8] {
        let mut controller = Controller::start(1, incarnation, rows.clone());
        let peers = [member(2, 1), member(3, 1)];
        peers
            .iter()
            .for_each(|m| controller.handle(Input::PeerDiscovered { member: *m }));
        controller.run_with_peers(&peers, 900);
        let prepared = controller.sent_messages.iter().find_map(|(_, m)| match m {
            Message::Prepare { ballot, .. } => Some(*ballot),
            _ => None,
        });
        ballots.push(prepared.expect("it proposes"));
    }
    assert_ne!(ballots[0], ballots[1]);
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 9 }
}

#[test]
fn a_vote_is_never_stored_without_the_preceding_view() {
    let ids = [(1, 1), (2, 1), (3, 1)];
    let mut controller = Controller::start(2, 1, disk_with_first_view(2, &ids));
    controller.sync();
    // It votes for view 2, learns that view 2 is decided, and votes for view 3.
    controller.receive(
        1,
        Message::Prepare {
            base: view(1, &ids),
            ballot: ballot(1),
        },
    );
    controller.receive(
        1,
        Message::Accept {
            ballot: ballot(1),
            view: view(2, &ids),
        },
    );
    controller.sync();
    controller.receive(
        1,
        Message::Prepare {
            base: view(2, &ids),
            ballot: ballot(1),
        },
    );
    // After a power loss only the write with the vote remains.
    let (_, votes) = controller
        .writes
        .iter()
        .find(|(_, w)| w.iter().any(is_vote_record))
        .cloned()
        .expect("votes");
    votes
        .iter()
        .for_each(|r| apply_record(&mut controller.rows, r));
    let mut restarted = Controller::start(2, 2, controller.rows.clone());
    restarted.receive(
        3,
        Message::Prepare {
            base: view(1, &ids),
            ballot: ballot(5),
        },
    );
    restarted.sync();
    let promises = restarted
        .sent_messages
        .iter()
        .any(|(_, m)| matches!(m, Message::Promise { .. }));
    assert!(!promises, "it forgot its vote for view 2 and votes again");
    assert!(
        restarted
            .sent_messages
            .iter()
            .any(|(_, m)| matches!(m, Message::Learn { .. }))
    );
}

fn is_vote_record(record: &Record) -> bool {
    matches!(record, Record::Put { key, .. } if key == b"p")
}

#[test]
fn a_wiped_acceptor_does_not_vote_on_views_before_its_own() {
    let ids = [(1, 1), (2, 1), (3, 1)];
    // The machine of member 2 lost its disk and is now member 22, which joins in view 3.
    let mut controller = Controller::start(22, 5, Rows::new());
    controller.receive(
        1,
        Message::Prepare {
            base: view(1, &ids),
            ballot: ballot(4),
        },
    );
    controller.receive(
        1,
        Message::Accept {
            ballot: ballot(4),
            view: view(2, &ids),
        },
    );
    controller.sync();
    controller.receive(
        1,
        Message::Learn {
            views: vec![view(3, &[(1, 1), (3, 1), (22, 5)])],
        },
    );
    controller.receive(
        3,
        Message::Prepare {
            base: view(1, &ids),
            ballot: ballot(6),
        },
    );
    controller.receive(
        3,
        Message::Accept {
            ballot: ballot(6),
            view: view(2, &ids),
        },
    );
    controller.sync();
    let votes = |m: &Message| matches!(m, Message::Promise { .. } | Message::Accepted { .. });
    assert!(controller.sent_messages.iter().all(|(_, m)| !votes(m)));
    // It does vote for the successor of the view that includes it.
    let base = view(3, &[(1, 1), (3, 1), (22, 5)]);
    controller.receive(
        1,
        Message::Prepare {
            base,
            ballot: ballot(1),
        },
    );
    controller.sync();
    assert!(controller.sent_messages.iter().any(|(_, m)| votes(m)));
}

#[test]
fn a_view_being_written_is_not_abandoned() {
    let ids = [(1, 1), (2, 1), (3, 1)];
    let mut controller = Controller::start(2, 1, Rows::new());
    controller.sync();
    let (view, log) = (view(1, &ids), Vec::new());
    controller.receive(
        1,
        Message::Install {
            view,
            committed: 0,
            at_ms: 0,
            log,
        },
    );
    controller.receive(
        3,
        Message::AbandonView {
            query: 1,
            number: 1,
        },
    );
    controller.receive(3, Message::StatusRequest { query: 2 });
    let abandoned = controller.sent_messages.iter().find_map(|(_, m)| match m {
        Message::StatusReply { abandoned, .. } => Some(*abandoned),
        _ => None,
    });
    assert_eq!(abandoned, Some(0));
    controller.sync();
    let abandon_reply = controller.sent_messages.iter().find_map(|(_, m)| match m {
        Message::ViewAbandoned { installed, .. } => Some(*installed),
        _ => None,
    });
    assert_eq!(
        abandon_reply,
        Some(1),
        "the requester must learn that the view is installed"
    );
}

#[test]
fn uncommitted_updates_of_a_source_are_not_applied_before_the_view_is_active() {
    let two = [(1, 1), (2, 1)];
    // In active view 1, an update is accepted and forwarded but never acknowledged.
    let mut controller = Controller::start(1, 1, Rows::new());
    controller.receive(
        1,
        Message::Learn {
            views: vec![view(1, &two)],
        },
    );
    controller.sync();
    controller.receive(2, Message::ViewActive { number: 1 });
    controller.run(200);
    let call = Input::ClientRequest {
        token: 1,
        kind: RequestKind::Update,
        body: body(1, Operation::Put { value: 5 }),
    };
    controller.handle(call);
    controller.sync();
    assert!(controller.chain.state().applied.is_empty());
    controller.receive(
        2,
        Message::Learn {
            views: vec![view(2, &[(1, 1), (3, 1)])],
        },
    );
    controller.sync();
    assert!(
        controller.chain.state().applied.is_empty(),
        "view 2 may be abandoned together with this update"
    );
    let installs = controller
        .sent_messages
        .iter()
        .rev()
        .find_map(|(_, m)| match m {
            Message::Install { log, .. } => Some(log.len()),
            _ => None,
        });
    assert_eq!(installs, Some(1), "the update is part of the install");
}

#[test]
fn a_request_queued_while_the_controller_was_stalled_is_rejected() {
    let mut controller = Controller::start(1, 1, Rows::new());
    controller.run(500);
    controller.now += 2_000;
    let call = |token| Input::ClientRequest {
        token,
        kind: RequestKind::Update,
        body: body(1, Operation::Put { value: 5 }),
    };
    controller.handle(call(1));
    controller.handle(Input::Tick);
    controller.now += 20;
    controller.handle(call(2));
    assert_eq!(controller.outcomes, [Outcome::Rejected, Outcome::Rejected]);
}

#[test]
fn a_store_with_missing_or_truncated_rows_is_not_sound() {
    let rows = disk_with_first_view(2, &[(1, 1), (2, 1)]);
    assert!(PersistedState::read(rows.clone()).is_sound());
    assert!(PersistedState::read(Rows::new()).is_sound());
    let mut torn = rows.clone();
    torn.remove(&b"S"[..]);
    assert!(!PersistedState::read(torn).is_sound());
    for key in rows.keys() {
        let mut torn = rows.clone();
        let row = torn.get_mut(key).unwrap();
        if row.len() > 1 {
            row.truncate(row.len() / 2);
            assert!(
                !PersistedState::read(torn).is_sound(),
                "a truncated row {key:?} is accepted"
            );
        }
    }
}

#[test]
fn the_history_checker_detects_violations() {
    let reply = |succeeded, revision, value| Reply {
        succeeded,
        revision,
        value,
        stamp: 0,
    };
    let call = |operation, called_at, answered, reply| Call {
        name: 0,
        operation,
        called_at,
        answered: Some((answered, reply)),
        refused: false,
    };
    let put = |value, called_at, answered, revision| {
        call(
            Operation::Put { value },
            called_at,
            answered,
            reply(true, revision, value),
        )
    };
    let read = |called_at, answered, revision, value| {
        call(
            Operation::Read,
            called_at,
            answered,
            reply(true, revision, value),
        )
    };
    let lost = |value, called_at| Call {
        answered: None,
        ..put(value, called_at, 0, 0)
    };
    assert!(check(&[put(7, 1, 4, 1), put(8, 2, 3, 2), read(5, 6, 2, 8)]).is_ok());
    assert!(
        check(&[put(7, 1, 2, 1), read(3, 4, 0, 0)]).is_err(),
        "a stale read"
    );
    assert!(
        check(&[put(7, 1, 2, 2), put(8, 3, 4, 1)]).is_err(),
        "an order that contradicts real time"
    );
    assert!(
        check(&[put(7, 1, 2, 1), put(8, 3, 4, 1)]).is_err(),
        "a revision assigned twice"
    );
    assert!(
        check(&[put(7, 1, 2, 1), read(3, 4, 1, 9)]).is_err(),
        "a value that was never written"
    );
    assert!(
        check(&[put(7, 1, 2, 2)]).is_err(),
        "a revision that matches no call"
    );
    assert!(
        check(&[lost(6, 1), put(7, 2, 3, 2), read(4, 5, 2, 7)]).is_ok(),
        "an unanswered call has the missing revision"
    );
    assert!(
        check(&[put(7, 1, 2, 2), lost(6, 3)]).is_err(),
        "the unanswered call was made too late"
    );
    let swap = |expected, called_at, answered, succeeded, revision| {
        call(
            Operation::Swap {
                expected,
                value: called_at,
            },
            called_at,
            answered,
            reply(succeeded, revision, 0),
        )
    };
    assert!(
        check(&[
            put(70, 1, 2, 1),
            swap(1, 3, 4, true, 2),
            swap(1, 5, 6, false, 2)
        ])
        .is_ok()
    );
    assert!(
        check(&[put(70, 1, 2, 1), swap(0, 3, 4, true, 2)]).is_err(),
        "a swap with an outdated expected revision"
    );
}

fn entry(seq: u64, value: u64) -> Entry {
    let request = RequestId {
        controller: 1,
        incarnation: 1,
        token: value,
        attempt: 1,
    };
    Entry {
        seq,
        at_ms: 10 * seq,
        body: body(0, Operation::Put { value }),
        request,
    }
}

/// Checks that after losing any subset of the pending writes the store is consistent and its applied updates are a
/// prefix of `agreed`.
fn check_any_lost_writes(controller: &Controller, agreed: &[u64]) {
    for kept in 0..1 << controller.writes.len() {
        let mut rows = controller.rows.clone();
        let surviving = controller
            .writes
            .iter()
            .enumerate()
            .filter(|(n, _)| kept >> n & 1 == 1);
        surviving
            .for_each(|(_, (_, records))| records.iter().for_each(|r| apply_record(&mut rows, r)));
        assert!(
            PersistedState::read(rows.clone()).is_sound(),
            "writes {kept:b}"
        );
        let restarted = Controller::start(2, 9, rows);
        let applied: Vec<u64> = restarted
            .chain
            .state()
            .applied
            .iter()
            .map(|g| g.value)
            .collect();
        assert!(
            agreed.starts_with(&applied),
            "with writes {kept:b}, {applied:?} is applied"
        );
    }
}

#[test]
fn a_view_is_never_stored_without_its_initial_state() {
    let ids = [(1, 1), (2, 1), (3, 1)];
    let install = |view: View, committed: u64, log: Vec<Entry>| Message::Install {
        view,
        committed,
        at_ms: 50,
        log,
    };
    // Install messages with the complete log, and with a part of it.
    let mut controller = Controller::start(2, 1, Rows::new());
    controller.sync();
    controller.receive(
        1,
        install(view(1, &ids), 2, (1..=3).map(|n| entry(n, n)).collect()),
    );
    check_any_lost_writes(&controller, &[1, 2]);
    let mut controller = Controller::start(2, 1, Rows::new());
    controller.sync();
    controller.receive(
        1,
        install(view(1, &ids), 4, (1..=2).map(|n| entry(n, n)).collect()),
    );
    check_any_lost_writes(&controller, &[1, 2]);
    controller.sync();
    let query = controller
        .sent_messages
        .iter()
        .rev()
        .find_map(|(_, m)| match m {
            Message::CatchUpRequest {
                query, applied: 2, ..
            } => Some(*query),
            _ => None,
        });
    let data = CatchUpData::Updates {
        committed: 4,
        entries: (3..=4).map(|n| entry(n, n)).collect(),
    };
    controller.receive(
        1,
        Message::CatchUpReply {
            query: query.expect("it requests the remaining updates"),
            data,
        },
    );
    check_any_lost_writes(&controller, &[1, 2, 3, 4]);
    controller.sync();
    assert_eq!(controller.chain.status(controller.now).installed, 1);
    // Entries of an abandoned view occupy the sequence numbers of committed ones.
    let mut controller = Controller::start(2, 1, disk_with_first_view(2, &ids));
    controller.receive(
        1,
        Message::Append {
            view: 1,
            entries: vec![entry(1, 7)],
            reads: Vec::new(),
            synced_up_to: 0,
        },
    );
    controller.sync();
    controller.receive(
        1,
        install(view(2, &[(3, 1), (1, 1), (2, 1)]), 1, vec![entry(1, 1)]),
    );
    check_any_lost_writes(&controller, &[1]);
}

/// A restarted member may be the only holder of acknowledged updates beyond the snapshot that it receives.
#[test]
fn updates_beyond_a_received_snapshot_are_kept() {
    let ids = [(1, 1), (2, 1), (3, 1)];
    let entry = |seq: u64| entry(seq, seq);
    let mut controller = Controller::start(2, 1, Rows::new());
    controller.receive(
        1,
        Message::Install {
            view: view(1, &ids),
            committed: 0,
            at_ms: 0,
            log: Vec::new(),
        },
    );
    controller.sync();
    let entries = (1..=4).map(entry).collect();
    controller.receive(
        1,
        Message::Append {
            view: 1,
            entries,
            reads: Vec::new(),
            synced_up_to: 4,
        },
    );
    controller.sync();
    let mut controller = Controller::start(2, 2, controller.rows);
    controller.handle(Input::PeerDiscovered {
        member: member(3, 1),
    });
    let (installed, decided, active, last, committed) = (1, 1, 1, 4, 4);
    let status = MemberStatus {
        installed,
        decided,
        active,
        last,
        committed,
        ..MemberStatus::unknown(member(3, 1))
    };
    for sent in 1..4 {
        controller.run(100);
        let echo = controller
            .sent_messages
            .iter()
            .rev()
            .find_map(|(_, m)| match m {
                Message::Heartbeat { sent, .. } => Some(*sent),
                _ => None,
            });
        controller.receive(
            3,
            Message::Heartbeat {
                status: status.clone(),
                sent,
                echo,
                head_time_ms: None,
            },
        );
    }
    let query = controller
        .sent_messages
        .iter()
        .rev()
        .find_map(|(_, m)| match m {
            Message::CatchUpRequest { query, .. } => Some(*query),
            _ => None,
        });
    let mut names = Names::default();
    (1..=2)
        .map(entry)
        .for_each(|e| _ = names.apply(e.at_ms, &e.body));
    let bytes = [vec![0], names.snapshot()].concat();
    let checksum = XxHash64::oneshot(0, &bytes);
    let data = CatchUpData::SnapshotChunk {
        seq: 2,
        at_ms: 20,
        chunk: 0,
        chunks: 1,
        checksum,
        bytes,
    };
    controller.receive(
        3,
        Message::CatchUpReply {
            query: query.expect("it requests the missing updates"),
            data,
        },
    );
    controller.sync();
    assert_eq!(controller.chain.state().applied.len(), 2);
    let last_held = |controller: &Controller| controller.chain.status(controller.now).last;
    assert_eq!(last_held(&controller), 4);
    assert_eq!(last_held(&Controller::start(2, 3, controller.rows)), 4);
}
