use super::*;
use crate::show::tests::at_a_controller;

#[test]
fn a_write_that_fails_ends_the_incarnation_and_not_the_process() {
    at_a_controller(|calls| async move {
        let hub = calls.hub.clone();
        hub.stored(Said::Failed("no room".into()));
        hub.stored(Said::Failed("again".into()));
        assert_eq!(
            hub.store_failure().await,
            StoreFailure::Write("a write failed (no room)".into())
        );
        assert_eq!(hub.other_members(), []);
    });
}
