//! What a task may do with a connection, and what its client gets.

use crate::scene::{Act, Message, Scene, Talk, answer, good, play, request, status};
use tokio::net::TcpListener;

async fn accept(listener: &TcpListener) -> Talk {
    Talk::new(listener.accept().await.unwrap().0)
}

fn reply(to: &Message, status: &str, more: &str, body: &str) -> String {
    let id = to.header("request-id").unwrap();
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn an_answer_that_comes_a_second_time_in_the_place_of_the_next_is_left_out() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let listener = scene.by_hand().await;
        let mut client = scene.client().await;
        let bodies = ["", "the first", "HTTP/1.1 200 OK\r\n\r\n"];
        for (number, body) in bodies.into_iter().enumerate() {
            client
                .say(request("POST", "/m/first", &format!("a{number}"), ""))
                .await;
            let mut task = accept(&listener).await;
            let first = task.message().await.unwrap();
            task.say(reply(&first, "200 OK", "", body)).await;
            assert_eq!(client.message().await.unwrap().body, body.as_bytes());
            client
                .say(request("POST", "/m/second", &format!("b{number}"), ""))
                .await;
            let second = task.message().await.unwrap();
            // It comes in pieces, the right one close behind.
            let both =
                reply(&first, "200 OK", "", body) + &reply(&second, "200 OK", "", "the second");
            for piece in both.as_bytes().chunks(50) {
                task.say(piece).await;
                tokio::task::yield_now().await;
            }
            let back = client.message().await.unwrap();
            assert_eq!(
                (back.status(), back.body.as_slice()),
                (200, b"the second".as_slice())
            );
            // A connection on which answers go astray isn't used again.
            assert!(task.ends().await);
        }
    });
}

#[test]
fn an_answer_under_an_id_that_nobody_had_is_no_answer() {
    play(async {
        let scene = Scene::with_tasks(1, |got| {
            Act::Write(
                String::from_utf8(answer(got, "200 OK", "Response-Signature: s\r\n", ""))
                    .unwrap()
                    .replace("Request-Id: q", "Request-Id: p")
                    .into(),
            )
        })
        .await;
        let (code, back) = scene.ask("POST", "/m/x", "q").await;
        assert_eq!((code, scene.runs("q")), (502, 1), "{back}");
    });
}

#[test]
fn a_task_that_turns_a_long_body_away_before_it_has_come_is_heard() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        scene.limits = r#""maxBodyBytes":100000000"#;
        scene.configure(2, "/m/").await;
        let listener = scene.by_hand().await;
        let length = 40 << 20;
        let mut client = scene.client().await;
        client
            .say(request(
                "POST",
                "/m/x",
                "q",
                &format!("Content-Length: {length}\r\n"),
            ))
            .await;
        let mut task = accept(&listener).await;
        let head = task.head().await.unwrap();
        let asked = Message {
            head,
            body: Vec::new(),
        };
        task.say(reply(&asked, "503 Busy", "Not-Executed: 1\r\n", ""))
            .await;
        drop(task);
        let send = tokio::task::spawn_local(async move {
            client.say(vec![b'x'; length]).await;
            client.message().await
        });
        // The promise that it didn't run is passed on.
        assert_eq!(send.await.unwrap().unwrap().status(), 503);
    });
}

#[test]
fn a_new_connection_that_is_reset_at_once_has_carried_nothing_that_may_run_once() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let listener = scene.by_hand().await;
        let mut client = scene.client().await;
        client.say(request("POST", "/m/x", "q", "")).await;
        let (stream, _) = listener.accept().await.unwrap();
        socket2::SockRef::from(&stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .unwrap();
        drop(stream);
        let back = client.message().await.unwrap();
        assert_eq!(back.status(), 503, "{}", back.head);
    });
}

#[test]
fn a_connection_that_its_task_has_ended_is_left_before_anything_is_sent_on_it() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let listener = scene.by_hand().await;
        let mut client = scene.client().await;
        for number in 0..20 {
            client
                .say(request("POST", "/m/x", &format!("a{number}"), ""))
                .await;
            let mut task = accept(&listener).await;
            let asked = task.message().await.unwrap();
            task.say(reply(&asked, "200 OK", "", "")).await;
            // The end and the next request are on their way at the same time.
            drop(task);
            assert_eq!(client.message().await.unwrap().status(), 200);
        }
    });
}

