use super::*;
use std::future::{pending, ready};

#[tokio::test]
async fn a_peer_that_speaks_ends_an_attempt_to_connect_that_would_only_time_out() {
    let is_alive = Notify::new();
    let attempt = unless_notified(pending::<()>(), &is_alive);
    let peer_speaks = async {
        tokio::task::yield_now().await;
        is_alive.notify_waiters();
    };
    let (connected, ()) = tokio::join!(attempt, peer_speaks);
    assert_eq!(connected, None);
}

#[tokio::test]
async fn a_connection_that_is_there_is_kept_whatever_the_peer_says_meanwhile() {
    let is_alive = Notify::new();
    is_alive.notify_one();
    assert_eq!(unless_notified(ready(1), &is_alive).await, Some(1));
}
