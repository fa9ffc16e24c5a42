//! Rude tasks and clients, drawn by chance: whatever they do, no promise breaks and no answer goes astray.

use crate::scene::{Act, Got, Scene, Talk, answer, play, request};
use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_samples::run_cases;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// What a task does with a request.
#[derive(Clone, Copy, Debug)]
enum Deed {
    Answers,
    Keeps,
    Leaves,
    InChunks,
    /// The answer before it comes once more, ahead of it or behind it.
    Before,
    Behind,
    TurnsAway,
    IsAnother,
    Fails,
    Promises,
    Cuts(usize),
    CutsChunks(usize),
    Mixes,
    Babbles,
}

impl Deed {
    fn draw(u: &mut Unstructured) -> Result<Deed> {
        let at = u.int_in_range(0..=200)?;
        let all = [
            Deed::Answers,
            Deed::Keeps,
            Deed::Leaves,
            Deed::InChunks,
            Deed::Before,
            Deed::Behind,
            Deed::TurnsAway,
            Deed::IsAnother,
            Deed::Fails,
            Deed::Promises,
            Deed::Cuts(at),
            Deed::CutsChunks(at),
            Deed::Mixes,
            Deed::Babbles,
        ];
        if u.ratio(1, 2)? {
            Ok(Deed::Keeps)
        } else {
            Ok(*u.choose(&all)?)
        }
    }

    fn runs(self) -> bool {
        !matches!(self, Deed::TurnsAway | Deed::IsAnother)
    }

    fn act(self, got: &Got, last: &mut Vec<u8>) -> Act {
        let id = got.header("request-id").unwrap();
        let sign = "Response-Signature: s\r\n";
        let keep = "Response-Signature: s\r\nKeep-Alive: timeout=5\r\n";
        let whole = answer(got, "200 OK", keep, &body(id));
        let chunks = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{sign}Transfer-Encoding: chunked\r\n\r\n5\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
            &body(id)[..5],
            body(id).len() - 5,
            &body(id)[5..]
        );
        let before = std::mem::replace(last, whole.clone());
        let cut = |bytes: &[u8], at: usize| Act::Cut(bytes[..at % bytes.len()].to_vec());
        match self {
            Deed::Answers => Act::Write(answer(got, "200 OK", sign, &body(id))),
            Deed::Keeps => Act::Write(whole),
            Deed::Leaves => Act::Cut(answer(
                got,
                "200 OK",
                "Response-Signature: s\r\nConnection: close\r\n",
                &body(id),
            )),
            Deed::InChunks => Act::Write(chunks.into()),
            Deed::Before => Act::Write([before, whole].concat()),
            Deed::Behind => Act::Write([whole.clone(), whole].concat()),
            Deed::TurnsAway => Act::Write(answer(got, "503 Busy", "Not-Executed: 1\r\n", "busy")),
            Deed::IsAnother => Act::Write(answer(got, "421 Other", "", "")),
            Deed::Fails => Act::Write(answer(got, "500 Bad", "", "bad")),
            Deed::Promises => Act::Write(answer(got, "503 Busy", "", "busy")),
            Deed::Cuts(at) => cut(&whole, at),
            Deed::CutsChunks(at) => cut(chunks.as_bytes(), at),
            Deed::Mixes => Act::Write(
                String::from_utf8(whole)
                    .unwrap()
                    .replace("Request-Id: ", "Request-Id: no-")
                    .into(),
            ),
            Deed::Babbles => Act::Write(b"SSH-2.0-what\r\n\r\n".to_vec()),
        }
    }
}

fn body(id: &str) -> String {
    format!("the answer to {id}")
}

#[derive(Clone, Debug)]
struct Ask {
    id: String,
    mutating: bool,
    target: String,
    body: Vec<u8>,
    bytes: Vec<u8>,
}

