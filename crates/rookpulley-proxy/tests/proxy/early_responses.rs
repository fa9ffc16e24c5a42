//! Responses sent before the request body was read, whose instance ends the connection at once.
//!
//! An instance that closes its connection with part of the request unread resets it. What has arrived before the reset
//! must be passed on if the response states its end, and must not look complete otherwise.

use crate::harness::{Harness, PeerConnection, request, run_test, signed_ok};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;

/// More than an instance can read before it ends the connection.
const REQUEST_BYTES: usize = 64 << 20;
const CHUNK_BYTES: usize = 64 << 10;
/// The length of a request of which the client sends a part, or all, before it waits for the response.
const SHORT_REQUEST_BYTES: usize = 8 << 20;
const LIMITS: &str = r#""maxBodyBytes":100000000"#;
/// Responses of which all has reached the proxy's socket when the instance has sent them.
const SHORT_RESPONSE_BYTES: [usize; 2] = [10, 20_000];
/// The proxy buffers the first one and streams the other one.
const LONG_RESPONSE_BYTES: [usize; 2] = [200_000, 3 << 20];
/// How long the instance reads on before it ends the connection, so that resets meet reads as well as writes.
const READS_ON: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(2),
    Duration::from_millis(6),
];
/// How often a case is played, since the order of a reset and a write varies.
const ROUNDS: usize = 4;
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// How the instance ends its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// After half of the response, by a reset.
    HalfThenReset,
    /// After half of the response, as a process that ends: with a reset if part of the request is unread in its socket,
    /// else by the end of its data and a reset of what arrives later.
    HalfThenClose,
    /// After the whole response, by a reset.
    WholeThenReset,
    /// After the whole response, by the end of its data and a reset of what arrives later.
    ShutdownThenReset,
    /// After the whole response, by the end of its data. It reads on until the proxy closes the connection.
    ShutdownThenReading,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    framing: Framing,
    end: End,
    response_bytes: usize,
    reads_on: Duration,
    /// Whether the request body is sent in chunks.
    sends_chunks: bool,
}

/// What a client received.
#[derive(Debug, PartialEq)]
enum Received {
    Whole,
    /// A response that looks complete, with this many bytes of its body.
    Truncated(usize),
    /// A response of the proxy itself.
    Failure(u16),
    /// A response that does not look complete, or none.
    Incomplete,
}

impl Case {
    fn response(self) -> Vec<u8> {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.response_bytes),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
            Framing::UntilClose => String::new(),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: early\r\nResponse-Signature: s\r\n{framing}\r\n"
        );
        let body = vec![b'y'; self.response_bytes];
        let body = match self.framing {
            Framing::Chunked => {
                let size = format!("{:x}\r\n", body.len());
                [size.as_bytes(), &body, b"\r\n0\r\n\r\n"].concat()
            }
            _ => body,
        };
        [head.as_bytes(), &body].concat()
    }

    /// The head of the request, and the bytes that are repeated in its body.
    fn request(self) -> (String, Vec<u8>) {
        let data = vec![b'x'; CHUNK_BYTES];
        if !self.sends_chunks {
            let length = format!("Content-Length: {REQUEST_BYTES}\r\n");
            return (request("POST", "/m/x", "early", &length), data);
        }
        let size = format!("{CHUNK_BYTES:x}\r\n");
        let chunk = [size.as_bytes(), &data, b"\r\n"].concat();
        let head = request("POST", "/m/x", "early", "Transfer-Encoding: chunked\r\n");
        (head, chunk)
    }

    async fn play_instance(self, mut instance: PeerConnection) {
        instance.read_head().await.unwrap();
        let mut response = self.response();
        if matches!(self.end, End::HalfThenReset | End::HalfThenClose) {
            response.truncate(response.len() - self.response_bytes / 2);
        }
        instance.send(&response).await;
        let reads_on = tokio::time::timeout(self.reads_on, instance.wait_closed()).await;
        if reads_on.is_ok() {
            return;
        }
        if matches!(self.end, End::ShutdownThenReset | End::ShutdownThenReading) {
            instance.stream.shutdown().await.unwrap();
        }
        if self.end == End::ShutdownThenReading {
            return instance.wait_closed().await;
        }
        if self.end != End::HalfThenClose {
            instance.reset();
        }
    }

    async fn play(self) -> Received {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        harness.limits = LIMITS;
        harness.configure(2, "/m/").await;
        let listener = harness.manual_instance().await;
        let client = harness.client().await;
        let instance = tokio::task::spawn_local(async move {
            let stream = listener.accept().await.unwrap().0;
            self.play_instance(PeerConnection::new(stream)).await;
        });
        let received = self.play_client(client).await;
        instance.abort();
        received
    }

    async fn play_client(self, client: PeerConnection) -> Received {
        let (reader, mut writer) = client.stream.into_split();
        let upload = tokio::task::spawn_local(async move {
            let (head, chunk) = self.request();
            _ = writer.write_all(head.as_bytes()).await;
            for _ in 0..REQUEST_BYTES / CHUNK_BYTES {
                _ = writer.write_all(&chunk).await;
            }
            if self.sends_chunks {
                _ = writer.write_all(b"0\r\n\r\n").await;
            }
            // Keep the connection open.
            std::future::pending::<()>().await;
        });
        let received = self.receive(reader).await;
        upload.abort();
        received
    }

    async fn receive(self, reader: OwnedReadHalf) -> Received {
        let Some(message) = PeerConnection::from_reader(reader).read_message().await else {
            return Received::Incomplete;
        };
        match message.status() {
            200 if message.body == vec![b'y'; self.response_bytes] => Received::Whole,
            200 => Received::Truncated(message.body.len()),
            status => Received::Failure(status),
        }
    }

    /// Whether the client may receive this.
    fn allows(self, received: &Received) -> bool {
        let may_be_whole = match self.end {
            End::HalfThenReset | End::HalfThenClose => false,
            End::WholeThenReset | End::ShutdownThenReset => self.framing != Framing::UntilClose,
            End::ShutdownThenReading => true,
        };
        match received {
            Received::Whole => may_be_whole,
            Received::Truncated(_) => false,
            Received::Failure(status) => !may_be_whole && *status == 502,
            Received::Incomplete => !may_be_whole,
        }
    }
}

