//! Clients that keep the proxy busy until the run ends.

use crate::early_answer::{EarlyAnswer, UPLOADS};
use crate::exchange::{Answer, Ending, Exchange};
use crate::judge::{Finding, Sent, Stop, judge};
use crate::random::Random;
use crate::task::Record;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a client may take before it reads an answer, so that the proxy has to wait.
const MAX_READ_DELAY_MS: u64 = 400;
/// The length of an upload, without its last part.
const UPLOAD_BYTES: std::ops::Range<u64> = 100_000..3_000_000;
/// The pause after a refused connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(15);

/// How a client uses its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Habit {
    /// Requests follow each other at once on a kept connection.
    BackToBack,
    /// Requests on a kept connection with pauses between them, up to longer than the idle timeout of a shutdown.
    WithPauses,
    /// A new connection for each request, from SIGTERM on.
    NewAfterStop,
    /// Bodies with a length or in chunks, in parts.
    BodyInParts,
    /// Heads in parts.
    HeadInParts,
    /// Two requests at once.
    Pipelined,
    /// Long bodies in parts, whose answers begin before they are sent.
    Upload,
}

impl Habit {
    pub const ALL: [Self; 7] = [
        Self::BackToBack,
        Self::WithPauses,
        Self::NewAfterStop,
        Self::BodyInParts,
        Self::HeadInParts,
        Self::Pipelined,
        Self::Upload,
    ];
}

/// What the clients of a run share.
pub struct Traffic {
    pub address: SocketAddrV4,
    pub record: Rc<Record>,
    /// When the proxy last became ready.
    pub ready_at: Cell<Instant>,
    /// How many processes have ended.
    pub ended_processes: Cell<usize>,
    pub stops: RefCell<Vec<Stop>>,
    pub is_over: Cell<bool>,
    pub findings: RefCell<Vec<Finding>>,
    pub answered: Cell<usize>,
    pub refused: Cell<usize>,
    pub closed: Cell<usize>,
}

pub struct Client {
    pub traffic: Rc<Traffic>,
    pub name: String,
    pub habit: Habit,
    pub random: Random,
}

/// A request in the parts in which it is sent.
struct Parts {
    id: String,
    deadline: Duration,
    parts: Vec<Vec<u8>>,
    early_answer: Option<EarlyAnswer>,
}

impl Client {
    pub async fn run(mut self) {
        let mut number = 0;
        while !self.traffic.is_over.get() {
            let waits = self.habit == Habit::NewAfterStop && self.traffic.stops.borrow().is_empty();
            let connected = if waits {
                None
            } else {
                Exchange::connect(self.traffic.address).await
            };
            match connected {
                Some(exchange) => self.use_connection(exchange, &mut number).await,
                None => sleep(RECONNECT_PAUSE).await,
            }
        }
    }

    /// Sends requests until the connection closes or the run ends.
    async fn use_connection(&mut self, mut exchange: Exchange, number: &mut usize) {
        let process = self.traffic.ended_processes.get();
        while !self.traffic.is_over.get() {
            let count = if self.habit == Habit::Pipelined { 2 } else { 1 };
            let mut outstanding = Vec::new();
            for _ in 0..count {
                *number += 1;
                let request = if self.habit == Habit::Upload {
                    self.next_upload(*number)
                } else {
                    self.next_request(*number)
                };
                match self.send(&mut exchange, request).await {
                    Some(sent) => outstanding.push(Sent { process, ..sent }),
                    None => break,
                }
            }
            let mut closes = outstanding.len() < count || self.habit == Habit::NewAfterStop;
            let mut is_after_close = false;
            for mut sent in outstanding {
                sent.is_after_close = is_after_close;
                sent.is_next_at = Instant::now();
                if self.random.one_in(4) {
                    sleep(Duration::from_millis(
                        self.random.between(1, MAX_READ_DELAY_MS),
                    ))
                    .await;
                }
                let outcome = exchange.read_answer().await;
                self.record_outcome(&sent, &outcome);
                is_after_close |= outcome.as_ref().map_or(true, |answer| answer.closes);
                closes |= is_after_close;
                if outcome.is_err() {
                    break;
                }
            }
            if closes {
                return;
            }
            self.pause().await;
        }
    }

