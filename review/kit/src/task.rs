//! A stand-in task: registers itself, sends heartbeats and answers requests as the users' pages say.

use crate::cluster::Record;
use crate::http::{self, Connection, Message};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a task answers a request that it runs: the bytes to write, and whether the connection stays.
pub type Answer = dyn Fn(&Task, &Message, &mut Connection) -> bool + Send + Sync;

pub struct Task {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub record: Record,
    controls: Vec<SocketAddr>,
    sequence: AtomicU64,
    pub ended: AtomicBool,
    pub draining: AtomicBool,
    /// How often each request was run, by its id.
    pub runs: Mutex<HashMap<String, u32>>,
    answer: Box<Answer>,
    heartbeat: Duration,
}

impl Task {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: Ipv4Addr,
        controls: Vec<SocketAddr>,
        record: Record,
        heartbeat: Duration,
        answer: Box<Answer>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let port = listener.local_addr()?.port();
        let task = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: SocketAddr::new(IpAddr::V4(ip), port),
            record,
            controls,
            sequence: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            runs: Mutex::default(),
            answer,
            heartbeat,
        });
        let server = task.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.ended.load(Ordering::SeqCst) {
                    return;
                }
                let task = server.clone();
                std::thread::spawn(move || _ = task.serve(Connection::new(stream)));
            }
        });
        let beating = task.clone();
        std::thread::spawn(move || {
            let mut at = 0;
            while !beating.ended.load(Ordering::SeqCst) {
                if !beating.beat(beating.controls[at % beating.controls.len()]) {
                    at += 1;
                    std::thread::sleep(Duration::from_millis(100));
                    continue;
                }
                std::thread::sleep(beating.heartbeat);
            }
        });
        Ok(task)
    }

    pub fn beat(&self, to: SocketAddr) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "available"
        };
        let body = format!(
            "{{\"address\":\"{}\",\"nodeInfo\":{{\"targetService\":\"{}\",\"configVersion\":\"v1\",\"zone\":\"{}\",\
             \"capacitySlots\":4}},\"currentStatus\":{{\"lifecycleState\":\"{state}\",\"callSequence\":{sequence},\
             \"coldRemainingMs\":0}}}}",
            self.address, self.service, self.zone
        );
        let path = format!("/rookpulley/instances/{}", self.id);
        let answer = http::control(to, Duration::from_secs(1), "PUT", &path, &body);
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    fn serve(&self, mut connection: Connection) -> std::io::Result<()> {
        loop {
            let until = Instant::now() + Duration::from_secs(10);
            let Some(mut head) = connection.head(until)? else {
                return Ok(());
            };
            let id = head.header("request-id").unwrap_or("").to_owned();
            if head.first == "GET" && head.second == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                connection.write(answer.as_bytes())?;
                continue;
            }
            if head
                .header("target-instance")
                .is_some_and(|target| target != self.id)
            {
                head.body = connection.body(&head, false, until)?;
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                connection.write(answer.as_bytes())?;
                continue;
            }
            if !(self.answer)(self, &head, &mut connection) {
                return Ok(());
            }
        }
    }

    /// Records that a request runs.
    pub fn run(&self, id: &str) {
        if let Ok(mut runs) = self.runs.lock() {
            *runs.entry(id.to_owned()).or_default() += 1;
        }
        self.record.line(format!("task {} runs {id}", self.id));
    }

    /// A signed answer.
    pub fn signed(&self, id: &str, body: &[u8], more: &str) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}.{id}.{}\r\n{more}Content-Length: {}\r\n\r\n",
            self.id,
            body.len(),
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// A sound task: reads the body, works for some milliseconds, answers with its id and the request's.
pub fn sound(work: Duration) -> Box<Answer> {
    Box::new(move |task, head, connection| {
        let until = Instant::now() + Duration::from_secs(10);
        let id = head.header("request-id").unwrap_or("").to_owned();
        if connection.body(head, false, until).is_err() {
            return false;
        }
        task.run(&id);
        std::thread::sleep(work);
        let body = format!("{id} by {}\n", task.id);
        connection
            .write(&task.signed(&id, body.as_bytes(), "Keep-Alive: timeout=8\r\n"))
            .is_ok()
    })
}
