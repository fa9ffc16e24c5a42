//! Takes clients' connections, serves them, and closes those that are idle or slow beyond their limits.

use crate::client_connection::ClientConnection;
use crate::client_registry::Admitted;
use crate::connection_monitor::{CloseReason, ConnectionMonitor};
use crate::context::ProxyContext;
use crate::forward;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rookpulley_routes::Limits;
use rookpulley_runtime::connection;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// What a client may leave unacknowledged: its link may be slow, so this is longer than among machines.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);
/// How long a client may take to hear that it was too slow.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// After an accept that failed for want of something, such as descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The parser takes a bit more than any head may have, so that the limit is kept in one place: by the check.
const PARSER_MARGIN: usize = 8 << 10;
/// A longer head is refused though the operator should allow it.
const MAX_HEAD_BYTES: usize = 256 << 10;
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Takes connections until it is dropped.
pub async fn serve(proxy: Rc<ProxyContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(admitted) = proxy.clients.admit() {
                    tokio::task::spawn_local(serve_client(proxy.clone(), stream, admitted));
                }
            }
            Err(why) => {
                tracing::warn!("listener: no connection can be taken: {why}");
                proxy.clients.make_room();
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_client(proxy: Rc<ProxyContext>, stream: TcpStream, admitted: Admitted) {
    let Admitted { number, monitor } = admitted;
    connection::configure(&stream, UNACKNOWLEDGED);
    let max_head = proxy.limits().max_header_bytes;
    let max_head = max_head.clamp(Limits::default().max_header_bytes, MAX_HEAD_BYTES);
    let io = TokioIo::new(ClientConnection::new(stream, monitor.clone()));
    let service = {
        let (proxy, monitor) = (proxy.clone(), monitor.clone());
        service_fn(move |request| {
            let (proxy, monitor) = (proxy.clone(), monitor.clone());
            async move { Ok::<_, Infallible>(forward::serve(proxy, monitor, request).await) }
        })
    };
    // The time for a head is kept by the sweep: the parser's own would also run while a connection is idle.
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_head + PARSER_MARGIN)
        .auto_date_header(false)
        .serve_connection(io, service);
    loop {
        tokio::select! {
            biased;
            ended = &mut connection => {
                if let Err(why) = ended {
                    tracing::debug!("listener: a client's connection ended: {why}");
                }
                break;
            }
            () = monitor.close.notified() => {}
        }
        match next_close(&proxy, &monitor) {
            Close::No => {}
            Close::AtOnce => break,
            Close::AfterAnswer => {
                let client = connection.into_parts().io.into_inner();
                _ = tokio::time::timeout(LAST_ANSWER_TIMEOUT, answer_too_slow(client)).await;
                break;
            }
        }
    }
    proxy.clients.remove(number);
}

/// How a connection is closed.
enum Close {
    No,
    AtOnce,
    AfterAnswer,
}

fn next_close(proxy: &ProxyContext, monitor: &ConnectionMonitor) -> Close {
    match monitor.close_reason(proxy.limits(), proxy.is_ending()) {
        // Nothing of a request is here, or the client doesn't take what is written.
        Some(CloseReason::Idle | CloseReason::WriteStuck) => Close::AtOnce,
        Some(CloseReason::SlowHead) if monitor.is_write_stuck() => Close::AtOnce,
        Some(CloseReason::SlowHead) => Close::AfterAnswer,
        None if monitor.is_evicted.take() && monitor.is_idle() => Close::AtOnce,
        None => Close::No,
    }
}

async fn answer_too_slow(mut client: ClientConnection) {
    if client.write_all(TOO_SLOW).await.is_ok() {
        _ = client.shutdown().await;
    }
}
