//! Accepts and serves client connections, and closes those that are idle or slow beyond their
//! limits.

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

/// How long sent data may stay unacknowledged; longer than between servers, as client links may be
/// slow.
const ACK_TIMEOUT: Duration = Duration::from_secs(10);
/// How long to wait while sending the 408 response.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Extra buffer for hyper's parser, so that only `request_check` enforces the head limit.
const PARSER_MARGIN: usize = 8 << 10;
/// Upper limit on the configured head size.
const MAX_HEAD_BYTES: usize = 256 << 10;
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Accepts connections until the task is dropped.
pub async fn serve(proxy: Rc<ProxyContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(admitted) = proxy.clients.admit() {
                    tokio::task::spawn_local(serve_client(proxy.clone(), stream, admitted));
                }
            }
            Err(error) => {
                tracing::warn!("listener: cannot accept a connection: {error}");
                proxy.clients.evict_idle();
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_client(proxy: Rc<ProxyContext>, stream: TcpStream, admitted: Admitted) {
    let Admitted { id, monitor } = admitted;
    connection::configure(&stream, ACK_TIMEOUT);
    let max_head_bytes = proxy.limits().max_header_bytes;
    let max_head_bytes = max_head_bytes.clamp(Limits::default().max_header_bytes, MAX_HEAD_BYTES);
    let io = TokioIo::new(ClientConnection::new(stream, monitor.clone()));
    let service = {
        let (proxy, monitor) = (proxy.clone(), monitor.clone());
        service_fn(move |request| {
            let (proxy, monitor) = (proxy.clone(), monitor.clone());
            async move { Ok::<_, Infallible>(forward::serve(proxy, monitor, request).await) }
        })
    };
    // The sweep enforces the head timeout, because hyper's timer also runs while a connection is
    // idle.
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes + PARSER_MARGIN)
        .auto_date_header(false)
        .serve_connection(io, service);
    loop {
        tokio::select! {
            biased;
            result = &mut connection => {
                if let Err(error) = result {
                    tracing::debug!("listener: client connection closed with an error: {error}");
                }
                break;
            }
            () = monitor.close.notified() => {}
        }
        match close_mode(&proxy, &monitor) {
            CloseMode::KeepOpen => {}
            CloseMode::Immediate => break,
            CloseMode::AfterResponse => {
                let client = connection.into_parts().io.into_inner();
                _ = tokio::time::timeout(FINAL_RESPONSE_TIMEOUT, send_request_timeout(client))
                    .await;
                break;
            }
        }
    }
    proxy.clients.remove(id);
}

/// How to close a connection.
enum CloseMode {
    KeepOpen,
    Immediate,
    AfterResponse,
}

fn close_mode(proxy: &ProxyContext, monitor: &ConnectionMonitor) -> CloseMode {
    if monitor.may_close_unread() {
        return CloseMode::Immediate;
    }
    match monitor.close_reason(proxy.limits(), proxy.is_shutting_down()) {
        // There is no request to respond to, or the client does not read.
        Some(CloseReason::Idle | CloseReason::WriteBlocked) => CloseMode::Immediate,
        Some(CloseReason::SlowHead) if monitor.is_write_blocked() => CloseMode::Immediate,
        Some(CloseReason::SlowHead) => CloseMode::AfterResponse,
        None if monitor.is_evicted.take() && monitor.is_idle() => CloseMode::Immediate,
        None => CloseMode::KeepOpen,
    }
}

async fn send_request_timeout(mut client: ClientConnection) {
    if client.write_all(REQUEST_TIMEOUT_RESPONSE).await.is_ok() {
        _ = client.shutdown().await;
    }
}
