//! Each check must find what it is there for: a sound trial is spoilt in one way after the other.

use crate::clients::{Seen, Try};
use crate::coordination::{Hold, Number, Put, Read, Told};
use crate::environment::Environment;
use crate::judge::{Check, Requests};
use crate::operator::{FIRST, LETTERS, PARCELS, ROUTES, SECOND, configuration};
use crate::order;
use crate::record::{Arrival, Drain, Given, Moment};
use crate::sheet::{Role, sheet};
use rookpulley_settings::Node;
use std::time::Duration;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

struct History {
    tries: Vec<Try>,
    arrivals: Vec<Arrival>,
    drains: Vec<Drain>,
}

/// Requests on all routes in turn, one each 10 ms, all served by a task of its own service.
fn sound() -> History {
    let mut history = History {
        tries: Vec::new(),
        arrivals: Vec::new(),
        drains: Vec::new(),
    };
    for number in 0..50u32 {
        let route = &ROUTES[number as usize % ROUTES.len()];
        let (id, target) = (format!("id-{number}"), format!("{}{number}", route.prefix));
        let method = if route.kind.is_idempotent() {
            "GET"
        } else {
            "POST"
        };
        let (sent, service) = (at(u64::from(number) * 10), route.targets[0].0);
        let (signature, body) = (format!("sign-{number}"), u64::from(number) + 1_000);
        history.arrivals.push(Arrival {
            id: id.clone(),
            incarnation: format!("life-{service}"),
            service,
            method: method.into(),
            target: target.clone(),
            body: 7,
            at: sent + at(2),
            given: Some(Given {
                status: 200,
                signature: signature.clone(),
                body,
            }),
            foreign: false,
        });
        history.tries.push(Try {
            id: id.clone(),
            request: number,
            proxy: 0,
            route,
            method,
            target,
            body: 7,
            sent,
            ended: sent + at(6),
            seen: Seen::Answer {
                status: 200,
                id: Some(id),
                signature: Some(signature),
                body,
            },
        });
    }
    history.drains.push(Drain {
        incarnation: "life-elsewhere".into(),
        acknowledged: at(100),
    });
    history
}

fn judged(history: &History) -> Vec<Check> {
    let requests = Requests {
        tries: &history.tries,
        arrivals: &history.arrivals,
        drains: &history.drains,
        drain: at(100),
        second_holds: Some(at(0)),
        retry_ratio: 0.2,
        retry_slack: 1.0,
    };
    requests.checks()
}

/// What the checks that didn't pass are called.
fn failed(checks: &[Check]) -> Vec<&'static str> {
    checks
        .iter()
        .filter(|check| !check.passed())
        .map(|check| check.what)
        .collect()
}

fn seen(status: u16) -> Seen {
    Seen::Answer {
        status,
        id: None,
        signature: None,
        body: 0,
    }
}

#[test]
fn a_sound_trial_passes_and_each_way_to_spoil_its_requests_is_found() {
    assert_eq!(failed(&judged(&sound())), Vec::<&str>::new());
    type Spoil = fn(&mut History);
    // The second request of the five routes is one that may run once.
    let cases: &[(&str, Spoil)] = &[
        ("ran once at most", |h| {
            h.arrivals.push(Arrival {
                incarnation: "other".into(),
                ..h.arrivals[1].clone()
            })
        }),
        ("refused never ran", |h| h.tries[1].seen = seen(503)),
        ("whole and signed", |h| match &mut h.tries[0].seen {
            Seen::Answer { body, .. } => *body += 1,
            _ => unreachable!(),
        }),
        ("whole and signed", |h| match &mut h.tries[0].seen {
            Seen::Answer { signature, .. } => *signature = None,
            _ => unreachable!(),
        }),
        ("whole and signed", |h| {
            h.arrivals[0].given = Some(Given {
                status: 504,
                signature: "sign-0".into(),
                body: 1_000,
            });
        }),
        ("belongs to its request", |h| match &mut h.tries[0].seen {
            Seen::Answer { id, .. } => *id = Some("id-5".into()),
            _ => unreachable!(),
        }),
        ("what a client sent", |h| {
            h.arrivals[0].target = "/read/../0".into()
        }),
        ("what a client sent", |h| h.arrivals[1].body = 8),
        ("what a client sent", |h| {
            let mut smuggled = h.arrivals[0].clone();
            smuggled.id = "nobody's".into();
            h.arrivals.push(smuggled);
        }),
        ("handled by its route", |h| h.arrivals[1].service = PARCELS),
        ("handled by its route", |h| h.tries[4].seen = seen(404)),
        ("too long after its drain", |h| {
            h.drains[0].incarnation = format!("life-{LETTERS}")
        }),
        ("within their budget", |h| {
            let again: Vec<Arrival> = h
                .arrivals
                .iter()
                .filter(|one| one.method == "GET")
                .cloned()
                .collect();
            h.arrivals.extend(again);
        }),
        ("requests served", |h| {
            h.tries
                .iter_mut()
                .step_by(10)
                .for_each(|one| one.seen = Seen::Nothing)
        }),
    ];
    for (what, spoil) in cases {
        let mut history = sound();
        spoil(&mut history);
        let found = failed(&judged(&history));
        assert!(
            found.len() == 1 && found[0].contains(what),
            "{what}: {found:?}"
        );
    }
}

