//! Stand-ins to try an assigner with, on loopback: discovery with a list of servers, dispatchers that follow
//! the assigner's tables, and a collector that reports that all is well. No server is behind the names.

use clap::Parser;
use rookpulley_standin::wire::Wire;
use rookpulley_standin::{Agent, Dispatcher};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Stands in for discovery, dispatchers and a collector, as deploy/example.json has them.
///
/// Example: rookpulley-standin --dispatchers 8 --churn 10
#[derive(Parser)]
#[command(version)]
struct Given {
    /// The assigners; more than one where dispatchers are to move between them
    #[arg(long, default_value = "127.0.0.1:3900", value_name = "ADDRESS")]
    assigner: Vec<SocketAddr>,
    /// Where to answer as discovery
    #[arg(long, default_value = "127.0.0.1:3901", value_name = "ADDRESS")]
    discovery: SocketAddr,
    #[arg(long, default_value_t = 8)]
    dispatchers: u64,
    /// Of these the first speak of versions
    #[arg(long, default_value_t = 6)]
    speaking: u64,
    #[arg(long, default_value_t = 6)]
    servers: u32,
    /// Every so many seconds a server drains, and the one before starts anew; 0: never
    #[arg(long, default_value_t = 0.0, value_name = "SECONDS")]
    churn: f64,
    /// Ends after so many seconds; 0: never
    #[arg(long = "for", default_value_t = 0.0, value_name = "SECONDS")]
    seconds: f64,
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

fn line(n: u32, status: &str, since_ms: f64) -> Value {
    let place = (n as usize + 1) % 2;
    let machine = ["small", "large"][place];
    json!({"name": format!("s-{n}"), "address": format!("127.0.0.1:{}", 8_000 + n), "zone": ZONES[place],
        "type": machine, "group": place, "status": status, "weight": 1.0 + place as f64,
        "since_ms": since_ms})
}

async fn stand_in(given: Given) -> std::io::Result<()> {
    let listener = TcpListener::bind(given.discovery).await?;
    let agent = Agent::at(listener);
    let mut index = 2;
    let all: Vec<Value> = (1..=given.servers)
        .map(|n| line(n, "SERVING", 0.0))
        .collect();
    agent.say(index, true, &all);
    println!(
        "discovery answers at {}, {} servers listed",
        given.discovery, given.servers
    );
    for id in 0..given.dispatchers {
        let zone = ZONES[(id % 2) as usize];
        let dispatcher = Dispatcher::new(
            id,
            zone,
            &KINDS,
            id < given.speaking,
            given.seed,
            Rc::new(|_| ()),
        );
        let mut places = given.assigner.clone();
        places.rotate_left(id as usize % given.assigner.len());
        dispatcher.dial(&places);
        dispatcher.run();
    }
    println!(
        "{} dispatchers join, {} of them speak of versions",
        given.dispatchers, given.speaking
    );
    for place in given.assigner.clone() {
        spawn_local(report(place, given.servers));
    }
    let (from, mut drained) = (Instant::now(), None);
    loop {
        let left = match given.seconds {
            0.0 => f64::INFINITY,
            most => most - from.elapsed().as_secs_f64(),
        };
        if left <= 0.0 {
            return Ok(());
        }
        let pause = if given.churn > 0.0 {
            given.churn.min(left)
        } else {
            left.min(3_600.0)
        };
        sleep(Duration::from_secs_f64(pause)).await;
        if given.churn > 0.0 {
            index += 1;
            let mut lines = Vec::new();
            let next = drained.map_or(1, |n: u32| n % given.servers + 1);
            if let Some(back) = drained.replace(next) {
                println!("s-{back} starts anew");
                lines.push(line(back, "SERVING", unix_ms()));
            }
            println!("s-{next} drains");
            lines.push(line(next, "DRAINING", 0.0));
            agent.say(index, false, &lines);
        }
    }
}

/// Reports once a second that all servers do well.
async fn report(place: SocketAddr, servers: u32) {
    loop {
        sleep(Duration::from_secs(1)).await;
        let Ok(mut wire) = Wire::try_dial(place).await else {
            continue;
        };
        wire.say(&json!({"msg": "telemetry", "zone": ZONES[0]}).to_string())
            .await;
        for _ in 0..60 {
            for n in 1..=servers {
                let heard = json!({"msg": "upstream_stats", "zone": ZONES[0], "server": format!("s-{n}"),
                    "tries": 20, "failed": 0, "mean_ms": 40.0, "span_ms": 1000.0});
                wire.say(&heard.to_string()).await;
            }
            sleep(Duration::from_secs(1)).await;
        }
    }
}

fn main() -> std::io::Result<()> {
    let given = Given::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, stand_in(given))
}
