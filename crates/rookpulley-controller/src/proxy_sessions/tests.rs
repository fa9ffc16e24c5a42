use crate::inspect::tests::with_controller;

#[test]
fn a_proxy_with_too_much_waiting_is_disconnected_so_that_it_misses_nothing() {
    with_controller(|api| async move {
        // Nothing is written meanwhile.
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
        panic!("its connection goes on, without what was dropped");
    });
}
