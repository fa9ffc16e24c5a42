//! Client misbehavior, and that it does not affect other clients.

use crate::harness::{Action, Harness, PeerConnection, request, run_test, signed_ok, status};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Checks that another client is served.
async fn assert_served(harness: &Harness, id: &str) {
    let (code, response) = harness.send_request("GET", "/r/neighbour", id).await;
    assert_eq!(code, 200, "{id}: {response}");
}

#[test]
fn malformed_requests_are_rejected_and_not_forwarded() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let host = "Host: h.example\r\nRequest-Id: q\r\n";
        let post =
            |headers: &str, body: &str| format!("POST /m/x HTTP/1.1\r\n{host}{headers}\r\n{body}");
        let smuggled = "GET /r/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\n\r\n";
        let cases = [
            ("\x16\x03\x01\x02\0\x01\0\x01\u{fc}\x03\x03".into(), 400),
            ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".into(), 400),
            ("GET /r/x\r\n\r\n".into(), 400),
            (format!("GET /r/x HTTP/1.0\r\n{host}\r\n"), 505),
            (format!("GET /r/x HTTP/3.1\r\n{host}\r\n"), 400),
            (format!("GET /r/x y HTTP/1.1\r\n{host}\r\n"), 400),
            (format!("G\0T /r/x HTTP/1.1\r\n{host}\r\n"), 400),
            (format!("GET /r/x HTTP/1.1\r\n{host}X : y\r\n\r\n"), 400),
            (
                format!("GET /r/x HTTP/1.1\r\n{host}X: y\r\n folded\r\n\r\n"),
                400,
            ),
            (format!("GET /r/x HTTP/1.1\r\n{host}X: a\rb\r\n\r\n"), 400),
            (format!("GET /r/x HTTP/1.1\r\n{host}X: a\0b\r\n\r\n"), 400),
            (
                format!("GET /r/x HTTP/1.1\r\n{host}Request-Id: p\r\n\r\n"),
                400,
            ),
            (format!("GET * HTTP/1.1\r\n{host}\r\n"), 400),
            (format!("GET ?q HTTP/1.1\r\n{host}\r\n"), 400),
            (format!("GET h.example HTTP/1.1\r\n{host}\r\n"), 400),
            (post("Content-Length: +3\r\n", "abc"), 400),
            (post("Content-Length: 3, 3\r\n", "abc"), 400),
            (post("Content-Length: -1\r\n", ""), 400),
            (post("Content-Length: 99999999999999999999\r\n", ""), 400),
            (
                post(
                    "Transfer-Encoding: x\r\nTransfer-Encoding: chunked\r\n",
                    "0\r\n\r\n",
                ),
                400,
            ),
            (
                post(
                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                    "0\r\n\r\n",
                ),
                400,
            ),
            (
                post("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"),
                400,
            ),
            (
                post(
                    "Transfer-Encoding: chunked\r\n",
                    &format!("zz\r\n{smuggled}"),
                ),
                400,
            ),
            (
                post(
                    "Transfer-Encoding: chunked\r\n",
                    &format!("3\r\nabcd\r\n0\r\n\r\n{smuggled}"),
                ),
                400,
            ),
            (
                post(
                    "Transfer-Encoding: chunked\r\n",
                    &format!("fffffffffffffffff\r\n{smuggled}"),
                ),
                400,
            ),
            (
                post(
                    "Transfer-Encoding: chunked\r\n",
                    &format!("3;\n\r\nabc\r\n0\r\n\r\n{smuggled}"),
                ),
                400,
            ),
        ];
        let mut other_client = harness.client().await;
        for (number, (bytes, expected)) in cases.into_iter().enumerate() {
            let response = harness.send(bytes.as_bytes()).await;
            assert_eq!(status(&response), expected, "{bytes:?} gave {response}");
            other_client
                .send(request("GET", "/r/neighbour", &format!("n{number}"), ""))
                .await;
            assert_eq!(other_client.read_message().await.unwrap().status(), 200);
        }
        assert!(
            harness
                .received
                .borrow()
                .iter()
                .all(|received| received.head.contains("/neighbour"))
        );
    });
}

