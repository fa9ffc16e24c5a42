//! Request forwarding, retries, readiness and shutdown.

use crate::harness::{
    Action, Harness, PeerConnection, build_response, not_executed, request, run_test, signed_ok,
    status,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[test]
fn request_and_response_are_forwarded_unchanged() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| signed_ok(received, "the body")).await;
        let response = harness
            .send(
                b"POST /m/../%2e%2E//x?a=%20&&b HTTP/1.1\r\nHost: H.example:80\r\nRequest-Id: q1\r\n\
                  Deadline-Ms: 5000\r\nX-Kept: yes\r\nX-Hop: no\r\nConnection: close, x-hop\r\nTE: trailers\r\n\
                  Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            )
            .await;
        assert_eq!(status(&response), 200, "{response}");
        assert!(response.ends_with("\r\n\r\nthe body"), "{response}");
        assert!(
            response
                .to_lowercase()
                .contains("response-signature: s\r\n"),
            "{response}"
        );
        let received = harness.received.borrow()[0].clone();
        assert!(
            received
                .head
                .starts_with("POST /m/../%2e%2E//x?a=%20&&b HTTP/1.1\r\n"),
            "{}",
            received.head
        );
        assert_eq!(received.body, b"abcde");
        assert_eq!(received.header("request-id"), Some("q1"));
        assert_eq!(received.header("target-instance"), Some("life-0"));
        assert_eq!(received.header("x-kept"), Some("yes"));
        assert_eq!(
            (
                received.header("x-hop"),
                received.header("te"),
                received.header("connection")
            ),
            (None, None, None)
        );
        let deadline_ms: u64 = received.header("deadline-ms").unwrap().parse().unwrap();
        assert!((1..5_000).contains(&deadline_ms));
    });
}

#[test]
fn non_idempotent_request_is_retried_only_if_not_executed() {
    run_test(async {
        let harness =
            Harness::with_instances(3, |received| match received.head.split(' ').nth(1) {
                Some("/m/cut") => Action::Close(Vec::new()),
                Some("/m/away") => not_executed(received),
                _ => signed_ok(received, ""),
            })
            .await;
        assert_eq!(harness.send_request("GET", "/r/first", "r0").await.0, 200);
        assert_eq!(harness.send_request("POST", "/m/cut", "m1").await.0, 502);
        assert_eq!(harness.request_count("m1"), 1);
        let (code, response) = harness.send_request("POST", "/m/away", "m2").await;
        assert_eq!((code, harness.request_count("m2")), (503, 3), "{response}");
        assert!(
            response.to_lowercase().contains("retry-after: 0."),
            "{response}"
        );
    });
}

#[test]
fn idempotent_request_is_retried_after_any_invalid_response() {
    run_test(async {
        let first = std::cell::RefCell::new(std::collections::BTreeSet::new());
        let harness = Harness::with_instances(2, move |received| {
            let complete = build_response(received, "200 OK", "Response-Signature: s\r\n", "whole");
            let id = received.header("request-id").unwrap_or_default();
            if !first.borrow_mut().insert(id.to_owned()) {
                return Action::Respond(complete);
            }
            let text = String::from_utf8(complete.clone()).unwrap();
            match id {
                "cut" => Action::Close(complete[..complete.len() - 2].to_vec()),
                "closed" => Action::Close(Vec::new()),
                "garbage" => Action::Respond(b"what is this\r\n\r\n".to_vec()),
                "other" => Action::Respond(text.replace("other", "another").into_bytes()),
                "unsigned" => Action::Respond(text.replace("Response-Signature", "X").into_bytes()),
                "coded" => Action::Respond(
                    text.replace("Response-Signature", "Content-Encoding: br\r\nX")
                        .into_bytes(),
                ),
                "empty" => Action::Respond(build_response(received, "503 Busy", "", "")),
                "away" => not_executed(received),
                "failed" => Action::Respond(build_response(received, "500 Bad", "", "")),
                _ => Action::Respond(complete),
            }
        })
        .await;
        for id in [
            "cut", "closed", "garbage", "other", "unsigned", "coded", "empty", "away", "failed",
            "plain",
        ] {
            let (code, response) = harness.send_request("GET", "/r/x", id).await;
            assert_eq!(
                (code, harness.request_count(id)),
                (200, if id == "plain" { 1 } else { 2 }),
                "{id}: {response}"
            );
            assert!(response.ends_with("\r\n\r\nwhole"), "{id}: {response}");
        }
    });
}

