//! The commands on the gateway, against an office that answers by script, files, and a store on disk.

use assert_cmd::Command;
use rookpulley_chain::{Boot, CallKind, Chain, Effect, Input, Member, State};
use rookpulley_ledger::{Ledger, Update};
use rookpulley_sorting::News;
use rookpulley_strongroom::{Part, Said, Store};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

fn run(args: &[&str]) -> (i32, String, String) {
    let mut command = Command::cargo_bin("rookpulley").unwrap();
    command.env_remove("ROOKPULLEY_AT").env_remove("ROOKPULLEY_TOKEN_FILE");
    let output = command.arg("gateway").args(args).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

/// Whether these stand there one after the other.
fn in_order(text: &str, wanted: &[&str]) -> bool {
    let mut rest = text;
    wanted.iter().all(|word| {
        let found = rest.split_once(word);
        rest = found.map_or("", |(_, after)| after);
        found.is_some()
    })
}

/// An office on a thread of its own.
fn office() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = BufReader::new(stream.unwrap());
            let mut line = String::new();
            stream.read_line(&mut line).unwrap();
            while stream.read_line(&mut String::new()).unwrap() > 2 {}
            let (status, body) = match line.split(' ').nth(1).unwrap() {
                "/rookpulley/show/view" => (200, include_str!("shown/view.json")),
                "/rookpulley/show/tasks" => (200, include_str!("shown/tasks.json")),
                "/rookpulley/show/tasks/letters%20%2B" => (200, r#"{"tasks":[],"more":0,"settling":true}"#),
                "/rookpulley/show/tables" => (200, include_str!("shown/tables.json")),
                "/rookpulley/show/couriers" => (200, include_str!("shown/couriers.json")),
                "/rookpulley/show/ledger" => (200, include_str!("shown/ledger.json")),
                "/rookpulley/show/counters" => (200, include_str!("shown/counters.txt")),
                _ => (404, "{}"),
            };
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.get_mut().write_all((head + body).as_bytes()).unwrap();
        }
    });
    at
}

#[test]
fn what_an_office_shows_becomes_tables_or_json() {
    let at = office().to_string();
    let at = at.as_str();
    for (args, wanted) in [
        (
            &["view"][..],
            &[
                "edge-quay-1 of quay: view 6, at work, acting, in touch; update 1204 applied; the disk is quick",
                "head    10.4.0.10:7731  5f0c1be2a9d47731  yes         1204    quick  here",
                "middle  10.5.0.10:7731  90b2e7c4410fd8a6  yes         1204    slow   0.1 s",
                "tail    10.6.0.10:7731  e3318a05c96b7f42  no          -       -      -",
                "losses borne: 1\n",
            ][..],
        ),
        (
            &["tasks"],
            &[
                "parcels  i-9be7  10.128.5.2:8080  hill  3      draining  1.1 s",
                "i-41c0",
                "1 of 2 tasks live\n",
            ],
        ),
        (&["tasks", "--service", "letters +"], &["0 of 0 tasks live; this office has just begun"]),
        (&["tables"], &["parcels  edge-quay-2  0b7d2f9c55e1a804  3     8", "stamps"]),
        (
            &["couriers"],
            &["edge-hill-3  hill  no         -", "edge-quay-1  quay  yes        7", "1 of 2 at home"],
        ),
        (&["ledger"], &["configuration version  7", "cells                  14"]),
        (
            &["counters"],
            &[
                "calls_total         beat done    8120",
                "sync_seconds_total",
                "3.25",
                "in_touch",
                "and 1 that are 0",
            ],
        ),
    ] {
        let (code, out, err) = run(&[&["show", "--at", at], args].concat());
        assert!(code == 0 && in_order(&out, wanted), "{args:?} {code}: {out}{err}");
    }
    for part in ["view", "tasks", "tables", "couriers", "ledger", "counters"] {
        let (code, out, _) = run(&["show", part, "--at", at, "--json"]);
        let said: Value = serde_json::from_str(&out).expect(&out);
        assert!(code == 0 && said.is_object() && out.lines().count() == 1, "{out}");
    }
    let (_, out, _) = run(&["show", "counters", "--at", at, "--json"]);
    let said: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (&said["counters"][0]["labels"]["call"], &said["counters"][0]["value"]),
        (&"beat".into(), &8120.0.into())
    );
}

#[test]
fn who_asks_no_office_hears_where_to_ask() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let (code, _, err) = run(&["show", "view", "--at", &gone]);
    assert!(code == 3 && err.contains("no office answers") && err.contains("controlPlane"), "{err}");
    let (code, _, err) = run(&["show", "tasks", "--service", "nowhere", "--at", &office().to_string()]);
    assert!(code == 3 && err.contains("its status is 404"), "{err}");
    assert_eq!(run(&["show", "secrets"]).0, 2);
}

