use crate::inspect::tests::with_controller;

#[test]
fn a_proxy_with_a_full_outbox_is_disconnected() {
    with_controller(|api| async move {
        // Nothing is written to the socket between these ticks.
        (0..2_000).for_each(|_| api.server.tick(8));
        for _ in 0..10_000 {
            if api
                .server
                .inspect(|controller| controller.proxies.is_empty())
            {
                return;
            }
            tokio::task::yield_now().await;
        }
        panic!("the connection stays open although messages were dropped");
    });
}