#[test]
fn slow_idempotent_attempt_is_abandoned_and_slow_non_idempotent_one_is_awaited() {
    run_test(async {
        let had_request = std::cell::Cell::new(false);
        let harness = Harness::with_instances(2, move |received| {
            let first = !had_request.replace(true);
            if first || received.head.contains("/short/") {
                Action::Hang
            } else {
                signed_ok(received, "elsewhere")
            }
        })
        .await;
        let (code, response) = harness.send_request("GET", "/quick/x", "r").await;
        assert_eq!((code, harness.request_count("r")), (200, 2), "{response}");
        let (code, response) = harness.send_request("POST", "/short/x", "m").await;
        assert_eq!((code, harness.request_count("m")), (504, 1), "{response}");
    });
}

#[test]
fn truncated_stream_does_not_look_complete() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| {
            let complete = build_response(
                received,
                "200 OK",
                "Response-Signature: s\r\n",
                &"x".repeat(3 << 20),
            );
            let part = complete[..2 << 20].to_vec();
            if received.head.contains("/cut") {
                Action::Close(part)
            } else {
                Action::Respond(complete)
            }
        })
        .await;
        let (code, response) = harness.send_request("GET", "/d/whole", "d1").await;
        assert_eq!(
            (code, response.split_once("\r\n\r\n").unwrap().1.len()),
            (200, 3 << 20)
        );
        let (code, response) = harness.send_request("GET", "/d/cut", "d2").await;
        assert_eq!(code, 200);
        assert_eq!(
            crate::harness::header(&response, "content-length"),
            Some("3145728")
        );
        assert!(response.len() < 3 << 20);
        let (code, response) = harness.send_request("HEAD", "/d/whole", "d3").await;
        assert_eq!(
            (code, crate::harness::header(&response, "content-length")),
            (200, Some("3145728"))
        );
        assert!(response.ends_with("\r\n\r\n"), "{response}");
    });
}

#[test]
fn extra_bytes_after_a_response_are_not_used() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| {
            let mut both = build_response(received, "200 OK", "Response-Signature: s\r\n", "mine");
            if received.head.contains("/late") {
                both.extend(build_response(
                    received,
                    "200 OK",
                    "Response-Signature: s\r\n",
                    "late",
                ));
            }
            Action::Respond(both)
        })
        .await;
        for round in 0..20 {
            assert_eq!(
                harness
                    .send_request("GET", "/r/late", &format!("a{round}"))
                    .await
                    .0,
                200
            );
            let id = format!("b{round}");
            let (code, response) = harness.send_request("POST", "/m/x", &id).await;
            assert_eq!((code, harness.request_count(&id)), (200, 1), "{response}");
            assert!(response.ends_with("mine"));
        }
        let received = harness.received.borrow();
        let after = received
            .windows(2)
            .filter(|two| two[0].head.contains("/late"));
        assert!(
            after
                .into_iter()
                .all(|two| two[0].connection != two[1].connection)
        );
    });
}

