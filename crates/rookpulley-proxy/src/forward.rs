//! Processes a request from its head to its response: checks and routes it, buffers the body, and
//! attempts it until it succeeds or must not be retried.

use crate::attempt::{AttemptResult, UpstreamRequest, UpstreamResponse};
use crate::body;
use crate::body_length::BodyLength;
use crate::connection_monitor::ConnectionMonitor;
use crate::context::ProxyContext;
use crate::headers::{set_identity, strip_hop_by_hop};
use crate::local_response;
use crate::request_body::{RequestBody, UploadState};
use crate::request_check::{self, BadRequest};
use crate::request_guard::{InFlightGuard, RequestGuard};
use crate::response_body::ResponseBody;
use crate::tracked_attempt::TrackedAttempt;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{AUTHORIZATION, CONNECTION, EXPECT, HeaderValue};
use hyper::{Request, Response};
use rookpulley_protocol::TableEntry;
use rookpulley_proxy_core::{
    AfterAttempt, AttemptEnd, Credentials, NextStep, RequestLifecycle, RouteRequest,
};
use rookpulley_routes::Limits;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::time::timeout_at;

/// A request body up to this length is buffered before the request is sent.
const MAX_BUFFERED_REQUEST: usize = 64 << 10;

/// Sets its flag when dropped, which happens when the client disconnects.
struct ClientDisconnectGuard(Rc<Cell<bool>>);

impl Drop for ClientDisconnectGuard {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

/// Handles one client request.
pub async fn serve(
    proxy: Rc<ProxyContext>,
    monitor: Rc<ConnectionMonitor>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let length = request.body().size_hint().exact();
    let body = length.map_or(BodyLength::CHUNKED, BodyLength::Bytes);
    let guard = RequestGuard::new(&proxy, &monitor, body);
    let mut response = forward(&proxy, &monitor, request).await;
    // A pipelined request that was already read is still answered, so it can't follow a response that closes.
    let is_last = proxy.is_shutting_down() && !monitor.has_unread();
    // The rest of an incomplete request body is not read, so the connection cannot be reused.
    if is_last || monitor.is_in_body() {
        monitor.stop_reading_requests();
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.body_mut().attach_guard(guard);
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
        Err(BadRequest(status)) => return local_response::with_status_and_close(status),
    };
    let authorization = head.headers.get_all(AUTHORIZATION).into_iter();
    let route_request = RouteRequest {
        host: &checked.host,
        path: head.uri.path(),
        client_wait_ms: checked.client_wait_ms,
        credentials: Credentials::from_headers(authorization.map(HeaderValue::as_bytes)),
    };
    let route = match proxy.step(|state, now| state.route(now, route_request)) {
        Ok(route) => route,
        Err(local) => return local_response::response(local),
    };
    if !proxy.may_begin(route.deadline_ms) {
        return local_response::shutting_down();
    }
    let body = gather_body(proxy, body, checked.length, limits, route.deadline_ms).await;
    let body = match body {
        Ok(body) => body,
        Err(BadRequest(status)) => return local_response::with_status_and_close(status),
    };
    if !proxy.may_send(route.deadline_ms) {
        return local_response::shutting_down();
    }
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(EXPECT);
    let tenant = route.tenant.as_deref();
    if set_identity(&mut head.headers, tenant, route.withholds_authorization).is_err() {
        return local_response::with_status(500);
    }
    let request = UpstreamRequest {
        proxy: proxy.clone(),
        method: head.method,
        target: head.uri,
        headers: head.headers,
        id: checked.id,
        route,
    };
    let is_client_disconnected = Rc::new(Cell::new(false));
    if request.is_idempotent() {
        return run_attempts(request, body, is_client_disconnected).await;
    }
    // A non-idempotent request runs in its own task: an instance that has started it may finish
    // after the client disconnects.
    let _disconnect_guard = ClientDisconnectGuard(is_client_disconnected.clone());
    let in_flight = InFlightGuard::new(proxy);
    let attempts = tokio::task::spawn_local(async move {
        let _in_flight = in_flight;
        run_attempts(request, body, is_client_disconnected).await
    });
    let response = attempts.await;
    response.unwrap_or_else(|_| local_response::with_status(502))
}

/// Buffers a short body completely, otherwise streams it.
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
    let expected_bytes = length.map_or(MAX_BUFFERED_REQUEST, |length| {
        usize::try_from(length).unwrap_or(usize::MAX)
    });
    let reservation = if expected_bytes <= MAX_BUFFERED_REQUEST {
        proxy.memory.reserve_for_request(expected_bytes)
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
    let Some(remaining) = limits.max_body_bytes.checked_sub(read.bytes as u64) else {
        return Err(BadRequest(413));
    };
    if read.is_complete {
        return Ok(RequestBody::Complete(reservation.attach(read.into_bytes())));
    }
    Ok(RequestBody::stream(read.chunks, body, remaining))
}

/// Attempts the request until it gets a final response. No attempt starts after `is_client_disconnected` is
/// set.
async fn run_attempts(
    request: UpstreamRequest,
    body: RequestBody,
    is_client_disconnected: Rc<Cell<bool>>,
) -> Response<ResponseBody> {
    let proxy = &request.proxy;
    let is_repeatable = body.try_clone().is_some();
    let route = request.route.clone();
    let mut lifecycle = proxy.step(|state, _| RequestLifecycle::new(state, route, is_repeatable));
    let mut body = Some(body);
    loop {
        let can_attempt = !is_client_disconnected.get() && body.is_some() && !proxy.is_ending();
        let step = proxy.step(|state, now| lifecycle.next_step(state, now, can_attempt));
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
            return local_response::with_status(502);
        };
        body = sent.try_clone();
        let result = run_attempt(&request, &lifecycle, &to, sent, check_at_ms).await;
        if let AttemptEnd::ClientFailed(status) = result.end {
            attempt.end(result.end);
            return local_response::with_status_and_close(status);
        }
        let response = end_attempt(attempt, result.end, result.response);
        if result.body.is_some() {
            body = result.body;
        }
        let status = response.as_ref().map(|response| response.status().as_u16());
        let has_body = body.is_some();
        let after = proxy
            .step(|state, now| lifecycle.attempt_ended(state, now, result.end, status, has_body));
        match (after, response) {
            (AfterAttempt::Retry, _) => {}
            (AfterAttempt::Forward, Some(response)) => return response,
            (AfterAttempt::Forward, None) => return local_response::with_status(502),
            (AfterAttempt::Respond(local), _) => return local_response::response(local),
        }
    }
}

