//! What a client may do, and that nobody else feels it.

use crate::scene::{Act, Scene, Talk, good, play, request, status};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A request that is served, whatever the others do.
async fn serves(scene: &Scene, id: &str) {
    let (code, back) = scene.ask("GET", "/r/neighbour", id).await;
    assert_eq!(code, 200, "{id}: {back}");
}

#[test]
fn what_is_no_request_gets_a_clear_4xx_or_an_end_and_runs_nothing() {
    play(async {
        let scene = Scene::with_tasks(1, |got| good(got, "")).await;
        let host = "Host: h.example\r\nRequest-Id: q\r\n";
        let post = |more: &str, body: &str| format!("POST /m/x HTTP/1.1\r\n{host}{more}\r\n{body}");
        let inner = "GET /r/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\n\r\n";
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
                post("Transfer-Encoding: chunked\r\n", &format!("zz\r\n{inner}")),
                400,
            ),
            (
                post(
                    "Transfer-Encoding: chunked\r\n",
                    &format!("3\r\nabcd\r\n0\r\n\r\n{inner}"),
                ),
                400,
            ),
            (
                post(
                    "Transfer-Encoding: chunked\r\n",
                    &format!("fffffffffffffffff\r\n{inner}"),
                ),
                400,
            ),
            (
                post(
                    "Transfer-Encoding: chunked\r\n",
                    &format!("3;\n\r\nabc\r\n0\r\n\r\n{inner}"),
                ),
                400,
            ),
        ];
        let mut neighbour = scene.client().await;
        for (number, (bytes, want)) in cases.into_iter().enumerate() {
            let back = scene.send(bytes.as_bytes()).await;
            assert_eq!(status(&back), want, "{bytes:?} gave {back}");
            neighbour
                .say(request("GET", "/r/neighbour", &format!("n{number}"), ""))
                .await;
            assert_eq!(neighbour.message().await.unwrap().status(), 200);
        }
        assert!(
            scene
                .got
                .borrow()
                .iter()
                .all(|got| got.head.contains("/neighbour"))
        );
    });
}

#[test]
fn what_is_smuggled_behind_a_body_with_two_ends_runs_never() {
    play(async {
        let scene = Scene::with_tasks(1, |got| good(got, "")).await;
        let inner = "GET /r/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\n\r\n";
        let chunked = "Transfer-Encoding: chunked\r\n";
        let shorter = "Content-Length: 4\r\n";
        for (number, more) in [format!("{chunked}{shorter}"), format!("{shorter}{chunked}")]
            .into_iter()
            .enumerate()
        {
            let head = request("POST", "/m/outer", &format!("o{number}"), &more);
            let back = scene
                .send(format!("{head}0\r\n\r\n{inner}").as_bytes())
                .await;
            assert!(back.matches("HTTP/1.1").count() <= 1, "{back}");
        }
        assert_eq!(scene.runs("inner"), 0);
        assert!(scene.got.borrow().iter().all(|got| got.body.is_empty()));
    });
}

#[test]
fn requests_sent_ahead_are_each_looked_at_on_their_own() {
    play(async {
        let scene =
            Scene::with_tasks(1, |got| good(got, &String::from_utf8_lossy(&got.body))).await;
        let mut client = scene.client().await;
        let (first, second) = (
            request("GET", "/r/1", "a", ""),
            request("GET", "/r/2", "b", "X: a#b\r\n"),
        );
        let third = request("POST", "/m/3", "c", "Transfer-Encoding: chunked\r\n")
            + "3\r\n#\r\n\r\n0\r\n\r\n";
        // The third's target would lose its end on the way.
        let fourth = request("GET", "/r/4#x", "d", "");
        let cut = first.len() + second.len() - 5;
        let all = first + &second + &third + &fourth;
        client.say(&all[..cut]).await;
        assert_eq!(client.message().await.unwrap().status(), 200);
        client.say(&all[cut..]).await;
        assert_eq!(client.message().await.unwrap().status(), 200);
        let echo = client.message().await.unwrap();
        assert_eq!(
            (echo.status(), echo.body.as_slice()),
            (200, b"#\r\n".as_slice())
        );
        assert_eq!(client.message().await.unwrap().status(), 400);
        assert!(client.ends().await);
        assert_eq!(scene.runs("d"), 0);
    });
}

#[test]
fn a_refusal_reaches_a_client_that_still_sends() {
    play(async {
        let scene = Scene::with_tasks(0, |got| good(got, "")).await;
        let body = "x".repeat(290_000);
        let length = format!("Content-Length: {}\r\n", body.len());
        for (target, want) in [("/m/none", 503), ("/nowhere/", 404), ("/m/#", 400)] {
            let mut client = scene.client().await;
            client
                .say(request("POST", target, "q", &length) + &body[..1_000])
                .await;
            let back = client.message().await.unwrap();
            assert_eq!(
                (back.status(), back.header("connection")),
                (want, Some("close"))
            );
            let took = client.say(&body[1_000..9_000]).await && client.say(&body[9_000..]).await;
            assert!(
                took && client.ends().await,
                "{target}: the rest of what was sent reset the connection"
            );
        }
    });
}

