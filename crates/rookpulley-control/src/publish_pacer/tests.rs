use super::*;

const TICK_MS: usize = 50;

/// Publication times of configurations of `bytes` bytes that change every `every_ms` until `until_ms`.
fn publish_times(bytes: usize, every_ms: usize, until_ms: usize) -> Vec<usize> {
    let (mut pacer, mut published, mut pending) = (PublishPacer::default(), Vec::new(), false);
    for now in (0..until_ms + 2_000).step_by(10) {
        pending |= now < until_ms && now.is_multiple_of(every_ms);
        let is_checked = now.is_multiple_of(every_ms) || now.is_multiple_of(TICK_MS);
        if is_checked && pending && pacer.is_due(now as f64) {
            pacer.published(now as f64, bytes);
            published.push(now);
            pending = false;
        }
    }
    published
}

#[test]
fn isolated_changes_are_published_immediately_and_bursts_are_rate_limited() {
    assert_eq!(
        publish_times(340_000, 5_000, 20_000),
        [0, 5_000, 10_000, 15_000]
    );
    let burst = publish_times(340_000, 60, 16_000);
    assert!((20..=26).contains(&burst.len()), "{burst:?}");
    let last = burst.last().copied().unwrap_or(0);
    assert!(
        last >= 15_960 && last <= 15_960 + MAX_INTERVAL_MS as usize + TICK_MS,
        "{burst:?}"
    );
    // The interval is bounded regardless of the size.
    let times = publish_times(8 << 20, 60, 16_000);
    assert!(
        times
            .windows(2)
            .all(|pair| pair[1] - pair[0] <= MAX_INTERVAL_MS as usize + TICK_MS),
        "{times:?}"
    );
    // Small configurations are not delayed.
    assert_eq!(publish_times(8_000, 60, 600).len(), 10);
}
