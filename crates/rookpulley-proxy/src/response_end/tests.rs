use super::*;
use std::future::poll_fn;

const RESET_WAIT: Duration = Duration::from_millis(5);

/// Guards against a part of a response that looks complete, since its end came long after the last write and a reset
/// still answers what the system had not yet delivered.
#[test]
fn the_end_is_held_back_from_when_it_is_seen_and_not_from_the_last_write() {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let progress = SendProgress::default();
        progress.begin(SentBody::Buffered);
        progress.record_write();
        tokio::time::advance(RESET_WAIT * 4).await;
        let seen = Instant::now();
        let mut end = HeldEnd::new(seen, Waker::noop());
        poll_fn(|context| end.poll_wait(context, &progress, RESET_WAIT)).await;
        assert_eq!(seen.elapsed(), RESET_WAIT);
    });
}
