//! The HTTP/1.1 server of the operators' API, with limits on connections, body sizes and call times.

use crate::api::{self, ApiError, ApiRequest, ApiResponse, PendingRequest};
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

/// The maximum number of open connections; further ones are closed at once.
pub const MAX_CONNECTIONS: usize = 16;
const MAX_BODY_BYTES: usize = 16 * 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// The time limit for a call, including reading its body and waiting for the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(300);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Increments the counter of this name.
pub type CounterFn = Rc<dyn Fn(&str)>;

/// Accepts connections and serves calls indefinitely. Must be called within a `LocalSet`.
pub async fn serve(
    listener: TcpListener,
    token: Option<Token>,
    asks: mpsc::Sender<PendingRequest>,
    count: CounterFn,
) {
    let (token, open) = (Rc::new(token), Rc::new(Cell::new(0)));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            count("operators' connections not taken");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            count("operators' connections turned away");
            continue;
        }
        open.set(open.get() + 1);
        count("operators' connections taken");
        let (token, asks, open, count) = (token.clone(), asks.clone(), open.clone(), count.clone());
        tokio::task::spawn_local(async move {
            _ = timeout(
                MAX_CONNECTION_AGE,
                serve_connection(socket, &token, &asks, &count),
            )
            .await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection(
    socket: TcpStream,
    token: &Option<Token>,
    asks: &mpsc::Sender<PendingRequest>,
    count: &CounterFn,
) {
    let service = service_fn(async |request: Request<Incoming>| {
        let timed_out = || ApiError::new(503, "no answer in time", Some("ask again"));
        let answer = timeout(CALL_TIMEOUT, handle_call(request, token, asks)).await;
        let answer = answer.unwrap_or_else(|_| Err(timed_out()));
        let answer = answer.unwrap_or_else(|refusal| ApiResponse::Refused { refusal });
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
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(32 * 1024);
    // Connection errors are ignored: the calls that were answered are already counted.
    _ = server.serve_connection(TokioIo::new(socket), service).await;
}

/// Checks authorization, host and content type, then passes the request on and waits for the response.
async fn handle_call(
    request: Request<Incoming>,
    token: &Option<Token>,
    asks: &mpsc::Sender<PendingRequest>,
) -> Result<ApiResponse, ApiError> {
    let (head, body) = request.into_parts();
    if let Some(token) = token {
        let credentials = head
            .headers
            .get(AUTHORIZATION)
            .and_then(|h| h.to_str().ok());
        if !token.matches(
            credentials
                .and_then(|s| s.strip_prefix("Bearer "))
                .unwrap_or_default(),
        ) {
            let instead = "send Authorization: Bearer and the token of the assigner's token file";
            return Err(ApiError::new(
                401,
                "the token is missing or wrong",
                Some(instead),
            ));
        }
    }
    // Without a token, accept only loopback host names: this guards against DNS rebinding.
    let host = head
        .headers
        .get(HOST)
        .and_then(|h| h.to_str().ok())
        .unwrap_or_default();
    let is_loopback_host = host
        .parse::<SocketAddr>()
        .is_ok_and(|a| a.ip().is_loopback())
        || host.parse::<IpAddr>().is_ok_and(|a| a.is_loopback())
        || host.split(':').next() == Some("localhost");
    if token.is_none() && !is_loopback_host {
        return Err(ApiError::new(
            403,
            format!("{host:?} is no loopback address"),
            Some("call 127.0.0.1"),
        ));
    }
    // Guards against cross-site requests: a form cannot send this content type, and no CORS headers allow other origins.
    let is_json = head
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|t| t.as_bytes().starts_with(b"application/json"));
    if head.method == hyper::Method::POST && !is_json {
        return Err(ApiError::new(
            415,
            "the body is no JSON",
            Some("send Content-Type: application/json"),
        ));
    }
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body_error = |_| {
        ApiError::new(
            413,
            format!("the body is over {MAX_BODY_BYTES} bytes or broke off"),
            None,
        )
    };
    let body = body.map_err(body_error)?.to_bytes();
    let (path, query) = (head.uri.path(), head.uri.query().unwrap_or_default());
    let ask: ApiRequest = api::parse(head.method.as_str(), path, query, &body)?;
    let (answer, received) = oneshot::channel();
    let shutting_down = || ApiError::new(503, "the assigner ends", None);
    asks.send(PendingRequest { ask, answer })
        .await
        .map_err(|_| shutting_down())?;
    received.await.map_err(|_| shutting_down())
}
