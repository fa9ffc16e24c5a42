use super::*;
use bytes::Bytes;
use hyper::Request;
use std::net::SocketAddr;
use tokio::net::TcpListener;

fn demand(max_connections: usize, is_idempotent: bool, needs_new: bool) -> Demand {
    Demand {
        max_connections,
        is_idempotent,
        needs_new,
    }
}

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

async fn task(incarnation: &str) -> (TcpListener, TableEntry) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!()
    };
    (
        listener,
        TableEntry {
            incarnation: incarnation.into(),
            address,
            zone: "z".into(),
            weight: 1.0,
            slots: 1,
        },
    )
}

#[test]
fn no_task_gets_more_connections_than_its_bound_though_others_could_spare_one() {
    run(async {
        let ((_one, one), (_two, two)) = (task("one").await, task("two").await);
        let pools = UpstreamPools::new("z", 3);
        let first = pools.connect(&one, demand(2, true, false)).await.unwrap();
        let _second = pools.connect(&one, demand(2, true, false)).await.unwrap();
        pools
            .connect(&two, demand(2, true, false))
            .await
            .unwrap()
            .release(None);
        assert_eq!(
            pools.connect(&one, demand(2, true, false)).await.err(),
            Some(ConnectError::Limit)
        );
        // More proxies, a smaller bound: what is idle goes first.
        first.release(None);
        assert_eq!(
            pools.connect(&one, demand(1, true, true)).await.err(),
            Some(ConnectError::Limit)
        );
        assert_eq!(
            (pools.open.get(), pools.pools.borrow()["one"].open.get()),
            (2, 1)
        );
        // One that is idle elsewhere makes room where the bound of all is reached.
        let _third = pools.connect(&one, demand(2, true, false)).await.unwrap();
        let _fourth = pools.connect(&one, demand(3, true, false)).await.unwrap();
        assert_eq!(
            (pools.open.get(), pools.pools.borrow()["two"].open.get()),
            (3, 0)
        );
    });
}

#[test]
fn what_may_run_once_leaves_only_where_the_task_keeps_the_connection() {
    run(async {
        let (listener, line) = task("one").await;
        let pools = UpstreamPools::new("z", 3);
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                for _ in 0..10 {
                    tokio::task::yield_now().await;
                }
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
        });
        for _ in 0..10 {
            let Ok(mut connection) = pools.connect(&line, demand(3, false, false)).await else {
                continue;
            };
            connection.begin(&HeaderValue::from_static("q"), false, false);
            let request = Request::new(RequestBody::Complete(Bytes::new()));
            assert!(
                connection.sender.try_send_request(request).await.is_err()
                    && connection.is_unsent()
            );
        }
    });
}

#[test]
fn what_may_run_once_goes_on_a_used_connection_only_where_the_task_is_known_to_keep_it() {
    run(async {
        let (listener, line) = task("one").await;
        let pools = UpstreamPools::new("z", 3);
        let rested = async |told: Option<u64>, rest: u64| {
            let mut connection = pools.connect(&line, demand(3, true, true)).await.unwrap();
            connection.sender.ready().await.unwrap();
            connection.release(told.map(Duration::from_millis));
            let pool = pools.pools.borrow()["one"].clone();
            pool.idle.borrow_mut().iter_mut().for_each(|connection| {
                connection.released -= Duration::from_millis(rest);
                connection.expires -= Duration::from_millis(rest);
            });
            let (not_idempotent, idempotent) = (
                pool.take_idle(false).is_some(),
                pool.take_idle(true).is_some(),
            );
            (not_idempotent, not_idempotent || idempotent)
        };
        assert_eq!(rested(None, 100).await, (true, true));
        assert_eq!(rested(None, 900).await, (false, true));
        assert_eq!(rested(Some(3_000), 900).await, (true, true));
        assert_eq!(rested(Some(300), 900).await, (false, false));
        drop(listener);
    });
}

#[test]
fn a_task_is_left_when_it_says_so_and_a_second_before_it_says() {
    let after = |lines: &[(&'static str, &'static str)]| {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(*name, HeaderValue::from_static(value));
        }
        keep_alive(&headers).map(|time| time.as_millis())
    };
    assert_eq!(after(&[]), None);
    assert_eq!(
        after(&[("connection", "keep-alive"), ("connection", "x, Close")]),
        Some(0)
    );
    assert_eq!(after(&[("keep-alive", "max=9, timeout=5")]), Some(4_000));
    assert_eq!(after(&[("keep-alive", "timeout=1")]), Some(300));
    assert_eq!(after(&[("keep-alive", "timeout=-1")]), None);
}