const SETTINGS: &str = r#"
nodeName = "edge-quay-1"
serves = ["control_plane"]
ipAddress = "10.4.0.10"
zone = "quay"
internalPortRange = [7730,7745]
seedNodes = ["10.4.0.10:8166"]
dataDirectory = "/data/office"
[listenAddresses]
controlPlane = "10.4.0.10:8166"
"#;

const CONFIGURATION: &str = r#"{"configVersion":7,
 "services":[{"name":"stamps"},{"name":"parcels"}],
 "hostnames":[{"hostname":"post.example","pathRules":[
  {"name":"r-list","pathPrefix":"/stamps/list/","routeKind":"read_only","timeoutMs":900,"targetLatencyMs":250,
   "priority":2,"maxAttempts":2,"trafficSplit":[{"targetService":"stamps","weight":90},{"targetService":"parcels","weight":10}]},
  {"name":"r-stamps","pathPrefix":"/stamps/","routeKind":"mutating","timeoutMs":2000,"targetService":"stamps","maxAttempts":1},
  {"name":"r-all","pathPrefix":"/","routeKind":"download","timeoutMs":9000,"targetService":"parcels","maxAttempts":3}]}]}"#;

fn written(folder: &Path, name: &str, text: &str) -> String {
    let file = folder.join(name);
    std::fs::write(&file, text).unwrap();
    file.to_str().unwrap().into()
}

#[test]
fn files_are_checked_with_a_place_what_was_found_and_what_to_write() {
    let folder = tempfile::tempdir().unwrap();
    let deployed = include_str!("../../../deploy/system.toml");
    for (what, text, wanted) in [
        (
            "settings",
            SETTINGS,
            "edge-quay-1 of quay serves control_plane, has a disk and 1 seed; can be used\n",
        ),
        ("configuration", CONFIGURATION, "version 7, 2 services, 1 host, 3 routes; can be taken\n"),
        ("deploy", deployed, "2 roles (courier, office); can be used\n"),
    ] {
        let file = written(folder.path(), what, text);
        assert_eq!(run(&["check", what, &file]), (0, format!("{file}: {wanted}"), String::new()));
    }
    for (what, text, was, is, wanted) in [
        (
            "settings",
            SETTINGS,
            "10.4.0.10\"\nz",
            "10.4.0\"\nz",
            "ipAddress is \"10.4.0\"; write an IPv4 address such as",
        ),
        ("settings", SETTINGS, "[7730,7745]", "[7730,", "line 7, column 11 is no TOML"),
        (
            "configuration",
            CONFIGURATION,
            "\"maxAttempts\":1",
            "\"maxAttempts\":0",
            "hostnames[0].pathRules[1].maxAttempts is 0; write a whole number of tasks, at least 1",
        ),
        (
            "configuration",
            CONFIGURATION,
            ":3}]}]}",
            ":3}]",
            " is where the text ends too soon; write the whole",
        ),
        (
            "deploy",
            deployed,
            "count = 1",
            "count = 1\nshare = 0.5",
            "roles.office.count is there beside share; write one of the two",
        ),
        (
            "deploy",
            deployed,
            "[\"control_plane\"]",
            "[\"edge\"]",
            "roles.office.serves is a list with \"edge\", which roles.courier",
        ),
    ] {
        assert!(text.contains(was), "{was}");
        let file = written(folder.path(), "bad", &text.replacen(was, is, 1));
        let (code, out, err) = run(&["check", what, &file]);
        assert!(code == 1 && out.starts_with(&file) && out.contains(wanted) && err.is_empty(), "{out}{err}");
        let (code, out, _) = run(&["--json", "check", what, &file]);
        let said: Value = serde_json::from_str(&out).unwrap();
        assert_eq!((code, &said["ok"]), (1, &false.into()));
        let fault = &said["faults"][0];
        assert!(["place", "found", "instead"].iter().all(|part| fault[part].is_string()), "{out}");
    }
    for what in ["settings", "configuration", "deploy"] {
        let (code, out, _) = run(&["check", what, "/nowhere/at/all"]);
        assert!(code == 1 && out.contains("the file is unreadable ("), "{out}");
    }
}

#[test]
fn a_request_is_explained_with_its_route_its_shares_and_the_prefixes_that_lost() {
    let folder = tempfile::tempdir().unwrap();
    let file = written(folder.path(), "configuration.json", CONFIGURATION);
    let explain = |host: &str, path: &str| run(&["explain", &file, host, path]);
    let (code, out, _) = explain("Post.example:8161", "/stamps/list/4?all=1");
    let wanted = [
        "version 7: r-list takes it, by the prefix /stamps/list/\n",
        "read_only: may run more than once\n",
        "at most 2 tasks a try and 900 ms; aim 250 ms; priority 2\n",
        "stamps   90.0%\n",
        "parcels  10.0%\n",
        "lost: r-stamps, by the shorter prefix /stamps/\n",
        "lost: r-all, by the shorter prefix /\n",
    ];
    assert!(code == 0 && in_order(&out, &wanted), "{out}");
    let (code, out, _) = run(&["--json", "explain", &file, "post.example", "/stamps/4"]);
    let said: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, &said["route"]["name"], &said["lost"][0]["prefix"]),
        (0, &"r-stamps".into(), &"/".into())
    );
    let (code, out, _) = explain("parcel.example", "/");
    assert!(
        code == 1 && out.contains("404: no host is named parcel.example; there are post.example"),
        "{out}"
    );
    let fewer = CONFIGURATION.replace("\"pathPrefix\":\"/\"", "\"pathPrefix\":\"/rest/\"");
    let file = written(folder.path(), "fewer.json", &fewer);
    let (code, out, _) = run(&["explain", &file, "post.example", "/rest"]);
    assert!(code == 1 && out.contains("/rest lacks the slash that the prefix /rest/ ends with"), "{out}");
    let bad = written(folder.path(), "bad.json", "{");
    assert_eq!(run(&["explain", &bad, "post.example", "/"]).0, 1);
}

