//! Table versions on loopback sockets: two assigners and their dispatchers over links that lose,
//! duplicate, delay, reorder and cut messages, with rollbacks at random times.

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_assigner::driver::Context;
use rookpulley_assigner::{Assigner, Signals, config};
use rookpulley_operators::OperatorSettings;
use rookpulley_operators::api::{HolderList, HolderRow, VersionList};
use rookpulley_operators::file;
use rookpulley_standin::client::{EVENT_TIMEOUT, TestClient, withdraws};
use rookpulley_standin::discovery::DiscoveryServer;
use rookpulley_standin::lists::{assigner_config, server, serving};
use rookpulley_standin::{Checker, Dispatcher, Faults, Link};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        timeout(2 * EVENT_TIMEOUT, test)
            .await
            .expect("test timed out")
    })
}

struct Running {
    address: SocketAddr,
    operators: SocketAddr,
    ctx: Rc<Context>,
}

fn operators_with_versions() -> OperatorSettings {
    let text = "address(listen = \"127.0.0.1:0\")\nversions(keep = 24, megabytes = 8)\n";
    file::read(Path::new("operators.star"), text).unwrap()
}

async fn run(config: &Value) -> Running {
    let config = config::parse(&config.to_string()).unwrap();
    let signals = Signals::take().unwrap();
    let assigner = Assigner::bind(
        config,
        "no file".into(),
        signals,
        &operators_with_versions(),
    )
    .await
    .unwrap();
    let (address, operators) = (
        assigner.addresses().0.unwrap(),
        assigner.operators_address().unwrap(),
    );
    let ctx = assigner.ctx.clone();
    spawn_local(assigner.serve());
    Running {
        address,
        operators,
        ctx,
    }
}

/// Sends a request to the operator API.
async fn call(address: SocketAddr, method: &str, path: &str, body: Value) -> (u16, Value) {
    let socket = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .unwrap();
    spawn_local(connection);
    let request = hyper::Request::builder()
        .method(method)
        .uri(path)
        .header("host", "127.0.0.1");
    let request = request.header("content-type", "application/json");
    let request = request
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let answer = sender.send_request(request).await.unwrap();
    let status = answer.status().as_u16();
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&bytes).unwrap())
}

impl Running {
    async fn holders(&self) -> Vec<HolderRow> {
        let (_, list) = call(self.operators, "GET", "/v1/holders", Value::Null).await;
        serde_json::from_value::<HolderList>(list).unwrap().holders
    }

    async fn versions(&self) -> VersionList {
        let (_, list) = call(self.operators, "GET", "/v1/versions", Value::Null).await;
        serde_json::from_value(list).unwrap()
    }

