use crate::inspect::tests::{call, inspected, with_controller};

fn heartbeat(sequence: u64) -> String {
    format!(
        r#"{{"address":"10.128.4.7:8080",
        "nodeInfo":{{"targetService":"stamps","configVersion":"v1","zone":"quay","capacitySlots":4}},
        "currentStatus":{{"lifecycleState":"available","callSequence":{sequence},"coldRemainingMs":0}}}}"#
    )
}

/// NEWS-22: some instances send `DELETE` without draining first, and their last heartbeats may arrive seconds later.
#[test]
fn late_heartbeats_do_not_revive_an_instance_after_delete() {
    with_controller(|api| async move {
        assert!(
            inspected(&api, "tasks/stamps")
                .await
                .contains("\"standing\":\"live\"")
        );
        assert_eq!(
            call(&api, "DELETE", "instances/i-41c0", "").await.status,
            200
        );
        // A heartbeat sent before the `DELETE` may have a higher number than the last one received.
        for sequence in [1, 2, 7] {
            let late = call(&api, "PUT", "instances/i-41c0", &heartbeat(sequence)).await;
            assert_eq!(late.status / 100, 2, "{sequence}");
            let tasks = inspected(&api, "tasks/stamps").await;
            assert!(
                !tasks.contains("\"standing\":\"live\""),
                "{sequence}: {tasks}"
            );
        }
        // Repeats the `DELETE`, as after a lost response.
        assert_eq!(
            call(&api, "DELETE", "instances/i-41c0", "").await.status,
            200
        );
        // The instance is removed from the table.
        while !inspected(&api, "tables/stamps")
            .await
            .contains("\"lines\":0")
        {
            tokio::task::yield_now().await;
        }
        // A new incarnation at the same address is accepted.
        let next = call(&api, "PUT", "instances/i-41c1", &heartbeat(1)).await;
        assert_eq!(next.status, 200);
        assert!(
            inspected(&api, "tasks/stamps")
                .await
                .contains("\"standing\":\"live\"")
        );
    });
}
