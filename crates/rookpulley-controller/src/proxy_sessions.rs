//! Lines of proxies: what they report, and what they are told. A proxy whose home is elsewhere says nothing here for
//! long; that it is there shows in what is told to it.

use crate::hub::Hub;
use rookpulley_protocol::Up;
use rookpulley_runtime::line;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

pub async fn listen(hub: Rc<Hub>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        line::tend(&stream, line::UNHEARD);
        let hub = hub.clone();
        tokio::task::spawn_local(async move {
            let outbox = Rc::new(RefCell::new(None));
            let name = RefCell::new(None);
            let open = |o| *outbox.borrow_mut() = Some(o);
            let take = |up: Up| {
                let known = name.borrow().clone();
                match (up, known) {
                    (hello @ (Up::Hello { .. } | Up::StatelessHello { .. }), None) => {
                        let Some(outbox) = outbox.borrow_mut().take() else {
                            return;
                        };
                        *name.borrow_mut() = hub.proxy_in(hello, outbox);
                    }
                    (up, Some((node, line))) => hub.proxy_said(&node, line, up),
                    _ => {}
                }
            };
            let why = line::run::<Up>(stream, None, open, take).await;
            if let Some((node, line)) = name.into_inner() {
                hub.proxy_out(&node, line);
                tracing::info!("proxies: the line of {node} {why}");
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use crate::show::tests::at_a_controller;

    #[test]
    fn a_proxy_that_too_much_waits_for_is_hung_up_on_so_that_it_misses_nothing() {
        at_a_controller(|calls| async move {
            // Nothing is written meanwhile.
            (0..2_000).for_each(|_| calls.hub.tick(8));
            for _ in 0..10_000 {
                if calls.hub.look(|controller| controller.proxies.is_empty()) {
                    return;
                }
                tokio::task::yield_now().await;
            }
            panic!("its line goes on, without what was dropped");
        });
    }
}