/// Runs one attempt and aborts it if it takes too long.
async fn run_attempt(
    request: &UpstreamRequest,
    lifecycle: &RequestLifecycle,
    to: &TableEntry,
    body: RequestBody,
    check_at_ms: f64,
) -> AttemptResult {
    let proxy = &request.proxy;
    let is_sent = Cell::new(false);
    let upload = body.upload_state();
    let mut attempt = std::pin::pin!(request.attempt(to, body, &is_sent));
    if let Ok(result) = timeout_at(proxy.instant(check_at_ms), attempt.as_mut()).await {
        return result;
    }
    let is_aborted = proxy.step(|state, now| lifecycle.should_abort(state, now));
    if !is_aborted {
        let deadline = proxy.instant(request.route.deadline_ms);
        if let Ok(result) = timeout_at(deadline, attempt).await {
            return result;
        }
    }
    let awaits_client = upload.is_some_and(|upload| upload.get() == UploadState::AwaitingClient);
    AttemptResult::new(AttemptEnd::from_abort(is_sent.get(), awaits_client))
}

/// Records the end of an attempt. A streamed response records it when its last byte arrives.
fn end_attempt(
    attempt: TrackedAttempt,
    end: AttemptEnd,
    response: Option<UpstreamResponse>,
) -> Option<Response<ResponseBody>> {
    match response {
        Some(UpstreamResponse::Streaming(head, mut download)) => {
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
