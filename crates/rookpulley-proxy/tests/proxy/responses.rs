//! Responses sent before the request body was read, responses without a length, and signatures on
//! failures.

use crate::harness::{
    Action, Harness, PeerConnection, ReceivedRequest, build_response, header, request, run_test,
    signed_ok, status,
};

const SIGNATURE: &str = "Response-Signature: s\r\n";
const BODY_BYTES: usize = 200_000;
/// The part of the body that is sent before the response.
const SENT_BEFORE_RESPONSE: usize = 1_000;
const LONG_BYTES: usize = 3 << 20;
/// The start of the next request.
const NEXT_REQUEST_START: &[u8] = b"POST /m/next ";
const TEST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// A response whose body ends when the connection closes.
fn without_length(received: &ReceivedRequest, body: &str) -> Vec<u8> {
    let id = received.header("request-id").unwrap();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{SIGNATURE}\r\n{body}").into_bytes()
}

/// Returns what an instance reads if it responds before the whole body has arrived, until the next
/// request arrives on this or another connection. The client sends `rest` more bytes after the
/// response.
async fn bytes_after_early_response(rest: usize) -> Vec<u8> {
    let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
    let listener = harness.manual_instance().await;
    let mut client = harness.client().await;
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    client.send(request("POST", "/m/x", "early", &length)).await;
    client.send(vec![b'x'; SENT_BEFORE_RESPONSE]).await;
    let mut instance = PeerConnection::new(listener.accept().await.unwrap().0);
    instance.read_head().await.unwrap();
    instance.send(format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: early\r\n{SIGNATURE}Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok"
    ))
    .await;
    assert_eq!(client.read_message().await.unwrap().body, b"ok");
    tokio::task::spawn_local(async move {
        client.send(vec![b'x'; rest]).await;
        // Keep the connection open.
        client.wait_closed().await
    });
    let mut next = harness.client().await;
    next.send(request("POST", "/m/next", "next", "")).await;
    let mut received = Vec::new();
    loop {
        let searched = received.len().saturating_sub(NEXT_REQUEST_START.len());
        tokio::select! {
            accepted = listener.accept() => {
                let message = PeerConnection::new(accepted.unwrap().0).read_message().await.unwrap();
                assert_eq!(message.header("request-id"), Some("next"));
                return received;
            }
            bytes = instance.read_available() => received.extend(bytes),
        }
        if received[searched..]
            .windows(NEXT_REQUEST_START.len())
            .any(|window| window == NEXT_REQUEST_START)
        {
            return received;
        }
    }
}

#[test]
fn early_response_is_not_followed_by_another_request_within_the_body() {
    for rest in [0, 10, 60_000, BODY_BYTES - SENT_BEFORE_RESPONSE] {
        let received = run_test(async {
            let bytes = bytes_after_early_response(rest);
            tokio::time::timeout(TEST_TIMEOUT, bytes).await
        });
        let received =
            received.unwrap_or_else(|_| panic!("{rest}: the next request did not arrive"));
        let body = received.iter().take_while(|byte| **byte == b'x').count();
        let is_complete = body == BODY_BYTES && received[body..].starts_with(NEXT_REQUEST_START);
        assert!(
            is_complete || body == received.len(),
            "{rest}: {body} of {}",
            received.len()
        );
    }
}

#[test]
fn body_without_length_is_complete_after_a_clean_close() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| {
            let length = if received.head.contains("/long") {
                LONG_BYTES
            } else {
                5
            };
            Action::Close(without_length(received, &"x".repeat(length)))
        })
        .await;
        for (method, target) in [("POST", "/m/x"), ("GET", "/r/x"), ("GET", "/d/x")] {
            let (code, response) = harness.send_request(method, target, target).await;
            assert_eq!(
                (code, harness.request_count(target)),
                (200, 1),
                "{target}: {response}"
            );
            assert_eq!(header(&response, "content-length"), Some("5"), "{response}");
            assert_eq!(
                header(&response, "response-signature"),
                Some("s"),
                "{response}"
            );
            assert!(response.ends_with("\r\n\r\nxxxxx"), "{target}: {response}");
        }
        let mut client = harness.client().await;
        client.send(request("GET", "/d/long", "long", "")).await;
        let long = client.read_message().await.unwrap();
        assert_eq!((long.status(), long.body.len()), (200, LONG_BYTES));
        assert_eq!(harness.request_count("long"), 1);
    });
}

#[test]
fn body_without_length_is_incomplete_after_a_reset() {
    run_test(async {
        let harness = Harness::with_instances(2, |received| {
            let length = if received.head.contains("/long") {
                LONG_BYTES
            } else {
                5
            };
            Action::Reset(without_length(received, &"x".repeat(length)))
        })
        .await;
        let (code, response) = harness.send_request("POST", "/m/x", "once").await;
        assert_eq!(
            (code, harness.request_count("once")),
            (502, 1),
            "{response}"
        );
        assert_eq!(header(&response, "response-signature"), None, "{response}");
        let (code, response) = harness.send_request("GET", "/r/x", "again").await;
        assert_eq!(code, 502, "{response}");
        assert!(harness.request_count("again") > 1);
        let response = harness
            .send(request("GET", "/d/long", "long", "Connection: close\r\n").as_bytes())
            .await;
        let looks_complete = response.ends_with("\r\n0\r\n\r\n");
        assert!(
            status(&response) != 200 || !looks_complete,
            "{}",
            response.len()
        );
    });
}

#[test]
fn failure_carries_a_signature_only_with_the_status_of_the_instance() {
    let failures = [
        ("400 Bad", ""),
        ("404 None", ""),
        ("408 Late", ""),
        ("421 Other", ""),
        ("429 Many", ""),
        ("429 Many", "Not-Executed: 1\r\n"),
        ("500 Bad", ""),
        ("503 Busy", ""),
        ("503 Busy", "Not-Executed: 1\r\n"),
        ("504 Late", ""),
    ];
    for (status_line, headers) in failures {
        for (method, target) in [("GET", "/r/x"), ("POST", "/m/x")] {
            run_test(async {
                let harness = Harness::with_instances(2, move |received| {
                    Action::Respond(build_response(
                        received,
                        status_line,
                        &format!("{SIGNATURE}{headers}"),
                        "failed",
                    ))
                })
                .await;
                let (code, response) = harness.send_request(method, target, "q").await;
                let is_signed = header(&response, "response-signature").is_some();
                let is_instance_status = status_line.starts_with(&code.to_string());
                assert!(code >= 400, "{status_line} {headers}: {response}");
                assert!(
                    !is_signed || is_instance_status,
                    "{status_line} {headers}: {response}"
                );
            });
        }
    }
}

#[test]
fn local_response_to_a_truncated_response_is_not_signed() {
    run_test(async {
        let harness = Harness::with_instances(2, |received| {
            let complete = build_response(received, "200 OK", SIGNATURE, "whole");
            Action::Close(complete[..complete.len() - 2].to_vec())
        })
        .await;
        for (method, target) in [("GET", "/r/x"), ("POST", "/m/x")] {
            let (code, response) = harness.send_request(method, target, target).await;
            assert_eq!(code, 502, "{response}");
            assert_eq!(header(&response, "response-signature"), None, "{response}");
        }
    });
}
