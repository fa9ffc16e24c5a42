//! Server lists from a file: an assigner, its dispatchers, and a writer that produces invalid files.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_assigner::driver::Context;
use rookpulley_assigner::{Assigner, Signals, config};
use rookpulley_files::render;
use rookpulley_lists::{Candidate, Entry};
use rookpulley_operators::file;
use rookpulley_standin::Dispatcher;
use rookpulley_standin::client::EVENT_TIMEOUT;
use rookpulley_standin::discovery::DiscoveryServer;
use rookpulley_standin::lists::{assigner_config, server};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

fn entry(n: usize, weight: f64) -> Entry {
    Entry {
        name: format!("s-{n}"),
        address: format!("10.0.0.{n}:80"),
        zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
        machine: "m".into(),
        weight,
        ..Entry::default()
    }
}

fn list(generation: u64, servers: impl Iterator<Item = usize>, weight: f64) -> Candidate {
    Candidate {
        generation,
        loss: Some(1.0),
        entries: servers.map(|n| entry(n, weight)).collect(),
    }
}

struct Running {
    ctx: Rc<Context>,
    agent: DiscoveryServer,
    dispatchers: Vec<Rc<Dispatcher>>,
}

const KINDS: [&str; 2] = ["read", "write"];

async fn run(servers: &Path, dispatchers: u64) -> Running {
    let agent = DiscoveryServer::new().await;
    let mut settings = assigner_config(agent.address);
    settings["limits"]["sockets"] = json!(256);
    settings["settings"]["limits"]["peers"] = json!(false);
    settings["settings"]["family_info"]["agents"] = json!(dispatchers);
    let operators = file::read(
        Path::new("o"),
        &format!("servers(file = {:?})", servers.to_str().unwrap()),
    )
    .unwrap();
    let config = config::parse(&settings.to_string()).unwrap();
    let assigner = Assigner::bind(
        config,
        "no file".into(),
        Signals::take().unwrap(),
        &operators,
    )
    .await
    .unwrap();
    let (address, ctx) = (assigner.addresses().0.unwrap(), assigner.ctx.clone());
    spawn_local(assigner.serve());
    let dispatchers = (0..dispatchers).map(|id| {
        let dispatcher = Dispatcher::new(id, "a", &KINDS, false, 1, Rc::new(|_| ()));
        dispatcher.set_assigners(&[address]);
        dispatcher.run();
        dispatcher
    });
    Running {
        dispatchers: dispatchers.collect(),
        ctx,
        agent,
    }
}

impl Running {
    fn tables(&self) -> Vec<BTreeMap<String, f64>> {
        self.dispatchers
            .iter()
            .flat_map(|d| d.tables().into_values())
            .collect()
    }

    /// Waits until every table contains exactly these servers.
    async fn wait_for_servers(&self, servers: &[usize]) {
        let expected: BTreeSet<String> = servers.iter().map(|n| format!("s-{n}")).collect();
        let wait = async {
            while !self
                .tables()
                .iter()
                .all(|t| t.keys().cloned().collect::<BTreeSet<_>>() == expected)
            {
                sleep(Duration::from_millis(10)).await;
            }
        };
        if timeout(EVENT_TIMEOUT, wait).await.is_err() {
            panic!(
                "not all tables contain exactly {expected:?}: {:?}\n{:#?}",
                self.tables(),
                self.ctx.counters.lines()
            );
        }
    }

