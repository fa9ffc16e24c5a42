//! Fleet size updates and connection limits.

use rookpulley_balancer::FleetSize;

#[test]
fn smaller_fleet_size_is_accepted_only_after_a_delay() {
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