#[test]
fn smuggled_request_after_conflicting_lengths_is_not_executed() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let smuggled = "GET /r/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\n\r\n";
        let chunked = "Transfer-Encoding: chunked\r\n";
        let content_length = "Content-Length: 4\r\n";
        for (number, headers) in [
            format!("{chunked}{content_length}"),
            format!("{content_length}{chunked}"),
        ]
        .into_iter()
        .enumerate()
        {
            let head = request("POST", "/m/outer", &format!("o{number}"), &headers);
            let response = harness
                .send(format!("{head}0\r\n\r\n{smuggled}").as_bytes())
                .await;
            assert!(response.matches("HTTP/1.1").count() <= 1, "{response}");
        }
        assert_eq!(harness.request_count("inner"), 0);
        assert!(
            harness
                .received
                .borrow()
                .iter()
                .all(|received| received.body.is_empty())
        );
    });
}

#[test]
fn pipelined_requests_are_checked_individually() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| {
            signed_ok(received, &String::from_utf8_lossy(&received.body))
        })
        .await;
        let mut client = harness.client().await;
        let (first, second) = (
            request("GET", "/r/1", "a", ""),
            request("GET", "/r/2", "b", "X: a#b\r\n"),
        );
        let third = request("POST", "/m/3", "c", "Transfer-Encoding: chunked\r\n")
            + "3\r\n#\r\n\r\n0\r\n\r\n";
        // The fragment of the fourth target would be dropped.
        let fourth = request("GET", "/r/4#x", "d", "");
        let cut = first.len() + second.len() - 5;
        let all = first + &second + &third + &fourth;
        client.send(&all[..cut]).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
        client.send(&all[cut..]).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
        let echo = client.read_message().await.unwrap();
        assert_eq!(
            (echo.status(), echo.body.as_slice()),
            (200, b"#\r\n".as_slice())
        );
        assert_eq!(client.read_message().await.unwrap().status(), 400);
        assert!(client.closes_cleanly().await);
        assert_eq!(harness.request_count("d"), 0);
    });
}

#[test]
fn rejection_reaches_a_client_that_is_still_sending() {
    run_test(async {
        let harness = Harness::with_instances(0, |received| signed_ok(received, "")).await;
        let body = "x".repeat(290_000);
        let length = format!("Content-Length: {}\r\n", body.len());
        for (target, expected) in [("/m/none", 503), ("/nowhere/", 404), ("/m/#", 400)] {
            let mut client = harness.client().await;
            client
                .send(request("POST", target, "q", &length) + &body[..1_000])
                .await;
            let response = client.read_message().await.unwrap();
            assert_eq!(
                (response.status(), response.header("connection")),
                (expected, Some("close"))
            );
            let was_accepted =
                client.send(&body[1_000..9_000]).await && client.send(&body[9_000..]).await;
            assert!(
                was_accepted && client.closes_cleanly().await,
                "{target}: sending the rest of the body reset the connection"
            );
        }
    });
}

#[test]
fn bodies_are_forwarded_unchanged_and_limited_for_all_methods_and_codings() {
    run_test(async {
        let mut harness =
            Harness::new(|received| signed_ok(received, &received.body.len().to_string())).await;
        harness.limits = r#""maxBodyBytes":200000"#;
        harness.configure(1, "/m/").await;
        let entry = harness.start_instance("life-0").await;
        harness.send_table(vec![entry]).await;
        let chunks = |count: usize| {
            format!("2710\r\n{}\r\n", "z".repeat(10_000)).repeat(count) + "0\r\n\r\n"
        };
        for (method, target) in [("GET", "/r/x"), ("POST", "/m/x"), ("DELETE", "/m/x")] {
            for count in [1, 10] {
                let head = request(
                    method,
                    target,
                    "q",
                    "Transfer-Encoding: chunked\r\nConnection: close\r\n",
                );
                let response = harness.send((head + &chunks(count)).as_bytes()).await;
                assert!(
                    response.ends_with(&format!("\r\n\r\n{}", count * 10_000)),
                    "{method} {count}: {response}"
                );
            }
        }
        harness.limits = r#""maxBodyBytes":20000"#;
        harness.configure(2, "/m/").await;
        harness
            .send_table(vec![harness.start_instance("life-1").await])
            .await;
        for count in [3, 30] {
            let head = request("POST", "/m/x", "long", "Transfer-Encoding: chunked\r\n");
            let response = harness.send((head + &chunks(count)).as_bytes()).await;
            assert_eq!(status(&response), 413, "{count}: {response}");
        }
        assert_eq!(harness.request_count("long"), 0);
    });
}

