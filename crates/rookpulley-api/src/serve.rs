//! Accepts connections and answers their calls, each connection in a task of its own on this thread.

use crate::bounds::Bounds;
use crate::call::{Call, Reply};
use crate::guard::{Guard, within};
use crate::hall::{Guest, Hall};
use crate::letter;
use crate::refusal::Refusal;
use rookpulley_runtime::connection;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// After an accept that failed for want of something, such as descriptors.
const PAUSE: Duration = Duration::from_millis(20);
/// At a stop, calls that are on their way to us are waited for so long on connections that wait.
const GRACE: Duration = Duration::from_millis(50);
/// What a caller has not confirmed for so long ends the connection, however silent the network is.
const UNHEARD: Duration = Duration::from_millis(5_000);

/// Serves until `stop` turns true and every call at work is answered. Dropping this ends all connections at once.
/// It must run inside a `LocalSet`. A sender that is dropped without a word means that there is no stop.
pub async fn serve<H, F>(
    listener: TcpListener,
    bounds: Bounds,
    stop: watch::Receiver<bool>,
    handler: Rc<H>,
) where
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let hall = Rc::new(Hall::new(bounds));
    let mut guests = JoinSet::new();
    let mut stopped = std::pin::pin!(stopped(stop));
    loop {
        tokio::select! {
            biased;
            () = &mut stopped => break,
            Some(ended) = guests.join_next(), if !guests.is_empty() => told(ended),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(&mut guests, &hall, &handler, stream),
                Err(error) if is_passing(error.kind()) => {}
                Err(error) => {
                    tracing::warn!("counter: no connection can be taken: {error}");
                    hall.send_one_away();
                    tokio::select! { biased; () = &mut stopped => break, () = tokio::time::sleep(PAUSE) => {} }
                }
            },
        }
    }
    // Those who stand in the queue by now have been let in by the system, and are answered.
    for _ in 0..bounds.connections {
        let Some(Ok((stream, _))) = futures_lite::future::poll_once(listener.accept()).await else {
            break;
        };
        admit(&mut guests, &hall, &handler, stream);
    }
    drop(listener);
    hall.stop();
    while let Some(ended) = guests.join_next().await {
        told(ended);
    }
}

async fn stopped(mut stop: watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn told(ended: Result<(), tokio::task::JoinError>) {
    if let Err(error) = ended {
        tracing::error!("counter: a connection ended in disorder: {error}");
    }
}

fn is_passing(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    )
}

fn admit<H, F>(guests: &mut JoinSet<()>, hall: &Rc<Hall>, handler: &Rc<H>, stream: TcpStream)
where
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let Some(guest) = hall.seat() else {
        tracing::warn!("counter: all connections are at work, the newest is refused");
        return;
    };
    connection::configure(&stream, UNHEARD);
    guests.spawn_local(attend(stream, guest, handler.clone()));
}

/// Answers the calls of one connection, one after the other.
async fn attend<S, H, F>(stream: S, guest: Guest, handler: Rc<H>)
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Call) -> F,
    F: Future<Output = Reply>,
{
    let hall = &guest.hall;
    let mut guard = Guard::new(stream, hall.bounds, hall.room.clone());
    loop {
        if !begins(&mut guard, &guest).await {
            return;
        }
        let message = match guard.message().await {
            Ok(message) => message,
            Err(refusal) => return refuse(guard, refusal).await,
        };
        let (head, share) = (message.head, message.share);
        let Ok(Some((method, body))) = letter::open(&head.method, message.body).await else {
            tracing::warn!("counter: a message that the guard let through can't be read");
            return refuse(guard, Refusal::Head).await;
        };
        let call = Call {
            method: head.method,
            path: head.path,
            query: head.query,
            body,
            headers: head.headers,
        };
        let reply = handler(call).await;
        drop(share);
        let close = !head.keep || reply.closes() || hall.is_stopping();
        let Ok(bytes) = letter::seal(reply, method, close).await else {
            return;
        };
        if !guard.write(&bytes).await {
            return;
        }
        if close {
            // A caller that asked for the end sends nothing more that could be met with a reset.
            let sends_on = head.keep || guard.holds_more();
            return if sends_on {
                guard.end().await
            };
        }
    }
}

/// Waits for the next message; false when there is none, or the connection is no longer wanted.
async fn begins<S: AsyncRead + AsyncWrite + Unpin>(guard: &mut Guard<S>, guest: &Guest) -> bool {
    guest.waits();
    let arrived = tokio::select! {
        biased;
        arrived = guard.arrive() => Some(arrived),
        () = guest.told_to_leave() => None,
        () = async { tokio::time::sleep(guest.hall.bounds.idle_time).await } => Some(false),
    };
    let arrived = match arrived {
        Some(arrived) => arrived,
        None if guest.hall.is_stopping() => within(GRACE, guard.arrive()).await.unwrap_or(false),
        None => false,
    };
    guest.works();
    arrived
}

async fn refuse<S: AsyncRead + AsyncWrite + Unpin>(mut guard: Guard<S>, refusal: Refusal) {
    tracing::debug!("counter: a message is refused: {refusal}");
    let help = miette::Diagnostic::help(&refusal)
        .map(|help| help.to_string())
        .unwrap_or_default();
    let reply = Reply::error(refusal.status(), &format!("{refusal}: {help}"));
    let reply = if refusal == Refusal::NoRoom {
        reply.with("retry-after", "0.5")
    } else {
        reply
    };
    if let Ok(bytes) = letter::seal(reply, http_types::Method::Get, true).await
        && guard.write(&bytes).await
    {
        guard.end().await;
    }
}
