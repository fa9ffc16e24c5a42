//! Measures the time from writing a server file to the first update at a dispatcher over loopback,
//! with the file watch and with polling once a second.
//! `cargo run --release -p rookpulley-assigner --example file_latency [ROUNDS]`

use rookpulley_assigner::{Assigner, Signals, config};
use rookpulley_files::render;
use rookpulley_lists::{Candidate, Entry};
use rookpulley_operators::file;
use rookpulley_standin::discovery::DiscoveryServer;
use rookpulley_standin::{Dispatcher, lists};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

fn text(generation: u64) -> String {
    let entry = |n: u64| Entry {
        name: format!("s-{n}"),
        address: format!("10.0.0.{n}:80"),
        zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
        machine: "m".into(),
        // The weight identifies the generation.
        weight: 1.0 + (generation % 100) as f64 / 64.0,
        ..Entry::default()
    };
    render(&Candidate {
        generation,
        loss: Some(1.0),
        entries: (10..14).map(entry).collect(),
    })
}

async fn follow(servers: &Path) -> Rc<Dispatcher> {
    let agent = DiscoveryServer::new().await;
    let config = lists::assigner_config(agent.address);
    let config = config::parse(&config.to_string()).unwrap();
    let operators = file::read(
        Path::new("o"),
        &format!("servers(file = {:?})", servers.to_str().unwrap()),
    )
    .unwrap();
    let assigner = Assigner::bind(config, "none".into(), Signals::take().unwrap(), &operators)
        .await
        .unwrap();
    let address = assigner.addresses().0.unwrap();
    spawn_local(assigner.serve());
    let dispatcher = Dispatcher::new(0, "a", &["read", "write"], false, 1, Rc::new(|_| ()));
    dispatcher.set_assigners(&[address]);
    dispatcher.run();
    dispatcher
}

async fn until(dispatcher: &Dispatcher, generation: u64) {
    let weight = 1.0 + (generation % 100) as f64 / 64.0;
    while !dispatcher.tables()["read"].values().any(|w| *w == weight) {
        sleep(Duration::from_micros(500)).await;
    }
}

async fn measure(write: &Path, dispatcher: &Dispatcher, rounds: u64) -> Vec<f64> {
    let mut latencies = Vec::new();
    for round in 0..rounds {
        // Vary the pause, so that writes do not align with the polling interval.
        sleep(Duration::from_millis(300 + round * 137 % 700)).await;
        let temporary = write.with_extension("new");
        std::fs::write(&temporary, text(round + 2)).unwrap();
        std::fs::rename(&temporary, write).unwrap();
        let from = Instant::now();
        until(dispatcher, round + 2).await;
        latencies.push(from.elapsed().as_secs_f64() * 1e3);
    }
    latencies.sort_by(f64::total_cmp);
    latencies
}

fn main() {
    let rounds = std::env::args()
        .nth(1)
        .and_then(|r| r.parse().ok())
        .unwrap_or(60);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let folder =
            std::env::temp_dir().join(format!("rookpulley-latency-{}", std::process::id()));
        for (name, polled) in [("the watch", false), ("once a second", true)] {
            std::fs::create_dir_all(&folder).unwrap();
            let (followed, source) = (folder.join("servers.star"), folder.join("source.star"));
            std::fs::write(&followed, text(1)).unwrap();
            let dispatcher = follow(&followed).await;
            until(&dispatcher, 1).await;
            let write = if polled { &source } else { &followed };
            if polled {
                let (source, followed) = (source.clone(), followed.clone());
                spawn_local(async move {
                    loop {
                        sleep(Duration::from_secs(1)).await;
                        if source.exists() {
                            std::fs::rename(&source, &followed).unwrap();
                        }
                    }
                });
            }
            let latencies = measure(write, &dispatcher, rounds).await;
            let at = |quantile: f64| latencies[((latencies.len() - 1) as f64 * quantile) as usize];
            println!(
                "{name}: median {:.0} ms, 99th percentile {:.0} ms, {rounds} files",
                at(0.5),
                at(0.99)
            );
            std::fs::remove_dir_all(&folder).unwrap();
        }
    });
}
