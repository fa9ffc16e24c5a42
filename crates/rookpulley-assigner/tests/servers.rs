//! Servers listed by a file: an assigner, dispatchers that follow it, and a writer who does everything wrong.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_assigner::driver::Context;
use rookpulley_assigner::{Assigner, Signals, config};
use rookpulley_files::render;
use rookpulley_lists::{Candidate, Entry};
use rookpulley_operators::file;
use rookpulley_standin::Dispatcher;
use rookpulley_standin::discovery::Agent;
use rookpulley_standin::lists::{server, told};
use rookpulley_standin::wire::LONG;
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
    agent: Agent,
    dispatchers: Vec<Rc<Dispatcher>>,
}

const KINDS: [&str; 2] = ["read", "write"];

async fn run(servers: &Path, dispatchers: u64) -> Running {
    let agent = Agent::new().await;
    let mut settings = told(agent.place);
    settings["limits"]["sockets"] = json!(256);
    settings["settings"]["limits"]["peers"] = json!(false);
    settings["settings"]["family_info"]["agents"] = json!(dispatchers);
    let operators = file::read(
        Path::new("o"),
        &format!("servers(file = {:?})", servers.to_str().unwrap()),
    )
    .unwrap();
    let told = config::parse(&settings.to_string()).unwrap();
    let assigner = Assigner::bind(told, "no file".into(), Signals::take().unwrap(), &operators)
        .await
        .unwrap();
    let (place, ctx) = (assigner.addresses().0.unwrap(), assigner.ctx.clone());
    spawn_local(assigner.serve());
    let dispatchers = (0..dispatchers).map(|id| {
        let dispatcher = Dispatcher::new(id, "a", &KINDS, false, 1, Rc::new(|_| ()));
        dispatcher.dial(&[place]);
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

    /// Waits until every table names just these servers.
    async fn until(&self, servers: &[usize]) {
        let wanted: BTreeSet<String> = servers.iter().map(|n| format!("s-{n}")).collect();
        let wait = async {
            while !self
                .tables()
                .iter()
                .all(|t| t.keys().cloned().collect::<BTreeSet<_>>() == wanted)
            {
                sleep(Duration::from_millis(10)).await;
            }
        };
        if timeout(LONG, wait).await.is_err() {
            panic!(
                "not all tables name {wanted:?}: {:?}\n{:#?}",
                self.tables(),
                self.ctx.counters.lines()
            );
        }
    }

    async fn counted(&self, what: &str, count: u64) {
        while self.ctx.counters.get(what) < count {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

fn on_sockets(test: impl AsyncFnOnce(&Path)) {
    let folder = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(3 * LONG, test(&folder.path().join("servers.star")))
            .await
            .expect("it hangs");
    });
}

#[test]
fn a_file_takes_the_place_of_discovery_and_discoverys_drains_still_count() {
    on_sockets(async |file| {
        let running = run(file, 2).await;
        running.until(&[1, 2, 3]).await;
        std::fs::write(file, render(&list(1, 11..=14, 1.0))).unwrap();
        running.until(&[11, 12, 13, 14]).await;
        // What discovery lists is none of the file's; a drain that it sees of the file's own counts.
        running.agent.say(
            8,
            false,
            &[server(5, "SERVING", 0.0), server(12, "DRAINING", 0.0)],
        );
        running.until(&[11, 13, 14]).await;
        // Every weight zero, a truncated file, an older one: the last good list stays.
        for (text, count) in [
            (render(&list(2, 11..=14, 0.0)), 1),
            (render(&list(3, 11..=14, 2.0))[..60].to_string(), 2),
            (render(&list(0, 11..=16, 1.0)), 3),
        ] {
            let before = running.ctx.counters.get("server files not taken");
            std::fs::write(file, text).unwrap();
            running.counted("server files not taken", before + 1).await;
            assert!(running.ctx.counters.get("server files not taken") >= count);
            running.until(&[11, 13, 14]).await;
        }
        // A line less is a drain; the same file as before does not bring it back.
        std::fs::write(file, render(&list(4, [11, 12, 13].into_iter(), 1.0))).unwrap();
        running.until(&[11, 13]).await;
        let before = running.ctx.counters.get("server files not taken");
        std::fs::write(file, render(&list(5, 11..=14, 1.0))).unwrap();
        running.counted("server files not taken", before + 1).await;
        running.until(&[11, 13]).await;
        std::fs::remove_file(file).unwrap();
        running.counted("server files not taken", before + 2).await;
        running.until(&[11, 13]).await;
    });
}

/// At every moment the tables name servers of one accepted list, and what is accepted was written whole.
#[test]
fn a_file_rewritten_five_thousand_times_with_truncations_and_bad_values() {
    on_sockets(async |file| {
        let seed: u64 = std::env::var("SEED")
            .ok()
            .and_then(|s| s.parse().ok())
            .unwrap_or(3);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Each good list has a pair of servers of its own, one in each zone, so a mixture would show.
        let pair = |generation: u64| [100 + 2 * generation as usize, 101 + 2 * generation as usize];
        std::fs::write(file, render(&list(1, pair(1).into_iter(), 1.0))).unwrap();
        let running = run(file, 4).await;
        running.until(&pair(1)).await;
        let (mut generation, mut good) = (1, 1);
        for n in 0..5_000 {
            let next = list(generation + 1, pair(generation + 1).into_iter(), 1.0);
            let text = render(&next);
            let spoilt = match rng.random_range(0..6) {
                0 | 1 => text[..rng.random_range(0..text.trim_end().len())].to_string(),
                2 => text.replace(
                    "weight = 1.0",
                    ["weight = -1", "weight = 0", "weight = 1e300"][n % 3],
                ),
                3 => render(&list(generation + 1, pair(generation + 1).into_iter(), 0.0)),
                4 => render(&list(generation - 1, pair(generation - 1).into_iter(), 1.0)),
                _ => text.replacen("s-", "s", 1),
            };
            std::fs::write(file, spoilt).unwrap();
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
            // Now and then a good one, waited for.
            if n % 200 == 199 {
                std::fs::write(file, &text).unwrap();
                generation += 1;
                good += 1;
                running.until(&pair(generation)).await;
            }
        }
        assert_eq!(
            running.ctx.counters.get("server files taken"),
            good,
            "just those that were written whole"
        );
        assert!(running.ctx.counters.get("server files not taken") > 20);
    });
}

#[test]
fn a_reload_signal_in_the_midst_of_it_changes_no_list() {
    use std::io::{BufRead, BufReader};
    use std::process::{Command, Stdio};
    let folder = tempfile::tempdir().unwrap();
    let (config, servers, operators) = (
        folder.path().join("c.json"),
        folder.path().join("servers.star"),
        folder.path().join("o.star"),
    );
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    std::fs::write(&config, told(gone).to_string()).unwrap();
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
    let mut until = |what: &str| {
        lines
            .find(|line| line.contains(what))
            .unwrap_or_else(|| panic!("no {what}"))
    };
    until("generation 1 taken");
    let hang_up = || {
        let kill = format!("kill -HUP {}", child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .unwrap()
                .success()
        );
    };
    // Half a file, a signal, the other half, a signal.
    let text = render(&list(2, 11..=15, 1.0));
    std::fs::write(&servers, &text[..text.len() / 2]).unwrap();
    hang_up();
    until("the last good list stays");
    std::fs::write(&servers, &text).unwrap();
    hang_up();
    until("generation 2 taken, 5 servers");
    child.kill().unwrap();
    child.wait().unwrap();
}