#[test]
fn broken_client_body_does_not_count_against_the_instance() {
    run_test(async {
        let mut harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let head = request("POST", "/m/x", "broken", "Transfer-Encoding: chunked\r\n");
        let chunk = format!("2710\r\n{}\r\n", "z".repeat(10_000));
        let response = harness
            .send((head.clone() + &chunk.repeat(8) + "no chunk\r\n").as_bytes())
            .await;
        assert_eq!(status(&response), 400, "{response}");
        let response = harness.send((head + &chunk.repeat(31)).as_bytes()).await;
        assert_eq!(status(&response), 413, "{response}");
        // The proxy waits for the client until the deadline.
        let length = "Content-Length: 100000\r\nConnection: close\r\n";
        let head = format!(
            "POST /short/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\n{length}\r\n"
        );
        let response = harness.send((head + "some of it").as_bytes()).await;
        assert_eq!(status(&response), 504, "{response}");
        assert_served(&harness, "q").await;
        assert_eq!(harness.wait_for_reports(4).await, (1, 0));
        assert_eq!(
            (
                harness.request_count("broken"),
                harness.request_count("slow")
            ),
            (0, 0)
        );
    });
}

#[test]
fn slow_head_gets_408_and_other_clients_are_served() {
    run_test(async {
        let mut harness = Harness::new(|received| signed_ok(received, "")).await;
        harness.limits = r#""headerTimeoutMs":1,"idleTimeoutMs":30000"#;
        harness.configure(1, "/m/").await;
        let entry = harness.start_instance("life-0").await;
        harness.send_table(vec![entry]).await;
        let (mut idle, mut reused) = (harness.client().await, harness.client().await);
        reused.send(request("GET", "/r/x", "a", "")).await;
        assert_eq!(reused.read_message().await.unwrap().status(), 200);
        let mut slow = harness.client().await;
        for client in [&mut slow, &mut reused] {
            client.send("\r\nGET /r/x HTTP/1.1\r\nHost: ").await;
        }
        assert_served(&harness, "b").await;
        for client in [&mut slow, &mut reused] {
            let response = client.read_message().await.unwrap();
            assert_eq!(
                (response.status(), response.header("connection")),
                (408, Some("close"))
            );
            assert!(client.closes_cleanly().await);
        }
        // A client that sent nothing, or only an empty line, is not slow.
        idle.send("\r\n").await;
        idle.send(request("GET", "/r/x", "c", "")).await;
        assert_eq!(idle.read_message().await.unwrap().status(), 200);
        assert_served(&harness, "d").await;
    });
}

#[test]
fn idle_connection_is_closed_even_after_empty_lines() {
    run_test(async {
        let mut harness = Harness::new(|received| signed_ok(received, "")).await;
        harness.limits = r#""idleTimeoutMs":1"#;
        harness.configure(1, "/m/").await;
        harness.wait_until_applied().await;
        for lines in ["", "\r\n", "\n\r\n"] {
            let mut client = harness.client().await;
            client.send(lines).await;
            let ends =
                tokio::time::timeout(std::time::Duration::from_secs(10), client.closes_cleanly())
                    .await;
            assert_eq!(ends, Ok(true), "{lines:?}");
        }
    });
}

#[test]
fn idle_connections_are_evicted_when_descriptors_are_short() {
    run_test(async {
        let harness = Harness::with_open_files(500, |received| signed_ok(received, "")).await;
        let mut idle = Vec::new();
        for _ in 0..300 {
            idle.push(harness.client().await);
        }
        let mut last = harness.client().await;
        last.send(request("GET", "/r/x", "q", "")).await;
        assert_eq!(last.read_message().await.unwrap().status(), 503);
        assert!(idle[0].closes_cleanly().await);
    });
}