impl Ask {
    fn draw(u: &mut Unstructured, id: String) -> Result<Ask> {
        let mutating = u.ratio(2, 3)?;
        let target = format!("{}{id}?{id}", if mutating { "/m/" } else { "/r/" });
        let length = *u.choose(&[0, 0, 1, 100, 5_000, 70_000])?;
        let body: Vec<u8> = id.bytes().cycle().take(length).collect();
        let (more, wire) = if u.ratio(1, 2)? {
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
        let bytes = [request("POST", &target, &id, &more).into_bytes(), wire].concat();
        Ok(Ask {
            id,
            mutating,
            target,
            body,
            bytes,
        })
    }
}

/// How a client goes about its requests.
#[derive(Clone, Copy, Debug)]
enum Way {
    OneByOne,
    AllAtOnce,
    /// It leaves amid the last one's bytes, or before its answer.
    Leaves(usize),
}

/// Sends requests, and returns those that were answered with what came.
async fn client(
    front: std::net::SocketAddr,
    asks: Vec<Ask>,
    way: Way,
) -> Vec<(Ask, u16, Vec<u8>, bool)> {
    let mut answered = Vec::new();
    let mut asks: std::collections::VecDeque<Ask> = asks.into();
    while !asks.is_empty() {
        let mut talk = Talk::new(tokio::net::TcpStream::connect(front).await.unwrap());
        let ahead = if matches!(way, Way::AllAtOnce) {
            asks.len()
        } else {
            1
        };
        for ask in asks.iter().take(ahead) {
            match way {
                Way::Leaves(at) if asks.len() == 1 => {
                    talk.say(&ask.bytes[..at % (ask.bytes.len() + 1)]).await;
                    return answered;
                }
                _ => _ = talk.say(&ask.bytes).await,
            }
        }
        for _ in 0..ahead {
            let Some(ask) = asks.pop_front() else { break };
            let Some(back) = talk.message().await else {
                break;
            };
            let its = back.header("request-id").is_none_or(|id| id == ask.id);
            assert!(its, "{} got {}", ask.id, back.head);
            let ends = back.header("connection") == Some("close");
            let signed = back.header("response-signature").is_some();
            answered.push((ask, back.status(), back.body, signed));
            if ends {
                assert!(talk.ends().await);
                break;
            }
        }
    }
    answered
}

#[test]
fn no_promise_breaks_and_no_answer_goes_astray() {
    run_cases(40, 1 << 12, |u| {
        let mut clients = Vec::new();
        for client in 0..u.int_in_range(1..=6)? {
            let mut asks = Vec::new();
            for number in 0..u.int_in_range(1..=6)? {
                asks.push(Ask::draw(u, format!("id-{client}-{number}-"))?);
            }
            let at = u.int_in_range(0..=100_000)?;
            clients.push((
                asks,
                *u.choose(&[Way::OneByOne, Way::AllAtOnce, Way::Leaves(at)])?,
            ));
        }
        let deeds: Vec<Deed> = (0..200).map(|_| Deed::draw(u)).collect::<Result<_>>()?;
        let count = u.int_in_range(1..=4)?;
        play(async {
            let (turn, lasts) = (RefCell::new(0), RefCell::new(HashMap::new()));
            let runs: Rc<RefCell<Vec<String>>> = Rc::default();
            let tell = runs.clone();
            let scene = Scene::with_tasks(count, move |got| {
                let deed = deeds[turn.replace_with(|turn| *turn + 1) % deeds.len()];
                let id = got.header("request-id").unwrap().to_owned();
                if deed.runs() {
                    tell.borrow_mut().push(id);
                }
                let incarnation = got.header("target-instance").unwrap().to_owned();
                deed.act(
                    got,
                    lasts
                        .borrow_mut()
                        .entry((incarnation, got.connection))
                        .or_default(),
                )
            })
            .await;
            let all: HashMap<String, Ask> = clients
                .iter()
                .flat_map(|(asks, _)| asks)
                .map(|ask| (ask.id.clone(), ask.clone()))
                .collect();
            let mut at_work = Vec::new();
            for (asks, way) in clients {
                at_work.push(tokio::task::spawn_local(client(scene.front, asks, way)));
            }
            let mut answered = Vec::new();
            for one in at_work {
                answered.extend(one.await.unwrap());
            }
            let runs = |id: &str| runs.borrow().iter().filter(|one| *one == id).count();
            for (ask, status, back, signed) in answered {
                match status {
                    200 => {
                        assert!(
                            signed && back == body(&ask.id).as_bytes() && runs(&ask.id) > 0,
                            "{ask:?}"
                        )
                    }
                    503 if ask.mutating => assert_eq!(runs(&ask.id), 0, "{}", ask.id),
                    500 | 502 | 503 => {}
                    other => panic!("{other} for {}", ask.id),
                }
            }
            for got in scene.got.borrow().iter() {
                let ask = &all[got.header("request-id").unwrap()];
                assert!(
                    got.head
                        .starts_with(&format!("POST {} HTTP/1.1\r\n", ask.target)),
                    "{}",
                    got.head
                );
                assert_eq!(got.body, ask.body);
                assert!(!ask.mutating || runs(&ask.id) <= 1, "{}", ask.id);
            }
        });
        Ok(())
    });
}
