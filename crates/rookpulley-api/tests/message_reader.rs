//! What the reader takes and what it turns away, on streams in memory.

use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_api::bounds::{BodyMemory, Bounds};
use rookpulley_api::message_reader::{Message, MessageReader};
use rookpulley_api::refusal::Refusal;
use rookpulley_samples::plays;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Method, path, query and body.
type Told = (String, String, String, Vec<u8>);

/// What came off a connection: messages, and how it ended.
#[derive(Debug, PartialEq)]
struct Taken {
    messages: Vec<Told>,
    refused: Option<Refusal>,
}

fn in_time(work: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(work);
}

fn told(message: Message) -> Told {
    (
        message.head.method,
        message.head.path,
        message.head.query,
        message.body,
    )
}

/// Sends bytes through a pipe that holds so many at once, and ends it.
async fn through(bytes: &[u8], width: usize, bounds: Bounds) -> Taken {
    let (mut ours, theirs) = tokio::io::duplex(width);
    let mut reader = MessageReader::new(theirs, bounds, BodyMemory::new(bounds.bodies_bytes));
    let send = async move {
        _ = ours.write_all(bytes).await;
        _ = ours.shutdown().await;
        let mut sink = Vec::new();
        _ = ours.read_to_end(&mut sink).await;
    };
    let take = async move {
        let mut taken = Taken {
            messages: Vec::new(),
            refused: None,
        };
        while reader.wait_for_message().await {
            match reader.message().await {
                Ok(message) => taken.messages.push(told(message)),
                Err(refusal) => {
                    taken.refused = Some(refusal);
                    break;
                }
            }
        }
        taken
    };
    tokio::join!(send, take).1
}

fn taken(bytes: &[u8]) -> Taken {
    let mut taken = None;
    in_time(async { taken = Some(through(bytes, 1 << 20, Bounds::default()).await) });
    taken.unwrap()
}

/// The status of a refusal of the first message, or 200.
fn status(bytes: &[u8]) -> u16 {
    let taken = taken(bytes);
    assert!(
        taken.messages.is_empty() || taken.refused.is_none(),
        "{taken:?}"
    );
    taken.refused.map_or(200, Refusal::status)
}

#[test]
fn whatever_could_be_read_in_two_ways_is_refused() {
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
fn what_is_no_call_gets_a_status_that_says_so() {
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
fn a_target_comes_raw_and_a_head_may_be_as_long_as_the_bounds_say() {
    for (target, path, query) in [
        ("/a/../b", "/a/../b", ""),
        ("/%2e%2e/%2Fx//./?q=/../?", "/%2e%2e/%2Fx//./", "q=/../?"),
        ("http://other/a/../b?c", "/a/../b", "c"),
        ("http://other?c", "/", "c"),
    ] {
        let taken = taken(format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        assert_eq!(
            taken.messages,
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

/// A proper message and what is to come of it.
fn message(u: &mut Unstructured) -> Result<(Vec<u8>, Told)> {
    let method = *u.choose(&["GET", "PUT", "POST", "DELETE"])?;
    let target = *u.choose(&[
        "/",
        "/a/../b",
        "/%2e%2e",
        "/x?y=z&w",
        "/rookpulley/cells/g1.2d",
    ])?;
    // A body may look like another call, and stays a body.
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
            let mark = *u.choose(&["", ";a", ";b=\"c\""])?;
            bytes.extend_from_slice(format!("{:X}{mark}\r\n", chunk.len()).as_bytes());
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
fn calls_come_out_as_they_went_in_however_they_are_cut() {
    plays(300, 600, |u| {
        let (mut bytes, mut messages) = (Vec::new(), Vec::new());
        for _ in 0..u.int_in_range(1..=4)? {
            let (more, message) = message(u)?;
            bytes.extend(more);
            messages.push(message);
        }
        let width = *u.choose(&[1, 2, 3, 7, 64, 1_000, 5_000, 100_000])?;
        in_time(async {
            let taken = through(&bytes, width, Bounds::default()).await;
            assert_eq!(
                taken,
                Taken {
                    messages,
                    refused: None
                }
            );
        });
        Ok(())
    });
}

#[test]
fn spoilt_bytes_end_nothing_but_their_connection_and_are_judged_alike_however_they_are_cut() {
    plays(800, 300, |u| {
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
        in_time(async {
            assert_eq!(
                through(&bytes, narrow, bounds).await,
                through(&bytes, wide, bounds).await
            );
        });
        Ok(())
    });
}

#[test]
fn a_caller_that_stalls_is_told_and_one_that_waits_for_a_word_gets_it() {
    in_time(async {
        let bounds = Bounds::default();
        for (sent, patience) in [
            ("GET / HT", 5),
            (
                "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
                10,
            ),
        ] {
            let (mut ours, theirs) = tokio::io::duplex(1 << 10);
            let mut reader = MessageReader::new(theirs, bounds, BodyMemory::new(100));
            ours.write_all(sent.as_bytes()).await.unwrap();
            assert!(reader.wait_for_message().await);
            let began = tokio::time::Instant::now();
            assert_eq!(reader.message().await.unwrap_err(), Refusal::Slow);
            assert_eq!(began.elapsed().as_secs(), patience);
        }
        let (mut ours, theirs) = tokio::io::duplex(1 << 10);
        let mut reader = MessageReader::new(theirs, bounds, BodyMemory::new(100));
        let call = async {
            ours.write_all(
                b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n",
            )
            .await
            .unwrap();
            let mut word = [0; 25];
            ours.read_exact(&mut word).await.unwrap();
            assert_eq!(&word, b"HTTP/1.1 100 Continue\r\n\r\n");
            ours.write_all(b"abc").await.unwrap();
        };
        let (message, ()) = tokio::join!(reader.message(), call);
        assert_eq!(message.unwrap().body, b"abc");
    });
}

#[test]
fn bodies_share_one_room_and_give_it_back() {
    in_time(async {
        let bounds = Bounds {
            body_time: Duration::from_secs(1),
            ..Bounds::default()
        };
        let memory = BodyMemory::new(10);
        for chunked in [false, true] {
            let mut first = None;
            for (expected, drops) in [(None, false), (Some(Refusal::NoRoom), true), (None, true)] {
                let (mut ours, theirs) = tokio::io::duplex(1 << 10);
                let mut reader = MessageReader::new(theirs, bounds, memory.clone());
                let sent: &[u8] = if chunked {
                    b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n"
                } else {
                    b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabcdef"
                };
                ours.write_all(sent).await.unwrap();
                match reader.message().await {
                    Ok(message) => {
                        assert_eq!(expected, None);
                        first = Some(message);
                    }
                    Err(refusal) => assert_eq!(Some(refusal), expected),
                }
                if drops {
                    first = None;
                }
            }
            drop(first);
        }
    });
}
