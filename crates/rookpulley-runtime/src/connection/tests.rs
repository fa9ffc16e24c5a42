use super::*;

/// Whether a connection with a silent peer ends within a time.
async fn ends_within(timeout: Option<Duration>, within: Duration) -> bool {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let there = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (here, _) = listener.accept().await.unwrap();
    let mut kept = None;
    let ended = tokio::time::timeout(
        within,
        run::<u8>(here, timeout, |outbox| kept = Some(outbox), |_| ()),
    )
    .await;
    drop(there);
    ended.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_is_disconnected_only_with_a_timeout() {
    let hour = Duration::from_secs(3_600);
    assert!(!ends_within(None, hour).await);
    assert!(ends_within(Some(Duration::from_secs(2)), hour).await);
}

const WITHIN: Duration = Duration::from_millis(400);

#[tokio::test(start_paused = true)]
async fn an_attempt_that_hangs_does_not_delay_the_next_one() {
    let begun = tokio::time::Instant::now();
    let mut attempts = 0;
    let connected = first_to_succeed(WITHIN, || {
        attempts += 1;
        let is_lost = attempts < 3;
        async move {
            if is_lost {
                std::future::pending::<()>().await;
            }
            Ok(())
        }
    });
    assert!(connected.await.is_ok());
    assert_eq!(begun.elapsed(), WITHIN / 2);
}

#[tokio::test(start_paused = true)]
async fn attempts_end_at_the_time_limit_with_the_last_error() {
    let begun = tokio::time::Instant::now();
    let silent = first_to_succeed(WITHIN, std::future::pending::<std::io::Result<()>>).await;
    assert_eq!(silent.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    assert_eq!(begun.elapsed(), WITHIN);
    let refuse = || async { Err::<(), _>(std::io::ErrorKind::ConnectionRefused.into()) };
    let refused = first_to_succeed(WITHIN, refuse).await;
    assert_eq!(
        refused.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionRefused
    );
}

#[tokio::test(start_paused = true)]
async fn a_process_that_starts_listening_after_the_first_attempt_is_reached() {
    let reserved = TcpSocket::new_v4().unwrap();
    reserved.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = reserved.local_addr().unwrap();
    let listening = async {
        tokio::time::sleep(WITHIN / 8).await;
        reserved.listen(1).unwrap()
    };
    let (connected, _listener) = tokio::join!(connect(address, WITHIN), listening);
    assert!(connected.is_ok());
}
