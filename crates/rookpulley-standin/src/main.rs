//! Runs test doubles for trying an assigner on loopback: discovery with a server list, dispatchers that follow the
//! assigner's tables, and a collector that reports healthy servers. The listed servers do not exist.

use clap::Parser;
use rookpulley_standin::client::TestClient;
use rookpulley_standin::{DiscoveryServer, Dispatcher};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Simulates the discovery, dispatchers and collector that deploy/example.json expects
///
/// Example: rookpulley-standin --dispatchers 8 --churn 10
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The assigner's address; repeat it to let dispatchers fail over between assigners
    #[arg(long, default_value = "127.0.0.1:3900", value_name = "ADDRESS")]
    assigner: Vec<SocketAddr>,
    /// The address on which to serve discovery
    #[arg(long, default_value = "127.0.0.1:3901", value_name = "ADDRESS")]
    discovery: SocketAddr,
    /// The number of dispatchers
    #[arg(long, default_value_t = 8)]
    dispatchers: u64,
    /// How many of the dispatchers report versions
    #[arg(long, default_value_t = 6)]
    speaking: u64,
    /// The number of listed servers
    #[arg(long, default_value_t = 6)]
    servers: u32,
    /// Interval at which one server drains and the previous one restarts; 0 disables it
    #[arg(long, default_value_t = 0.0, value_name = "SECONDS")]
    churn: f64,
    /// Exit after this many seconds; 0 runs until stopped
    #[arg(long = "for", default_value_t = 0.0, value_name = "SECONDS")]
    seconds: f64,
    /// The seed of all randomness
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

const ZONES: [&str; 2] = ["east", "west"];
const KINDS: [&str; 2] = ["show", "book"];

fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}

fn server_entry(n: u32, status: &str, since_ms: f64) -> Value {
    let zone = (n as usize + 1) % 2;
    let machine = ["small", "large"][zone];
    json!({"name": format!("s-{n}"), "address": format!("127.0.0.1:{}", 8_000 + n), "zone": ZONES[zone],
        "type": machine, "group": zone, "status": status, "weight": 1.0 + zone as f64,
        "since_ms": since_ms})
}

async fn run(args: Args) -> std::io::Result<()> {
    let listener = TcpListener::bind(args.discovery).await?;
    let discovery = DiscoveryServer::from_listener(listener);
    let mut index = 2;
    let initial: Vec<Value> = (1..=args.servers)
        .map(|n| server_entry(n, "SERVING", 0.0))
        .collect();
    discovery.publish(index, true, &initial);
    println!(
        "serving discovery at {} with {} servers",
        args.discovery, args.servers
    );
    for id in 0..args.dispatchers {
        let zone = ZONES[(id % 2) as usize];
        let dispatcher = Dispatcher::new(
            id,
            zone,
            &KINDS,
            id < args.speaking,
            args.seed,
            Rc::new(|_| ()),
        );
        let mut assigners = args.assigner.clone();
        assigners.rotate_left(id as usize % args.assigner.len());
        dispatcher.set_assigners(&assigners);
        dispatcher.run();
    }
    println!(
        "started {} dispatchers, {} of them report versions",
        args.dispatchers, args.speaking
    );
    for assigner in args.assigner.clone() {
        spawn_local(report(assigner, args.servers));
    }
    let (started, mut draining) = (Instant::now(), None);
    loop {
        let remaining_s = match args.seconds {
            0.0 => f64::INFINITY,
            limit_s => limit_s - started.elapsed().as_secs_f64(),
        };
        if remaining_s <= 0.0 {
            return Ok(());
        }
        let pause_s = if args.churn > 0.0 {
            args.churn.min(remaining_s)
        } else {
            remaining_s.min(3_600.0)
        };
        sleep(Duration::from_secs_f64(pause_s)).await;
        if args.churn > 0.0 {
            index += 1;
            let mut entries = Vec::new();
            let next = draining.map_or(1, |n: u32| n % args.servers + 1);
            if let Some(restarted) = draining.replace(next) {
                println!("s-{restarted} restarts");
                entries.push(server_entry(restarted, "SERVING", unix_ms()));
            }
            println!("s-{next} drains");
            entries.push(server_entry(next, "DRAINING", 0.0));
            discovery.publish(index, false, &entries);
        }
    }
}

/// Reports successful requests for all servers once a second, reconnecting every minute.
async fn report(assigner: SocketAddr, servers: u32) {
    loop {
        sleep(Duration::from_secs(1)).await;
        let Ok(mut client) = TestClient::try_connect(assigner).await else {
            continue;
        };
        client
            .send(&json!({"msg": "telemetry", "zone": ZONES[0]}).to_string())
            .await;
        for _ in 0..60 {
            for n in 1..=servers {
                let stats = json!({"msg": "upstream_stats", "zone": ZONES[0], "server": format!("s-{n}"),
                    "tries": 20, "failed": 0, "mean_ms": 40.0, "span_ms": 1000.0});
                client.send(&stats.to_string()).await;
            }
            sleep(Duration::from_secs(1)).await;
        }
    }
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(args))
}
