//! How much time a task is given (BUDGET of NEWS-22: tasks are handed no more time than is left).

use crate::scene::{Got, Scene, good, play, turned_away};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// So much passes while the first task has the request.
const HELD: Duration = Duration::from_millis(60);
/// A value in whole milliseconds may be off by one.
const ROUNDING_MS: u64 = 1;

fn deadline_ms(got: &Got) -> u64 {
    got.header("deadline-ms").unwrap().parse().unwrap()
}

/// When each attempt arrived, and the time that it was given.
type Arrivals = Rc<RefCell<Vec<(Instant, u64)>>>;

/// Two tasks, of which the one that is asked first takes its time and turns the request away.
async fn scene_with_a_late_refusal(arrivals: Arrivals) -> Scene {
    Scene::with_tasks(2, move |got| {
        let arrived = Instant::now();
        arrivals.borrow_mut().push((arrived, deadline_ms(got)));
        if arrivals.borrow().len() > 1 {
            return good(got, "served");
        }
        while arrived.elapsed() < HELD {
            std::hint::spin_loop();
        }
        turned_away(got)
    })
    .await
}

#[test]
fn an_attempt_that_is_made_later_is_given_only_the_time_that_is_left() {
    for (method, target) in [("GET", "/r/x"), ("POST", "/m/x"), ("GET", "/d/x")] {
        play(async {
            let arrivals = Arrivals::default();
            let scene = scene_with_a_late_refusal(arrivals.clone()).await;
            let (code, back) = scene.ask(method, target, "q").await;
            assert_eq!(code, 200, "{target}: {back}");
            let [(first, first_ms), (second, second_ms)] = arrivals.borrow()[..] else {
                panic!("{target}: {arrivals:?}");
            };
            let passed_ms = (second - first).as_millis() as u64;
            assert!(first_ms < 19_000, "{target}: {first_ms}");
            assert!(passed_ms >= HELD.as_millis() as u64);
            assert!(
                second_ms + passed_ms <= first_ms + ROUNDING_MS,
                "{target}: first {first_ms}, {passed_ms} later {second_ms}"
            );
        });
    }
}

#[test]
fn a_request_without_a_deadline_is_given_its_routes_time() {
    play(async {
        let scene = Scene::with_tasks(1, |got| good(got, "")).await;
        let head =
            "GET /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nConnection: close\r\n\r\n";
        let back = scene.send(head.as_bytes()).await;
        assert!(back.starts_with("HTTP/1.1 200"), "{back}");
        let given = deadline_ms(&scene.got.borrow()[0]);
        assert!((19_000..20_000).contains(&given), "{given}");
    });
}
