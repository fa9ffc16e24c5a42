//! Clients that leave (GONE of NEWS-22): half a second later no task is at work for them any more, and none begins.

use crate::scene::{Scene, Talk, good, play, request};
use std::time::Duration;
use tokio::net::TcpListener;

/// What the page allows.
const LEFT_WITHIN: Duration = Duration::from_millis(500);
const STREAM_BYTES: usize = 3 << 20;

async fn accept(listener: &TcpListener) -> Talk {
    Talk::new(listener.accept().await.unwrap().0)
}

async fn is_left_in_time(task: &mut Talk) -> bool {
    let left = tokio::time::timeout(LEFT_WITHIN, task.ended()).await;
    left.is_ok()
}

#[test]
fn a_task_that_works_on_a_request_that_may_be_repeated_is_left_with_its_client() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let listener = scene.by_hand().await;
        for target in ["/r/x", "/d/x", "/quick/x"] {
            let mut client = scene.client().await;
            client.say(request("GET", target, target, "")).await;
            let mut task = accept(&listener).await;
            task.message().await.unwrap();
            drop(client);
            assert!(is_left_in_time(&mut task).await, "{target}");
        }
    });
}

#[test]
fn a_stream_that_its_client_leaves_midway_is_left_by_its_task() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let listener = scene.by_hand().await;
        let mut client = scene.client().await;
        client.say(request("GET", "/d/x", "q", "")).await;
        let mut task = accept(&listener).await;
        task.message().await.unwrap();
        task.say(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nResponse-Signature: s\r\nContent-Length: {STREAM_BYTES}\r\n\r\n"
        ))
        .await;
        task.say(vec![b'x'; STREAM_BYTES / 2]).await;
        assert_eq!(
            client.head().await.map(|head| head.contains("200 OK")),
            Some(true)
        );
        drop(client);
        assert!(is_left_in_time(&mut task).await);
    });
}

#[test]
fn a_request_whose_client_has_left_reaches_no_further_task() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let [one, other] = scene.several_by_hand().await;
        let mut client = scene.client().await;
        client.say(request("POST", "/m/x", "left", "")).await;
        let mut task = tokio::select! {
            task = accept(&one) => task,
            task = accept(&other) => task,
        };
        task.message().await.unwrap();
        drop(client);
        // Another client's request, answered meanwhile: the proxy has seen the first one's end.
        assert_eq!(scene.ask("GET", "/nowhere/", "meanwhile").await.0, 404);
        task.say(
            "HTTP/1.1 503 Busy\r\nRequest-Id: left\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        )
        .await;
        let mut next = scene.client().await;
        next.say(request("GET", "/r/next", "next", "")).await;
        let asked = tokio::select! {
            asked = task.message() => asked,
            mut task = accept(&one) => task.message().await,
            mut task = accept(&other) => task.message().await,
        };
        assert_eq!(asked.unwrap().header("request-id"), Some("next"));
    });
}
