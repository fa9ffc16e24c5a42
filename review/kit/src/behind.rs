//! LOST: an answer is cut off when its machine is stopped in order, because the client's next request lies unread behind
//! it. The client pipelines, and reads nothing for a moment, as on a slow link.

use crate::cluster::{Cluster, Plan, Record, Role};
use crate::http::{self, Connection};
use crate::task::{Answer, Task};
use crate::{Outcome, Verdict, sites};
use std::time::{Duration, Instant};

/// The length of an answer.
const LENGTH: usize = 3 << 20;
/// How long the client reads nothing, as on a slow link.
const PAUSE: Duration = Duration::from_millis(400);
/// How long after a request the client sends its next one.
const BEFORE_NEXT: Duration = Duration::from_millis(30);

/// Answers a request with a long body.
fn long_answers() -> Box<Answer> {
    Box::new(|task, head, connection| {
        let id = head.header("request-id").unwrap_or("").to_owned();
        if connection
            .body(head, false, Instant::now() + Duration::from_secs(10))
            .is_err()
        {
            return false;
        }
        task.run(&id);
        let written =
            connection.write(&task.signed(&id, &vec![b'x'; LENGTH], "Keep-Alive: timeout=8\r\n"));
        task.record.line(format!(
            "task {} has answered {id}: {}",
            task.id,
            written.is_ok()
        ));
        written.is_ok()
    })
}

fn request(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "lonja.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "6000"),
    ];
    http::request("GET", "/fetch/manifest", &headers, b"")
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(Plan::default(), record.clone())?;
    cluster.start_all()?;
    if !cluster.configure(&sites::with_downloads(1), Duration::from_secs(20)) {
        return Err("no configuration was taken".into());
    }
    let mut tasks = Vec::new();
    for (number, zone) in (0..3).zip(["north", "east", "south"]) {
        let (ip, beat) = (cluster.other_ip(number), Duration::from_millis(1_500));
        let id = format!("i-{number}");
        tasks.push(Task::start(
            &id,
            "lonja",
            zone,
            ip,
            cluster.controls(),
            record.clone(),
            beat,
            long_answers(),
        )?);
    }
    for machine in 0..cluster.machines() {
        if !cluster.wait_ready(machine, Duration::from_secs(10)) {
            return Err("a proxy does not become ready".into());
        }
    }
    std::thread::sleep(Duration::from_secs(5));
    let to = cluster.front(0);
    let mut clients = Vec::new();
    for number in 0..3 {
        // Kept connections, each used once before.
        let mut connection = Connection::open(to, Duration::from_secs(1))?;
        connection.write(&request(&format!("first-{number}")))?;
        let answer = connection.message(true, Instant::now() + Duration::from_secs(5))?;
        let length = answer.map_or(0, |answer| answer.body.len());
        record.line(format!(
            "client {number}: first-{number} answered, {length} bytes"
        ));
        clients.push(connection);
    }
    if has_trouble {
        cluster.signal(Role::Proxy, 0, "TERM");
        std::thread::sleep(Duration::from_millis(300));
    }
    let mut broken = 0;
    for (number, mut connection) in clients.into_iter().enumerate() {
        let id = format!("long-{number}");
        if connection.write(&request(&id)).is_err() {
            record.line(format!(
                "client {number}: the connection was closed before {id} was sent"
            ));
            continue;
        }
        std::thread::sleep(BEFORE_NEXT);
        if connection
            .write(&request(&format!("next-{number}")))
            .is_err()
        {
            record.line(format!(
                "client {number}: the connection was closed before next-{number} was sent"
            ));
        }
        record.line(format!(
            "client {number}: sent {id}, and next-{number} behind it"
        ));
        std::thread::sleep(PAUSE);
        let until = Instant::now() + Duration::from_secs(5);
        match connection.message(true, until) {
            Ok(Some(answer)) => {
                let length = answer.body.len();
                record.line(format!(
                    "client {number}: {id}: {} {length} bytes",
                    answer.status()
                ));
                broken += usize::from(answer.status() == 200 && length != LENGTH);
            }
            Ok(None) => record.line(format!("client {number}: {id}: closed without a byte")),
            Err(error) => {
                // Counted only where a task had the request; one that crosses a close does not count.
                let has_run = |task: &std::sync::Arc<Task>| {
                    task.runs.lock().is_ok_and(|runs| runs.contains_key(&id))
                };
                broken += usize::from(tasks.iter().any(has_run));
                record.line(format!(
                    "client {number}: {id}: cut after {} bytes of the body: {error}",
                    connection.buffer.len()
                ));
            }
        }
    }
    record.line(format!("{broken} answers were cut off"));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
