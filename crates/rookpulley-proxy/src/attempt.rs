//! One attempt: a request is sent to one instance, and what comes back is judged.

use crate::body::{self, ReadBody};
use crate::context::ProxyContext;
use crate::headers::{DEADLINE_MS, TARGET_INSTANCE, strip_hop_by_hop};
use crate::request_body::{RequestBody, UploadState};
use crate::response_body::{Download, ResponseBody};
use crate::response_check;
use crate::upstream_pool::{self, ConnectError, Demand, KeepAlive, UpstreamConnection};
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

/// The instance is told a little less time than there is: its response has a way to go.
const RETURN_MS: f64 = 5.0;
/// A response that is not to be passed on is read to its end if that is near, so that the connection can be used again.
const MAX_DRAINED_BYTES: usize = 64 << 10;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A request as it is sent to instances.
pub struct UpstreamRequest {
    pub proxy: Rc<ProxyContext>,
    pub method: Method,
    pub target: Uri,
    /// Without those of the client's connection.
    pub headers: HeaderMap,
    pub id: HeaderValue,
    pub route: RouteDecision,
}

/// How an attempt ended, what came of it, and the request's body where it can be sent again.
pub struct EndedAttempt {
    pub end: AttemptEnd,
    pub response: Option<UpstreamResponse>,
    pub body: Option<RequestBody>,
}

/// A response that can be passed on.
pub enum UpstreamResponse {
    /// It is complete.
    Complete(Response<ResponseBody>),
    /// Its head and first bytes are here. The connection and the rest come along.
    Begun(response::Parts, Box<Download>),
}

impl EndedAttempt {
    /// Without a response, and without a body to send again.
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

/// A request that was sent on a connection, whose response is awaited.
struct Sending {
    connection: UpstreamConnection,
    /// The request's body once more, where it can be had.
    copy: Option<RequestBody>,
    upload: Option<Rc<Cell<UploadState>>>,
}

/// What follows a send that failed.
enum AfterFailure {
    SendAgain(RequestBody),
    End(EndedAttempt),
}

impl UpstreamRequest {
    /// Whether it may run twice at no harm.
    pub fn is_idempotent(&self) -> bool {
        self.route.kind.is_idempotent()
    }

    /// Sends the request to one instance. `is_sent` turns true once bytes of it may have been sent.
    pub async fn attempt(
        &self,
        to: &TableEntry,
        mut body: RequestBody,
        is_sent: &Cell<bool>,
    ) -> EndedAttempt {
        let mut resend = Resend::default();
        loop {
            let demand = Demand {
                max_connections: self
                    .proxy
                    .inspect(|state| state.connection_limit(&self.route)),
                is_idempotent: self.is_idempotent(),
                needs_new: resend.needs_new_connection(),
            };
            let connection = match self.proxy.upstreams.connect(to, demand).await {
                Ok(connection) => connection,
                Err(ConnectError::Limit) => return EndedAttempt::connection_limit(body),
                Err(ConnectError::Unreachable) => return EndedAttempt::unsent(Some(body)),
            };
            // It may have begun to drain while the connection came up.
            let may_send = self.proxy.inspect(|state| state.may_send(&to.incarnation));
            if !may_send {
                return EndedAttempt::connection_limit(body);
            }
            let mut sending = Sending {
                connection,
                copy: body.copy(),
                upload: body.upload_state(),
            };
            let Some(request) = self.request(to, body) else {
                return EndedAttempt::unsent(sending.copy);
            };
            is_sent.set(true);
            let is_head = self.method == Method::HEAD;
            sending
                .connection
                .begin(&self.id, is_head, self.is_idempotent());
            let sent = sending.connection.sender.try_send_request(request).await;
            let failure = match sent {
                Ok(response) => return self.judge(sending.connection, response).await,
                Err(failure) => failure,
            };
            match handle_failure(sending, failure, &mut resend, is_sent) {
                AfterFailure::SendAgain(copy) => body = copy,
                AfterFailure::End(ended) => return ended,
            }
        }
    }

