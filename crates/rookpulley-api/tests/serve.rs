//! The whole of it on loopback sockets: the reader, `async-h1`, the handler, and what comes back.

use rookpulley_api::{Bounds, Call, Reply, serve};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

struct Place {
    at: SocketAddr,
    stop: watch::Sender<bool>,
    served: tokio::task::JoinHandle<()>,
    calls: Rc<RefCell<Vec<Call>>>,
    /// Calls of `/wait` stay at work until this is told.
    go: Rc<Notify>,
    working: Rc<Cell<usize>>,
}

fn at_a_counter<F: Future<Output = ()>>(bounds: Bounds, trial: impl FnOnce(Place) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let (calls, go, working) = (
            Rc::new(RefCell::new(Vec::new())),
            Rc::new(Notify::new()),
            Rc::new(Cell::new(0)),
        );
        let (held, gate, at_work) = (calls.clone(), go.clone(), working.clone());
        let handler = move |call: Call| {
            let (gate, at_work) = (gate.clone(), at_work.clone());
            held.borrow_mut().push(call.clone());
            async move {
                if call.path == "/wait" {
                    at_work.set(at_work.get() + 1);
                    gate.notified().await;
                }
                Reply::bytes(200, call.body)
                    .with("X-Target", format!("{}?{}", call.path, call.query))
            }
        };
        let served = tokio::task::spawn_local(serve(listener, bounds, stopped, Rc::new(handler)));
        trial(Place {
            at,
            stop,
            served,
            calls,
            go,
            working,
        })
        .await;
    });
}

async fn dial(at: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

async fn rest(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    String::from_utf8(answer).unwrap()
}

/// Reads until this stands at the end of what came.
async fn until(stream: &mut TcpStream, end: &str) -> String {
    let mut answer = Vec::new();
    while !answer.ends_with(end.as_bytes()) {
        answer.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(answer).unwrap()
}

#[test]
fn calls_sent_together_are_answered_in_order_and_arrive_raw() {
    at_a_counter(Bounds::default(), |place| async move {
        let smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
        let sent = format!(
            "PUT /a/../%2e%2e?q=%20 HTTP/1.1\r\nHost: h\r\nNoté: x\r\n\r\n\
             PUT /a/../%2e%2e?q=%20 HTTP/1.1\r\nHost: h\r\nA: é\r\nContent-Length: {}\r\n\r\n{smuggled}\
             POST /two HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n2\r\n0\r\n\r\n\
             HEAD /three HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree",
            smuggled.len()
        );
        // A name that is no token spoils its own connection only.
        let spoilt = rest(dial(place.at, sent.as_bytes()).await).await;
        assert!(
            spoilt.starts_with("HTTP/1.1 400 Bad Request\r\n"),
            "{spoilt}"
        );
        assert!(
            spoilt.contains("connection: close\r\n") && spoilt.contains("{\"errorMessage\":\""),
            "{spoilt}"
        );

        let sent = sent.split_once("\r\n\r\n").unwrap().1;
        let answers = rest(dial(place.at, sent.as_bytes()).await).await;
        assert_eq!(
            answers.matches("HTTP/1.1 200 OK\r\n").count(),
            3,
            "{answers}"
        );
        let places: Vec<_> = [
            "x-target: /a/../%2e%2e?q=%20\r\n",
            smuggled,
            "x-target: /two?",
            "x-target: /three?",
        ]
        .iter()
        .map(|mark| answers.find(mark).unwrap())
        .collect();
        assert!(places.is_sorted());
        assert!(
            answers.ends_with("\r\n\r\n") && answers.contains("content-length: 5\r\n"),
            "{answers}"
        );
        let calls = place.calls.borrow();
        assert_eq!(calls[0].header("A"), Some("é"));
        assert_eq!(
            calls
                .iter()
                .map(|call| call.path.as_str())
                .collect::<Vec<_>>(),
            ["/a/../%2e%2e", "/two", "/three"]
        );
    });
}

#[test]
fn a_large_body_goes_there_and_back_and_one_too_large_gets_its_answer() {
    at_a_counter(
        Bounds {
            body_bytes: 1 << 20,
            ..Bounds::default()
        },
        |place| async move {
            let body: Vec<u8> = (0..1 << 20)
                .map(|number: u32| b'a' + (number % 23) as u8)
                .collect();
            let head = |length| {
                format!(
                    "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
                )
            };
            let (mut reader, mut writer) = dial(place.at, head(body.len()).as_bytes())
                .await
                .into_split();
            let mut answer = Vec::new();
            let (sent, got) =
                tokio::join!(writer.write_all(&body), reader.read_to_end(&mut answer));
            assert!(sent.is_ok() && got.is_ok() && answer.ends_with(&body));

            let mut stream = dial(place.at, head(body.len() + 9).as_bytes()).await;
            stream.write_all(&body).await.unwrap();
            stream.write_all(b"more").await.unwrap();
            assert!(rest(stream).await.starts_with("HTTP/1.1 413 "));
        },
    );
}

#[test]
fn a_stop_lets_the_call_at_work_end_and_closes_what_waits() {
    at_a_counter(Bounds::default(), |place| async move {
        let mut waiting = dial(place.at, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
        until(&mut waiting, "\r\n\r\n").await;
        let mut working = dial(place.at, b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n").await;
        while place.working.get() == 0 {
            tokio::task::yield_now().await;
        }
        // It has been let in by the system but not yet by us when the word comes.
        let queued = dial(place.at, b"GET /queued HTTP/1.1\r\nHost: h\r\n\r\n").await;
        place.stop.send(true).unwrap();
        assert_eq!(rest(waiting).await, "");
        assert!(rest(queued).await.contains("connection: close\r\n"));
        place.go.notify_one();
        assert!(
            until(&mut working, "\r\n\r\n")
                .await
                .contains("connection: close\r\n")
        );
        drop(working);
        place.served.await.unwrap();
        assert!(TcpStream::connect(place.at).await.is_err());
    });
}

#[test]
fn a_full_house_lets_the_one_go_that_waited_longest_and_keeps_those_at_work() {
    at_a_counter(
        Bounds {
            connections: 2,
            ..Bounds::default()
        },
        |place| async move {
            let mut working = dial(place.at, b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n").await;
            while place.working.get() == 0 {
                tokio::task::yield_now().await;
            }
            let mut waiting = dial(place.at, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
            until(&mut waiting, "\r\n\r\n").await;
            let mut newest = dial(place.at, b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n").await;
            assert_eq!(rest(waiting).await, "");
            while place.working.get() == 1 {
                tokio::task::yield_now().await;
            }
            let mut refused = TcpStream::connect(place.at).await.unwrap();
            assert!(!matches!(refused.read(&mut [0; 1]).await, Ok(1..)));
            for stream in [&mut working, &mut newest] {
                place.go.notify_one();
                assert!(
                    until(stream, "\r\n\r\n")
                        .await
                        .starts_with("HTTP/1.1 200 OK\r\n")
                );
            }
        },
    );
}
