//! The operators' address: HTTP/1.1 with JSON, a few connections, small bodies, each call within its time.

use crate::asks::{self, Answer, Ask, Asked, Refusal};
use crate::file::Token;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// So many connections at once; more are closed unread.
pub const CONNECTIONS: usize = 16;
const BODY_MOST: usize = 16 * 1024;
const HEAD_WITHIN: Duration = Duration::from_secs(5);
/// A whole call, its body and its answer, and then a connection's whole life.
const CALL_WITHIN: Duration = Duration::from_secs(10);
const LIFE_MOST: Duration = Duration::from_secs(300);
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

/// Calls taken and how they ended, for the counters.
pub type Count = Rc<dyn Fn(&str)>;

/// Answers calls for as long as the assigner runs. Called within a `LocalSet`.
pub async fn serve(
    listener: TcpListener,
    token: Option<Token>,
    asks: mpsc::Sender<Asked>,
    count: Count,
) {
    let (token, open) = (Rc::new(token), Rc::new(Cell::new(0)));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            count("operators' connections not taken");
            tokio::time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        if open.get() >= CONNECTIONS {
            count("operators' connections turned away");
            continue;
        }
        open.set(open.get() + 1);
        count("operators' connections taken");
        let (token, asks, open, count) = (token.clone(), asks.clone(), open.clone(), count.clone());
        tokio::task::spawn_local(async move {
            _ = timeout(LIFE_MOST, connection(socket, &token, &asks, &count)).await;
            open.set(open.get() - 1);
        });
    }
}

async fn connection(
    socket: TcpStream,
    token: &Option<Token>,
    asks: &mpsc::Sender<Asked>,
    count: &Count,
) {
    let answer = service_fn(async |request: Request<Incoming>| {
        let late = || Refusal::new(503, "no answer in time", Some("ask again"));
        let answer = timeout(CALL_WITHIN, call(request, token, asks)).await;
        let answer = answer.unwrap_or_else(|_| Err(late()));
        let answer = answer.unwrap_or_else(|refusal| Answer::Refused { refusal });
        count(&format!("operators' calls answered {}", answer.status()));
        let body = serde_json::to_vec(&answer).unwrap_or_default();
        let response = Response::builder()
            .status(answer.status())
            .header(CONTENT_TYPE, "application/json");
        response.body(Full::new(Bytes::from(body)))
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WITHIN)
        .max_buf_size(32 * 1024);
    // However the connection ends, nobody waits for it.
    _ = server.serve_connection(TokioIo::new(socket), answer).await;
}

/// One call, from its head to its answer.
async fn call(
    request: Request<Incoming>,
    token: &Option<Token>,
    asks: &mpsc::Sender<Asked>,
) -> Result<Answer, Refusal> {
    let (head, body) = request.into_parts();
    if let Some(token) = token {
        let shown = head
            .headers
            .get(AUTHORIZATION)
            .and_then(|h| h.to_str().ok());
        if !token.is(shown
            .and_then(|s| s.strip_prefix("Bearer "))
            .unwrap_or_default())
        {
            let instead = "send Authorization: Bearer and the token of the assigner's token file";
            return Err(Refusal::new(
                401,
                "the token is missing or wrong",
                Some(instead),
            ));
        }
    }
    // Without a token whoever calls must mean this machine: a name that was bent to it is refused.
    let host = head
        .headers
        .get(HOST)
        .and_then(|h| h.to_str().ok())
        .unwrap_or_default();
    let here = host
        .parse::<SocketAddr>()
        .is_ok_and(|a| a.ip().is_loopback())
        || host.parse::<IpAddr>().is_ok_and(|a| a.is_loopback())
        || host.split(':').next() == Some("localhost");
    if token.is_none() && !here {
        return Err(Refusal::new(
            403,
            format!("{host:?} is no loopback address"),
            Some("call 127.0.0.1"),
        ));
    }
    // A page in a browser can't be made to call: no form sends this, and no other origin is let in.
    let json = head
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|t| t.as_bytes().starts_with(b"application/json"));
    if head.method == hyper::Method::POST && !json {
        return Err(Refusal::new(
            415,
            "the body is no JSON",
            Some("send Content-Type: application/json"),
        ));
    }
    let body = Limited::new(body, BODY_MOST).collect().await;
    let too_long = |_| {
        Refusal::new(
            413,
            format!("the body is over {BODY_MOST} bytes or broke off"),
            None,
        )
    };
    let body = body.map_err(too_long)?.to_bytes();
    let (path, query) = (head.uri.path(), head.uri.query().unwrap_or_default());
    let ask: Ask = asks::read(head.method.as_str(), path, query, &body)?;
    let (answer, answered) = oneshot::channel();
    let ends = || Refusal::new(503, "the assigner ends", None);
    asks.send(Asked { ask, answer }).await.map_err(|_| ends())?;
    answered.await.map_err(|_| ends())
}
