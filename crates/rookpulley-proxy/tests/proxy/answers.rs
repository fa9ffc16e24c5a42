//! Answers as the newest pages describe them: before the body has been read, without a length, signed failures (UNASKED
//! and MIXED of NEWS-18 and NEWS-22).

use crate::scene::{Act, Got, Scene, Talk, answer, good, header, play, request, status};

const SIGNATURE: &str = "Response-Signature: s\r\n";
const BODY_BYTES: usize = 200_000;
/// So much of it is sent before the answer.
const SENT_BEFORE: usize = 1_000;
const LONG_BYTES: usize = 3 << 20;
/// How the next request begins.
const NEXT: &[u8] = b"POST /m/next ";
const PATIENCE: std::time::Duration = std::time::Duration::from_secs(10);

/// An answer whose body ends with its connection.
fn without_length(got: &Got, body: &str) -> Vec<u8> {
    let id = got.header("request-id").unwrap();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{SIGNATURE}\r\n{body}").into_bytes()
}

/// What a task gets that answers at once and reads on later, until the next request comes on this connection or another;
/// `rest`: how much of the body its client sends behind the answer.
async fn bytes_behind_an_early_answer(rest: usize) -> Vec<u8> {
    let mut scene = Scene::configured(|got| good(got, "")).await;
    let listener = scene.by_hand().await;
    let mut client = scene.client().await;
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    client.say(request("POST", "/m/x", "early", &length)).await;
    client.say(vec![b'x'; SENT_BEFORE]).await;
    let mut task = Talk::new(listener.accept().await.unwrap().0);
    task.head().await.unwrap();
    task.say(format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: early\r\n{SIGNATURE}Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok"
    ))
    .await;
    assert_eq!(client.message().await.unwrap().body, b"ok");
    tokio::task::spawn_local(async move {
        client.say(vec![b'x'; rest]).await;
        // Its connection stays open.
        client.ended().await
    });
    let mut next = scene.client().await;
    next.say(request("POST", "/m/next", "next", "")).await;
    let mut got = Vec::new();
    loop {
        let looked_at = got.len().saturating_sub(NEXT.len());
        tokio::select! {
            other = listener.accept() => {
                let asked = Talk::new(other.unwrap().0).message().await.unwrap();
                assert_eq!(asked.header("request-id"), Some("next"));
                return got;
            }
            more = task.some() => got.extend(more),
        }
        if got[looked_at..]
            .windows(NEXT.len())
            .any(|window| window == NEXT)
        {
            return got;
        }
    }
}

#[test]
fn a_task_that_answers_before_it_has_read_a_body_gets_nothing_else_in_its_place() {
    for rest in [0, 10, 60_000, BODY_BYTES - SENT_BEFORE] {
        let got = play(async {
            let bytes = bytes_behind_an_early_answer(rest);
            tokio::time::timeout(PATIENCE, bytes).await
        });
        let got = got.unwrap_or_else(|_| panic!("{rest}: the next request doesn't come"));
        let body = got.iter().take_while(|byte| **byte == b'x').count();
        let is_whole = body == BODY_BYTES && got[body..].starts_with(NEXT);
        assert!(
            is_whole || body == got.len(),
            "{rest}: {body} of {}",
            got.len()
        );
    }
}

#[test]
fn a_body_without_a_length_is_complete_when_its_connection_ends_in_order() {
    play(async {
        let scene = Scene::with_tasks(1, |got| {
            let length = if got.head.contains("/long") {
                LONG_BYTES
            } else {
                5
            };
            Act::Cut(without_length(got, &"x".repeat(length)))
        })
        .await;
        for (method, target) in [("POST", "/m/x"), ("GET", "/r/x"), ("GET", "/d/x")] {
            let (code, back) = scene.ask(method, target, target).await;
            assert_eq!((code, scene.runs(target)), (200, 1), "{target}: {back}");
            assert_eq!(header(&back, "content-length"), Some("5"), "{back}");
            assert_eq!(header(&back, "response-signature"), Some("s"), "{back}");
            assert!(back.ends_with("\r\n\r\nxxxxx"), "{target}: {back}");
        }
        let mut client = scene.client().await;
        client.say(request("GET", "/d/long", "long", "")).await;
        let long = client.message().await.unwrap();
        assert_eq!((long.status(), long.body.len()), (200, LONG_BYTES));
        assert_eq!(scene.runs("long"), 1);
    });
}

#[test]
fn a_body_without_a_length_whose_connection_is_reset_is_not_complete() {
    play(async {
        let scene = Scene::with_tasks(2, |got| {
            let length = if got.head.contains("/long") {
                LONG_BYTES
            } else {
                5
            };
            Act::Reset(without_length(got, &"x".repeat(length)))
        })
        .await;
        let (code, back) = scene.ask("POST", "/m/x", "once").await;
        assert_eq!((code, scene.runs("once")), (502, 1), "{back}");
        assert_eq!(header(&back, "response-signature"), None, "{back}");
        let (code, back) = scene.ask("GET", "/r/x", "again").await;
        assert_eq!(code, 502, "{back}");
        assert!(scene.runs("again") > 1);
        let back = scene
            .send(request("GET", "/d/long", "long", "Connection: close\r\n").as_bytes())
            .await;
        let looks_complete = back.ends_with("\r\n0\r\n\r\n");
        assert!(status(&back) != 200 || !looks_complete, "{}", back.len());
    });
}

#[test]
fn a_failure_bears_a_tasks_signature_only_under_that_tasks_status() {
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
    for (line, more) in failures {
        for (method, target) in [("GET", "/r/x"), ("POST", "/m/x")] {
            play(async {
                let scene = Scene::with_tasks(2, move |got| {
                    Act::Write(answer(got, line, &format!("{SIGNATURE}{more}"), "failed"))
                })
                .await;
                let (code, back) = scene.ask(method, target, "q").await;
                let is_signed = header(&back, "response-signature").is_some();
                let is_the_tasks = line.starts_with(&code.to_string());
                assert!(code >= 400, "{line} {more}: {back}");
                assert!(!is_signed || is_the_tasks, "{line} {more}: {back}");
            });
        }
    }
}

#[test]
fn an_answer_of_the_proxys_own_in_place_of_a_broken_one_is_not_signed() {
    play(async {
        let scene = Scene::with_tasks(2, |got| {
            let whole = answer(got, "200 OK", SIGNATURE, "whole");
            Act::Cut(whole[..whole.len() - 2].to_vec())
        })
        .await;
        for (method, target) in [("GET", "/r/x"), ("POST", "/m/x")] {
            let (code, back) = scene.ask(method, target, target).await;
            assert_eq!(code, 502, "{back}");
            assert_eq!(header(&back, "response-signature"), None, "{back}");
        }
    });
}