#[test]
fn bodies_keep_their_bytes_and_their_bounds_whatever_the_method_and_the_length() {
    play(async {
        let mut scene = Scene::new(|got| good(got, &got.body.len().to_string())).await;
        scene.limits = r#""maxBodyBytes":200000"#;
        scene.configure(1, "/m/").await;
        let line = scene.task("life-0").await;
        scene.table(vec![line]).await;
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
                let back = scene.send((head + &chunks(count)).as_bytes()).await;
                assert!(
                    back.ends_with(&format!("\r\n\r\n{}", count * 10_000)),
                    "{method} {count}: {back}"
                );
            }
        }
        scene.limits = r#""maxBodyBytes":20000"#;
        scene.configure(2, "/m/").await;
        scene.table(vec![scene.task("life-1").await]).await;
        for count in [3, 30] {
            let head = request("POST", "/m/x", "long", "Transfer-Encoding: chunked\r\n");
            let back = scene.send((head + &chunks(count)).as_bytes()).await;
            assert_eq!(status(&back), 413, "{count}: {back}");
        }
        assert_eq!(scene.runs("long"), 0);
    });
}

#[test]
fn a_body_that_its_client_breaks_off_tells_nothing_about_the_task() {
    play(async {
        let mut scene = Scene::with_tasks(1, |got| good(got, "")).await;
        let head = request("POST", "/m/x", "broken", "Transfer-Encoding: chunked\r\n");
        let chunk = format!("2710\r\n{}\r\n", "z".repeat(10_000));
        let back = scene
            .send((head.clone() + &chunk.repeat(8) + "no chunk\r\n").as_bytes())
            .await;
        assert_eq!(status(&back), 400, "{back}");
        let back = scene.send((head + &chunk.repeat(31)).as_bytes()).await;
        assert_eq!(status(&back), 413, "{back}");
        // The client is waited for until its time is over.
        let length = "Content-Length: 100000\r\nConnection: close\r\n";
        let head = format!(
            "POST /short/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\n{length}\r\n"
        );
        let back = scene.send((head + "some of it").as_bytes()).await;
        assert_eq!(status(&back), 504, "{back}");
        serves(&scene, "q").await;
        assert_eq!(scene.reported(4).await, (1, 0));
        assert_eq!((scene.runs("broken"), scene.runs("slow")), (0, 0));
    });
}

#[test]
fn a_head_that_takes_too_long_is_ended_and_others_are_served_meanwhile() {
    play(async {
        let mut scene = Scene::new(|got| good(got, "")).await;
        scene.limits = r#""headerTimeoutMs":1,"idleTimeoutMs":30000"#;
        scene.configure(1, "/m/").await;
        let line = scene.task("life-0").await;
        scene.table(vec![line]).await;
        let (mut resting, mut before) = (scene.client().await, scene.client().await);
        before.say(request("GET", "/r/x", "a", "")).await;
        assert_eq!(before.message().await.unwrap().status(), 200);
        let mut slow = scene.client().await;
        for client in [&mut slow, &mut before] {
            client.say("\r\nGET /r/x HTTP/1.1\r\nHost: ").await;
        }
        serves(&scene, "b").await;
        for client in [&mut slow, &mut before] {
            let back = client.message().await.unwrap();
            assert_eq!(
                (back.status(), back.header("connection")),
                (408, Some("close"))
            );
            assert!(client.ends().await);
        }
        // Who says nothing, or only ends a line, is not slow.
        resting.say("\r\n").await;
        resting.say(request("GET", "/r/x", "c", "")).await;
        assert_eq!(resting.message().await.unwrap().status(), 200);
        serves(&scene, "d").await;
    });
}

#[test]
fn who_rests_too_long_is_ended_whatever_lines_without_a_request_it_sent() {
    play(async {
        let mut scene = Scene::new(|got| good(got, "")).await;
        scene.limits = r#""idleTimeoutMs":1"#;
        scene.configure(1, "/m/").await;
        scene.marked().await;
        for lines in ["", "\r\n", "\n\r\n"] {
            let mut client = scene.client().await;
            client.say(lines).await;
            let ends =
                tokio::time::timeout(std::time::Duration::from_secs(10), client.ends()).await;
            assert_eq!(ends, Ok(true), "{lines:?}");
        }
    });
}

#[test]
fn where_descriptors_are_short_who_rests_makes_room_for_who_asks() {
    play(async {
        let scene = Scene::with_files(500, |got| good(got, "")).await;
        let mut resting = Vec::new();
        for _ in 0..300 {
            resting.push(scene.client().await);
        }
        let mut last = scene.client().await;
        last.say(request("GET", "/r/x", "q", "")).await;
        assert_eq!(last.message().await.unwrap().status(), 503);
        assert!(resting[0].ends().await);
    });
}

