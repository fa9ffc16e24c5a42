use super::*;

#[test]
fn slow_write_marks_disk_slow_until_enough_quick_writes_and_stalls_are_ignored() {
    let mut disk = DiskHealth::default();
    disk.check(0.0);
    disk.write_began(0.0, 1);
    // After a stall of the process the pending write gets a new deadline.
    assert_eq!(disk.check(500.0), DiskCheck::default());
    assert_eq!(disk.check(550.0), DiskCheck::default());
    assert_eq!(disk.check(561.0).changed, Some(true));
    disk.synced(Some(1), 70.0);
    for round in 0..QUICK_WRITES {
        let check = disk.check(600.0 + f64::from(round));
        assert_eq!(
            (check.changed, check.probe),
            (None, Some(0)),
            "after {round} quick writes"
        );
        disk.synced(Some(0), 5.0);
    }
    assert_eq!(disk.check(640.0).changed, Some(false));
}
