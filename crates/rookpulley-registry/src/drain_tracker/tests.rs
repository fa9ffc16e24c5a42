use super::*;

#[test]
fn drain_needs_one_confirmation_per_tolerated_loss_from_distinct_controllers() {
    let mut drains = DrainTracker::new(2);
    assert!(!drains.start_query(1, 0));
    assert!(drains.start_query(2, 4));
    assert_eq!(
        [7, 7, 8].map(|controller| drains.record_confirmation(2, controller)),
        [false, false, true]
    );
    drains.finish_query(2);
    assert!(!drains.record_confirmation(2, 9));
    drains.confirm(0.0, "i-1".into());
    drains.confirm(70_000.0, "i-2".into());
    assert!(!drains.is_confirmed("i-1") && drains.is_confirmed("i-2"));
}
