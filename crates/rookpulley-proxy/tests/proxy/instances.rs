//! Instance behavior on connections, and what clients receive.

use crate::harness::{
    Action, Harness, Message, PeerConnection, build_response, request, run_test, signed_ok, status,
};
use tokio::net::TcpListener;

async fn accept(listener: &TcpListener) -> PeerConnection {
    PeerConnection::new(listener.accept().await.unwrap().0)
}

fn build_reply(to: &Message, status: &str, headers: &str, body: &str) -> String {
    let id = to.header("request-id").unwrap();
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn duplicate_response_before_the_next_one_is_discarded() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        let bodies = ["", "the first", "HTTP/1.1 200 OK\r\n\r\n"];
        for (number, body) in bodies.into_iter().enumerate() {
            client
                .send(request("POST", "/m/first", &format!("a{number}"), ""))
                .await;
            let mut instance = accept(&listener).await;
            let first = instance.read_message().await.unwrap();
            instance.send(build_reply(&first, "200 OK", "", body)).await;
            assert_eq!(client.read_message().await.unwrap().body, body.as_bytes());
            client
                .send(request("POST", "/m/second", &format!("b{number}"), ""))
                .await;
            let second = instance.read_message().await.unwrap();
            // The duplicate arrives in pieces, directly followed by the expected response.
            let both = build_reply(&first, "200 OK", "", body)
                + &build_reply(&second, "200 OK", "", "the second");
            for piece in both.as_bytes().chunks(50) {
                instance.send(piece).await;
                tokio::task::yield_now().await;
            }
            let response = client.read_message().await.unwrap();
            assert_eq!(
                (response.status(), response.body.as_slice()),
                (200, b"the second".as_slice())
            );
            // A connection that carried a duplicate response is not reused.
            assert!(instance.closes_cleanly().await);
        }
    });
}

#[test]
fn response_with_an_unknown_request_id_is_rejected() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| {
            Action::Respond(
                String::from_utf8(build_response(
                    received,
                    "200 OK",
                    "Response-Signature: s\r\n",
                    "",
                ))
                .unwrap()
                .replace("Request-Id: q", "Request-Id: p")
                .into(),
            )
        })
        .await;
        let (code, response) = harness.send_request("POST", "/m/x", "q").await;
        assert_eq!((code, harness.request_count("q")), (502, 1), "{response}");
    });
}

#[test]
fn early_rejection_of_a_long_body_is_forwarded() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        harness.limits = r#""maxBodyBytes":100000000"#;
        harness.configure(2, "/m/").await;
        let listener = harness.manual_instance().await;
        let length = 40 << 20;
        let mut client = harness.client().await;
        client
            .send(request(
                "POST",
                "/m/x",
                "q",
                &format!("Content-Length: {length}\r\n"),
            ))
            .await;
        let mut instance = accept(&listener).await;
        let head = instance.read_head().await.unwrap();
        let upstream_request = Message {
            head,
            body: Vec::new(),
        };
        instance
            .send(build_reply(
                &upstream_request,
                "503 Busy",
                "Not-Executed: 1\r\n",
                "",
            ))
            .await;
        drop(instance);
        let send = tokio::task::spawn_local(async move {
            client.send(vec![b'x'; length]).await;
            client.read_message().await
        });
        // The client learns that the request was not executed.
        assert_eq!(send.await.unwrap().unwrap().status(), 503);
    });
}

#[test]
fn new_connection_reset_at_once_has_not_executed_the_request() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        client.send(request("POST", "/m/x", "q", "")).await;
        let (stream, _) = listener.accept().await.unwrap();
        socket2::SockRef::from(&stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .unwrap();
        drop(stream);
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), 503, "{}", response.head);
    });
}

#[test]
fn closed_connection_is_not_reused() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        for number in 0..20 {
            client
                .send(request("POST", "/m/x", &format!("a{number}"), ""))
                .await;
            let mut instance = accept(&listener).await;
            let upstream_request = instance.read_message().await.unwrap();
            instance
                .send(build_reply(&upstream_request, "200 OK", "", ""))
                .await;
            // The close and the next request cross.
            drop(instance);
            assert_eq!(client.read_message().await.unwrap().status(), 200);
        }
    });
}

#[test]
fn ambiguous_response_lengths_are_rejected() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| {
            let text = String::from_utf8(build_response(
                received,
                "200 OK",
                "Response-Signature: s\r\n",
                "12345",
            ))
            .unwrap();
            let chunked = "Transfer-Encoding: chunked\r\nRequest-Id";
            Action::Close(
                match received.header("request-id").unwrap() {
                    "both" => text
                        .replace("Request-Id", chunked)
                        .replace("12345", "8\r\n12345678\r\n0\r\n\r\n"),
                    "twice" => text.replace("Request-Id", "Content-Length: 5\r\nRequest-Id"),
                    "list" => text.replace("Length: 5", "Length: 5, 5"),
                    "coded" => text
                        .replace("Content-Length: 5", "Transfer-Encoding: gzip, chunked")
                        .replace("12345", "1\r\n1\r\n0\r\n\r\n"),
                    "cut" => text
                        .replace("Content-Length: 5", "Transfer-Encoding: chunked")
                        .replace("12345", "5\r\n12"),
                    other => panic!("{other}"),
                }
                .into(),
            )
        })
        .await;
        for id in ["both", "twice", "coded", "cut"] {
            let (code, response) = harness.send_request("POST", "/m/x", id).await;
            assert_eq!(code, 502, "{id}: {response}");
        }
        // A list of equal values in one header is a valid length.
        let (code, response) = harness.send_request("POST", "/m/x", "list").await;
        assert_eq!(
            (code, crate::harness::header(&response, "content-length")),
            (200, Some("5")),
            "{response}"
        );
    });
}

