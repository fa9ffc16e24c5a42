//! The deadline passed on to instances.

use crate::harness::{Harness, ReceivedRequest, not_executed, run_test, signed_ok};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the first instance holds the request.
const HOLD_TIME: Duration = Duration::from_millis(60);
/// Tolerance for rounding to whole milliseconds.
const ROUNDING_MS: u64 = 1;

fn deadline_ms(received: &ReceivedRequest) -> u64 {
    received.header("deadline-ms").unwrap().parse().unwrap()
}

/// The arrival time of each attempt and the deadline it was given.
type Arrivals = Rc<RefCell<Vec<(Instant, u64)>>>;

/// Two instances, of which the first one asked delays its response and rejects the request.
async fn harness_with_delayed_rejection(arrivals: Arrivals) -> Harness {
    Harness::with_instances(2, move |received| {
        let arrived = Instant::now();
        arrivals.borrow_mut().push((arrived, deadline_ms(received)));
        if arrivals.borrow().len() > 1 {
            return signed_ok(received, "served");
        }
        while arrived.elapsed() < HOLD_TIME {
            std::hint::spin_loop();
        }
        not_executed(received)
    })
    .await
}

#[test]
fn later_attempt_gets_the_remaining_time() {
    for (method, target) in [("GET", "/r/x"), ("POST", "/m/x"), ("GET", "/d/x")] {
        run_test(async {
            let arrivals = Arrivals::default();
            let harness = harness_with_delayed_rejection(arrivals.clone()).await;
            let (code, response) = harness.send_request(method, target, "q").await;
            assert_eq!(code, 200, "{target}: {response}");
            let [(first, first_ms), (second, second_ms)] = arrivals.borrow()[..] else {
                panic!("{target}: {arrivals:?}");
            };
            let passed_ms = (second - first).as_millis() as u64;
            assert!(first_ms < 19_000, "{target}: {first_ms}");
            assert!(passed_ms >= HOLD_TIME.as_millis() as u64);
            assert!(
                second_ms + passed_ms <= first_ms + ROUNDING_MS,
                "{target}: first {first_ms}, {passed_ms} later {second_ms}"
            );
        });
    }
}

#[test]
fn request_without_deadline_gets_the_route_timeout() {
    run_test(async {
        let harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let head =
            "GET /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nConnection: close\r\n\r\n";
        let response = harness.send(head.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let given = deadline_ms(&harness.received.borrow()[0]);
        assert!((19_000..20_000).contains(&given), "{given}");
    });
}