fn play_all(end: End, response_bytes: &[usize]) {
    for framing in [Framing::Length, Framing::Chunked, Framing::UntilClose] {
        for &response_bytes in response_bytes {
            for reads_on in READS_ON {
                for round in 0..ROUNDS {
                    let case = Case {
                        framing,
                        end,
                        response_bytes,
                        reads_on,
                        sends_chunks: round % 2 == 1,
                    };
                    let received = run_test(case.play());
                    assert!(
                        case.allows(&received),
                        "{case:?}, round {round}: {received:?}"
                    );
                }
            }
        }
    }
}

/// Guards against a part of a response without a length that looks complete because a write of the request met the reset.
#[test]
fn early_response_cut_off_by_a_reset_does_not_look_complete() {
    play_all(End::HalfThenReset, &SHORT_RESPONSE_BYTES);
    play_all(End::HalfThenReset, &LONG_RESPONSE_BYTES);
    play_all(End::HalfThenClose, &SHORT_RESPONSE_BYTES);
    play_all(End::HalfThenClose, &LONG_RESPONSE_BYTES);
}

#[test]
fn early_response_before_a_reset_arrives_whole_if_its_end_is_stated() {
    play_all(End::WholeThenReset, &SHORT_RESPONSE_BYTES);
    play_all(End::ShutdownThenReset, &SHORT_RESPONSE_BYTES);
}

#[test]
fn early_response_of_an_instance_that_reads_on_arrives_whole() {
    play_all(End::ShutdownThenReading, &SHORT_RESPONSE_BYTES);
    play_all(End::ShutdownThenReading, &LONG_RESPONSE_BYTES);
}

/// Plays a response without a length after a part of the request was sent, and returns how long it took the client to
/// receive it whole. The instance ends its data and reads on; the client sends no more before it has the response.
fn response_time(sent_bytes: usize) -> Duration {
    run_test(async move {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        harness.limits = LIMITS;
        harness.configure(2, "/m/").await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        let length = format!("Content-Length: {SHORT_REQUEST_BYTES}\r\n");
        client.send(request("POST", "/m/x", "early", &length)).await;
        let send = tokio::task::spawn_local(async move {
            client.send(vec![b'x'; sent_bytes]).await;
            client
        });
        let mut instance = PeerConnection::new(listener.accept().await.unwrap().0);
        instance.read_head().await.unwrap();
        instance.read_exactly(sent_bytes).await.unwrap();
        let case = Case {
            framing: Framing::UntilClose,
            end: End::ShutdownThenReading,
            response_bytes: SHORT_RESPONSE_BYTES[0],
            reads_on: Duration::ZERO,
            sends_chunks: false,
        };
        let mut client = send.await.unwrap();
        let started = std::time::Instant::now();
        instance.send(case.response()).await;
        instance.stream.shutdown().await.unwrap();
        let message = client.read_message().await.unwrap();
        assert_eq!(message.body.len(), case.response_bytes);
        started.elapsed()
    })
}

#[test]
fn early_response_reaches_a_client_that_waits_for_it() {
    let whole = response_time(SHORT_REQUEST_BYTES);
    assert!(whole < Duration::from_millis(500), "{whole:?}");
    let part = response_time(SHORT_REQUEST_BYTES / 2);
    assert!(part < Duration::from_millis(2_500), "{part:?}");
}
