//! A request from its head to its response, in phases: checked, routed, its body gathered, attempted as often as it may
//! be.

use crate::attempt::{EndedAttempt, UpstreamRequest, UpstreamResponse};
use crate::body;
use crate::body_length::BodyLength;
use crate::connection_monitor::ConnectionMonitor;
use crate::context::ProxyContext;
use crate::headers::strip_hop_by_hop;
use crate::local_response;
use crate::request_body::{RequestBody, UploadState};
use crate::request_check::{self, BadRequest};
use crate::request_guard::{InFlightGuard, RequestGuard};
use crate::response_body::ResponseBody;
use crate::tracked_attempt::TrackedAttempt;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::{Request, Response};
use rookpulley_protocol::TableEntry;
use rookpulley_proxy_core::{AfterAttempt, AttemptEnd, NextStep, RequestLifecycle};
use rookpulley_routes::Limits;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::time::timeout_at;

/// A request's body up to this length is read in whole before anything is sent on.
const MAX_BUFFERED_REQUEST: usize = 64 << 10;

/// Tells, once dropped, that the client is gone.
struct ClientGoneGuard(Rc<Cell<bool>>);

impl Drop for ClientGoneGuard {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

/// Answers a request of a client.
pub async fn serve(
    proxy: Rc<ProxyContext>,
    monitor: Rc<ConnectionMonitor>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let length = request.body().size_hint().exact();
    let body = length.map_or(BodyLength::CHUNKED, BodyLength::Bytes);
    let guard = RequestGuard::new(&proxy, &monitor, body);
    let mut response = forward(&proxy, &monitor, request).await;
    // What the client still sends isn't read to its end.
    if proxy.is_ending() || monitor.is_in_body() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.body_mut().keep(guard);
    response
}

async fn forward(
    proxy: &Rc<ProxyContext>,
    monitor: &ConnectionMonitor,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (mut head, body) = request.into_parts();
    let limits = proxy.limits();
    let checked = match request_check::check(&head, monitor, limits) {
        Ok(checked) => checked,
        Err(BadRequest(status)) => return local_response::of_status_and_close(status),
    };
    let path = head.uri.path();
    let route =
        proxy.step(|state, now| state.route(now, &checked.host, path, checked.client_wait_ms));
    let route = match route {
        Ok(route) => route,
        Err(local) => return local_response::response(local),
    };
    let body = gather_body(proxy, body, checked.length, limits, route.deadline_ms).await;
    let body = match body {
        Ok(body) => body,
        Err(BadRequest(status)) => return local_response::of_status_and_close(status),
    };
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(EXPECT);
    let request = UpstreamRequest {
        proxy: proxy.clone(),
        method: head.method,
        target: head.uri,
        headers: head.headers,
        id: checked.id,
        route,
    };
    let is_client_gone = Rc::new(Cell::new(false));
    if request.is_idempotent() {
        return run_attempts(request, body, is_client_gone).await;
    }
    // An instance that has begun on it may finish though the client has left: its work is done once and not broken off.
    let _client = ClientGoneGuard(is_client_gone.clone());
    let in_flight = InFlightGuard::new(proxy);
    let attempts = tokio::task::spawn_local(async move {
        let _in_flight = in_flight;
        run_attempts(request, body, is_client_gone).await
    });
    let response = attempts.await;
    response.unwrap_or_else(|_| local_response::of_status(502))
}

/// The body in whole, if it is short; else what there is of it, to be passed on as it comes.
async fn gather_body(
    proxy: &ProxyContext,
    mut body: Incoming,
    length: Option<u64>,
    limits: Limits,
    deadline_ms: f64,
) -> Result<RequestBody, BadRequest> {
    if body.is_end_stream() {
        return Ok(RequestBody::Complete(Bytes::new()));
    }
    let wanted = length.map_or(MAX_BUFFERED_REQUEST, |length| {
        usize::try_from(length).unwrap_or(usize::MAX)
    });
    let reservation = if wanted <= MAX_BUFFERED_REQUEST {
        proxy.memory.reserve_for_request(wanted)
    } else {
        None
    };
    let Some(reservation) = reservation else {
        return Ok(RequestBody::stream(
            VecDeque::new(),
            body,
            limits.max_body_bytes,
        ));
    };
    let deadline = proxy.instant(deadline_ms);
    let read = timeout_at(deadline, body::read_up_to(&mut body, MAX_BUFFERED_REQUEST)).await;
    let read = match read {
        Err(_) => return Err(BadRequest(408)),
        Ok(Err(_)) => return Err(BadRequest(400)),
        Ok(Ok(read)) => read,
    };
    let Some(left) = limits.max_body_bytes.checked_sub(read.bytes as u64) else {
        return Err(BadRequest(413));
    };
    if read.is_complete {
        return Ok(RequestBody::Complete(reservation.attach(read.joined())));
    }
    Ok(RequestBody::stream(read.chunks, body, left))
}

/// `is_client_gone` turns true when the client leaves: nothing is begun for it any more.
async fn run_attempts(
    request: UpstreamRequest,
    body: RequestBody,
    is_client_gone: Rc<Cell<bool>>,
) -> Response<ResponseBody> {
    let proxy = &request.proxy;
    let is_repeatable = body.copy().is_some();
    let route = request.route.clone();
    let mut lifecycle = proxy.step(|state, _| RequestLifecycle::new(state, route, is_repeatable));
    let mut body = Some(body);
    loop {
        let is_wanted = !is_client_gone.get() && body.is_some();
        let step = proxy.step(|state, now| lifecycle.next_step(state, now, is_wanted));
        let (pick, to, check_at_ms) = match step {
            NextStep::Attempt {
                pick,
                to,
                check_at_ms,
            } => (pick, to, check_at_ms),
            NextStep::Respond(local) => return local_response::response(local),
        };
        let attempt = TrackedAttempt::new(proxy, &request.route.service, pick);
        let Some(sent) = body.take() else {
            return local_response::of_status(502);
        };
        body = sent.copy();
        let ended = run_attempt(&request, &lifecycle, &to, sent, check_at_ms).await;
        if let AttemptEnd::ClientFailed(status) = ended.end {
            attempt.end(ended.end);
            return local_response::of_status_and_close(status);
        }
        let response = end_attempt(attempt, ended.end, ended.response);
        if ended.body.is_some() {
            body = ended.body;
        }
        let status = response.as_ref().map(|response| response.status().as_u16());
        let has_body = body.is_some();
        let after = proxy
            .step(|state, now| lifecycle.attempt_ended(state, now, ended.end, status, has_body));
        match (after, response) {
            (AfterAttempt::Retry, _) => {}
            (AfterAttempt::Forward, Some(response)) => return response,
            (AfterAttempt::Forward, None) => return local_response::of_status(502),
            (AfterAttempt::Respond(local), _) => return local_response::response(local),
        }
    }
}

/// One attempt, broken off when it takes too long.
async fn run_attempt(
    request: &UpstreamRequest,
    lifecycle: &RequestLifecycle,
    to: &TableEntry,
    body: RequestBody,
    check_at_ms: f64,
) -> EndedAttempt {
    let proxy = &request.proxy;
    let is_sent = Cell::new(false);
    let upload = body.upload_state();
    let mut attempt = std::pin::pin!(request.attempt(to, body, &is_sent));
    if let Ok(ended) = timeout_at(proxy.instant(check_at_ms), attempt.as_mut()).await {
        return ended;
    }
    let is_broken_off = proxy.step(|state, now| lifecycle.should_abort(state, now));
    if !is_broken_off {
        let deadline = proxy.instant(request.route.deadline_ms);
        if let Ok(ended) = timeout_at(deadline, attempt).await {
            return ended;
        }
    }
    let waits_for_client = upload.is_some_and(|upload| upload.get() == UploadState::WaitsForClient);
    EndedAttempt::new(AttemptEnd::from_abort(is_sent.get(), waits_for_client))
}

/// Has an attempt counted: at once, or when the last byte of a response that is passed on as it comes has come.
fn end_attempt(
    attempt: TrackedAttempt,
    end: AttemptEnd,
    response: Option<UpstreamResponse>,
) -> Option<Response<ResponseBody>> {
    match response {
        Some(UpstreamResponse::Begun(head, mut download)) => {
            download.attempt = Some(attempt);
            let body = ResponseBody::stream(*download);
            Some(Response::from_parts(head, body))
        }
        Some(UpstreamResponse::Complete(response)) => {
            attempt.end(end);
            Some(response)
        }
        None => {
            attempt.end(end);
            None
        }
    }
}
