use super::*;
use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_samples::run_cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpListener;

impl Peer for DuplexStream {
    fn has_stirred(&self) -> bool {
        false
    }
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

/// An answer, and whether it is one to a HEAD.
fn answer(u: &mut Unstructured, number: usize) -> Result<(Vec<u8>, bool)> {
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
fn each_gets_its_own_answer_and_none_of_those_that_come_again() {
    run_cases(200, 1 << 11, |u| {
        let (mut task, proxy) = tokio::io::duplex(1 << 16);
        let pending = Rc::new(PendingResponse::default());
        let mut filter = ResponseFilter::new(proxy, pending.clone());
        let mut before: Vec<Vec<u8>> = Vec::new();
        let mut again = false;
        for number in 0..u.int_in_range(1..=6)? {
            let (own, head) = answer(u, number)?;
            pending.begin(&id(number), head, false);
            let mut wire = Vec::new();
            if u.ratio(1, 3)? {
                wire.extend(b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
                again = true;
            }
            if !before.is_empty() && u.ratio(1, 2)? {
                wire.extend(
                    u.choose(&before[before.len().saturating_sub(MAX_EARLIER_REQUESTS)..])?,
                );
                again = true;
            }
            wire.extend(&own);
            let mut cuts = vec![wire.len()];
            for _ in 0..u.int_in_range(0..=5)? {
                cuts.push(u.choose_index(wire.len())?);
            }
            cuts.sort_unstable();
            let room = u.int_in_range(1..=300)?;
            let mut got = Vec::new();
            run(async {
                let mut from = 0;
                for cut in cuts {
                    task.write_all(&wire[from..cut]).await.unwrap();
                    from = cut;
                    let mut piece = vec![0; room];
                    let mut context = Context::from_waker(std::task::Waker::noop());
                    loop {
                        let mut into = ReadBuf::new(&mut piece);
                        match Pin::new(&mut filter).poll_read(&mut context, &mut into) {
                            Poll::Pending => break,
                            Poll::Ready(read) => read.unwrap(),
                        }
                        assert!(!into.filled().is_empty());
                        got.extend_from_slice(into.filled());
                    }
                }
            });
            assert_eq!(String::from_utf8_lossy(&got), String::from_utf8_lossy(&own));
            assert_eq!(pending.is_out_of_order(), again);
            before.push(own);
        }
        Ok(())
    });
}

#[test]
fn what_the_task_has_ended_takes_nothing_and_what_it_has_not_is_counted() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        for (ends, says) in [(false, false), (true, false), (false, true)] {
            let stream = TcpStream::connect(listener.local_addr().unwrap())
                .await
                .unwrap();
            let (mut task, _) = listener.accept().await.unwrap();
            let pending = Rc::new(PendingResponse::default());
            let mut filter = ResponseFilter::new(stream, pending.clone());
            if says {
                task.write_all(b"more").await.unwrap();
            }
            if ends {
                task.shutdown().await.unwrap();
            }
            if ends || says {
                filter.stream.readable().await.unwrap();
            }
            pending.begin(&id(1), false, true);
            let wrote = filter.write(b"request").await;
            assert_eq!(
                (wrote.is_err(), pending.is_unsent()),
                (ends || says, ends || says)
            );
        }
    });
}

#[test]
fn an_answer_that_came_before_the_task_stopped_listening_is_read() {
    run(async {
        let (mut task, proxy) = tokio::io::duplex(8);
        let pending = Rc::new(PendingResponse::default());
        let mut filter = ResponseFilter::new(proxy, pending.clone());
        pending.begin(&id(1), false, false);
        filter.write_all(b"part").await.unwrap();
        task.write_all(b"no more").await.unwrap();
        drop(task);
        filter.write_all(&[b'x'; 1_000]).await.unwrap();
        let mut got = Vec::new();
        filter.read_to_end(&mut got).await.unwrap();
        assert_eq!(got, b"no more");
        // Where nothing had left, a failure is one.
        pending.begin(&id(2), false, false);
        let (_, proxy) = tokio::io::duplex(8);
        let mut filter = ResponseFilter::new(proxy, pending.clone());
        assert!(filter.write_all(b"all").await.is_err() && pending.is_unsent());
    });
}