#[test]
fn lengths_stated_twice_or_in_two_ways_are_no_answer() {
    play(async {
        let scene = Scene::with_tasks(1, |got| {
            let text =
                String::from_utf8(answer(got, "200 OK", "Response-Signature: s\r\n", "12345"))
                    .unwrap();
            let chunked = "Transfer-Encoding: chunked\r\nRequest-Id";
            Act::Cut(
                match got.header("request-id").unwrap() {
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
            let (code, back) = scene.ask("POST", "/m/x", id).await;
            assert_eq!(code, 502, "{id}: {back}");
        }
        // Said twice in one breath it is one length.
        let (code, back) = scene.ask("POST", "/m/x", "list").await;
        assert_eq!(
            (code, crate::scene::header(&back, "content-length")),
            (200, Some("5")),
            "{back}"
        );
    });
}

#[test]
fn answers_without_a_body_in_chunks_or_announced_leave_the_connection_fit_for_the_next() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let listener = scene.by_hand().await;
        let mut client = scene.client().await;
        let sign = "Response-Signature: s\r\n";
        let cases = [
            (
                "HEAD",
                format!("200 OK\r\n{sign}Content-Length: 9\r\n\r\n"),
                200,
                "",
            ),
            ("GET", format!("204 No\r\n{sign}\r\n"), 204, ""),
            (
                "GET",
                "304 Same\r\nContent-Length: 9\r\n\r\n".into(),
                304,
                "",
            ),
            (
                "GET",
                format!(
                    "200 OK\r\n{sign}Trailer: x\r\nTransfer-Encoding: chunked\r\n\r\n4;e=1\r\nbody\r\n0\r\nx: y\r\n\r\n"
                ),
                200,
                "body",
            ),
            (
                "GET",
                format!(
                    "200 OK\r\n{sign}Connection: response-signature\r\nContent-Length: 1\r\n\r\n1"
                ),
                200,
                "1",
            ),
        ];
        let mut task = None;
        for (number, (method, answer, want, body)) in cases.into_iter().enumerate() {
            client
                .say(request(method, "/r/x", &format!("q{number}"), ""))
                .await;
            if task.is_none() {
                task = Some(accept(&listener).await);
            }
            let task = task.as_mut().unwrap();
            let asked = task.message().await.unwrap();
            let id = asked.header("request-id").unwrap();
            task.say(format!(
                "HTTP/1.1 {}",
                answer.replacen("\r\n", &format!("\r\nRequest-Id: {id}\r\n"), 1)
            ))
            .await;
            let back = client.head().await.unwrap();
            assert_eq!(status(&back), want, "{back}");
            assert_eq!(
                crate::scene::header(&back, "response-signature"),
                (want < 300).then_some("s"),
                "{back}"
            );
            if method == "HEAD" {
                assert_eq!(crate::scene::header(&back, "content-length"), Some("9"));
            } else {
                let length = crate::scene::header(&back, "content-length").unwrap_or("0");
                assert_eq!(length, body.len().to_string(), "{back}");
                client.exactly(body.len()).await;
            }
        }
        // What only announces an answer isn't one.
        client.say(request("POST", "/m/x", "last", "")).await;
        let task = task.as_mut().unwrap();
        let asked = task.message().await.unwrap();
        task.say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
            .await;
        task.say(reply(&asked, "200 OK", "", "")).await;
        assert_eq!(client.message().await.unwrap().status(), 200);
        client
            .say(request(
                "POST",
                "/m/x",
                "switch",
                "Connection: upgrade\r\nUpgrade: x\r\n",
            ))
            .await;
        let mut task = accept(&listener).await;
        let asked = task.message().await.unwrap();
        assert_eq!(asked.header("upgrade"), None);
        task.say(reply(&asked, "101 Switching", "Upgrade: x\r\n", ""))
            .await;
        assert_eq!(client.message().await.unwrap().status(), 502);
    });
}

#[test]
fn a_task_that_says_when_it_ends_connections_gets_no_late_request_and_one_that_ends_them_none() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let listener = scene.by_hand().await;
        let mut client = scene.client().await;
        for (number, more) in [
            "Connection: keep-alive\r\nConnection: close\r\n",
            "Connection: CLOSE\r\n",
        ]
        .into_iter()
        .enumerate()
        {
            client
                .say(request("POST", "/m/x", &format!("a{number}"), ""))
                .await;
            let mut task = accept(&listener).await;
            let asked = task.message().await.unwrap();
            task.say(reply(&asked, "200 OK", more, "")).await;
            assert_eq!(client.message().await.unwrap().status(), 200);
            assert!(task.ends().await);
        }
        client.say(request("POST", "/m/x", "b", "")).await;
        let mut task = accept(&listener).await;
        for id in ["b", "c", "d"] {
            let asked = task.message().await.unwrap();
            assert_eq!(asked.header("request-id"), Some(id));
            task.say(reply(&asked, "200 OK", "Keep-Alive: timeout=9\r\n", ""))
                .await;
            assert_eq!(client.message().await.unwrap().status(), 200);
            let next = if id == "b" { "c" } else { "d" };
            client.say(request("POST", "/m/x", next, "")).await;
        }
    });
}