#[test]
fn ambiguous_heads_are_rejected_and_not_forwarded() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let head = |first: &str, headers: &str| {
            format!("{first} HTTP/1.1\r\nRequest-Id: q\r\n{headers}\r\n")
        };
        let host = "Host: h.example\r\n";
        let cases = [
            (head("GET /r/x", ""), 400),
            (head("GET /r/x", &host.repeat(2)), 400),
            (head("GET http://h.example/r/x", host), 400),
            (head("GET /r/x#y", host), 400),
            (head("CONNECT h.example:80", host), 400),
            (format!("GET /r/x HTTP/1.1\r\n{host}\r\n"), 400),
            (
                head(
                    "POST /m/x",
                    &format!("{host}Content-Length: 1\r\nContent-Length: 2\r\n"),
                ),
                400,
            ),
            (
                head(
                    "POST /m/x",
                    &format!("{host}Transfer-Encoding: gzip, chunked\r\n"),
                ),
                400,
            ),
            (
                head("POST /m/x", &format!("{host}Content-Length: 300001\r\n")),
                413,
            ),
            (
                head(
                    "GET /r/x",
                    &format!("{host}Long: {}\r\n", "x".repeat(9_000)),
                ),
                431,
            ),
            (
                head(
                    "GET /r/x",
                    &format!("{host}Long: {}\r\n", "x".repeat(90_000)),
                ),
                431,
            ),
            (
                head("GET /n/x", &format!("{host}Connection: close\r\n")),
                404,
            ),
            (head("GET /r", &format!("{host}Connection: close\r\n")), 404),
            (
                head("GET /r/x", "Host: other.example\r\nConnection: close\r\n"),
                404,
            ),
        ];
        for (head, expected) in cases {
            let response = harness.send(head.as_bytes()).await;
            assert_eq!(
                status(&response),
                expected,
                "{} gave {response}",
                &head[..head.len().min(300)]
            );
        }
        assert!(harness.received.borrow().is_empty());
    });
}

#[test]
fn large_body_is_streamed_and_sent_once() {
    run_test(async {
        let harness = Harness::with_instances(2, |received| {
            if received.head.contains("/away") {
                not_executed(received)
            } else {
                signed_ok(received, &received.body.len().to_string())
            }
        })
        .await;
        let body = "y".repeat(200_000);
        for (target, expected) in [("/m/x", 200), ("/m/away", 503)] {
            let response = harness
                .send(
                    format!(
                        "PUT {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {expected}\r\nConnection: close\r\n\
                         Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    )
                    .as_bytes(),
                )
                .await;
            assert_eq!(
                (
                    status(&response),
                    harness.request_count(&expected.to_string())
                ),
                (expected, 1),
                "{response}"
            );
        }
        assert!(
            harness
                .received
                .borrow()
                .iter()
                .all(|received| received.body == body.as_bytes())
        );
    });
}

#[test]
fn proxy_is_ready_only_with_configuration_and_live_instances() {
    run_test(async {
        let mut harness = Harness::new(|received| signed_ok(received, "")).await;
        let readiness_status = async |at| {
            let mut stream = TcpStream::connect(at).await.unwrap();
            stream
                .write_all(b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await
                .unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).await.unwrap();
            status(&response)
        };
        let (code, response) = harness.send_request("GET", "/r/x", "q").await;
        assert_eq!(
            (code, readiness_status(harness.readiness).await),
            (503, 503),
            "{response}"
        );
        harness.configure(1, "/m/").await;
        let entry = harness.start_instance("life-0").await;
        harness.send_table(vec![entry.clone()]).await;
        assert_eq!(
            (
                harness.send_request("GET", "/r/x", "q").await.0,
                readiness_status(harness.readiness).await
            ),
            (200, 200)
        );
        harness.send_instance_gone("life-0").await;
        harness.send_table(vec![entry]).await;
        assert_eq!(
            (
                harness.send_request("GET", "/r/x", "q").await.0,
                readiness_status(harness.readiness).await
            ),
            (503, 503)
        );
        let new_instance = harness.start_instance("life-1").await;
        harness.send_table(vec![new_instance]).await;
        // An older configuration that arrives late is ignored.
        harness.configure(3, "/new/").await;
        harness.configure(2, "/old/").await;
        harness
            .send_table(vec![harness.start_instance("life-2").await])
            .await;
        assert_eq!(harness.send_request("POST", "/new/x", "q").await.0, 200);
        assert_eq!(harness.send_request("POST", "/old/x", "q").await.0, 404);
    });
}

#[test]
fn requests_during_shutdown_are_served_and_connections_closed() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let mut stream = TcpStream::connect(harness.client_address).await.unwrap();
        let request = b"GET /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let mut chunk = vec![0; 4_096];
        let read = stream.read(&mut chunk).await.unwrap();
        assert_eq!(status(&String::from_utf8_lossy(&chunk[..read])), 200);
        harness
            .signal_sender
            .send(rookpulley_proxy::Signal::Shutdown)
            .await
            .unwrap();
        while TcpStream::connect(harness.client_address).await.is_ok() {
            stream.write_all(request).await.unwrap();
            let mut rest = String::new();
            let read = stream.read(&mut chunk).await.unwrap();
            rest.push_str(&String::from_utf8_lossy(&chunk[..read]));
            assert_eq!(status(&rest), 200);
            if rest.to_lowercase().contains("connection: close") {
                assert_eq!(stream.read(&mut chunk).await.unwrap(), 0);
                return;
            }
        }
        panic!("the proxy stopped accepting connections before it closed this one");
    });
}

