use super::*;

#[test]
fn pauses_double_up_to_the_bound_and_begin_anew_after_a_success() {
    let milliseconds = Duration::from_millis;
    let mut backoff = Backoff::new(milliseconds(100), milliseconds(350));
    let pauses: Vec<Duration> = (0..4).map(|_| backoff.pause()).collect();
    assert_eq!(pauses, [100, 200, 350, 350].map(milliseconds));
    backoff.reset();
    assert_eq!(backoff.pause(), milliseconds(100));
}
