use super::*;
use std::future::{pending, ready};

#[tokio::test]
async fn a_message_from_the_peer_cancels_a_pending_connection_attempt() {
    let is_alive = Notify::new();
    let attempt = unless_notified(pending::<()>(), &is_alive);
    let peer_message = async {
        tokio::task::yield_now().await;
        is_alive.notify_waiters();
    };
    let (connected, ()) = tokio::join!(attempt, peer_message);
    assert_eq!(connected, None);
}

#[tokio::test]
async fn an_established_connection_takes_precedence_over_a_notification() {
    let is_alive = Notify::new();
    is_alive.notify_one();
    assert_eq!(unless_notified(ready(1), &is_alive).await, Some(1));
}
