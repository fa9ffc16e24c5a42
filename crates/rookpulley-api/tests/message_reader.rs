//! Messages that the reader accepts and rejects, on in-memory streams.

use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_api::bounds::{BodyMemory, Bounds};
use rookpulley_api::message_reader::{Message, MessageReader};
use rookpulley_api::rejection::Rejection;
use rookpulley_samples::run_cases;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Method, path, query and body.
type Parsed = (String, String, String, Vec<u8>);

/// The messages read from a connection, and the error that ended it, if any.
#[derive(Debug, PartialEq)]
struct Outcome {
    messages: Vec<Parsed>,
    rejection: Option<Rejection>,
}

fn run_paused(work: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(work);
}

fn parsed(message: Message) -> Parsed {
    (
        message.head.method,
        message.head.path,
        message.head.query,
        message.body,
    )
}

/// Reads all messages of a stream whose pipe holds `width` bytes at a time.
async fn read_all(bytes: &[u8], width: usize, bounds: Bounds) -> Outcome {
    let (mut client, server) = tokio::io::duplex(width);
    let mut reader = MessageReader::new(server, bounds, BodyMemory::new(bounds.bodies_bytes));
    let send = async move {
        _ = client.write_all(bytes).await;
        _ = client.shutdown().await;
        let mut sink = Vec::new();
        _ = client.read_to_end(&mut sink).await;
    };
    let take = async move {
        let mut outcome = Outcome {
            messages: Vec::new(),
            rejection: None,
        };
        while reader.wait_for_message().await {
            match reader.message().await {
                Ok(message) => outcome.messages.push(parsed(message)),
                Err(rejection) => {
                    outcome.rejection = Some(rejection);
                    break;
                }
            }
        }
        outcome
    };
    tokio::join!(send, take).1
}

fn outcome(bytes: &[u8]) -> Outcome {
    let mut outcome = None;
    run_paused(async { outcome = Some(read_all(bytes, 1 << 20, Bounds::default()).await) });
    outcome.unwrap()
}

/// The status of the rejection of the first message, or 200.
fn status(bytes: &[u8]) -> u16 {
    let outcome = outcome(bytes);
    assert!(
        outcome.messages.is_empty() || outcome.rejection.is_none(),
        "{outcome:?}"
    );
    outcome.rejection.map_or(200, Rejection::status)
}