#[test]
fn a_try_that_may_run_once_is_finished_though_its_client_has_left() {
    play(async {
        let mut scene = Scene::configured(|got| good(got, "")).await;
        let listener = scene.by_hand().await;
        let mut client = scene.client().await;
        client.say(request("POST", "/m/left", "a", "")).await;
        let (stream, _) = listener.accept().await.unwrap();
        let mut task = Talk::new(stream);
        let asked = task.message().await.unwrap();
        drop(client);
        // Another request, begun and answered after the client left, passes by.
        assert_eq!(scene.ask("GET", "/nowhere/", "b").await.0, 404);
        let id = asked.header("request-id").unwrap();
        task.say(format!(
            "HTTP/1.1 204 N\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\n"
        ))
        .await;
        // The connection has outlived it and serves the next.
        let mut client = scene.client().await;
        client.say(request("GET", "/r/next", "c", "")).await;
        assert_eq!(
            task.message().await.unwrap().header("request-id"),
            Some("c")
        );
    });
}

#[test]
fn a_client_that_ends_its_side_behind_a_request_ends_the_connection_and_a_reset_harms_nobody() {
    play(async {
        let scene = Scene::with_tasks(1, |got| {
            if got.head.contains("/silent") {
                Act::Silence
            } else {
                good(got, "")
            }
        })
        .await;
        let mut stream = TcpStream::connect(scene.front).await.unwrap();
        let head = request("GET", "/r/silent", "a", "");
        tokio::io::AsyncWriteExt::write_all(&mut stream, head.as_bytes())
            .await
            .unwrap();
        tokio::io::AsyncWriteExt::shutdown(&mut stream)
            .await
            .unwrap();
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
        for number in 0..20 {
            let mut client = scene.client().await;
            client
                .say(request("GET", "/r/silent", &format!("b{number}"), ""))
                .await;
            socket2::SockRef::from(&client.stream)
                .set_linger(Some(std::time::Duration::ZERO))
                .unwrap();
        }
        serves(&scene, "c").await;
    });
}

#[test]
fn an_answer_to_expect_comes_before_the_body_and_a_refusal_without_it() {
    play(async {
        let scene = Scene::with_tasks(1, |got| good(got, &got.body.len().to_string())).await;
        let expect = "Expect: 100-continue\r\nContent-Length: 5\r\n";
        let mut client = scene.client().await;
        client.say(request("POST", "/m/x", "a", expect)).await;
        assert_eq!(client.message().await.unwrap().status(), 100);
        client.say("12345").await;
        let back = client.message().await.unwrap();
        assert_eq!(
            (back.status(), back.body.as_slice()),
            (200, b"5".as_slice())
        );
        assert!(scene.got.borrow()[0].header("expect").is_none());
        client.say(request("POST", "/nowhere/", "b", expect)).await;
        assert_eq!(client.message().await.unwrap().status(), 404);
        assert!(client.ends().await);
    });
}

#[test]
fn what_names_a_try_or_a_connection_can_t_be_taken_away_or_set_by_a_client() {
    play(async {
        let scene = Scene::with_tasks(1, |got| good(got, "")).await;
        let more = "Deadline-Ms: 5\r\nTarget-Instance: other\r\nTarget-Instance: more\r\n\
                    Connection: request-id, host, target-instance, deadline-ms, x-mine\r\nX-Mine: 1\r\n";
        let mut client = scene.client().await;
        client.say(request("GET", "/r/x?", "a", more)).await;
        assert_eq!(client.message().await.unwrap().status(), 200);
        let got = scene.got.borrow()[0].clone();
        assert!(
            got.head.starts_with("GET /r/x? HTTP/1.1\r\n"),
            "{}",
            got.head
        );
        let count = |name: &str| {
            got.head
                .to_lowercase()
                .matches(&format!("\r\n{name}:"))
                .count()
        };
        assert_eq!(
            (count("request-id"), count("host"), count("deadline-ms")),
            (1, 1, 1)
        );
        assert_eq!(
            (count("target-instance"), got.header("target-instance")),
            (1, Some("life-0"))
        );
        assert_eq!(got.header("x-mine"), None);
    });
}

#[test]
fn a_client_that_takes_nothing_holds_up_its_task_no_longer_than_it_may_rest() {
    play(async {
        let mut scene = Scene::new(|got| good(got, "")).await;
        scene.limits = r#""idleTimeoutMs":1"#;
        scene.configure(1, "/m/").await;
        let listener = scene.by_hand().await;
        let mut client = scene.client().await;
        client.say(request("GET", "/d/x", "q", "")).await;
        let mut task = Talk::new(listener.accept().await.unwrap().0);
        let asked = task.message().await.unwrap();
        let id = asked.header("request-id").unwrap();
        let length = 100 << 20;
        task.say(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: {length}\r\n\r\n"
        ))
        .await;
        // It ends soon, since nobody takes it all.
        let begun = std::time::Instant::now();
        assert!(!task.say(vec![0; length]).await);
        assert!(begun.elapsed() < std::time::Duration::from_secs(8));
    });
}
