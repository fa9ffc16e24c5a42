use super::*;
use std::future::poll_fn;

/// Runs a test in which time passes only while all wait.
fn run<F: Future>(test: F) -> F::Output {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(test)
}

/// A tail that holds the last bytes of a request back, whose instance is silent.
fn hold(request: &[u8]) -> RequestTail {
    let mut tail = RequestTail::default();
    tail.record_read(true);
    let held = tail.held_length(request.len());
    tail.hold(&request[request.len() - held..]);
    tail
}

/// Waits until bytes are released, and returns how many.
async fn release(tail: &mut RequestTail) -> usize {
    let bytes = poll_fn(|context| tail.poll_release(context)).await;
    tail.record_sent(bytes);
    bytes
}

#[test]
fn silent_instance_is_sent_one_byte_at_a_time() {
    run(async {
        let started = Instant::now();
        let mut tail = hold(b"a request");
        assert_eq!(tail.bytes(), &b"equest"[..]);
        for silence in SILENCE_BEFORE_RELEASE {
            assert_eq!(release(&mut tail).await, 1);
            assert_eq!(started.elapsed(), silence);
        }
        assert!(tail.bytes().is_empty());
    });
}

#[test]
fn no_byte_is_released_while_the_instance_sends() {
    run(async {
        let mut tail = hold(b"a request");
        for _ in 0..20 {
            tokio::time::advance(SILENCE_BEFORE_RELEASE[0] / 2).await;
            tail.record_read(false);
            tail.record_read(true);
        }
        let mut silent_since = Instant::now();
        assert_eq!(release(&mut tail).await, 1);
        assert_eq!(silent_since.elapsed(), SILENCE_BEFORE_RELEASE[0]);
        tail.record_read(false);
        tokio::time::advance(MAX_HOLD / 2).await;
        tail.record_read(true);
        silent_since = Instant::now();
        assert_eq!(release(&mut tail).await, 1);
        assert_eq!(silent_since.elapsed(), SILENCE_BEFORE_RELEASE[1]);
    });
}

#[test]
fn bytes_stay_apart_after_a_long_silence() {
    run(async {
        let mut tail = RequestTail::default();
        tail.record_read(true);
        tokio::time::advance(MAX_HOLD).await;
        assert_eq!(tail.held_length(2), 2);
        tail.hold(b"xy");
        let held = Instant::now();
        for count in 1..=2 {
            assert_eq!(release(&mut tail).await, 1);
            assert_eq!(held.elapsed(), MIN_RELEASE_INTERVAL * count);
        }
    });
}

/// Guards against a request that never ends for an instance that sends without a pause until it has the whole request.
#[test]
fn request_is_held_back_for_a_bounded_time() {
    run(async {
        let started = Instant::now();
        let mut tail = hold(b"a request");
        tail.record_read(false);
        assert_eq!(release(&mut tail).await, SILENCE_BEFORE_RELEASE.len());
        assert_eq!(started.elapsed(), MAX_HOLD);
        assert_eq!(tail.held_length(7), 0);
    });
}
