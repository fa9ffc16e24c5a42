use super::*;

/// Two ends of a connection: a silent one ends after its time, and only where it has one.
async fn ended_after(quiet: Option<Duration>, within: Duration) -> bool {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let there = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (here, _) = listener.accept().await.unwrap();
    let mut kept = None;
    let ended = tokio::time::timeout(
        within,
        run::<u8>(here, quiet, |outbox| kept = Some(outbox), |_| ()),
    )
    .await;
    drop(there);
    ended.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_need_not_speak_is_not_disconnected() {
    let hour = Duration::from_secs(3_600);
    assert!(!ended_after(None, hour).await);
    assert!(ended_after(Some(Duration::from_secs(2)), hour).await);
}
