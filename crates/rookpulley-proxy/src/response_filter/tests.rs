use super::*;
use crate::response_head::MAX_PREVIOUS_REQUESTS;
use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_samples::run_cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpListener;

impl PeerProbe for DuplexStream {
    fn has_unexpected_input(&self) -> bool {
        false
    }

    fn take_error(&self) -> Option<io::Error> {
        None
    }

    fn limit_unsent(&self) {}
}

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

fn id(number: usize) -> HeaderValue {
    HeaderValue::from(number)
}

/// Draws a response, and whether it answers a HEAD request.
fn draw_response(u: &mut Unstructured, number: usize) -> Result<(Vec<u8>, bool)> {
    let body = *u.choose(&["", "x", "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n\r\n"])?;
    let head = u.ratio(1, 5)?;
    let (lines, body) = match u.int_in_range(0..=3)? {
        _ if head => ("Content-Length: 7\r\n".to_owned(), String::new()),
        0 => {
            let chunk = if body.is_empty() {
                body.into()
            } else {
                format!("{:x}\r\n{body}\r\n", body.len())
            };
            ("transfer-encoding: chunked\r\n".into(), chunk + "0\r\n\r\n")
        }
        1 => ("X: y\r\n".into(), String::new()),
        _ => (format!("Content-Length: {}\r\n", body.len()), body.into()),
    };
    let status = if lines.starts_with("X") {
        "204 No"
    } else {
        "200 OK"
    };
    let text = format!("HTTP/1.1 {status}\r\n{lines}REQUEST-ID:  {number} \r\n\r\n{body}");
    Ok((text.into_bytes(), head))
}

#[test]
fn duplicate_and_interim_responses_are_discarded() {
    run_cases(200, 1 << 11, |u| {
        let (mut instance, proxy) = tokio::io::duplex(1 << 16);
        let pending = Rc::new(PendingResponse::default());
        let mut filter = ResponseFilter::new(proxy, pending.clone(), Duration::ZERO);
        let mut previous: Vec<Vec<u8>> = Vec::new();
        let mut has_discarded = false;
        for number in 0..u.int_in_range(1..=6)? {
            let (expected, head) = draw_response(u, number)?;
            pending.begin(&id(number), head, SentBody::Buffered, false);
            let mut wire = Vec::new();
            if u.ratio(1, 3)? {
                wire.extend(b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
                has_discarded = true;
            }
            if !previous.is_empty() && u.ratio(1, 2)? {
                wire.extend(
                    u.choose(&previous[previous.len().saturating_sub(MAX_PREVIOUS_REQUESTS)..])?,
                );
                has_discarded = true;
            }
            wire.extend(&expected);
            let mut cuts = vec![wire.len()];
            for _ in 0..u.int_in_range(0..=5)? {
                cuts.push(u.choose_index(wire.len())?);
            }
            cuts.sort_unstable();
            let buffer_size = u.int_in_range(1..=300)?;
            let mut received = Vec::new();
            run(async {
                let mut start = 0;
                for cut in cuts {
                    instance.write_all(&wire[start..cut]).await.unwrap();
                    start = cut;
                    let mut buffer = vec![0; buffer_size];
                    let mut context = Context::from_waker(std::task::Waker::noop());
                    loop {
                        let mut output = ReadBuf::new(&mut buffer);
                        match Pin::new(&mut filter).poll_read(&mut context, &mut output) {
                            Poll::Pending => break,
                            Poll::Ready(read) => read.unwrap(),
                        }
                        assert!(!output.filled().is_empty());
                        received.extend_from_slice(output.filled());
                    }
                }
            });
            assert_eq!(
                String::from_utf8_lossy(&received),
                String::from_utf8_lossy(&expected)
            );
            assert_eq!(pending.has_discarded_response(), has_discarded);
            previous.push(expected);
        }
        Ok(())
    });
}

#[test]
fn nothing_is_sent_if_the_instance_closed_the_connection_or_sent_data() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        for (closes, sends) in [(false, false), (true, false), (false, true)] {
            let stream = TcpStream::connect(listener.local_addr().unwrap())
                .await
                .unwrap();
            let (mut instance, _) = listener.accept().await.unwrap();
            let pending = Rc::new(PendingResponse::default());
            let mut filter = ResponseFilter::new(stream, pending.clone(), Duration::ZERO);
            if sends {
                instance.write_all(b"more").await.unwrap();
            }
            if closes {
                instance.shutdown().await.unwrap();
            }
            if closes || sends {
                filter.stream.readable().await.unwrap();
            }
            pending.begin(&id(1), false, SentBody::Buffered, true);
            let result = filter.write(b"request").await;
            assert_eq!(
                (result.is_err(), pending.is_unsent()),
                (closes || sends, closes || sends)
            );
        }
    });
}

