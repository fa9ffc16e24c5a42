//! Responses without a length that begin before the last part of the request is sent, whose instance closes its
//! connection in order.

use crate::harness::{Harness, Message, PeerConnection, request, run_test, signed_ok};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// More than the proxy buffers, so that the instance receives the request while it is sent.
const FIRST_BYTES: usize = 1 << 20;
/// How much of the request body is sent once the response has begun.
const LAST_BYTES: [usize; 3] = [2, 100, 300_000];
/// The proxy buffers the first response and streams the other one.
const RESPONSE_BYTES: [usize; 2] = [20_000, 3 << 20];
const LIMITS: &str = r#""maxBodyBytes":100000000"#;
/// Lets the proxy read what the instance has sent.
const PAUSE: Duration = Duration::from_millis(5);

/// Within this time after the request, the client has a response whose instance pauses for `PAUSE` at most.
const MAX_TIME: Duration = Duration::from_millis(500);

/// What the instance does after the first half of its response.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Ends as soon as it has received more of the request's body.
    CutOff,
    /// Sends the other half, reads the whole request and ends.
    WholeThenRequest,
    /// Reads the whole request, sends the other half and ends.
    RequestThenWhole,
    /// Reads the whole request, and sends the other half in parts.
    RequestThenParts,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    end: End,
    last_bytes: usize,
    response_bytes: usize,
    /// Whether the request body is sent in chunks.
    sends_chunks: bool,
}

impl Case {
    /// The request up to the last part of its body, and that part.
    fn request(self) -> (Vec<u8>, Vec<u8>) {
        let (first, last) = (vec![b'x'; FIRST_BYTES], vec![b'z'; self.last_bytes]);
        if !self.sends_chunks {
            let length = format!("Content-Length: {}\r\n", FIRST_BYTES + self.last_bytes);
            let head = request("POST", "/m/x", "early", &length);
            return ([head.into_bytes(), first].concat(), last);
        }
        let head = request("POST", "/m/x", "early", "Transfer-Encoding: chunked\r\n");
        let chunk = |data: &[u8]| {
            let size = format!("{:x}\r\n", data.len());
            [size.as_bytes(), data, b"\r\n"].concat()
        };
        let last = [chunk(&last), b"0\r\n\r\n".to_vec()].concat();
        ([head.into_bytes(), chunk(&first)].concat(), last)
    }

    /// The response as sent before and after the instance has received more of the request.
    fn response(self) -> (Vec<u8>, Vec<u8>) {
        let head = "HTTP/1.1 200 OK\r\nRequest-Id: early\r\nResponse-Signature: s\r\n\r\n";
        let half = vec![b'y'; self.response_bytes / 2];
        ([head.as_bytes(), &half].concat(), half)
    }

    async fn play_instance(self, mut instance: PeerConnection, begun: oneshot::Sender<()>) {
        let head = instance.read_head().await.unwrap();
        // What the proxy has received so far. A chunked request is counted without its framing.
        instance.read_exactly(FIRST_BYTES).await.unwrap();
        let (first, second) = self.response();
        instance.send(&first).await;
        begun.send(()).unwrap();
        match self.end {
            End::CutOff => while !instance.read_available().await.contains(&b'z') {},
            End::WholeThenRequest => {
                instance.send(&second).await;
                self.read_rest(&mut instance, &head).await;
            }
            End::RequestThenWhole => {
                self.read_rest(&mut instance, &head).await;
                instance.send(&second).await;
            }
            End::RequestThenParts => {
                self.read_rest(&mut instance, &head).await;
                for part in second.chunks(second.len() / 4) {
                    tokio::time::sleep(PAUSE).await;
                    instance.send(part).await;
                }
            }
        }
    }

    /// Reads the rest of the request, whose end is its last part.
    async fn read_rest(self, instance: &mut PeerConnection, head: &str) {
        assert_eq!(head.contains("chunked"), self.sends_chunks);
        let end = if self.sends_chunks {
            "z\r\n0\r\n\r\n"
        } else {
            "z"
        };
        let (mut received, mut count) = (Vec::new(), 0);
        while count < self.last_bytes || !received.ends_with(end.as_bytes()) {
            let more = instance.read_available().await;
            count += more.iter().filter(|byte| **byte == b'z').count();
            received.extend(more);
        }
    }

    /// Returns what the client received, and how long that took after the last part of the request.
    async fn play(self) -> (Option<Message>, Duration) {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        harness.limits = LIMITS;
        harness.configure(2, "/m/").await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        let (begin, begun) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let instance = PeerConnection::new(listener.accept().await.unwrap().0);
            self.play_instance(instance, begin).await;
        });
        let (first, last) = self.request();
        client.send(first).await;
        begun.await.unwrap();
        tokio::time::sleep(PAUSE).await;
        client.send(last).await;
        let sent = Instant::now();
        (client.read_message().await, sent.elapsed())
    }
}

fn play_all(end: End, assert: impl Fn(Case, Option<Message>, Duration)) {
    for last_bytes in LAST_BYTES {
        for response_bytes in RESPONSE_BYTES {
            for sends_chunks in [false, true] {
                let case = Case {
                    end,
                    last_bytes,
                    response_bytes,
                    sends_chunks,
                };
                let (message, time) = run_test(case.play());
                assert(case, message, time);
            }
        }
    }
}

/// Guards against a part of a response that looks complete because its instance had received the whole request when it
/// ended, so that its connection was closed in order.
#[test]
fn early_response_cut_off_once_the_rest_of_the_request_arrives_does_not_look_complete() {
    play_all(End::CutOff, |case, message, _| {
        let status = message.map(|message| message.status());
        assert!(matches!(status, None | Some(502)), "{case:?}: {status:?}");
    });
}

#[test]
fn early_response_of_an_instance_that_reads_the_whole_request_arrives_whole_and_soon() {
    for end in [
        End::WholeThenRequest,
        End::RequestThenWhole,
        End::RequestThenParts,
    ] {
        play_all(end, |case, message, time| {
            let message = message.unwrap();
            let received = (message.status(), message.body.len());
            assert_eq!(received, (200, case.response_bytes), "{case:?}");
            assert!(time < MAX_TIME, "{case:?}: {time:?}");
        });
    }
}
