use super::*;

#[test]
fn delays_double_up_to_the_maximum_and_restart_after_a_reset() {
    let milliseconds = Duration::from_millis;
    let mut backoff = Backoff::new(milliseconds(100), milliseconds(350));
    let delays: Vec<Duration> = (0..4).map(|_| backoff.next_delay()).collect();
    assert_eq!(delays, [100, 200, 350, 350].map(milliseconds));
    backoff.reset();
    assert_eq!(backoff.next_delay(), milliseconds(100));
}