#[derive(Default)]
struct Kept(Ledger);

impl State for Kept {
    fn apply(&mut self, at_ms: u64, entry: &[u8]) -> Vec<u8> {
        self.0.apply_bytes(at_ms, entry)
    }
    fn read(&self, ask: &[u8]) -> Vec<u8> {
        self.0.read_bytes(ask)
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }
    fn restore(&mut self, bytes: &[u8]) -> bool {
        self.0.restore(bytes).is_ok()
    }
}

#[test]
fn a_store_that_nobody_uses_shows_what_it_holds_and_one_in_use_is_left_alone() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_str().unwrap();
    let (code, _, err) = run(&["store", path]);
    assert!(
        code == 3 && err.contains("there is no office's store") && err.contains("dataDirectory"),
        "{err}"
    );

    let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let store = Store::open(folder.path(), 0x5f0c_1be2_a9d4_7731, false, said).unwrap();
    let me = Member { id: store.identity, life: 3, address: "10.4.0.10:7731".parse().unwrap() };
    let boot = Boot { me, founder: true, losses: 0, seed: 5, kept: None };
    let mut chain = Chain::start(0, boot, Kept::default());
    let put = |version| Update::PutConfiguration { version, body: b"{}".to_vec() }.encode();
    let (mut now, mut done) = (0, 0);
    while done < 2 {
        now += 50;
        let mut effects = chain.handle(now, Input::Tick);
        if chain.serving(now) {
            let call = Input::Call { token: now, kind: CallKind::Update, body: put(7 + now) };
            effects.extend(chain.handle(now, call));
        }
        while !effects.is_empty() {
            let mut next = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Write { ticket, records } => {
                        assert!(store.write(Part::Chain, ticket, records));
                        while !matches!(heard.blocking_recv(), Some(Said::Synced { chain: Some(t), .. }) if t == ticket)
                        {
                        }
                        next.extend(chain.handle(now, Input::Synced { ticket }));
                    }
                    Effect::Answer { outcome: rookpulley_chain::Outcome::Done(_), .. } => done += 1,
                    _ => {}
                }
            }
            effects = next;
        }
    }
    let gone = postcard::to_allocvec(&News::Gone { life: "i-9be7".into(), age_ms: 0.0 }).unwrap();
    let record = rookpulley_chain::Record::Put { key: b"i-9be7".to_vec(), value: gone };
    assert!(store.write(Part::Lives, 1, vec![record]));

    let (code, _, err) = run(&["store", path]);
    assert!(code == 3 && err.contains("is in use by a process") && err.contains("end it first"), "{err}");
    drop(store);
    while heard.blocking_recv().is_some() {}
    let (code, out, err) = loop {
        match run(&["store", path]) {
            (3, ..) => std::thread::yield_now(),
            told => break told,
        }
    };
    let wanted = [
        "identity",
        "5f0c1be2a9d47731\n",
        "sound",
        "yes\n",
        "view",
        "1 of 10.4.0.10:7731\n",
        "installed view",
        "1\n",
        "snapshot",
        "up to update 0,",
        "log",
        "entries, 1 to ",
        "configuration",
        "none; in the log: ",
        "lives noted",
        "0 and 1 gone\n",
    ];
    assert!(code == 0 && in_order(&out, &wanted), "{out}{err}");
    let (_, out, _) = run(&["store", path, "--json"]);
    let said: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (&said["view"]["members"][0]["address"], &said["lives"]["gone"]),
        (&"10.4.0.10:7731".into(), &1.into())
    );
    assert!(said["log"]["entries"].as_u64() >= Some(2) && said["vote"]["accepted"].is_null(), "{out}");
}

#[test]
fn every_command_on_the_gateway_shows_an_example_in_its_help() {
    for what in ["show", "explain", "store", "check settings", "check configuration", "check deploy"] {
        let words: Vec<&str> = what.split(' ').chain(["--help"]).collect();
        let (code, out, _) = run(&words);
        assert!(code == 0 && out.contains(&format!("Example: rookpulley gateway {what}")), "{out}");
    }
}