#[test]
fn ambiguous_messages_are_rejected() {
    let post = |lines: &str, body: &str| {
        status(format!("POST /a HTTP/1.1\r\nHost: h\r\n{lines}\r\n{body}").as_bytes())
    };
    assert_eq!(post("Content-Length: 3\r\n", "abc"), 200);
    assert_eq!(
        post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"),
        200
    );
    assert_eq!(
        post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
        400
    );
    for length in ["+3", "-3", "3, 3", "0x3", "3 3", "", "٣"] {
        assert_eq!(
            post(&format!("Content-Length: {length}\r\n"), "abc"),
            400,
            "{length}"
        );
    }
    assert_eq!(
        post("Content-Length: 99999999999999999999999\r\n", "abc"),
        413
    );
    assert_eq!(post("Content-Length: 9999999999\r\n", "abc"), 413);
    assert_eq!(post("Content-Length: 4\r\n", "abc"), 400);
    assert_eq!(
        post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        200
    );
    assert_eq!(
        post(
            "Transfer-Encoding: CHUNKED\r\n",
            "3;x=\"y\"\r\nabc\r\n0\r\nT: v\r\n\r\n"
        ),
        200
    );
    assert_eq!(
        post(
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            "0\r\n\r\n"
        ),
        400
    );
    assert_eq!(
        post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"),
        400
    );
    for coding in [
        "gzip, chunked",
        "identity",
        "xchunked",
        "chunked\r\nTransfer-Encoding: gzip",
    ] {
        assert_eq!(
            post(&format!("Transfer-Encoding: {coding}\r\n"), "0\r\n\r\n"),
            501,
            "{coding}"
        );
    }
    for body in [
        "0x3\r\nabc",
        "+3\r\nabc",
        " 3\r\nabc",
        "3 \r\nabc",
        "3\nabc",
        "\r\n",
        ";x\r\n",
        "3\r\nabcd\r\n",
        "-1\r\n",
    ] {
        assert_eq!(
            post(
                "Transfer-Encoding: chunked\r\n",
                &format!("{body}\r\n0\r\n\r\n")
            ),
            400,
            "{body:?}"
        );
    }
    assert_eq!(
        post("Transfer-Encoding: chunked\r\n", "ffffffffffffffffff\r\n"),
        413
    );
    assert_eq!(
        post(
            "Transfer-Encoding: chunked\r\n",
            "00000000000000000000\r\n\r\n"
        ),
        400
    );
    assert_eq!(
        post("Transfer-Encoding: chunked\r\n", "0\r\nno trailer\r\n\r\n"),
        400
    );
    assert_eq!(post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n"), 400);
    assert_eq!(post("A: b\r\n folded\r\n", ""), 400);
    assert_eq!(post("Content-Length : 3\r\n", "abc"), 400);
    assert_eq!(post("Host: h\r\n", ""), 400);
    assert_eq!(post("Expect: the-worst\r\n", ""), 417);
    assert_eq!(post(&"A: b\r\n".repeat(100), ""), 431);
}

#[test]
fn invalid_requests_get_the_matching_status() {
    assert_eq!(status(b"GET / HTTP/1.1\r\n\r\n"), 400);
    assert_eq!(status(b"GET / HTTP/1.0\r\n\r\n"), 200);
    assert_eq!(
        status(b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        400
    );
    assert_eq!(status(b"GET / HTTP/1.1\r\nHost: a b\r\n\r\n"), 400);
    assert_eq!(status(b"GET / HTTP/3.0\r\nHost: h\r\n\r\n"), 505);
    assert_eq!(status(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), 505);
    assert_eq!(status(b"GET / HTTP/one\r\nHost: h\r\n\r\n"), 400);
    assert_eq!(status(b"GET /\r\nHost: h\r\n\r\n"), 400);
    for method in ["get", "BREW", "CONNECT"] {
        assert_eq!(
            status(format!("{method} / HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()),
            501
        );
    }
    for target in ["a", "*", "/a#b", "https://h/"] {
        assert_eq!(
            status(format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()),
            400,
            "{target}"
        );
    }
    assert_eq!(status(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"), 400);
    assert_eq!(status(b"GET / HTTP/1.1\r\nHo"), 400);
    assert_eq!(status(b""), 200);
    assert_eq!(status(b"\r\n\r\n"), 200);
}

#[test]
fn targets_are_not_normalized_and_heads_may_reach_the_size_limit() {
    for (target, path, query) in [
        ("/a/../b", "/a/../b", ""),
        ("/%2e%2e/%2Fx//./?q=/../?", "/%2e%2e/%2Fx//./", "q=/../?"),
        ("http://other/a/../b?c", "/a/../b", "c"),
        ("http://other?c", "/", "c"),
    ] {
        let outcome = outcome(format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        assert_eq!(
            outcome.messages,
            [(
                "GET".to_owned(),
                path.to_owned(),
                query.to_owned(),
                Vec::new()
            )]
        );
    }
    let padded = |length: usize| {
        let head = format!(
            "GET / HTTP/1.1\r\nHost: h\r\nA: {}\r\n\r\n",
            "é".repeat(7_000)
        );
        let fill = "b".repeat(length - head.len());
        head.replace("A: ", &format!("A: {fill}"))
    };
    assert_eq!(status(padded(16 << 10).as_bytes()), 200);
    assert_eq!(status(padded((16 << 10) + 1).as_bytes()), 431);
}

/// Generates a valid message and the result of reading it.
fn message(u: &mut Unstructured) -> Result<(Vec<u8>, Parsed)> {
    let method = *u.choose(&["GET", "PUT", "POST", "DELETE"])?;
    let target = *u.choose(&[
        "/",
        "/a/../b",
        "/%2e%2e",
        "/x?y=z&w",
        "/rookpulley/cells/g1.2d",
    ])?;
    // A body that looks like another request must remain a body.
    let smuggled = b"\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n0\r\n\r\n".to_vec();
    let body: Vec<u8> = match u.int_in_range(0..=3)? {
        0 => Vec::new(),
        1 => smuggled,
        2 => vec![b'x'; u.int_in_range(0..=9_000)?],
        _ => u.bytes(u.len().min(20))?.to_vec(),
    };
    let mut bytes = format!("{method} {target} HTTP/1.1\r\nhOST: h:1\r\n").into_bytes();
    if u.arbitrary()? {
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        let mut rest = body.as_slice();
        while !rest.is_empty() {
            let (chunk, left) = rest.split_at(u.int_in_range(1..=rest.len())?);
            let extension = *u.choose(&["", ";a", ";b=\"c\""])?;
            bytes.extend_from_slice(format!("{:X}{extension}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
            rest = left;
        }
        bytes.extend_from_slice(if u.arbitrary()? {
            b"0\r\n\r\n"
        } else {
            b"00\r\nA: b\r\n\r\n"
        });
    } else if body.is_empty() {
        bytes.extend_from_slice(b"\r\n");
    } else {
        bytes.extend_from_slice(format!("content-LENGTH:{}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(&body);
    }
    if u.ratio(1, 4)? {
        bytes.extend_from_slice(b"\r\n");
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok((
        bytes,
        (method.to_owned(), path.to_owned(), query.to_owned(), body),
    ))
}

#[test]
fn valid_requests_are_read_unchanged_however_they_are_split() {
    run_cases(300, 600, |u| {
        let (mut bytes, mut messages) = (Vec::new(), Vec::new());
        for _ in 0..u.int_in_range(1..=4)? {
            let (encoded, message) = message(u)?;
            bytes.extend(encoded);
            messages.push(message);
        }
        let width = *u.choose(&[1, 2, 3, 7, 64, 1_000, 5_000, 100_000])?;
        run_paused(async {
            let outcome = read_all(&bytes, width, Bounds::default()).await;
            assert_eq!(
                outcome,
                Outcome {
                    messages,
                    rejection: None
                }
            );
        });
        Ok(())
    });
}

#[test]
fn corrupted_requests_get_the_same_outcome_however_they_are_split() {
    run_cases(800, 300, |u| {
        let mut bytes = Vec::new();
        for _ in 0..u.int_in_range(0..=2)? {
            bytes.extend(message(u)?.0);
        }
        for _ in 0..u.int_in_range(0..=6)? {
            let at = u.int_in_range(0..=bytes.len())?;
            match u.int_in_range(0..=2)? {
                0 if at < bytes.len() => bytes[at] = u.arbitrary()?,
                1 if at < bytes.len() => drop(bytes.remove(at)),
                _ => bytes.insert(at, *u.choose(b"\r\n :;\0+,0A\xff")?),
            }
        }
        let bounds = Bounds {
            head_bytes: *u.choose(&[60, 200, 16 << 10])?,
            body_bytes: 5_000,
            ..Bounds::default()
        };
        let (narrow, wide) = (*u.choose(&[1, 5, 50])?, 1 << 20);
        run_paused(async {
            assert_eq!(
                read_all(&bytes, narrow, bounds).await,
                read_all(&bytes, wide, bounds).await
            );
        });
        Ok(())
    });
}

#[test]
fn stalled_requests_time_out_and_expect_continue_is_answered() {
    run_paused(async {
        let bounds = Bounds::default();
        for (request, timeout_s) in [
            ("GET / HT", 5),
            (
                "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
                10,
            ),
        ] {
            let (mut client, server) = tokio::io::duplex(1 << 10);
            let mut reader = MessageReader::new(server, bounds, BodyMemory::new(100));
            client.write_all(request.as_bytes()).await.unwrap();
            assert!(reader.wait_for_message().await);
            let started = tokio::time::Instant::now();
            assert_eq!(reader.message().await.unwrap_err(), Rejection::Timeout);
            assert_eq!(started.elapsed().as_secs(), timeout_s);
        }
        let (mut client, server) = tokio::io::duplex(1 << 10);
        let mut reader = MessageReader::new(server, bounds, BodyMemory::new(100));
        let call = async {
            client.write_all(
                b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n",
            )
            .await
            .unwrap();
            let mut response = [0; 25];
            client.read_exact(&mut response).await.unwrap();
            assert_eq!(&response, b"HTTP/1.1 100 Continue\r\n\r\n");
            client.write_all(b"abc").await.unwrap();
        };
        let (message, ()) = tokio::join!(reader.message(), call);
        assert_eq!(message.unwrap().body, b"abc");
    });
}

#[test]
fn bodies_share_the_memory_limit_and_release_it() {
    run_paused(async {
        let bounds = Bounds {
            body_time: Duration::from_secs(1),
            ..Bounds::default()
        };
        let memory = BodyMemory::new(10);
        for chunked in [false, true] {
            let mut first = None;
            for (expected, releases) in [
                (None, false),
                (Some(Rejection::OutOfMemory), true),
                (None, true),
            ] {
                let (mut client, server) = tokio::io::duplex(1 << 10);
                let mut reader = MessageReader::new(server, bounds, memory.clone());
                let request: &[u8] = if chunked {
                    b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n"
                } else {
                    b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabcdef"
                };
                client.write_all(request).await.unwrap();
                match reader.message().await {
                    Ok(message) => {
                        assert_eq!(expected, None);
                        first = Some(message);
                    }
                    Err(rejection) => assert_eq!(Some(rejection), expected),
                }
                if releases {
                    first = None;
                }
            }
            drop(first);
        }
    });
}