fn told() -> Told {
    let told = Told::default();
    for n in 0..10u64 {
        let put = Put {
            name: format!("trial.{}", n % 2),
            value: format!("value-{n}"),
            revision: 2 * n + 1,
        };
        told.numbers.borrow_mut().push(Number {
            sent: at(n * 10),
            got: at(n * 10 + 5),
            value: n * 3 + 1,
        });
        told.holds.borrow_mut().push(Hold {
            holder: n as usize % 2,
            fence: n + 1,
            sent: at(n * 10),
            from: at(n * 10 + 2),
            until: at(n * 10 + 9),
        });
        let (value, revision) = (Some(put.value.clone()), put.revision);
        told.reads.borrow_mut().push(Read {
            put: put.clone(),
            value,
            revision,
        });
        told.puts.borrow_mut().push(put.clone());
        told.events.borrow_mut().push(put);
    }
    told.events.borrow_mut().remove(0);
    told.watched_from.set(1);
    told.stale.set((3, 3));
    told
}

#[test]
fn each_way_to_spoil_what_applications_were_told_is_found() {
    assert_eq!(failed(&order::checks(&told())), Vec::<&str>::new());
    type Spoil = fn(&Told);
    let cases: &[(&str, Spoil)] = &[
        ("each number", |t| t.numbers.borrow_mut()[5].value = 2),
        ("each number", |t| t.numbers.borrow_mut()[5].value = 13),
        ("one holder", |t| t.holds.borrow_mut()[4].until = at(53)),
        ("one holder", |t| t.holds.borrow_mut()[5].fence = 1),
        ("one holder", |t| {
            t.holds.borrow_mut().retain(|hold| hold.holder == 0)
        }),
        ("reads back", |t| {
            t.reads.borrow_mut()[3].value = Some("value-1".into())
        }),
        ("left behind", |t| t.stale.set((3, 2))),
        ("the watch", |t| _ = t.events.borrow_mut().remove(4)),
        ("the watch", |t| t.events.borrow_mut().swap(4, 5)),
        ("the watch", |t| {
            t.events.borrow_mut()[4].value = "value-0".into()
        }),
        ("every call", |t| t.odd.borrow_mut().push("GET: 418".into())),
    ];
    for (what, spoil) in cases {
        let told = told();
        spoil(&told);
        let found = failed(&order::checks(&told));
        assert!(
            found.len() == 1 && found[0].contains(what),
            "{what}: {found:?}"
        );
    }
}

#[test]
fn settings_and_configurations_are_what_the_programs_read() {
    let environment = Environment::find(false).unwrap();
    for (machine, role) in [(0, Role::Controller), (2, Role::Proxy)] {
        let node = sheet(&environment, machine, role, true);
        assert_eq!(Node::parse(&node.to_string()).unwrap(), node);
    }
    for (version, routes) in [(FIRST, 4), (SECOND, 5)] {
        let value: tinyjson::JsonValue = configuration(version).parse().unwrap();
        let hosts = value["hostnames"].get::<Vec<_>>().unwrap();
        let rules = hosts
            .iter()
            .map(|host| host["pathRules"].get::<Vec<_>>().unwrap().len());
        assert_eq!(rules.sum::<usize>(), routes);
    }
}

#[test]
fn two_grounds_share_no_port() {
    let (one, other) = (
        Environment::find(false).unwrap(),
        Environment::find(false).unwrap(),
    );
    let (first, second) = (one.ports.inner(), other.ports.inner());
    assert!(
        first.1 + 3 < second.0 || second.1 + 3 < first.0,
        "{first:?} {second:?}"
    );
    assert!(one.ports.control() > first.1 && one.front(0).port() == one.front(2).port());
}