#[test]
fn requests_in_flight_at_shutdown_are_completed() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let (mut early, mut late) = (harness.client().await, harness.client().await);
        early.send(request("POST", "/m/x", "early", "")).await;
        let mut first = PeerConnection::new(listener.accept().await.unwrap().0);
        let upstream_request = first.read_message().await.unwrap();
        harness
            .signal_sender
            .send(rookpulley_proxy::Signal::Shutdown)
            .await
            .unwrap();
        late.send(request("GET", "/r/x", "late", "")).await;
        let mut second = PeerConnection::new(listener.accept().await.unwrap().0);
        let late_request = second.read_message().await.unwrap();
        for (instance, upstream_request, client) in [
            (&mut second, late_request, &mut late),
            (&mut first, upstream_request, &mut early),
        ] {
            let id = upstream_request.header("request-id").unwrap();
            instance.send(format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok"
            ))
            .await;
            let response = client.read_message().await.unwrap();
            assert_eq!(
                (response.status(), response.header("connection")),
                (200, Some("close"))
            );
            assert!(client.closes_cleanly().await);
        }
    });
}

#[test]
fn target_is_forwarded_unchanged_or_rejected() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let mut targets: Vec<Vec<u8>> = (1..=255u8)
            .flat_map(|byte| {
                [
                    [b"/r/a", [byte].as_slice(), b"b"].concat(),
                    [b"/r/?a", [byte].as_slice()].concat(),
                ]
            })
            .collect();
        let edge_cases = [
            "/r/?", "/r/??/#", "/r//", "/r/./..", "/r/%", "/r/%00", "/r/;a=b", "/r/é", "/r/?é",
            "/r/\\",
        ];
        targets.extend(edge_cases.map(|target| target.as_bytes().to_vec()));
        let mut refused = 0;
        for target in targets {
            let mut client = harness.client().await;
            let rest = b" HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\n\r\n";
            client
                .send([b"GET ", target.as_slice(), rest].concat())
                .await;
            let status = client.read_message().await.unwrap().status();
            let received = std::mem::take(&mut *harness.received.borrow_mut());
            match status {
                400 => {
                    assert!(received.is_empty());
                    refused += 1;
                }
                200 => assert!(
                    received[0].head.as_bytes()[4..]
                        .starts_with(&[target.as_slice(), b" HTTP/1.1\r\n"].concat())
                ),
                other => panic!("{other} for {:?}", String::from_utf8_lossy(&target)),
            }
        }
        assert!((60..350).contains(&refused), "{refused}");
    });
}

#[test]
fn request_keeps_its_configuration_and_tables_may_arrive_in_any_order() {
    run_test(async {
        let mut harness = Harness::new(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        client.send(request("POST", "/m/x", "a", "")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 503);
        harness.configure(1, "/m/").await;
        harness.wait_until_applied().await;
        client.send(request("POST", "/m/x", "b", "")).await;
        let mut instance = PeerConnection::new(listener.accept().await.unwrap().0);
        let upstream_request = instance.read_message().await.unwrap();
        // The route and the table entry are removed during the request.
        harness.configure(2, "/other/").await;
        harness.send_table(Vec::new()).await;
        let id = upstream_request.header("request-id").unwrap();
        instance
            .send(format!(
                "HTTP/1.1 404 No\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nno"
            ))
            .await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (404, b"no".as_slice())
        );
        client.send(request("POST", "/m/x", "c", "")).await;
        assert_ne!(client.read_message().await.unwrap().body, b"no");
        client.send(request("POST", "/other/x", "d", "")).await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").unwrap().starts_with("0."));
        // A connection to an instance that is no longer in any table is closed.
        assert!(instance.closes_cleanly().await);
    });
}
