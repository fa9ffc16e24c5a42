//! How many proxies there are, as far as it is known.

use rookpulley_balancer::FleetSize;

#[test]
fn fewer_proxies_are_believed_only_after_a_while() {
    let mut fleet = FleetSize::default();
    assert_eq!(fleet.connection_limit(130), 130);
    assert!(fleet.update(0.0, 12));
    assert!(!fleet.update(59_000.0, 3));
    assert_eq!(fleet.proxies(), 12);
    assert_eq!(fleet.connection_limit(130), 11);
    assert_eq!(fleet.connection_limit(0), 16);
    assert!(fleet.update(61_000.0, 3));
    assert_eq!(fleet.connection_limit(9), 4);
}
