//! A single attempt: sends a request to one instance and evaluates the response.

use crate::body::{self, ReadBody};
use crate::context::ProxyContext;
use crate::headers::{DEADLINE_MS, TARGET_INSTANCE, strip_hop_by_hop};
use crate::request_body::{RequestBody, UploadState};
use crate::response_body::{Download, ResponseBody};
use crate::response_check;
use crate::upstream_pool::{self, ConnectError, ConnectOptions, KeepAlive, UpstreamConnection};
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response;
use hyper::{Method, Request, Response, Uri, Version};
use rookpulley_balancer::AttemptOutcome;
use rookpulley_protocol::TableEntry;
use rookpulley_proxy_core::{AttemptEnd, Resend, RouteDecision, SendFailure};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Subtracted from the deadline sent to the instance, to leave time for the response to travel
/// back.
const RESPONSE_MARGIN_MS: f64 = 5.0;
/// A response that is not forwarded is drained if it is short, so that its connection can be
/// reused.
const MAX_DRAINED_BYTES: usize = 64 << 10;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A request in the form in which it is sent to instances.
pub struct UpstreamRequest {
    pub proxy: Rc<ProxyContext>,
    pub method: Method,
    pub target: Uri,
    /// End-to-end headers only; hop-by-hop headers are already removed.
    pub headers: HeaderMap,
    pub id: HeaderValue,
    pub route: RouteDecision,
}

/// The result of an attempt, with the request body if it can be sent again.
pub struct AttemptResult {
    pub end: AttemptEnd,
    pub response: Option<UpstreamResponse>,
    pub body: Option<RequestBody>,
}

/// A response that can be forwarded to the client.
pub enum UpstreamResponse {
    /// The body is fully buffered.
    Complete(Response<ResponseBody>),
    /// The head and the first bytes have arrived; the `Download` reads the rest from the
    /// connection.
    Streaming(response::Parts, Box<Download>),
}

impl AttemptResult {
    /// A result without a response and without a reusable body.
    pub fn new(end: AttemptEnd) -> Self {
        Self {
            end,
            response: None,
            body: None,
        }
    }

    fn with_outcome(outcome: AttemptOutcome) -> Self {
        Self::new(AttemptEnd::Outcome(outcome))
    }

    fn unsent(body: Option<RequestBody>) -> Self {
        Self {
            body,
            ..Self::with_outcome(AttemptOutcome::Unsent)
        }
    }

    fn connection_limit(body: RequestBody) -> Self {
        Self {
            body: Some(body),
            ..Self::new(AttemptEnd::ConnectionLimit)
        }
    }
}

/// A request written to a connection, awaiting its response.
struct InFlightRequest {
    connection: UpstreamConnection,
    /// A copy of the request body, if the body is buffered.
    body_copy: Option<RequestBody>,
    upload: Option<Rc<Cell<UploadState>>>,
}

/// What to do after a failed send.
enum FailureAction {
    Resend(RequestBody),
    End(AttemptResult),
}