#[test]
fn non_idempotent_attempt_completes_after_the_client_disconnects() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        client.send(request("POST", "/m/left", "a", "")).await;
        let (stream, _) = listener.accept().await.unwrap();
        let mut instance = PeerConnection::new(stream);
        let upstream_request = instance.read_message().await.unwrap();
        drop(client);
        // Another request, completed in the meantime, shows that the disconnect was processed.
        assert_eq!(harness.send_request("GET", "/nowhere/", "b").await.0, 404);
        let id = upstream_request.header("request-id").unwrap();
        instance
            .send(format!(
                "HTTP/1.1 204 N\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\n"
            ))
            .await;
        // The upstream connection is still open and carries the next request.
        let mut client = harness.client().await;
        client.send(request("GET", "/r/next", "c", "")).await;
        assert_eq!(
            instance.read_message().await.unwrap().header("request-id"),
            Some("c")
        );
    });
}

#[test]
fn half_closed_connection_is_closed_and_a_client_reset_is_harmless() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| {
            if received.head.contains("/silent") {
                Action::Hang
            } else {
                signed_ok(received, "")
            }
        })
        .await;
        let mut stream = TcpStream::connect(harness.client_address).await.unwrap();
        let head = request("GET", "/r/silent", "a", "");
        tokio::io::AsyncWriteExt::write_all(&mut stream, head.as_bytes())
            .await
            .unwrap();
        tokio::io::AsyncWriteExt::shutdown(&mut stream)
            .await
            .unwrap();
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
        for number in 0..20 {
            let mut client = harness.client().await;
            client
                .send(request("GET", "/r/silent", &format!("b{number}"), ""))
                .await;
            socket2::SockRef::from(&client.stream)
                .set_linger(Some(std::time::Duration::ZERO))
                .unwrap();
        }
        assert_served(&harness, "c").await;
    });
}

#[test]
fn expect_continue_is_answered_before_the_body_or_rejected() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| {
            signed_ok(received, &received.body.len().to_string())
        })
        .await;
        let expect = "Expect: 100-continue\r\nContent-Length: 5\r\n";
        let mut client = harness.client().await;
        client.send(request("POST", "/m/x", "a", expect)).await;
        assert_eq!(client.read_message().await.unwrap().status(), 100);
        client.send("12345").await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"5".as_slice())
        );
        assert!(harness.received.borrow()[0].header("expect").is_none());
        client.send(request("POST", "/nowhere/", "b", expect)).await;
        assert_eq!(client.read_message().await.unwrap().status(), 404);
        assert!(client.closes_cleanly().await);
    });
}

#[test]
fn client_cannot_remove_or_set_proxy_headers() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let headers = "Deadline-Ms: 5\r\nTarget-Instance: other\r\nTarget-Instance: more\r\n\
                    Connection: request-id, host, target-instance, deadline-ms, x-mine\r\nX-Mine: 1\r\n";
        let mut client = harness.client().await;
        client.send(request("GET", "/r/x?", "a", headers)).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
        let received = harness.received.borrow()[0].clone();
        assert!(
            received.head.starts_with("GET /r/x? HTTP/1.1\r\n"),
            "{}",
            received.head
        );
        let count = |name: &str| {
            received
                .head
                .to_lowercase()
                .matches(&format!("\r\n{name}:"))
                .count()
        };
        assert_eq!(
            (count("request-id"), count("host"), count("deadline-ms")),
            (1, 1, 1)
        );
        assert_eq!(
            (count("target-instance"), received.header("target-instance")),
            (1, Some("life-0"))
        );
        assert_eq!(received.header("x-mine"), None);
    });
}

#[test]
fn client_that_does_not_read_is_disconnected_after_the_idle_timeout() {
    run_test(async {
        let mut harness = Harness::new(|received| signed_ok(received, "")).await;
        harness.limits = r#""idleTimeoutMs":1"#;
        harness.configure(1, "/m/").await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        client.send(request("GET", "/d/x", "q", "")).await;
        let mut instance = PeerConnection::new(listener.accept().await.unwrap().0);
        let upstream_request = instance.read_message().await.unwrap();
        let id = upstream_request.header("request-id").unwrap();
        let length = 100 << 20;
        instance.send(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: {length}\r\n\r\n"
        ))
        .await;
        // The proxy must close the upstream connection, as the client does not read.
        let started = std::time::Instant::now();
        assert!(!instance.send(vec![0; length]).await);
        assert!(started.elapsed() < std::time::Duration::from_secs(8));
    });
}