#[test]
fn bodiless_chunked_and_interim_responses_keep_the_connection_usable() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        let signature = "Response-Signature: s\r\n";
        let cases = [
            (
                "HEAD",
                format!("200 OK\r\n{signature}Content-Length: 9\r\n\r\n"),
                200,
                "",
            ),
            ("GET", format!("204 No\r\n{signature}\r\n"), 204, ""),
            (
                "GET",
                "304 Same\r\nContent-Length: 9\r\n\r\n".into(),
                304,
                "",
            ),
            (
                "GET",
                format!(
                    "200 OK\r\n{signature}Trailer: x\r\nTransfer-Encoding: chunked\r\n\r\n4;e=1\r\nbody\r\n0\r\nx: y\r\n\r\n"
                ),
                200,
                "body",
            ),
            (
                "GET",
                format!(
                    "200 OK\r\n{signature}Connection: response-signature\r\nContent-Length: 1\r\n\r\n1"
                ),
                200,
                "1",
            ),
        ];
        let mut instance = None;
        for (number, (method, text, expected, body)) in cases.into_iter().enumerate() {
            client
                .send(request(method, "/r/x", &format!("q{number}"), ""))
                .await;
            if instance.is_none() {
                instance = Some(accept(&listener).await);
            }
            let instance = instance.as_mut().unwrap();
            let upstream_request = instance.read_message().await.unwrap();
            let id = upstream_request.header("request-id").unwrap();
            instance
                .send(format!(
                    "HTTP/1.1 {}",
                    text.replacen("\r\n", &format!("\r\nRequest-Id: {id}\r\n"), 1)
                ))
                .await;
            let response = client.read_head().await.unwrap();
            assert_eq!(status(&response), expected, "{response}");
            assert_eq!(
                crate::harness::header(&response, "response-signature"),
                (expected < 300).then_some("s"),
                "{response}"
            );
            if method == "HEAD" {
                assert_eq!(
                    crate::harness::header(&response, "content-length"),
                    Some("9")
                );
            } else {
                let length = crate::harness::header(&response, "content-length").unwrap_or("0");
                assert_eq!(length, body.len().to_string(), "{response}");
                client.read_exactly(body.len()).await;
            }
        }
        // Interim responses are not final responses.
        client.send(request("POST", "/m/x", "last", "")).await;
        let instance = instance.as_mut().unwrap();
        let upstream_request = instance.read_message().await.unwrap();
        instance
            .send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
            .await;
        instance
            .send(build_reply(&upstream_request, "200 OK", "", ""))
            .await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
        client
            .send(request(
                "POST",
                "/m/x",
                "switch",
                "Connection: upgrade\r\nUpgrade: x\r\n",
            ))
            .await;
        let mut instance = accept(&listener).await;
        let upstream_request = instance.read_message().await.unwrap();
        assert_eq!(upstream_request.header("upgrade"), None);
        instance
            .send(build_reply(
                &upstream_request,
                "101 Switching",
                "Upgrade: x\r\n",
                "",
            ))
            .await;
        assert_eq!(client.read_message().await.unwrap().status(), 502);
    });
}

#[test]
fn connection_close_and_keep_alive_of_instances_are_honored() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        for (number, headers) in [
            "Connection: keep-alive\r\nConnection: close\r\n",
            "Connection: CLOSE\r\n",
        ]
        .into_iter()
        .enumerate()
        {
            client
                .send(request("POST", "/m/x", &format!("a{number}"), ""))
                .await;
            let mut instance = accept(&listener).await;
            let upstream_request = instance.read_message().await.unwrap();
            instance
                .send(build_reply(&upstream_request, "200 OK", headers, ""))
                .await;
            assert_eq!(client.read_message().await.unwrap().status(), 200);
            assert!(instance.closes_cleanly().await);
        }
        client.send(request("POST", "/m/x", "b", "")).await;
        let mut instance = accept(&listener).await;
        for id in ["b", "c", "d"] {
            let upstream_request = instance.read_message().await.unwrap();
            assert_eq!(upstream_request.header("request-id"), Some(id));
            instance
                .send(build_reply(
                    &upstream_request,
                    "200 OK",
                    "Keep-Alive: timeout=9\r\n",
                    "",
                ))
                .await;
            assert_eq!(client.read_message().await.unwrap().status(), 200);
            let next = if id == "b" { "c" } else { "d" };
            client.send(request("POST", "/m/x", next, "")).await;
        }
    });
}