    /// None where the instance couldn't be told that it is meant.
    fn request(&self, to: &TableEntry, body: RequestBody) -> Option<Request<RequestBody>> {
        let incarnation = HeaderValue::from_str(&to.incarnation).ok()?;
        // A body that comes in chunks goes on in chunks, whatever the method.
        let is_chunked = body.size_hint().exact().is_none();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let left_ms = self.route.deadline_ms - self.proxy.now_ms() - RETURN_MS;
        headers.insert(&DEADLINE_MS, HeaderValue::from(left_ms.max(1.0) as u64));
        headers.insert(&TARGET_INSTANCE, incarnation);
        if is_chunked {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        Some(request)
    }

    async fn judge(
        &self,
        connection: UpstreamConnection,
        response: Response<Incoming>,
    ) -> EndedAttempt {
        let (mut head, body) = response.into_parts();
        let keep_alive = upstream_pool::keep_alive(&head.headers);
        let verdict = response_check::check(&head, &self.id);
        if let Some(end) = AttemptEnd::from_verdict(verdict) {
            if end == AttemptEnd::Outcome(AttemptOutcome::NotExecuted) {
                drain(connection, body, keep_alive);
            }
            return EndedAttempt::new(end);
        }
        strip_hop_by_hop(&mut head.headers);
        head.version = Version::HTTP_11;
        self.take_body(connection, head, body, keep_alive).await
    }

    /// Holds the response until it is complete, if it isn't too long for that.
    async fn take_body(
        &self,
        connection: UpstreamConnection,
        mut head: response::Parts,
        mut body: Incoming,
        keep_alive: KeepAlive,
    ) -> EndedAttempt {
        let status = head.status.as_u16();
        let length = body.size_hint().exact();
        let max_buffered = self.proxy.max_buffered_response;
        let wanted = length.map_or(max_buffered, |length| {
            usize::try_from(length).unwrap_or(usize::MAX)
        });
        let reservation = if wanted <= max_buffered {
            self.proxy.memory.reserve_for_response(wanted)
        } else {
            None
        };
        let max_read = if reservation.is_some() {
            max_buffered
        } else {
            0
        };
        let Ok(read) = body::read_up_to(&mut body, max_read).await else {
            return EndedAttempt::with_outcome(AttemptOutcome::Interrupted);
        };
        if read.is_complete && length.is_some_and(|length| length != read.bytes as u64) {
            return EndedAttempt::with_outcome(AttemptOutcome::Interrupted);
        }
        // The length is stated anew, as it is; what a HEAD states is the length of no body.
        if self.method != Method::HEAD {
            head.headers.remove(CONTENT_LENGTH);
        }
        let response = if read.is_complete {
            connection.release(keep_alive);
            let bytes = match reservation {
                Some(reservation) => reservation.attach(read.joined()),
                None => read.joined(),
            };
            UpstreamResponse::Complete(Response::from_parts(head, ResponseBody::complete(bytes)))
        } else {
            let download = self.download(connection, read, body, length, keep_alive);
            UpstreamResponse::Begun(head, Box::new(download))
        };
        EndedAttempt {
            response: Some(response),
            ..EndedAttempt::with_outcome(AttemptOutcome::Answered(status))
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
            bytes_left: length,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            connection: Some((connection, keep_alive)),
            attempt: None,
        }
    }
}

/// A connection failed before a response.
fn handle_failure(
    sending: Sending,
    mut failure: TrySendError<Request<RequestBody>>,
    resend: &mut Resend,
    is_sent: &Cell<bool>,
) -> AfterFailure {
    // The request comes back only if nothing of it was written.
    let returned = failure.take_message().map(Request::into_body);
    let is_unsent = returned.is_some() || sending.connection.is_unsent();
    let body = returned.or(sending.copy);
    let was_idle = sending.connection.was_idle;
    let after = resend.send_failed(is_unsent, was_idle, body.is_some());
    is_sent.set(after == SendFailure::Interrupted);
    match (after, body) {
        (SendFailure::Resend, Some(body)) => AfterFailure::SendAgain(body),
        (SendFailure::Interrupted, _) => {
            let upload = sending.upload.map(|upload| upload.get());
            AfterFailure::End(match upload {
                Some(UploadState::Failed(status)) => {
                    EndedAttempt::new(AttemptEnd::ClientFailed(status))
                }
                _ => EndedAttempt::with_outcome(AttemptOutcome::Interrupted),
            })
        }
        (_, body) => AfterFailure::End(EndedAttempt::unsent(body)),
    }
}

/// Reads a response that nobody waits for, so that its connection can be used again.
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
