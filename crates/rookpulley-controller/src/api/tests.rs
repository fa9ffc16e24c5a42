use crate::inspect::tests::{call, shown, with_controller};

fn heartbeat(sequence: u64) -> String {
    format!(
        r#"{{"address":"10.128.4.7:8080",
        "nodeInfo":{{"targetService":"stamps","configVersion":"v1","zone":"quay","capacitySlots":4}},
        "currentStatus":{{"lifecycleState":"available","callSequence":{sequence},"coldRemainingMs":0}}}}"#
    )
}

/// NEWS-22: some tasks never say `draining`, they send `DELETE` first, and a heartbeat may come seconds late.
#[test]
fn an_instance_that_sends_delete_first_gets_no_more_requests_whatever_heartbeats_come_late() {
    with_controller(|api| async move {
        assert!(
            shown(&api, "tasks/stamps")
                .await
                .contains("\"standing\":\"live\"")
        );
        assert_eq!(
            call(&api, "DELETE", "instances/i-41c0", "").await.status,
            200
        );
        // One that was sent before the `DELETE` has a higher number than the last that came.
        for sequence in [1, 2, 7] {
            let late = call(&api, "PUT", "instances/i-41c0", &heartbeat(sequence)).await;
            assert_eq!(late.status / 100, 2, "{sequence}");
            let tasks = shown(&api, "tasks/stamps").await;
            assert!(
                !tasks.contains("\"standing\":\"live\""),
                "{sequence}: {tasks}"
            );
        }
        // The same again, as where its answer was lost.
        assert_eq!(
            call(&api, "DELETE", "instances/i-41c0", "").await.status,
            200
        );
        // It is in no table any more.
        while !shown(&api, "tables/stamps").await.contains("\"lines\":0") {
            tokio::task::yield_now().await;
        }
        // Another incarnation at the same address is not held back by it.
        let next = call(&api, "PUT", "instances/i-41c1", &heartbeat(1)).await;
        assert_eq!(next.status, 200);
        assert!(
            shown(&api, "tasks/stamps")
                .await
                .contains("\"standing\":\"live\"")
        );
    });
}