    /// Sends a request in its parts. Returns `None` if the connection ended before the last one.
    ///
    /// The proxy may answer an upload and close the connection before that.
    async fn send(&mut self, exchange: &mut Exchange, request: Parts) -> Option<Sent> {
        let began_at = Instant::now();
        for (index, part) in request.parts.iter().enumerate() {
            if index > 0 {
                sleep(Duration::from_millis(self.random.between(1, 120))).await;
            }
            if !exchange.send(part).await {
                return None;
            }
        }
        let at = Instant::now();
        Some(Sent {
            id: request.id,
            began_at,
            at,
            is_next_at: at,
            deadline: began_at + request.deadline,
            is_after_close: false,
            process: 0,
            early_answer: request.early_answer,
        })
    }

    /// A long request. Its last part is short, so that the instance may have received all but that.
    fn next_upload(&mut self, number: usize) -> Parts {
        let id = format!("{}-{number}", self.name);
        let work_ms = self.random.between(0, 20);
        let deadline_ms = work_ms + self.random.between(3_000, 15_000);
        let body = vec![b'x'; self.random.between(UPLOAD_BYTES.start, UPLOAD_BYTES.end) as usize];
        let last = vec![b'x'; self.random.between(1, 200) as usize];
        let length = body.len() + last.len();
        let head = format!(
            "POST {UPLOADS}{work_ms} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
        );
        let (first, second) = body.split_at(body.len() / 2);
        let first = [head.as_bytes(), first].concat();
        let parts = if self.random.one_in(2) {
            vec![first, second.to_vec(), last]
        } else {
            vec![[first.as_slice(), second, &last].concat()]
        };
        Parts {
            early_answer: Some(EarlyAnswer::select(&id)),
            id,
            deadline: Duration::from_millis(deadline_ms),
            parts,
        }
    }

    fn next_request(&mut self, number: usize) -> Parts {
        let id = format!("{}-{number}", self.name);
        let work_ms = match self.random.between(0, 100) {
            0..70 => self.random.between(2, 60),
            70..92 => self.random.between(60, 400),
            92..98 => self.random.between(400, 1_500),
            _ => self.random.between(1_500, 4_500),
        };
        let deadline_ms = work_ms + self.random.between(1_500, 15_000);
        let has_body = self.habit == Habit::BodyInParts;
        let (method, kind) = match self.random.between(0, 4) {
            _ if has_body => ("POST", "m"),
            0 => ("POST", "m"),
            1 => ("GET", "d"),
            _ => ("GET", "r"),
        };
        let head = format!(
            "{method} /{kind}/{work_ms} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n"
        );
        let parts = match self.habit {
            Habit::BodyInParts if self.random.one_in(2) => [
                format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
                "3\r\nabc\r\n".to_owned(),
                "2\r\nde\r\n0\r\n\r\n".to_owned(),
            ]
            .map(String::into_bytes)
            .to_vec(),
            Habit::BodyInParts => [
                format!("{head}Content-Length: 6\r\n\r\n"),
                "abc".to_owned(),
                "def".to_owned(),
            ]
            .map(String::into_bytes)
            .to_vec(),
            Habit::HeadInParts => {
                let (first, rest) = head.split_at(head.len() / 2);
                vec![
                    first.as_bytes().to_vec(),
                    format!("{rest}\r\n").into_bytes(),
                ]
            }
            _ => vec![format!("{head}\r\n").into_bytes()],
        };
        let deadline = Duration::from_millis(deadline_ms);
        Parts {
            id,
            deadline,
            parts,
            early_answer: None,
        }
    }

    async fn pause(&mut self) {
        let pause_ms = match self.habit {
            Habit::WithPauses if self.random.one_in(8) => self.random.between(1_000, 2_000),
            Habit::WithPauses => self.random.between(5, 300),
            _ => return,
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }

    fn record_outcome(&self, sent: &Sent, outcome: &Result<Answer, Ending>) {
        let traffic = &self.traffic;
        let counter = match outcome {
            Ok(answer) if answer.is_signed => &traffic.answered,
            Ok(_) => &traffic.refused,
            Err(_) => &traffic.closed,
        };
        counter.set(counter.get() + 1);
        let finding = {
            let ready_at = traffic.ready_at.get();
            judge(
                &traffic.record,
                ready_at,
                &traffic.stops.borrow(),
                sent,
                outcome,
            )
        };
        traffic.findings.borrow_mut().extend(finding);
    }
}
