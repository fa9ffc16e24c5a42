//! CONFIG: a request with a revoked key runs at a machine that is cut off.
//!
//! A machine is cut off from all controllers while the operator sends the first configuration with tenants, and then one
//! that takes a key away. `revokeMs` after its acknowledgement a client sends that key to the machine that is cut off.

use crate::cluster::{Cluster, Plan, Record};
use crate::task::{Task, sound};
use crate::{Outcome, Verdict, http, relay, sites};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const REVOKE: Duration = Duration::from_millis(5_000);
/// The longest `node_cut` of the site file.
const CUT: Duration = Duration::from_secs(10);
const ORDER: Duration = Duration::from_secs(5);

fn get(cluster: &Cluster, machine: usize, id: &str, key: &str) -> u16 {
    let credentials = format!("Bearer {key}");
    let headers = [
        ("Host", "lonja.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "1500"),
        ("Authorization", credentials.as_str()),
        ("Connection", "close"),
    ];
    let to = cluster.front(machine);
    let answer = http::call(
        to,
        Duration::from_secs(2),
        "GET",
        "/read/lot",
        &headers,
        b"",
    );
    let told = match &answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("no answer ({error})"),
    };
    cluster.record.line(format!(
        "client: {id} with key {key} to courier-{}: {told}",
        machine + 1
    ));
    answer.map_or(0, |answer| answer.status())
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let bounds = "revocationStrict = true\nrevokeMs = 5000\n".to_owned();
    let mut cluster = Cluster::new(
        Plan {
            behind_relays: 1,
            bounds,
            contracts: "\"tenants\",".to_owned(),
            ..Plan::default()
        },
        record.clone(),
    )?;
    let apart = cluster.machines();
    let is_cut = Arc::new(AtomicBool::new(false));
    for machine in 0..apart {
        let at = SocketAddr::from((cluster.ip(machine), cluster.relay_port()));
        let to = SocketAddr::from((cluster.ip(machine), cluster.proxy_port()));
        relay::start(at, to, is_cut.clone())?;
    }
    cluster.start_all()?;
    if !cluster.configure(&sites::configuration(1), Duration::from_secs(20)) {
        return Err("no configuration was taken".into());
    }
    let mut tasks = Vec::new();
    for (number, zone) in (0..3).zip(["north", "east", "south"]) {
        let (ip, beat) = (cluster.other_ip(number), Duration::from_millis(1_500));
        let answer = sound(Duration::from_millis(10));
        let id = format!("i-{number}");
        tasks.push(Task::start(
            &id,
            "lonja",
            zone,
            ip,
            cluster.controls(),
            record.clone(),
            beat,
            answer,
        )?);
    }
    for machine in 0..=apart {
        if !cluster.wait_ready(machine, Duration::from_secs(10)) {
            return Err("a proxy does not become ready".into());
        }
    }
    // Machines count as lost for `catchUpS` after their start.
    std::thread::sleep(Duration::from_secs(5));
    if get(&cluster, apart, "before", "k1") != 200 {
        return Err("the request before the cut was not served".into());
    }

    let began = Instant::now();
    if has_trouble {
        is_cut.store(true, Ordering::SeqCst);
        record.line(format!(
            "courier-{} is cut off from all controllers",
            apart + 1
        ));
    }
    if !cluster.configure(&sites::with_tenants(2, &[&["k1", "k9"], &["k2"]]), ORDER) {
        return Err("the configuration with tenants was not taken".into());
    }
    if !cluster.configure(&sites::with_tenants(3, &[&["k9"], &["k2"]]), ORDER) {
        return Err("the configuration that revokes k1 was not taken".into());
    }
    let acknowledged = Instant::now();
    std::thread::sleep(REVOKE + Duration::from_millis(500));
    let mut late = Vec::new();
    for number in 0..10 {
        let id = format!("late-{number}");
        let after = acknowledged.elapsed();
        record.line(format!(
            "{} ms after the acknowledgement of version 3",
            after.as_millis()
        ));
        get(&cluster, apart, &id, "k1");
        get(&cluster, 0, &format!("elsewhere-{number}"), "k1");
        late.push(id);
        std::thread::sleep(Duration::from_millis(200));
    }
    if has_trouble && began.elapsed() > CUT {
        return Err("the cut became longer than the pages allow".into());
    }
    is_cut.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(500));
    let has_run = |id: &String| {
        tasks
            .iter()
            .any(|task| task.runs.lock().is_ok_and(|runs| runs.contains_key(id)))
    };
    let ran = late.iter().filter(|id| has_run(id)).count();
    record.line(format!(
        "{ran} of {} requests with the revoked key ran",
        late.len()
    ));
    Ok(if ran > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
