use super::*;

const TICK_MS: usize = 50;

/// When configurations of so many bytes go out that come so often for a while, by ticks.
fn published(bytes: usize, every_ms: usize, until_ms: usize) -> Vec<usize> {
    let (mut pace, mut published, mut waits) = (PublishPacer::default(), Vec::new(), false);
    for now in (0..until_ms + 2_000).step_by(10) {
        waits |= now < until_ms && now.is_multiple_of(every_ms);
        let looks = now.is_multiple_of(every_ms) || now.is_multiple_of(TICK_MS);
        if looks && waits && pace.is_due(now as f64) {
            pace.published(now as f64, bytes);
            published.push(now);
            waits = false;
        }
    }
    published
}

#[test]
fn a_change_that_comes_alone_goes_out_at_once_and_a_storm_as_often_as_proxies_can_read_it() {
    assert_eq!(
        published(340_000, 5_000, 20_000),
        [0, 5_000, 10_000, 15_000]
    );
    let storm = published(340_000, 60, 16_000);
    assert!((20..=26).contains(&storm.len()), "{storm:?}");
    let last = storm.last().copied().unwrap_or(0);
    assert!(
        last >= 15_960 && last <= 15_960 + MAX_INTERVAL_MS as usize + TICK_MS,
        "{storm:?}"
    );
    // However long it is, it waits well under the time in which it must be in force.
    let gaps = published(8 << 20, 60, 16_000);
    assert!(
        gaps.windows(2)
            .all(|pair| pair[1] - pair[0] <= MAX_INTERVAL_MS as usize + TICK_MS),
        "{gaps:?}"
    );
    // The configurations of small deployments are not held back at all.
    assert_eq!(published(8_000, 60, 600).len(), 10);
}