impl UpstreamRequest {
    /// Whether the request is safe to execute more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.kind.is_idempotent()
    }

    /// Sends the request to one instance. Sets `is_sent` once any bytes may have been written.
    pub async fn attempt(
        &self,
        to: &TableEntry,
        mut body: RequestBody,
        is_sent: &Cell<bool>,
    ) -> AttemptResult {
        let mut resend = Resend::default();
        loop {
            let options = ConnectOptions {
                max_connections: self
                    .proxy
                    .inspect(|state| state.connection_limit(&self.route)),
                is_idempotent: self.is_idempotent(),
                needs_new: resend.needs_new_connection(),
            };
            let connection = match self.proxy.upstreams.connect(to, options).await {
                Ok(connection) => connection,
                Err(ConnectError::Limit) => return AttemptResult::connection_limit(body),
                Err(ConnectError::Unreachable) => return AttemptResult::unsent(Some(body)),
            };
            // The instance may have started draining during the connect.
            let may_send = self.proxy.inspect(|state| state.may_send(&to.incarnation));
            if !may_send {
                return AttemptResult::connection_limit(body);
            }
            let mut in_flight = InFlightRequest {
                connection,
                body_copy: body.try_clone(),
                upload: body.upload_state(),
            };
            let sent_body = body.sent_body();
            let Some(request) = self.build_request(to, body) else {
                return AttemptResult::unsent(in_flight.body_copy);
            };
            is_sent.set(true);
            let is_head = self.method == Method::HEAD;
            in_flight
                .connection
                .begin(&self.id, is_head, sent_body, self.is_idempotent());
            let sent = in_flight.connection.sender.try_send_request(request).await;
            let failure = match sent {
                Ok(response) => return self.evaluate(in_flight.connection, response).await,
                Err(failure) => failure,
            };
            match handle_failure(in_flight, failure, &mut resend, is_sent) {
                FailureAction::Resend(body_copy) => body = body_copy,
                FailureAction::End(result) => return result,
            }
        }
    }

    /// Builds the upstream request. Returns `None` if the incarnation is not a valid header value.
    fn build_request(&self, to: &TableEntry, body: RequestBody) -> Option<Request<RequestBody>> {
        let incarnation = HeaderValue::from_str(&to.incarnation).ok()?;
        // A chunked body stays chunked, whatever the method.
        let is_chunked = body.size_hint().exact().is_none();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let remaining_ms = self.route.deadline_ms - self.proxy.now_ms() - RESPONSE_MARGIN_MS;
        headers.insert(
            &DEADLINE_MS,
            HeaderValue::from(remaining_ms.max(1.0) as u64),
        );
        headers.insert(&TARGET_INSTANCE, incarnation);
        if is_chunked {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        Some(request)
    }

    async fn evaluate(
        &self,
        connection: UpstreamConnection,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let (mut head, body) = response.into_parts();
        let keep_alive = upstream_pool::keep_alive(&head.headers);
        let verdict = response_check::check(&head, &self.id);
        if let Some(end) = AttemptEnd::from_verdict(verdict) {
            if end == AttemptEnd::Outcome(AttemptOutcome::NotExecuted) {
                drain(connection, body, keep_alive);
            }
            return AttemptResult::new(end);
        }
        strip_hop_by_hop(&mut head.headers);
        head.version = Version::HTTP_11;
        self.buffer_or_stream(connection, head, body, keep_alive)
            .await
    }

    /// Buffers the response if it is short enough, otherwise starts streaming it.
    async fn buffer_or_stream(
        &self,
        connection: UpstreamConnection,
        mut head: response::Parts,
        mut body: Incoming,
        keep_alive: KeepAlive,
    ) -> AttemptResult {
        let status = head.status.as_u16();
        let length = body.size_hint().exact();
        let max_buffered = self.proxy.max_buffered_response;
        let expected_bytes = length.map_or(max_buffered, |length| {
            usize::try_from(length).unwrap_or(usize::MAX)
        });
        let reservation = if expected_bytes <= max_buffered {
            self.proxy.memory.reserve_for_response(expected_bytes)
        } else {
            None
        };
        let max_read = if reservation.is_some() {
            max_buffered
        } else {
            0
        };
        let Ok(read) = body::read_up_to(&mut body, max_read).await else {
            return AttemptResult::with_outcome(AttemptOutcome::Interrupted);
        };
        if read.is_complete && length.is_some_and(|length| length != read.bytes as u64) {
            return AttemptResult::with_outcome(AttemptOutcome::Interrupted);
        }
        // hyper restates the length from the body; for HEAD the header is kept, as there is no
        // body.
        if self.method != Method::HEAD {
            head.headers.remove(CONTENT_LENGTH);
        }
        let response = if read.is_complete {
            connection.release(keep_alive);
            let bytes = match reservation {
                Some(reservation) => reservation.attach(read.into_bytes()),
                None => read.into_bytes(),
            };
            UpstreamResponse::Complete(Response::from_parts(head, ResponseBody::complete(bytes)))
        } else {
            let download = self.download(connection, read, body, length, keep_alive);
            UpstreamResponse::Streaming(head, Box::new(download))
        };
        AttemptResult {
            response: Some(response),
            ..AttemptResult::with_outcome(AttemptOutcome::Answered(status))
        }
    }

    fn download(
        &self,
        connection: UpstreamConnection,
        read: ReadBody,
        rest: Incoming,
        length: Option<u64>,
        keep_alive: KeepAlive,
    ) -> Download {
        let deadline = self.proxy.instant(self.route.deadline_ms);
        Download {
            chunks: read.chunks,
            rest,
            remaining_bytes: length,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            connection: Some((connection, keep_alive)),
            attempt: None,
        }
    }
}

/// Decides what follows a connection failure before the response.
fn handle_failure(
    in_flight: InFlightRequest,
    mut failure: TrySendError<Request<RequestBody>>,
    resend: &mut Resend,
    is_sent: &Cell<bool>,
) -> FailureAction {
    // hyper returns the request only if none of it was written.
    let returned = failure.take_message().map(Request::into_body);
    let is_unsent = returned.is_some() || in_flight.connection.is_unsent();
    let body = returned.or(in_flight.body_copy);
    let was_idle = in_flight.connection.was_idle;
    let next = resend.send_failed(is_unsent, was_idle, body.is_some());
    is_sent.set(next == SendFailure::Interrupted);
    match (next, body) {
        (SendFailure::Resend, Some(body)) => FailureAction::Resend(body),
        (SendFailure::Interrupted, _) => {
            let upload = in_flight.upload.map(|upload| upload.get());
            FailureAction::End(match upload {
                Some(UploadState::Failed(status)) => {
                    AttemptResult::new(AttemptEnd::ClientFailed(status))
                }
                _ => AttemptResult::with_outcome(AttemptOutcome::Interrupted),
            })
        }
        (_, body) => FailureAction::End(AttemptResult::unsent(body)),
    }
}

/// Reads and discards a short response in the background, so that its connection can be reused.
fn drain(connection: UpstreamConnection, mut body: Incoming, keep_alive: KeepAlive) {
    if body.is_end_stream() {
        return connection.release(keep_alive);
    }
    tokio::task::spawn_local(async move {
        let read = body::read_up_to(&mut body, MAX_DRAINED_BYTES);
        let read = tokio::time::timeout(DRAIN_TIMEOUT, read).await;
        if let Ok(Ok(read)) = read
            && read.is_complete
        {
            connection.release(keep_alive);
        }
    });
}
