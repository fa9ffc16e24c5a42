use super::*;
use std::future::poll_fn;

/// Runs a test in which time passes only while all wait.
fn run<F: Future>(test: F) -> F::Output {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(test)
}

/// Holds the last bytes of a request back.
fn hold(tail: &mut RequestTail, request: &[u8]) {
    let held = tail.held_length(request.len());
    tail.hold(&request[request.len() - held..]);
}

/// Waits until bytes are released, and returns how many, and after which time.
async fn release(tail: &mut RequestTail) -> (usize, Duration) {
    let started = Instant::now();
    let bytes = poll_fn(|context| tail.poll_release(context)).await;
    tail.record_sent(bytes);
    (bytes, started.elapsed())
}

#[test]
fn silent_instance_is_sent_one_byte_at_a_time() {
    run(async {
        let mut tail = RequestTail::default();
        tail.record_read(true);
        hold(&mut tail, b"request");
        assert_eq!(tail.bytes(), &b"est"[..]);
        for pause in RELEASE_PAUSES {
            assert_eq!(release(&mut tail).await, (1, pause));
        }
        assert!(tail.bytes().is_empty());
    });
}

#[test]
fn no_byte_is_released_while_the_instance_sends() {
    run(async {
        let mut tail = RequestTail::default();
        tail.record_read(true);
        hold(&mut tail, b"request");
        for _ in 0..20 {
            tokio::time::advance(RELEASE_PAUSES[0] / 2).await;
            tail.record_read(false);
            tail.record_read(true);
        }
        assert_eq!(release(&mut tail).await, (1, RELEASE_PAUSES[0]));
        tail.record_read(false);
        tokio::time::advance(MAX_HOLD / 2).await;
        tail.record_read(true);
        assert_eq!(release(&mut tail).await, (1, RELEASE_PAUSES[1]));
    });
}

/// Guards against a request that never ends for an instance that sends without a pause until it has the whole request.
#[test]
fn request_is_held_back_for_a_bounded_time() {
    run(async {
        let mut tail = RequestTail::default();
        hold(&mut tail, b"request");
        assert_eq!(release(&mut tail).await, (RELEASE_PAUSES.len(), MAX_HOLD));
        assert_eq!(tail.held_length(7), 0);
    });
}

#[test]
fn short_end_is_held_back_whole_and_released_slowly() {
    run(async {
        let mut tail = RequestTail::default();
        tail.record_read(true);
        hold(&mut tail, b"x");
        assert_eq!(release(&mut tail).await, (1, RELEASE_PAUSES[2]));
    });
}
