//! Randomized client and instance misbehavior: no response may reach the wrong client, and no
//! non-idempotent request may run twice.

use crate::harness::{
    Action, Harness, PeerConnection, ReceivedRequest, build_response, request, run_test,
};
use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_samples::run_cases;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// How an instance handles a request.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Responds,
    KeepsAlive,
    Closes,
    Chunked,
    /// Sends the previous response again, then its own.
    StaleFirst,
    /// Sends its own response twice.
    Duplicates,
    Rejects,
    WrongInstance,
    Fails,
    Unavailable,
    Truncates(usize),
    TruncatesChunked(usize),
    WrongId,
    Garbage,
}

impl Behavior {
    fn draw(u: &mut Unstructured) -> Result<Behavior> {
        let at = u.int_in_range(0..=200)?;
        let all = [
            Behavior::Responds,
            Behavior::KeepsAlive,
            Behavior::Closes,
            Behavior::Chunked,
            Behavior::StaleFirst,
            Behavior::Duplicates,
            Behavior::Rejects,
            Behavior::WrongInstance,
            Behavior::Fails,
            Behavior::Unavailable,
            Behavior::Truncates(at),
            Behavior::TruncatesChunked(at),
            Behavior::WrongId,
            Behavior::Garbage,
        ];
        if u.ratio(1, 2)? {
            Ok(Behavior::KeepsAlive)
        } else {
            Ok(*u.choose(&all)?)
        }
    }

    fn executes(self) -> bool {
        !matches!(self, Behavior::Rejects | Behavior::WrongInstance)
    }

    fn action(self, received: &ReceivedRequest, last: &mut Vec<u8>) -> Action {
        let id = received.header("request-id").unwrap();
        let signature = "Response-Signature: s\r\n";
        let keep_alive = "Response-Signature: s\r\nKeep-Alive: timeout=5\r\n";
        let full = build_response(received, "200 OK", keep_alive, &body(id));
        let chunks = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{signature}Transfer-Encoding: chunked\r\n\r\n5\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
            &body(id)[..5],
            body(id).len() - 5,
            &body(id)[5..]
        );
        let previous = std::mem::replace(last, full.clone());
        let cut = |bytes: &[u8], at: usize| Action::Close(bytes[..at % bytes.len()].to_vec());
        match self {
            Behavior::Responds => {
                Action::Respond(build_response(received, "200 OK", signature, &body(id)))
            }
            Behavior::KeepsAlive => Action::Respond(full),
            Behavior::Closes => Action::Close(build_response(
                received,
                "200 OK",
                "Response-Signature: s\r\nConnection: close\r\n",
                &body(id),
            )),
            Behavior::Chunked => Action::Respond(chunks.into()),
            Behavior::StaleFirst => Action::Respond([previous, full].concat()),
            Behavior::Duplicates => Action::Respond([full.clone(), full].concat()),
            Behavior::Rejects => Action::Respond(build_response(
                received,
                "503 Busy",
                "Not-Executed: 1\r\n",
                "busy",
            )),
            Behavior::WrongInstance => {
                Action::Respond(build_response(received, "421 Other", "", ""))
            }
            Behavior::Fails => Action::Respond(build_response(received, "500 Bad", "", "bad")),
            Behavior::Unavailable => {
                Action::Respond(build_response(received, "503 Busy", "", "busy"))
            }
            Behavior::Truncates(at) => cut(&full, at),
            Behavior::TruncatesChunked(at) => cut(chunks.as_bytes(), at),
            Behavior::WrongId => Action::Respond(
                String::from_utf8(full)
                    .unwrap()
                    .replace("Request-Id: ", "Request-Id: no-")
                    .into(),
            ),
            Behavior::Garbage => Action::Respond(b"SSH-2.0-what\r\n\r\n".to_vec()),
        }
    }
}

fn body(id: &str) -> String {
    format!("the answer to {id}")
}

#[derive(Clone, Debug)]
struct TestRequest {
    id: String,
    mutating: bool,
    target: String,
    body: Vec<u8>,
    bytes: Vec<u8>,
}

impl TestRequest {
    fn draw(u: &mut Unstructured, id: String) -> Result<TestRequest> {
        let mutating = u.ratio(2, 3)?;
        let target = format!("{}{id}?{id}", if mutating { "/m/" } else { "/r/" });
        let length = *u.choose(&[0, 0, 1, 100, 5_000, 70_000])?;
        let body: Vec<u8> = id.bytes().cycle().take(length).collect();
        let (headers, wire) = if u.ratio(1, 2)? {
            (format!("Content-Length: {length}\r\n"), body.clone())
        } else if length > 0 {
            let size = u.int_in_range(1..=length)?.max(length / 10);
            let mut wire = Vec::new();
            for chunk in body.chunks(size) {
                wire.extend(
                    format!("{:x}\r\n", chunk.len())
                        .bytes()
                        .chain(chunk.iter().copied()),
                );
                wire.extend(b"\r\n");
            }
            (
                "Transfer-Encoding: chunked\r\n".to_owned(),
                [wire.as_slice(), b"0\r\n\r\n"].concat(),
            )
        } else {
            Default::default()
        };
        let bytes = [request("POST", &target, &id, &headers).into_bytes(), wire].concat();
        Ok(TestRequest {
            id,
            mutating,
            target,
            body,
            bytes,
        })
    }
}