    /// Waits until there are `count` rows of joined dispatchers, all in this state.
    async fn wait_for_state(&self, state: &str, count: usize) -> Vec<HolderRow> {
        let wait = async {
            loop {
                let rows: Vec<_> = self
                    .holders()
                    .await
                    .into_iter()
                    .filter(|r| r.joined)
                    .collect();
                if rows.len() == count && rows.iter().all(|r| r.judged == state) {
                    return rows;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        match timeout(EVENT_TIMEOUT / 2, wait).await {
            Ok(rows) => rows,
            Err(_) => panic!("not all {count} are {state}: {:#?}", self.holders().await),
        }
    }
}

const KINDS: [&str; 2] = ["read", "write"];
const SERVERS: u32 = 8;
const GRACE_MS: f64 = 3_500.0;

/// Two request kinds served in all zones, a few dispatchers and a short transit time.
fn settings(discovery: SocketAddr, name: &str, dispatchers: u32) -> Value {
    let mut config = assigner_config(discovery);
    (config["name"], config["known"]["endpoints"]) = (json!(name), json!(serving(1..=SERVERS)));
    config["limits"]["sockets"] = json!(512);
    // One kind is bound to the only machine type, which gives each kind its own table.
    config["settings"]["categories"][1]["only_kinds"] = json!([0]);
    config["settings"]["family_info"]["agents"] = json!(dispatchers);
    config["settings"]["family_info"]["push_delay_max_us"] = json!(80_000);
    config["settings"]["family_info"]["transit_us"] = json!(20_000);
    config["settings"]["rules"]["drain_grace_us"] = json!(3_000_000);
    config["settings"]["limits"]["peers"] = json!(false);
    config
}

const FAULTS: Faults = Faults {
    drop: 0.12,
    duplicate: 0.06,
    delay: 0.3,
    max_delay_ms: 60.0,
    disconnect: 0.02,
    min_disconnect_interval_ms: 2_500.0,
};

#[derive(Debug, Default)]
struct Tally {
    rollbacks: u64,
    held: u64,
    lost: u64,
    doubled: u64,
    cuts: u64,
    refused: u64,
    routed: u64,
    whole: u64,
    deltas: u64,
    same: u64,
}

/// Checks that assigners, dispatchers and checker agree on every table.
async fn check_agreement(
    assigners: &[Running],
    dispatchers: &[Rc<Dispatcher>],
    checker: &RefCell<Checker>,
) -> Result<(), String> {
    for assigner in assigners {
        let rows = assigner.holders().await;
        let known = assigner.versions().await;
        for row in rows.into_iter().filter(|r| r.joined) {
            let label = format!("dispatcher {}, {:?}", row.dispatcher, row.kinds);
            let sent = row
                .told
                .clone()
                .ok_or(format!("{label} was sent nothing"))?;
            let version = known
                .versions
                .iter()
                .find(|v| v.version == sent)
                .ok_or(format!("{sent} unknown"))?;
            let dispatcher = &dispatchers[usize::from(row.dispatcher)];
            let held = &dispatcher.tables()[&row.kinds[0]];
            if rookpulley_standin::checker::digest(held) != version.digest
                || row.judged != "in step"
            {
                return Err(format!(
                    "{label} is {} and holds {held:?}, sent {version:?}",
                    row.judged
                ));
            }
            if !row.speaks {
                continue;
            }
            let expected = checker.borrow().expected_tables(dispatcher.id);
            let found = expected.iter().find(|(name, ..)| *name == version.version);
            let (_, digest, lines) = found.ok_or(format!(
                "{label}: {version:?} never reached it: {expected:?}"
            ))?;
            if (digest, lines) != (&version.digest, held) {
                return Err(format!(
                    "{label} holds {held:?}, but the traffic implies {lines:?}"
                ));
            }
            if !dispatcher
                .versions()
                .values()
                .any(|v| *v == version.version)
            {
                return Err(format!(
                    "{label} names {:?}, sent {version:?}",
                    dispatcher.versions()
                ));
            }
        }
    }
    Ok(())
}

/// One run: four seconds with faults, then clean links, then the checks.
async fn run_seed(seed: u64) -> Result<Tally, String> {
    const VERSIONED: u64 = 24;
    const PLAIN: u64 = 4;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let agent = DiscoveryServer::new().await;
    let all = (VERSIONED + PLAIN) as u32;
    let assigners = [
        run(&settings(agent.address, "n0", all)).await,
        run(&settings(agent.address, "n1", all)).await,
    ];
    let checker = Rc::new(RefCell::new(Checker::new(GRACE_MS)));
    let observer = checker.clone();
    let observe: Rc<dyn Fn(_)> = Rc::new(move |what| observer.borrow_mut().observe(what));
    let streams = Rc::new(Cell::new(0));
    let mut links = Vec::new();
    for (n, assigner) in assigners.iter().enumerate() {
        let seed = seed << 4 | n as u64;
        links.push(
            Link::open(
                assigner.address,
                seed,
                FAULTS,
                streams.clone(),
                observe.clone(),
            )
            .await
            .unwrap(),
        );
    }
    // Dispatchers without versions rely on streams that lose nothing.
    let mut clean = Vec::new();
    for assigner in &assigners {
        let faults = Faults {
            disconnect: 0.02,
            min_disconnect_interval_ms: 1_000.0,
            ..Faults::default()
        };
        clean.push(
            Link::open(
                assigner.address,
                seed,
                faults,
                streams.clone(),
                observe.clone(),
            )
            .await
            .unwrap(),
        );
    }
    let mut dispatchers = Vec::new();
    for id in 0..VERSIONED + PLAIN {
        let versioned = id < VERSIONED;
        let dispatcher = Dispatcher::new(id, "a", &KINDS, versioned, seed, observe.clone());
        let route = if versioned { &links } else { &clean };
        let mut addresses = [route[0].address, route[1].address];
        addresses.rotate_left((id % 2) as usize);
        dispatcher.set_assigners(&addresses);
        dispatcher.run();
        dispatcher.route_requests(10);
        dispatchers.push(dispatcher);
    }
    let mut tally = Tally::default();
    let (from, mut index, mut drained) = (Instant::now(), 100, Vec::new());
    while from.elapsed() < Duration::from_secs(4) {
        sleep(Duration::from_millis(rng.random_range(60..240))).await;
        index += 1;
        match rng.random_range(0..10) {
            0 | 1 if drained.len() < 4 => {
                let n = rng.random_range(1..=SERVERS);
                if !drained.contains(&n) {
                    drained.push(n);
                    agent.publish(index, false, &[server(n, "DRAINING", 0.0)]);
                    checker.borrow_mut().record_drain(&format!("s-{n}"));
                }
            }
            2 if !drained.is_empty() && rng.random_range(0..2) == 0 => {
                let n = drained.remove(0);
                let unix = std::time::SystemTime::now()
                    .duration_since(std::time::UNIX_EPOCH)
                    .unwrap();
                checker.borrow_mut().record_restart(&format!("s-{n}"));
                agent.publish(
                    index,
                    false,
                    &[server(n, "SERVING", unix.as_secs_f64() * 1e3)],
                );
            }
            3 | 4 => {
                // A weight change, which is neither a drain nor a start.
                let n = rng.random_range(1..=SERVERS);
                if !drained.contains(&n) {
                    let mut line = server(n, "SERVING", 0.0);
                    line["weight"] = json!([1.0, 1.5, 2.0][rng.random_range(0..3)]);
                    agent.publish(index, false, &[line]);
                }
            }
            5..=8 => {
                let assigner = &assigners[rng.random_range(0..2)];
                let known = assigner.versions().await.versions;
                if known.is_empty() {
                    continue;
                }
                let to = &known[rng.random_range(0..known.len())].version;
                let all = rng.random_range(0..2) == 0;
                let (_, answer) = call(
                    assigner.operators,
                    "POST",
                    "/v1/rollback",
                    json!({"to": to, "all": all}),
                )
                .await;
                let rows = answer["tables"].as_array().cloned().unwrap_or_default();
                tally.rollbacks += 1;
                tally.held += rows.iter().filter(|r| r["what"] == "held").count() as u64;
            }
            _ => {
                let assigner = &assigners[rng.random_range(0..2)];
                call(
                    assigner.operators,
                    "POST",
                    "/v1/release",
                    json!({"all": true}),
                )
                .await;
            }
        }
    }
    // Stop the faults; disconnected dispatchers rejoin and stay.
    links
        .iter()
        .chain(&clean)
        .for_each(|link| link.set_faults(Faults::default()));
    dispatchers.iter().for_each(|d| d.stay_on_assigner());
    let settled = async {
        loop {
            let (a, b) = (assigners[0].holders().await, assigners[1].holders().await);
            let joined: Vec<_> = a.iter().chain(&b).filter(|r| r.joined).collect();
            let tables: usize = joined.len();
            // Each dispatcher is joined to one assigner, with one row per kind.
            let at = |id: u64| {
                joined
                    .iter()
                    .filter(|r| u64::from(r.dispatcher) == id)
                    .count()
            };
            if tables > 0
                && (0..VERSIONED + PLAIN).all(|id| at(id) == KINDS.len())
                && joined.iter().all(|r| r.judged == "in step")
            {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    if timeout(Duration::from_secs(15), settled).await.is_err() {
        let mut rows = assigners[0].holders().await;
        rows.extend(assigners[1].holders().await);
        rows.retain(|r| r.joined && r.judged != "in step");
        return Err(format!("not all in step: {rows:#?}"));
    }
    // Ramping servers still change tables, so repeat the check if it ran during a change.
    let deadline = Instant::now() + Duration::from_secs(8);
    while let Err(why) = check_agreement(&assigners, &dispatchers, &checker).await {
        if Instant::now() > deadline {
            return Err(why);
        }
        sleep(Duration::from_millis(50)).await;
    }
    let checker = checker.borrow();
    if !checker.violations.is_empty() {
        return Err(checker
            .violations
            .iter()
            .take(3)
            .cloned()
            .collect::<Vec<_>>()
            .join("; "));
    }
    for link in links.iter().chain(&clean) {
        tally.lost += link.dropped.get();
        tally.doubled += link.duplicated.get();
        tally.cuts += link.disconnects.get();
    }
    tally.refused = dispatchers.iter().map(|d| d.refused.get()).sum();
    (tally.routed, tally.whole, tally.deltas, tally.same) = (
        checker.routed,
        checker.full_updates,
        checker.deltas,
        checker.unchanged,
    );
    Ok(tally)
}

/// Runs 40 seeds, ten at a time. `SEED=n` runs a single one.
#[test]
fn rollbacks_over_lossy_links_converge_to_known_versions() {
    const PARALLEL: usize = 10;
    let single: Option<u64> = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    let seeds: Vec<u64> = single.map_or((0..40).collect(), |seed| vec![seed]);
    let mut failed = Vec::new();
    let mut totals = Tally::default();
    for batch in seeds.chunks(PARALLEL) {
        let runs: Vec<_> = batch
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || run_local(run_seed(seed))
                    }),
                )
            })
            .collect();
        for (seed, run) in runs {
            match run.join() {
                Ok(Ok(t)) => {
                    totals.rollbacks += t.rollbacks;
                    totals.held += t.held;
                    totals.lost += t.lost;
                    totals.doubled += t.doubled;
                    totals.cuts += t.cuts;
                    totals.refused += t.refused;
                    totals.routed += t.routed;
                    totals.whole += t.whole;
                    totals.deltas += t.deltas;
                    totals.same += t.same;
                }
                Ok(Err(why)) => failed.push(format!("seed {seed} (alone: SEED={seed}): {why}")),
                Err(_) => failed.push(format!("seed {seed} (alone: SEED={seed}) panicked")),
            }
        }
    }
    println!("{totals:?}");
    assert!(
        failed.is_empty(),
        "{} seeds fail:\n{}",
        failed.len(),
        failed.join("\n")
    );
    let events = [
        totals.rollbacks,
        totals.held,
        totals.lost,
        totals.doubled,
        totals.cuts,
        totals.refused,
        totals.deltas,
        totals.same,
    ];
    assert!(
        single.is_some() || events.iter().all(|n| *n > 20),
        "too few events: {totals:?}"
    );
}

// ---- Manual proxies -----------------------------------------------------------------------

/// Runs a test with one assigner, discovery and one proxy that the test controls.
fn with_manual_proxy<F: Future<Output = ()>>(
    test: impl FnOnce(Running, DiscoveryServer, TestClient) -> F,
) {
    run_local(async {
        let agent = DiscoveryServer::new().await;
        let running = run(&settings(agent.address, "n0", 4)).await;
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        test(running, agent, proxy).await;
    });
}

async fn request_rollback(running: &Running, to: &str, all: bool) -> (u16, Value) {
    call(
        running.operators,
        "POST",
        "/v1/rollback",
        json!({"to": to, "all": all}),
    )
    .await
}

#[test]
fn proxy_without_versions_is_tracked_by_its_acknowledgements() {
    with_manual_proxy(|running, agent, mut proxy| async move {
        let rows = running.wait_for_state("in step", 2).await;
        assert!(
            rows.iter()
                .all(|r| !r.speaks && r.claimed.is_none() && r.told == r.confirmed)
        );
        // The proxy receives a change and acknowledges nothing from now on.
        agent.publish(101, false, &[server(1, "DRAINING", 0.0)]);
        let listen = async { while proxy.receive().await.is_some_and(|m| m["out"].is_null()) {} };
        timeout(EVENT_TIMEOUT, listen).await.unwrap();
        running.wait_for_state("lost", 2).await;
        assert_eq!(
            running.ctx.counters.get("tables owed"),
            0,
            "nothing is resent to proxies without versions"
        );
    });
}

#[test]
fn rollback_excludes_drained_servers_and_survives_newer_lists() {
    with_manual_proxy(|running, agent, mut proxy| async move {
        let first = running.versions().await.versions[0].version.clone();
        agent.publish(101, false, &[server(2, "DRAINING", 0.0)]);
        proxy.wait_for("s-2 withdrawn", withdraws("s-2")).await;
        let (status, answer) = request_rollback(&running, &first, false).await;
        assert_eq!(
            (status, &answer["tables"][0]["what"]),
            (200, &json!("held")),
            "{answer}"
        );
        assert_eq!(answer["tables"][0]["usable"], json!(SERVERS - 1));
        // A newer list: its drain applies at once, its new server stays out of the held table.
        let unix = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap();
        let fresh = server(9, "SERVING", unix.as_secs_f64() * 1e3 - 60_000.0);
        agent.publish(102, false, &[server(3, "DRAINING", 0.0)]);
        proxy.wait_for("s-3 withdrawn", withdraws("s-3")).await;
        agent.publish(103, false, &[fresh]);
        proxy
            .wait_for("s-9 in the other table", |m| {
                m["lines"].to_string().contains("s-9")
            })
            .await;
        let rows = running.wait_for_state("in step", 2).await;
        let held: Vec<_> = rows.iter().filter(|r| r.back).collect();
        assert_eq!(held.len(), 1);
        let newest = held[0].told.clone().unwrap();
        let (_, diff) = call(
            running.operators,
            "GET",
            &format!("/v1/diff?from={first}&to={newest}"),
            Value::Null,
        )
        .await;
        let removed: Vec<&str> = diff["lines"]
            .as_array()
            .unwrap()
            .iter()
            .map(|l| l["server"].as_str().unwrap())
            .collect();
        assert_eq!(removed, ["s-2", "s-3"], "{diff}");
        let (status, _) = call(
            running.operators,
            "POST",
            "/v1/release",
            json!({"all": true}),
        )
        .await;
        assert_eq!(status, 200);
        proxy
            .wait_for("s-9 in the released table", |m| {
                m["lines"].to_string().contains("s-9")
            })
            .await;
        let (status, _) = call(
            running.operators,
            "POST",
            "/v1/release",
            json!({"all": true}),
        )
        .await;
        assert_eq!(status, 409, "nothing is held");
    });
}

#[test]
fn impossible_rollbacks_are_refused_with_a_reason() {
    with_manual_proxy(|running, agent, mut proxy| async move {
        let first = running.versions().await.versions[0].version.clone();
        let (start, _) = first.rsplit_once('~').unwrap();
        for (to, status, why) in [
            (format!("{start}~999"), 404, "was never issued"),
            ("n1~0000000000000001~1".to_string(), 404, "another assigner"),
            ("n0~0000000000000001~1".to_string(), 404, "an earlier start"),
            ("yesterday".to_string(), 400, "write it as"),
        ] {
            let (got, answer) = request_rollback(&running, &to, false).await;
            assert!(
                got == status && answer.to_string().contains(why),
                "{got} {answer}"
            );
        }
        // All servers of the version drain and are replaced by others.
        let mut lines: Vec<Value> = (1..=SERVERS).map(|n| server(n, "DRAINING", 0.0)).collect();
        lines.extend((11..=14).map(|n| server(n, "SERVING", 1.0)));
        agent.publish(101, false, &lines);
        proxy.wait_for("s-1 withdrawn", withdraws("s-1")).await;
        let (status, answer) = request_rollback(&running, &first, true).await;
        assert_eq!(status, 409, "{answer}");
        let rows = answer["tables"].as_array().unwrap();
        assert!(
            rows.iter()
                .all(|r| r["why"].as_str().unwrap().contains("bare")),
            "{answer}"
        );
        assert!(running.holders().await.iter().all(|r| !r.back));
    });
}

#[test]
fn unchanged_tables_are_not_resent_after_a_failover() {
    run_local(async {
        let agent = DiscoveryServer::new().await;
        let one = run(&settings(agent.address, "n0", 4)).await;
        let other = run(&settings(agent.address, "n1", 4)).await;
        let checker = Rc::new(RefCell::new(Checker::new(GRACE_MS)));
        let observer = checker.clone();
        let streams = Rc::new(Cell::new(0));
        let observe: Rc<dyn Fn(_)> = Rc::new(move |what| observer.borrow_mut().observe(what));
        let mut links = Vec::new();
        for at in [&one, &other] {
            let link = Link::open(
                at.address,
                1,
                Faults::default(),
                streams.clone(),
                observe.clone(),
            )
            .await
            .unwrap();
            links.push(link);
        }
        let dispatcher = Dispatcher::new(0, "a", &KINDS, true, 1, observe);
        dispatcher.set_assigners(&[links[0].address, links[1].address]);
        dispatcher.run();
        one.wait_for_state("in step", KINDS.len()).await;
        let whole = checker.borrow().full_updates;
        assert_eq!((whole, checker.borrow().unchanged), (2, 0));
        // After the cut it joins the other assigner with both tables.
        links[0].disconnect_all();
        let rows = other.wait_for_state("in step", KINDS.len()).await;
        assert!(
            rows.iter()
                .all(|r| r.told.as_ref().unwrap().starts_with("n1~"))
        );
        let checker = checker.borrow();
        assert_eq!(checker.full_updates, whole, "no table was resent");
        assert!(checker.unchanged >= 2 && checker.violations.is_empty());
        drop(agent);
    });
}

/// Runs the executable with an optional operators file. Returns its log lines and the number of its
/// open descriptors.
fn program(operators: Option<&str>) -> (Vec<String>, usize) {
    use std::io::{BufRead, BufReader};
    use std::process::{Command, Stdio};
    let folder = tempfile::tempdir().unwrap();
    // Nothing listens on this port, so each failed watch logs a line.
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let config = folder.path().join("config.json");
    std::fs::write(&config, settings(closed_port, "n0", 4).to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_rookpulley-assigner"));
    command
        .env("PROXY_CONFIG", &config)
        .env_remove("ROOKPULLEY_OPERATORS")
        .stderr(Stdio::piped());
    if let Some(text) = operators {
        let file = folder.path().join("operators.star");
        std::fs::write(&file, text).unwrap();
        command.arg("--operators").arg(file);
    }
    let mut child = command.spawn().unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map(Result::unwrap);
    let lines: Vec<String> = lines.take(3).collect();
    // The minimum of many samples excludes sockets of connection attempts.
    let count = |_| {
        std::fs::read_dir(format!("/proc/{}/fd", child.id()))
            .unwrap()
            .count()
    };
    let descriptors = (0..200).map(count).min().unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    (lines, descriptors)
}

#[test]
fn disabled_features_open_no_descriptor_and_logs_are_text_or_json() {
    let (plain, off) = program(None);
    assert!(
        plain[0].starts_with("n0 start: listening at 127.0.0.1:"),
        "{plain:?}"
    );
    let (_, empty) = program(Some("# nothing\n"));
    assert_eq!(off, empty);
    let all = "address(listen = \"127.0.0.1:0\")\nversions()\nlog(form = \"json\")\n";
    let (lines, on) = program(Some(all));
    assert_eq!(on, off + 1, "the operator API");
    for line in &lines {
        let said: Value = serde_json::from_str(line).expect(line);
        assert!(
            said["name"] == "n0" && said["kind"].is_string() && said["message"].is_string(),
            "{line}"
        );
    }
    let (lines, _) = program(Some("versions(keep = 1)\n"));
    assert!(
        lines[0].contains("operators.star:1:1: keep = 1 is out of range; write a number"),
        "{lines:?}"
    );
}