    async fn wait_for_count(&self, what: &str, count: u64) {
        while self.ctx.counters.get(what) < count {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

fn run_local(test: impl AsyncFnOnce(&Path)) {
    let folder = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(3 * EVENT_TIMEOUT, test(&folder.path().join("servers.star")))
            .await
            .expect("test timed out");
    });
}

#[test]
fn file_replaces_discovery_but_discovery_drains_still_apply() {
    run_local(async |file| {
        let running = run(file, 2).await;
        running.wait_for_servers(&[1, 2, 3]).await;
        std::fs::write(file, render(&list(1, 11..=14, 1.0))).unwrap();
        running.wait_for_servers(&[11, 12, 13, 14]).await;
        // ScriptedDiscovery cannot add servers, but it can drain servers of the file.
        running.agent.publish(
            8,
            false,
            &[server(5, "SERVING", 0.0), server(12, "DRAINING", 0.0)],
        );
        running.wait_for_servers(&[11, 13, 14]).await;
        // Zero weights, a truncated file and an older generation are rejected.
        for (text, count) in [
            (render(&list(2, 11..=14, 0.0)), 1),
            (render(&list(3, 11..=14, 2.0))[..60].to_string(), 2),
            (render(&list(0, 11..=16, 1.0)), 3),
        ] {
            let before = running.ctx.counters.get("server files not taken");
            std::fs::write(file, text).unwrap();
            running
                .wait_for_count("server files not taken", before + 1)
                .await;
            assert!(running.ctx.counters.get("server files not taken") >= count);
            running.wait_for_servers(&[11, 13, 14]).await;
        }
        // A removed server is drained; listing it again does not restore it.
        std::fs::write(file, render(&list(4, [11, 12, 13].into_iter(), 1.0))).unwrap();
        running.wait_for_servers(&[11, 13]).await;
        let before = running.ctx.counters.get("server files not taken");
        std::fs::write(file, render(&list(5, 11..=14, 1.0))).unwrap();
        running
            .wait_for_count("server files not taken", before + 1)
            .await;
        running.wait_for_servers(&[11, 13]).await;
        std::fs::remove_file(file).unwrap();
        running
            .wait_for_count("server files not taken", before + 2)
            .await;
        running.wait_for_servers(&[11, 13]).await;
    });
}

/// Guards against tables that mix generations or contain servers of an invalid file.
#[test]
fn invalid_rewrites_never_change_the_tables() {
    run_local(async |file| {
        let seed: u64 = std::env::var("SEED")
            .ok()
            .and_then(|s| s.parse().ok())
            .unwrap_or(3);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Each valid list has its own pair of servers, one per zone, which makes mixtures visible.
        let pair = |generation: u64| [100 + 2 * generation as usize, 101 + 2 * generation as usize];
        std::fs::write(file, render(&list(1, pair(1).into_iter(), 1.0))).unwrap();
        let running = run(file, 4).await;
        running.wait_for_servers(&pair(1)).await;
        let (mut generation, mut accepted) = (1, 1);
        for n in 0..5_000 {
            let next = list(generation + 1, pair(generation + 1).into_iter(), 1.0);
            let text = render(&next);
            let invalid = match rng.random_range(0..6) {
                0 | 1 => text[..rng.random_range(0..text.trim_end().len())].to_string(),
                2 => text.replace(
                    "weight = 1.0",
                    ["weight = -1", "weight = 0", "weight = 1e300"][n % 3],
                ),
                3 => render(&list(generation + 1, pair(generation + 1).into_iter(), 0.0)),
                4 => render(&list(generation - 1, pair(generation - 1).into_iter(), 1.0)),
                _ => text.replacen("s-", "s", 1),
            };
            std::fs::write(file, invalid).unwrap();
            if n % 8 == 0 {
                sleep(Duration::from_micros(500)).await;
            } else {
                tokio::task::yield_now().await;
            }
            let names: BTreeSet<usize> = running
                .tables()
                .iter()
                .flat_map(|t| t.keys())
                .map(|s| s[2..].parse().unwrap())
                .collect();
            let newest = pair(generation);
            assert!(
                names.iter().all(|n| newest.contains(n)),
                "write {n} of seed {seed}: {names:?}, {newest:?}"
            );
            // Write a valid file at intervals and wait for it.
            if n % 200 == 199 {
                std::fs::write(file, &text).unwrap();
                generation += 1;
                accepted += 1;
                running.wait_for_servers(&pair(generation)).await;
            }
        }
        assert_eq!(
            running.ctx.counters.get("server files taken"),
            accepted,
            "exactly the valid files"
        );
        assert!(running.ctx.counters.get("server files not taken") > 20);
    });
}

#[test]
fn reload_signal_during_a_file_change_is_harmless() {
    use std::io::{BufRead, BufReader};
    use std::process::{Command, Stdio};
    let folder = tempfile::tempdir().unwrap();
    let (config, servers, operators) = (
        folder.path().join("c.json"),
        folder.path().join("servers.star"),
        folder.path().join("o.star"),
    );
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    std::fs::write(&config, assigner_config(closed_port).to_string()).unwrap();
    std::fs::write(
        &operators,
        format!("servers(file = {:?})", servers.to_str().unwrap()),
    )
    .unwrap();
    std::fs::write(&servers, render(&list(1, 11..=14, 1.0))).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_rookpulley-assigner"))
        .env("PROXY_CONFIG", &config)
        .arg("--operators")
        .arg(&operators)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map(Result::unwrap);
    let mut wait_for_line = |what: &str| {
        lines
            .find(|line| line.contains(what))
            .unwrap_or_else(|| panic!("no line contains {what}"))
    };
    wait_for_line("generation 1 accepted");
    let send_sighup = || {
        let kill = format!("kill -HUP {}", child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .unwrap()
                .success()
        );
    };
    // Send a signal after half of the file is written, and after all of it.
    let text = render(&list(2, 11..=15, 1.0));
    std::fs::write(&servers, &text[..text.len() / 2]).unwrap();
    send_sighup();
    wait_for_line("keeping the last accepted list");
    std::fs::write(&servers, &text).unwrap();
    send_sighup();
    wait_for_line("generation 2 accepted, 5 servers");
    child.kill().unwrap();
    child.wait().unwrap();
}