/// How a client sends its requests.
#[derive(Clone, Copy, Debug)]
enum SendMode {
    Sequential,
    Pipelined,
    /// Disconnects within the last request or before its response.
    Disconnects(usize),
}

/// Sends requests and returns those that got a response, with its status, its body and whether it
/// is signed.
async fn client(
    client_address: std::net::SocketAddr,
    requests: Vec<TestRequest>,
    mode: SendMode,
) -> Vec<(TestRequest, u16, Vec<u8>, bool)> {
    let mut completed = Vec::new();
    let mut requests: std::collections::VecDeque<TestRequest> = requests.into();
    while !requests.is_empty() {
        let mut peer = PeerConnection::new(
            tokio::net::TcpStream::connect(client_address)
                .await
                .unwrap(),
        );
        let depth = if matches!(mode, SendMode::Pipelined) {
            requests.len()
        } else {
            1
        };
        for request in requests.iter().take(depth) {
            match mode {
                SendMode::Disconnects(at) if requests.len() == 1 => {
                    peer.send(&request.bytes[..at % (request.bytes.len() + 1)])
                        .await;
                    return completed;
                }
                _ => _ = peer.send(&request.bytes).await,
            }
        }
        for _ in 0..depth {
            let Some(request) = requests.pop_front() else {
                break;
            };
            let Some(response) = peer.read_message().await else {
                break;
            };
            let is_own_response = response
                .header("request-id")
                .is_none_or(|id| id == request.id);
            assert!(is_own_response, "{} got {}", request.id, response.head);
            let closes = response.header("connection") == Some("close");
            let signed = response.header("response-signature").is_some();
            completed.push((request, response.status(), response.body, signed));
            if closes {
                assert!(peer.closes_cleanly().await);
                break;
            }
        }
    }
    completed
}

#[test]
fn responses_match_requests_and_mutations_run_at_most_once() {
    run_cases(40, 1 << 12, |u| {
        let mut clients = Vec::new();
        for client in 0..u.int_in_range(1..=6)? {
            let mut requests = Vec::new();
            for number in 0..u.int_in_range(1..=6)? {
                requests.push(TestRequest::draw(u, format!("id-{client}-{number}-"))?);
            }
            let at = u.int_in_range(0..=100_000)?;
            clients.push((
                requests,
                *u.choose(&[
                    SendMode::Sequential,
                    SendMode::Pipelined,
                    SendMode::Disconnects(at),
                ])?,
            ));
        }
        let behaviors: Vec<Behavior> =
            (0..200).map(|_| Behavior::draw(u)).collect::<Result<_>>()?;
        let count = u.int_in_range(1..=4)?;
        run_test(async {
            let (next_behavior, last_responses) = (RefCell::new(0), RefCell::new(HashMap::new()));
            let executed_ids: Rc<RefCell<Vec<String>>> = Rc::default();
            let executed_log = executed_ids.clone();
            let harness = Harness::with_instances(count, move |received| {
                let behavior = behaviors[next_behavior
                    .replace_with(|next_behavior| *next_behavior + 1)
                    % behaviors.len()];
                let id = received.header("request-id").unwrap().to_owned();
                if behavior.executes() {
                    executed_log.borrow_mut().push(id);
                }
                let incarnation = received.header("target-instance").unwrap().to_owned();
                behavior.action(
                    received,
                    last_responses
                        .borrow_mut()
                        .entry((incarnation, received.connection))
                        .or_default(),
                )
            })
            .await;
            let all: HashMap<String, TestRequest> = clients
                .iter()
                .flat_map(|(requests, _)| requests)
                .map(|request| (request.id.clone(), request.clone()))
                .collect();
            let mut client_tasks = Vec::new();
            for (requests, mode) in clients {
                client_tasks.push(tokio::task::spawn_local(client(
                    harness.client_address,
                    requests,
                    mode,
                )));
            }
            let mut completed = Vec::new();
            for task in client_tasks {
                completed.extend(task.await.unwrap());
            }
            let run_count = |id: &str| {
                executed_ids
                    .borrow()
                    .iter()
                    .filter(|executed| *executed == id)
                    .count()
            };
            for (request, status, response, signed) in completed {
                match status {
                    200 => {
                        assert!(
                            signed
                                && response == body(&request.id).as_bytes()
                                && run_count(&request.id) > 0,
                            "{request:?}"
                        )
                    }
                    503 if request.mutating => {
                        assert_eq!(run_count(&request.id), 0, "{}", request.id)
                    }
                    500 | 502 | 503 => {}
                    other => panic!("{other} for {}", request.id),
                }
            }
            for received in harness.received.borrow().iter() {
                let request = &all[received.header("request-id").unwrap()];
                assert!(
                    received
                        .head
                        .starts_with(&format!("POST {} HTTP/1.1\r\n", request.target)),
                    "{}",
                    received.head
                );
                assert_eq!(received.body, request.body);
                assert!(
                    !request.mutating || run_count(&request.id) <= 1,
                    "{}",
                    request.id
                );
            }
        });
        Ok(())
    });
}
