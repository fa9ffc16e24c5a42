use super::*;
use bytes::Bytes;
use hyper::Request;
use std::net::SocketAddr;
use tokio::net::TcpListener;

fn options(max_connections: usize, is_idempotent: bool, needs_new: bool) -> ConnectOptions {
    ConnectOptions {
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

async fn instance(incarnation: &str) -> (TcpListener, TableEntry) {
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
fn connection_limits_apply_per_instance_and_in_total() {
    run(async {
        let ((_one, one), (_two, two)) = (instance("one").await, instance("two").await);
        let pools = UpstreamPools::new("z", 3);
        let first = pools.connect(&one, options(2, true, false)).await.unwrap();
        let _second = pools.connect(&one, options(2, true, false)).await.unwrap();
        pools
            .connect(&two, options(2, true, false))
            .await
            .unwrap()
            .release(None);
        assert_eq!(
            pools.connect(&one, options(2, true, false)).await.err(),
            Some(ConnectError::Limit)
        );
        // With a lower limit, idle connections are closed first.
        first.release(None);
        assert_eq!(
            pools.connect(&one, options(1, true, true)).await.err(),
            Some(ConnectError::Limit)
        );
        assert_eq!(
            (pools.open.get(), pools.pools.borrow()["one"].open.get()),
            (2, 1)
        );
        // At the total limit, an idle connection of another instance is closed.
        let _third = pools.connect(&one, options(2, true, false)).await.unwrap();
        let _fourth = pools.connect(&one, options(3, true, false)).await.unwrap();
        assert_eq!(
            (pools.open.get(), pools.pools.borrow()["two"].open.get()),
            (3, 0)
        );
    });
}

#[test]
fn non_idempotent_request_is_not_sent_on_a_connection_reset_by_the_instance() {
    run(async {
        let (listener, entry) = instance("one").await;
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
            let Ok(mut connection) = pools.connect(&entry, options(3, false, false)).await else {
                continue;
            };
            connection.begin(
                &HeaderValue::from_static("q"),
                false,
                SentBody::Empty,
                false,
            );
            let request = Request::new(RequestBody::Complete(Bytes::new()));
            assert!(
                connection.sender.try_send_request(request).await.is_err()
                    && connection.is_unsent()
            );
        }
    });
}

#[test]
fn non_idempotent_request_reuses_only_recently_used_or_kept_alive_connections() {
    run(async {
        let (listener, entry) = instance("one").await;
        let pools = UpstreamPools::new("z", 3);
        let usable_after_idle = async |keep_alive_ms: Option<u64>, idle_ms: u64| {
            let mut connection = pools.connect(&entry, options(3, true, true)).await.unwrap();
            connection.sender.ready().await.unwrap();
            connection.release(keep_alive_ms.map(Duration::from_millis));
            let pool = pools.pools.borrow()["one"].clone();
            pool.idle.borrow_mut().iter_mut().for_each(|connection| {
                connection.released -= Duration::from_millis(idle_ms);
                connection.expires -= Duration::from_millis(idle_ms);
            });
            let (not_idempotent, idempotent) = (
                pool.take_idle(false).is_some(),
                pool.take_idle(true).is_some(),
            );
            (not_idempotent, not_idempotent || idempotent)
        };
        assert_eq!(usable_after_idle(None, 100).await, (true, true));
        assert_eq!(usable_after_idle(None, 900).await, (false, true));
        assert_eq!(usable_after_idle(Some(3_000), 900).await, (true, true));
        assert_eq!(usable_after_idle(Some(300), 900).await, (false, false));
        drop(listener);
    });
}

#[test]
fn keep_alive_honors_connection_close_and_subtracts_the_margin() {
    let parse_keep_alive = |header_lines: &[(&'static str, &'static str)]| {
        let mut headers = HeaderMap::new();
        for (name, value) in header_lines {
            headers.append(*name, HeaderValue::from_static(value));
        }
        keep_alive(&headers).map(|duration| duration.as_millis())
    };
    assert_eq!(parse_keep_alive(&[]), None);
    assert_eq!(
        parse_keep_alive(&[("connection", "keep-alive"), ("connection", "x, Close")]),
        Some(0)
    );
    assert_eq!(
        parse_keep_alive(&[("keep-alive", "max=9, timeout=5")]),
        Some(4_000)
    );
    assert_eq!(parse_keep_alive(&[("keep-alive", "timeout=1")]), Some(300));
    assert_eq!(parse_keep_alive(&[("keep-alive", "timeout=-1")]), None);
}