#[test]
fn response_received_before_a_write_failure_is_read() {
    run(async {
        let (mut instance, proxy) = tokio::io::duplex(8);
        let pending = Rc::new(PendingResponse::default());
        let mut filter = ResponseFilter::new(proxy, pending.clone(), Duration::ZERO);
        pending.begin(&id(1), false, SentBody::Buffered, false);
        filter.write_all(b"part").await.unwrap();
        instance.write_all(b"no more").await.unwrap();
        drop(instance);
        filter.write_all(&[b'x'; 1_000]).await.unwrap();
        let mut received = Vec::new();
        filter.read_to_end(&mut received).await.unwrap();
        assert_eq!(received, b"no more");
        // A failure before the first byte is reported.
        pending.begin(&id(2), false, SentBody::Buffered, false);
        let (_, proxy) = tokio::io::duplex(8);
        let mut filter = ResponseFilter::new(proxy, pending.clone(), Duration::ZERO);
        assert!(filter.write_all(b"all").await.is_err() && pending.is_unsent());
    });
}

/// How an instance ends its connection after its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// By a reset, as a process that ends with part of the request unread in its socket.
    Reset,
    /// By the end of its data and a reset, as a process that ends when it has read what had arrived.
    ShutdownThenReset,
    /// By the end of its data. It reads on.
    Shutdown,
}

/// What a proxy reads that goes on with its request after the instance has responded and ended its data.
async fn read_after_end(response: &[u8], end: End) -> (Vec<u8>, Result<usize, io::ErrorKind>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (mut instance, _) = listener.accept().await.unwrap();
    let pending = Rc::new(PendingResponse::default());
    let mut filter = ResponseFilter::new(stream, pending.clone(), Duration::ZERO);
    pending.begin(&id(1), false, SentBody::Buffered, false);
    filter.write_all(b"part").await.unwrap();
    instance.write_all(response).await.unwrap();
    if end != End::Reset {
        instance.shutdown().await.unwrap();
    }
    let kept = if end == End::Shutdown {
        Some(instance)
    } else {
        let socket = socket2::SockRef::from(&instance);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
        drop(instance);
        None
    };
    // The first write meets the reset, if there is one.
    filter.write_all(&[b'x'; 1_000]).await.unwrap();
    filter.write_all(&[b'x'; 1_000]).await.unwrap();
    let mut received = Vec::new();
    let ended = filter.read_to_end(&mut received).await;
    drop(kept);
    (received, ended.map_err(|error| error.kind()))
}

/// Guards against a response without a length that looks complete because a write consumed the error of the reset.
#[test]
fn a_response_without_a_length_is_incomplete_if_a_write_met_a_reset() {
    run(async {
        let response = b"HTTP/1.1 200 OK\r\n\r\npart";
        for (end, failure) in [
            (End::Reset, io::ErrorKind::ConnectionReset),
            (End::ShutdownThenReset, io::ErrorKind::BrokenPipe),
        ] {
            let (received, ended) = read_after_end(response, end).await;
            assert_eq!(
                (received.as_slice(), ended),
                (&response[..], Err(failure)),
                "{end:?}"
            );
        }
    });
}

