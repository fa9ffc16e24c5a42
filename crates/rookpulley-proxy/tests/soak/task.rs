//! Stand-in instances. The last part of a request's path says how many milliseconds the instance works on it.

use crate::early_answer::{AnswerEnd, EarlyAnswer, UPLOADS};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// In how many parts an answer is sent, and the length of each.
struct AnswerShape {
    parts: u32,
    part_bytes: usize,
}

const SHORT: AnswerShape = AnswerShape {
    parts: 1,
    part_bytes: 700,
};
/// Downloads are sent slowly, or in one part that is longer than the buffers of a connection.
const DOWNLOADS: [AnswerShape; 3] = [
    AnswerShape {
        parts: 5,
        part_bytes: 700,
    },
    AnswerShape {
        parts: 5,
        part_bytes: 40_000,
    },
    AnswerShape {
        parts: 1,
        part_bytes: 5_000_000,
    },
];

/// One arrival of a request at an instance.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the instance finishes if nothing breaks off its work.
    pub done_at: Instant,
}

/// What all instances have received, by `Request-Id`.
#[derive(Default)]
pub struct Record {
    arrivals: RefCell<BTreeMap<String, Vec<Arrival>>>,
    /// Arrivals that an instance turns away once its time for them is over.
    turned_away: RefCell<BTreeMap<String, Arrival>>,
    /// Requests whose answer an instance has broken off.
    broken_off: RefCell<BTreeSet<String>>,
}

impl Record {
    /// The arrivals that an instance worked on.
    pub fn arrivals(&self, id: &str) -> Vec<Arrival> {
        self.arrivals.borrow().get(id).cloned().unwrap_or_default()
    }

    /// Whether an instance has broken off the answer to this request.
    pub fn is_broken_off(&self, id: &str) -> bool {
        self.broken_off.borrow().contains(id)
    }

    fn add_arrival(&self, id: &str, arrival: Arrival) {
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.entry(id.to_owned()).or_default().push(arrival);
    }

    /// Whether an instance still has the request at this time.
    pub fn is_at_an_instance(&self, id: &str, at: Instant) -> bool {
        let turned_away = self.turned_away.borrow().get(id).copied();
        let mut arrivals = self.arrivals(id).into_iter().chain(turned_away);
        arrivals.any(|arrival| arrival.done_at >= at)
    }

    /// Whether an instance turns this arrival away: the first one of one request in ten.
    fn turns_away(&self, id: &str, arrival: Arrival) -> bool {
        let mut turned_away = self.turned_away.borrow_mut();
        let turns_away = id.ends_with('7') && !turned_away.contains_key(id);
        if turns_away {
            turned_away.insert(id.to_owned(), arrival);
        }
        turns_away
    }
}

/// Starts an instance and returns its address.
pub async fn start(ip: Ipv4Addr, record: Rc<Record>) -> SocketAddrV4 {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::task::spawn_local(serve(stream, record.clone()));
        }
    });
    SocketAddrV4::new(ip, port)
}

/// Serves requests until the connection ends, which also breaks off the work on the current one.
async fn serve(mut stream: TcpStream, record: Rc<Record>) {
    stream.set_nodelay(true).unwrap();
    let mut received = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut received).await {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let work_ms = path.rsplit('/').next().and_then(|ms| ms.parse().ok());
        let work = Duration::from_millis(work_ms.unwrap_or(0));
        let id = header(&head, "request-id").unwrap_or_default().to_owned();
        if path.starts_with(UPLOADS) {
            let done_at = Instant::now() + work;
            record.add_arrival(&id, Arrival { done_at });
            let answer = EarlyAnswer::select(&id);
            match answer.play(&mut stream, &mut received, &head, work).await {
                AnswerEnd::Whole => continue,
                AnswerEnd::BrokenOff => record.broken_off.borrow_mut().insert(id),
                AnswerEnd::Failed => return,
            };
            return;
        }
        if read_body(&mut stream, &mut received, &head).await.is_none() {
            return;
        }
        let done_at = Instant::now() + work;
        let turns_away = record.turns_away(&id, Arrival { done_at });
        if !turns_away {
            record.add_arrival(&id, Arrival { done_at });
        }
        let mut next = [0];
        let answered = tokio::select! {
            answered = answer(work, path.starts_with("/d/"), &id), if !turns_away => answered,
            () = sleep(work), if turns_away => vec![(Duration::ZERO, not_executed(&id))],
            // The proxy sends nothing before the answer, so this is the end of the connection.
            _ = stream.peek(&mut next) => return,
        };
        for (pause, part) in answered {
            sleep(pause).await;
            if stream.write_all(&part).await.is_err() {
                return;
            }
        }
    }
}

/// The parts of an answer and the pause before each, once the work before the first part is done.
async fn answer(work: Duration, is_download: bool, id: &str) -> Vec<(Duration, Vec<u8>)> {
    let shape = if is_download {
        &DOWNLOADS[id.bytes().map(usize::from).sum::<usize>() % DOWNLOADS.len()]
    } else {
        &SHORT
    };
    let (parts, body) = (shape.parts, vec![b'x'; shape.part_bytes]);
    let pause = work / parts;
    sleep(pause).await;
    let length = body.len() * parts as usize;
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut sent = vec![(Duration::ZERO, [head.as_bytes(), &body].concat())];
    sent.extend((1..parts).map(|_| (pause, body.clone())));
    sent
}

fn not_executed(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

/// Reads the head of a request, or returns `None` if the connection ends before.
async fn read_head(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    let head_end = loop {
        if let Some(end) = received.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        fill(stream, received).await?;
    };
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    received.drain(..head_end);
    Some(head)
}

/// Reads the body of a request, or returns `None` if the connection ends before.
pub async fn read_body(stream: &mut TcpStream, received: &mut Vec<u8>, head: &str) -> Option<()> {
    if header(head, "transfer-encoding").is_some() {
        loop {
            if let Some(end) = received.windows(5).position(|five| five == b"0\r\n\r\n") {
                received.drain(..end + 5);
                return Some(());
            }
            fill(stream, received).await?;
        }
    }
    let length = header(head, "content-length").map_or(0, |length| length.parse().unwrap());
    while received.len() < length {
        fill(stream, received).await?;
    }
    received.drain(..length);
    Some(())
}

/// Receives more, or returns `None` if the connection has ended.
pub async fn fill(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<()> {
    let read = stream.read_buf(received).await.unwrap_or(0);
    (read > 0).then_some(())
}

/// A header of a request or response head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
