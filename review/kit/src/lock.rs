//! ONE: two callers count themselves holder of one lock at the same moment.
//!
//! A caller gives its lock back at one controller just after the head of the chain was killed, and dies before it has an
//! answer. It runs again under its name and asks another controller for the lock, before the chain is at work again.

use crate::cluster::{Cluster, Plan, Record, Role};
use crate::http::{self, Connection};
use crate::sites;
use crate::{Outcome, Verdict};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const HOLD_MS: u64 = 3_000;
const SECOND: Duration = Duration::from_secs(1);
const PATH: &str = "/rookpulley/locks/l1";

/// A caller's hold: from the answer until its time since the call was sent is over.
struct Hold {
    fence: u64,
    from: Instant,
    until: Instant,
}

fn take(record: &Record, who: &str, to: SocketAddr) -> Option<Hold> {
    let sent = Instant::now();
    let body = format!("{{\"holder\":\"{who}\",\"holdMs\":{HOLD_MS}}}");
    let answer = http::control(to, SECOND, "POST", PATH, &body);
    let told = match &answer {
        Ok(answer) => format!("{} {}", answer.status(), answer.text()),
        Err(error) => format!("no answer ({error})"),
    };
    record.line(format!("{who}: POST {PATH} to {to}: {told}"));
    let answer = answer.ok().filter(|answer| answer.status() == 200)?;
    let fence = http::number(&answer.text(), "fence")?;
    let until = sent + Duration::from_millis(HOLD_MS);
    Some(Hold {
        fence,
        from: Instant::now(),
        until,
    })
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(Plan::default(), record.clone())?;
    cluster.start_all()?;
    if !cluster.configure(&sites::configuration(1), Duration::from_secs(20)) {
        return Err("no configuration was taken".into());
    }
    // Machines count as lost for `catchUpS` after their start.
    std::thread::sleep(Duration::from_secs(5));
    let order = cluster
        .chain_order()
        .ok_or("the chain has not three members")?;
    let (head, next, last) = (order[0], order[1], order[2]);
    let first = take(record, "a1", cluster.control(next)).ok_or("the lock was not given")?;
    std::thread::sleep(Duration::from_millis(500));

    if has_trouble {
        cluster.kill(Role::Controller, head);
    }
    std::thread::sleep(Duration::from_millis(100));
    let to = cluster.control(last);
    let host = to.to_string();
    let headers = [
        ("Host", host.as_str()),
        ("Content-Type", "application/json"),
    ];
    let body = format!("{{\"holder\":\"a1\",\"fence\":{}}}", first.fence);
    let mut connection = Connection::open(to, SECOND)?;
    connection.write(&http::request("DELETE", PATH, &headers, body.as_bytes()))?;
    record.line(format!(
        "a1: DELETE {PATH} with fence {} to {to}",
        first.fence
    ));
    std::thread::sleep(Duration::from_millis(20));
    drop(connection);
    record.line("a1 dies without an answer, and is started again");
    std::thread::sleep(Duration::from_millis(80));

    let mut held = None;
    for _ in 0..5 {
        held = held.or_else(|| take(record, "a1", cluster.control(next)));
    }
    let held = held.ok_or("the lock was not given again")?;
    let left = held.until.saturating_duration_since(held.from);
    record.line(format!(
        "a1 counts itself holder with fence {} for {} ms",
        held.fence,
        left.as_millis()
    ));
    while Instant::now() < held.until {
        if let Some(other) = take(record, "b2", cluster.control(next)) {
            let both = held.until.saturating_duration_since(other.from);
            if both.is_zero() {
                break;
            }
            record.line(format!(
                "b2 counts itself holder with fence {}, while a1 does so for {} ms more",
                other.fence,
                both.as_millis()
            ));
            return Ok(Verdict::Broken);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(Verdict::Held)
}
