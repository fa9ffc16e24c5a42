use super::*;

#[test]
fn one_slow_write_makes_a_disk_slow_many_quick_ones_make_it_quick_and_a_stall_of_the_process_counts_for_nothing()
 {
    let mut disk = DiskHealth::default();
    disk.check(0.0);
    disk.write_began(0.0, 1);
    // The process itself stood still: the write is given its time anew.
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
