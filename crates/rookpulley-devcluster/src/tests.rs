//! Guards against checks that miss faults: each case corrupts a valid history and expects exactly one failing check.

use crate::clients::{Seen, Try};
use crate::coordination::{Hold, Number, Observations, Put, Read};
use crate::coordination_checks;
use crate::environment::Environment;
use crate::gateway_configuration::{FIRST, LETTERS, PARCELS, ROUTES, SECOND, configuration};
use crate::node_settings::{Role, node_settings};
use crate::record::{Arrival, Drain, Given, Moment};
use crate::request_checks::{Check, RequestChecks};
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

/// A valid history: one request every 10 ms, on all routes in turn, each served by its service.
fn valid_history() -> History {
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

fn checks_of(history: &History) -> Vec<Check> {
    let requests = RequestChecks {
        tries: &history.tries,
        arrivals: &history.arrivals,
        drains: &history.drains,
        drain_period: at(100),
        second_version_applies_at: Some(at(0)),
        retry_ratio: 0.2,
        retry_slack: 1.0,
    };
    requests.checks()
}

/// The names of the checks that failed.
fn failed(checks: &[Check]) -> Vec<&'static str> {
    checks
        .iter()
        .filter(|check| !check.passed())
        .map(|check| check.name)
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
fn valid_requests_pass_and_each_corruption_is_detected() {
    assert_eq!(failed(&checks_of(&valid_history())), Vec::<&str>::new());
    type Corruption = fn(&mut History);
    // The second of the five routes is not idempotent.
    let cases: &[(&str, Corruption)] = &[
        ("run at most once", |h| {
            h.arrivals.push(Arrival {
                incarnation: "other".into(),
                ..h.arrivals[1].clone()
            })
        }),
        ("never run", |h| h.tries[1].seen = seen(503)),
        ("complete and signed", |h| match &mut h.tries[0].seen {
            Seen::Answer { body, .. } => *body += 1,
            _ => unreachable!(),
        }),
        ("complete and signed", |h| match &mut h.tries[0].seen {
            Seen::Answer { signature, .. } => *signature = None,
            _ => unreachable!(),
        }),
        ("complete and signed", |h| {
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
        ("reach tasks unmodified", |h| {
            h.arrivals[0].target = "/read/../0".into()
        }),
        ("reach tasks unmodified", |h| h.arrivals[1].body = 8),
        ("reach tasks unmodified", |h| {
            let mut smuggled = h.arrivals[0].clone();
            smuggled.id = "nobody's".into();
            h.arrivals.push(smuggled);
        }),
        ("follows its route", |h| h.arrivals[1].service = PARCELS),
        ("follows its route", |h| h.tries[4].seen = seen(404)),
        ("after its drain period", |h| {
            h.drains[0].incarnation = format!("life-{LETTERS}")
        }),
        ("within their budget", |h| {
            let repeated: Vec<Arrival> = h
                .arrivals
                .iter()
                .filter(|one| one.method == "GET")
                .cloned()
                .collect();
            h.arrivals.extend(repeated);
        }),
        ("eventually served", |h| {
            h.tries
                .iter_mut()
                .step_by(10)
                .for_each(|one| one.seen = Seen::Nothing)
        }),
    ];
    for (name, corrupt) in cases {
        let mut history = valid_history();
        corrupt(&mut history);
        let found = failed(&checks_of(&history));
        assert!(
            found.len() == 1 && found[0].contains(name),
            "{name}: {found:?}"
        );
    }
}

/// Valid observations of the applications.
fn valid_observations() -> Observations {
    let observations = Observations::default();
    for n in 0..10u64 {
        let put = Put {
            name: format!("trial.{}", n % 2),
            value: format!("value-{n}"),
            revision: 2 * n + 1,
        };
        observations.numbers.borrow_mut().push(Number {
            sent: at(n * 10),
            received: at(n * 10 + 5),
            value: n * 3 + 1,
        });
        observations.holds.borrow_mut().push(Hold {
            holder: n as usize % 2,
            fence: n + 1,
            sent: at(n * 10),
            from: at(n * 10 + 2),
            until: at(n * 10 + 9),
        });
        let (value, revision) = (Some(put.value.clone()), put.revision);
        observations.reads.borrow_mut().push(Read {
            put: put.clone(),
            value,
            revision,
        });
        observations.puts.borrow_mut().push(put.clone());
        observations.events.borrow_mut().push(put);
    }
    observations.events.borrow_mut().remove(0);
    observations.watched_from.set(1);
    observations.stale.set((3, 3));
    observations
}

#[test]
fn valid_observations_pass_and_each_corruption_is_detected() {
    assert_eq!(
        failed(&coordination_checks::checks(&valid_observations())),
        Vec::<&str>::new()
    );
    type Corruption = fn(&Observations);
    let cases: &[(&str, Corruption)] = &[
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
        ("outdated revision", |t| t.stale.set((3, 2))),
        ("the watch", |t| _ = t.events.borrow_mut().remove(4)),
        ("the watch", |t| t.events.borrow_mut().swap(4, 5)),
        ("the watch", |t| {
            t.events.borrow_mut()[4].value = "value-0".into()
        }),
        ("every application call", |t| {
            t.unexpected.borrow_mut().push("GET: 418".into())
        }),
    ];
    for (name, corrupt) in cases {
        let observations = valid_observations();
        corrupt(&observations);
        let found = failed(&coordination_checks::checks(&observations));
        assert!(
            found.len() == 1 && found[0].contains(name),
            "{name}: {found:?}"
        );
    }
}

#[test]
fn settings_and_configurations_parse() {
    let environment = Environment::create(false).unwrap();
    for (machine, role) in [(0, Role::Controller), (2, Role::Proxy)] {
        let node = node_settings(&environment, machine, role, true);
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
fn two_environments_share_no_port() {
    let (one, other) = (
        Environment::create(false).unwrap(),
        Environment::create(false).unwrap(),
    );
    let (first, second) = (one.ports.internal(), other.ports.internal());
    assert!(
        first.1 + 3 < second.0 || second.1 + 3 < first.0,
        "{first:?} {second:?}"
    );
    assert!(one.ports.control() > first.1 && one.front(0).port() == one.front(2).port());
}
