//! Accepts connections and serves each in a local task of its own.

use crate::bounds::Bounds;
use crate::call::{Call, Reply};
use crate::codec;
use crate::connection_limiter::{ConnectionLimiter, ConnectionSlot};
use crate::message_reader::{MessageReader, within};
use crate::rejection::Rejection;
use rookpulley_runtime::connection;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The pause after an `accept` that failed for lack of resources, such as file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How long idle connections wait on shutdown for a request that is already on its way.
const STOP_GRACE: Duration = Duration::from_millis(50);
/// How long a call that is still being sent is read on shutdown, so that its reply can come before the process ends.
const STOP_READ_TIME: Duration = Duration::from_millis(500);
/// The TCP user timeout of a connection to a client.
const USER_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Serves until `stop` becomes true and all requests in progress are answered. Dropping the future closes all
/// connections at once. It must run in a `LocalSet`. If the sender is dropped first, the server runs on.
pub async fn serve<H, F>(
    listener: TcpListener,
    bounds: Bounds,
    stop: watch::Receiver<bool>,
    handler: Rc<H>,
) where
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let limiter = Rc::new(ConnectionLimiter::new(bounds));
    let mut connections = JoinSet::new();
    let mut stopped = std::pin::pin!(wait_for_stop(stop));
    loop {
        tokio::select! {
            biased;
            () = &mut stopped => break,
            Some(ended) = connections.join_next(), if !connections.is_empty() => log_failure(ended),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(&mut connections, &limiter, &handler, stream),
                Err(error) if is_transient(error.kind()) => {}
                Err(error) => {
                    tracing::warn!("api: accept failed: {error}");
                    limiter.evict_idle();
                    tokio::select! { biased; () = &mut stopped => break, () = tokio::time::sleep(ACCEPT_BACKOFF) => {} }
                }
            },
        }
    }
    // Connections in the backlog are established for their clients, so they are served as well.
    for _ in 0..bounds.connections {
        let Some(Ok((stream, _))) = futures_lite::future::poll_once(listener.accept()).await else {
            break;
        };
        admit(&mut connections, &limiter, &handler, stream);
    }
    drop(listener);
    limiter.stop();
    while let Some(ended) = connections.join_next().await {
        log_failure(ended);
    }
}

async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn log_failure(ended: Result<(), tokio::task::JoinError>) {
    if let Err(error) = ended {
        tracing::error!("api: a connection task failed: {error}");
    }
}

fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    )
}

fn admit<H, F>(
    connections: &mut JoinSet<()>,
    limiter: &Rc<ConnectionLimiter>,
    handler: &Rc<H>,
    stream: TcpStream,
) where
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let Some(slot) = limiter.admit() else {
        tracing::warn!(
            "api: connection limit reached and no connection is idle, closing the new one"
        );
        return;
    };
    connection::configure(&stream, USER_TIMEOUT);
    connections.spawn_local(serve_connection(stream, slot, handler.clone()));
}

/// Answers the requests of one connection in order.
async fn serve_connection<S, H, F>(stream: S, slot: ConnectionSlot, handler: Rc<H>)
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Call) -> F,
    F: Future<Output = Reply>,
{
    let limiter = &slot.limiter;
    let mut reader = MessageReader::new(stream, limiter.bounds, limiter.memory.clone());
    loop {
        if !next_message_begins(&mut reader, &slot).await {
            return;
        }
        let message = tokio::select! {
            biased;
            message = reader.message() => message,
            () = slot.stopped_for(STOP_READ_TIME) => Err(Rejection::Timeout),
        };
        let message = match message {
            Ok(message) => message,
            Err(rejection) => return reject(reader, rejection).await,
        };
        let (head, memory) = (message.head, message.memory);
        let Ok(Some((method, body))) = codec::decode_request(&head.method, message.body).await
        else {
            tracing::warn!("api: async-h1 rejected a message that the reader accepted");
            return reject(reader, Rejection::InvalidHead).await;
        };
        let call = Call {
            method: head.method,
            path: head.path,
            query: head.query,
            body,
            headers: head.headers,
        };
        let reply = handler(call).await;
        drop(memory);
        // A pipelined call that was read must be answered as well.
        let stops = limiter.is_stopping() && !reader.has_more();
        let close = !head.keep_alive || reply.closes() || stops;
        let Ok(bytes) = codec::encode_reply(reply, method, close).await else {
            return;
        };
        if !reader.write(&bytes).await {
            return;
        }
        if close {
            // A client that asked to close sends nothing more, so no reset can hit the reply.
            let may_send = head.keep_alive || reader.has_more();
            return if may_send {
                reader.end().await
            };
        }
    }
}

/// Waits for the next message; false at the end of the stream, on idle timeout, or when asked to close.
async fn next_message_begins<S: AsyncRead + AsyncWrite + Unpin>(
    reader: &mut MessageReader<S>,
    slot: &ConnectionSlot,
) -> bool {
    slot.set_idle();
    let arrived = tokio::select! {
        biased;
        arrived = reader.wait_for_message() => Some(arrived),
        () = slot.close_requested() => None,
        () = async { tokio::time::sleep(slot.limiter.bounds.idle_time).await } => Some(false),
    };
    let arrived = match arrived {
        Some(arrived) => arrived,
        None if slot.limiter.is_stopping() => within(STOP_GRACE, reader.wait_for_message())
            .await
            .unwrap_or(false),
        None => false,
    };
    slot.set_busy();
    arrived
}

async fn reject<S: AsyncRead + AsyncWrite + Unpin>(
    mut reader: MessageReader<S>,
    rejection: Rejection,
) {
    tracing::debug!("api: message rejected: {rejection}");
    let help = miette::Diagnostic::help(&rejection)
        .map(|help| help.to_string())
        .unwrap_or_default();
    let reply = Reply::error(rejection.status(), &format!("{rejection}: {help}"));
    let reply = if rejection == Rejection::OutOfMemory {
        reply.with("retry-after", "0.5")
    } else {
        reply
    };
    if let Ok(bytes) = codec::encode_reply(reply, http_types::Method::Get, true).await
        && reader.write(&bytes).await
    {
        reader.end().await;
    }
}
