//! Lines between controllers. Each controller dials every other; what it says goes on the line that it dialed.

use crate::hub::Hub;
use rookpulley_control::Word;
use rookpulley_runtime::line;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

const DIAL_WITHIN: Duration = Duration::from_millis(400);
const AGAIN_FIRST: Duration = Duration::from_millis(60);
const AGAIN_MOST: Duration = Duration::from_millis(500);
const SILENT: Duration = Duration::from_millis(2_500);

/// Keeps a line to the controller at this address until nobody knows of it any more.
pub async fn keep_dialing(hub: Rc<Hub>, ip: Ipv4Addr) {
    let port = hub.peer_port();
    let to = SocketAddr::from((ip, port));
    let mut pause = AGAIN_FIRST;
    loop {
        match line::dial(to, DIAL_WITHIN).await {
            Ok(stream) => {
                pause = AGAIN_FIRST;
                let why =
                    line::run::<()>(stream, None, |outbox| hub.dialed(ip, outbox), |()| ()).await;
                hub.hung_up(ip);
                tracing::info!("peers: the line to {ip} {why}");
            }
            Err(_) => pause = (pause * 2).min(AGAIN_MOST),
        }
        let wake = hub.wake(ip);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = wake.notified() => pause = AGAIN_FIRST,
        }
        if !hub.still_known(ip) {
            hub.forget(ip);
            return;
        }
    }
}

/// Takes lines of other controllers.
pub async fn listen(hub: Rc<Hub>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        line::tend(&stream, line::UNHEARD);
        let hub = hub.clone();
        tokio::task::spawn_local(async move {
            let mut who = None;
            let mut own = None;
            let why = line::run::<Word>(
                stream,
                Some(SILENT),
                |outbox| own = Some(outbox),
                |word| hub.word(&mut who, word),
            )
            .await;
            who.into_iter().for_each(|id| hub.line_ended(id));
            tracing::debug!("peers: the line from {from} {why}");
        });
    }
}
