use super::*;
use crate::inspect::tests::with_controller;

#[test]
fn a_failed_write_ends_the_incarnation_but_not_the_process() {
    with_controller(|api| async move {
        let server = api.server.clone();
        server.handle_store_event(StoreEvent::Failed("no room".into()));
        server.handle_store_event(StoreEvent::Failed("again".into()));
        assert_eq!(
            server.store_failure().await,
            StoreFailure::Write("a write failed (no room)".into())
        );
        assert_eq!(server.other_members(), []);
    });
}