#[test]
fn a_response_without_a_length_is_complete_if_the_instance_reads_on() {
    run(async {
        let response = b"HTTP/1.1 200 OK\r\n\r\nwhole";
        let (received, ended) = read_after_end(response, End::Shutdown).await;
        assert_eq!(received, response);
        assert_eq!(ended, Ok(response.len()));
    });
}

#[test]
fn a_response_with_a_stated_end_is_read_whole_before_a_reset() {
    run(async {
        for framing in [
            "Content-Length: 5\r\n\r\nwhole",
            "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        ] {
            let response = format!("HTTP/1.1 200 OK\r\n{framing}");
            for end in [End::Reset, End::ShutdownThenReset, End::Shutdown] {
                let (received, _) = read_after_end(response.as_bytes(), end).await;
                assert_eq!(received, response.as_bytes(), "{framing} {end:?}");
            }
        }
    });
}

/// Guards against a part of a response that looks complete while the system still holds much of the request, so that the
/// reset that answers it comes late.
#[test]
fn a_response_without_a_length_is_incomplete_if_the_socket_took_no_more_of_the_request() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (mut instance, _) = listener.accept().await.unwrap();
        let pending = Rc::new(PendingResponse::default());
        let mut filter = ResponseFilter::new(stream, pending.clone(), Duration::ZERO);
        pending.begin(&id(1), false, SentBody::Buffered, false);
        filter.write_all(b"part").await.unwrap();
        let response = b"HTTP/1.1 200 OK\r\n\r\npart";
        instance.write_all(response).await.unwrap();
        let mut received = vec![0; response.len()];
        filter.read_exact(&mut received).await.unwrap();
        let blocked_after = Duration::from_millis(50);
        while tokio::time::timeout(blocked_after, filter.write(&[b'x'; 64 << 10]))
            .await
            .is_ok()
        {}
        instance.shutdown().await.unwrap();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(MAX_RESET_WAIT).await;
            drop(instance);
        });
        assert!(filter.read_to_end(&mut received).await.is_err());
    });
}

/// Guards against a request that waits in the system's buffers, where it counts as sent, while its response is under way.
#[cfg(target_os = "linux")]
#[test]
fn the_system_holds_little_of_a_request_whose_response_may_be_cut_off() {
    run(async {
        let accepted = accepted_bytes(b"HTTP/1.1 200 OK\r\n\r\npart").await;
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
        let accepted_before_a_stated_end = accepted_bytes(response).await;
        assert!(
            accepted * 4 < accepted_before_a_stated_end,
            "{accepted} {accepted_before_a_stated_end}"
        );
    });
}

/// How much of a request the system accepts after the response has begun, from an instance that reads nothing.
async fn accepted_bytes(response: &[u8]) -> usize {
    let listener = tokio::net::TcpSocket::new_v4().unwrap();
    listener.set_recv_buffer_size(8 << 10).unwrap();
    listener.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = listener.listen(1).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (mut instance, _) = listener.accept().await.unwrap();
    let pending = Rc::new(PendingResponse::default());
    let mut filter = ResponseFilter::new(stream, pending.clone(), Duration::ZERO);
    pending.begin(&id(1), false, SentBody::Buffered, false);
    filter.write_all(b"part").await.unwrap();
    instance.write_all(response).await.unwrap();
    let mut received = vec![0; response.len()];
    filter.read_exact(&mut received).await.unwrap();
    let blocked_after = Duration::from_millis(50);
    let chunk = vec![b'x'; 64 << 10];
    let mut accepted = 0;
    while let Ok(written) = tokio::time::timeout(blocked_after, filter.write(&chunk)).await {
        accepted += written.unwrap();
    }
    accepted
}
