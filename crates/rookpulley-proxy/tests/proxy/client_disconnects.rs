//! Client disconnects: instances stop working within half a second, and no further attempt starts.

use crate::harness::{Harness, PeerConnection, request, run_test, signed_ok};
use std::time::Duration;
use tokio::net::TcpListener;

/// How soon the upstream connection must be closed.
const ABORT_TIMEOUT: Duration = Duration::from_millis(500);
const STREAM_BYTES: usize = 3 << 20;

async fn accept(listener: &TcpListener) -> PeerConnection {
    PeerConnection::new(listener.accept().await.unwrap().0)
}

async fn is_aborted_in_time(instance: &mut PeerConnection) -> bool {
    let closed = tokio::time::timeout(ABORT_TIMEOUT, instance.wait_closed()).await;
    closed.is_ok()
}

#[test]
fn idempotent_attempt_is_aborted() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        for target in ["/r/x", "/d/x", "/quick/x"] {
            let mut client = harness.client().await;
            client.send(request("GET", target, target, "")).await;
            let mut instance = accept(&listener).await;
            instance.read_message().await.unwrap();
            drop(client);
            assert!(is_aborted_in_time(&mut instance).await, "{target}");
        }
    });
}

#[test]
fn streamed_response_is_aborted() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let listener = harness.manual_instance().await;
        let mut client = harness.client().await;
        client.send(request("GET", "/d/x", "q", "")).await;
        let mut instance = accept(&listener).await;
        instance.read_message().await.unwrap();
        instance.send(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nResponse-Signature: s\r\nContent-Length: {STREAM_BYTES}\r\n\r\n"
        ))
        .await;
        instance.send(vec![b'x'; STREAM_BYTES / 2]).await;
        assert_eq!(
            client.read_head().await.map(|head| head.contains("200 OK")),
            Some(true)
        );
        drop(client);
        assert!(is_aborted_in_time(&mut instance).await);
    });
}

#[test]
fn no_further_attempt_starts() {
    run_test(async {
        let mut harness = Harness::with_configuration(|received| signed_ok(received, "")).await;
        let [one, other] = harness.manual_instances().await;
        let mut client = harness.client().await;
        client.send(request("POST", "/m/x", "left", "")).await;
        let mut instance = tokio::select! {
            instance = accept(&one) => instance,
            instance = accept(&other) => instance,
        };
        instance.read_message().await.unwrap();
        drop(client);
        // Another request, completed in the meantime, shows that the disconnect was processed.
        assert_eq!(
            harness
                .send_request("GET", "/nowhere/", "meanwhile")
                .await
                .0,
            404
        );
        instance.send(
            "HTTP/1.1 503 Busy\r\nRequest-Id: left\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        )
        .await;
        let mut next = harness.client().await;
        next.send(request("GET", "/r/next", "next", "")).await;
        let upstream_request = tokio::select! {
            upstream_request = instance.read_message() => upstream_request,
            mut instance = accept(&one) => instance.read_message().await,
            mut instance = accept(&other) => instance.read_message().await,
        };
        assert_eq!(upstream_request.unwrap().header("request-id"), Some("next"));
    });
}
