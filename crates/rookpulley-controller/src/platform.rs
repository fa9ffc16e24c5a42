//! Calls to the platform's API.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rookpulley_control::{PlatformAnswer, PlatformCall};
use rookpulley_runtime::connection;
use std::net::SocketAddrV4;
use std::time::Duration;
use tinyjson::JsonValue;

const USAGE_PATH: &str = "/usage";
const DUTY_HOLDER: &str = "duty-holder";
const FENCE_TOKEN: &str = "fence-token";

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("the request cannot be written: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the report cannot be encoded")]
    Encode,
    #[error("the lease ended while the connection was opened")]
    LeaseEnded,
}

/// Sends a report and waits for the answer. `may_send` tells whether the lease still holds; it is asked immediately before
/// the request is written, because opening the connection takes time.
pub async fn report_usage(
    platform: SocketAddrV4,
    call: PlatformCall,
    may_send: impl Fn() -> bool,
) -> PlatformAnswer {
    let timeout = Duration::from_secs_f64(call.timeout_ms / 1e3);
    let (window, fence) = (call.window.0, call.fence);
    let failure = match tokio::time::timeout(timeout, send(platform, call, may_send)).await {
        Ok(Ok(status)) => return answer(status),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no answer within {timeout:?}"),
    };
    tracing::warn!("duties: report of window {window} with token {fence} to {platform}: {failure}");
    PlatformAnswer::Failed
}

fn answer(status: StatusCode) -> PlatformAnswer {
    match status {
        status if status.is_success() => PlatformAnswer::Accepted,
        StatusCode::CONFLICT => PlatformAnswer::Fenced,
        StatusCode::TOO_MANY_REQUESTS => PlatformAnswer::RateLimited,
        _ => PlatformAnswer::Failed,
    }
}

async fn send(
    platform: SocketAddrV4,
    call: PlatformCall,
    may_send: impl Fn() -> bool,
) -> Result<StatusCode, CallError> {
    let body = encode_report(&call).ok_or(CallError::Encode)?;
    let within = Duration::from_secs_f64(call.timeout_ms / 1e3);
    let stream = connection::connect(platform.into(), within).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post(USAGE_PATH)
        .header(HOST, platform.to_string())
        .header(DUTY_HOLDER, call.holder)
        .header(FENCE_TOKEN, call.fence)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))?;
    if !may_send() {
        return Err(CallError::LeaseEnded);
    }
    let response = sender.send_request(request);
    tokio::pin!(connection);
    tokio::pin!(response);
    // The connection makes progress only while it is polled.
    tokio::select! {
        biased;
        response = &mut response => Ok(response?.status()),
        closed = &mut connection => {
            closed?;
            Ok(response.await?.status())
        }
    }
}

/// The body of a report, `{"windowNumber":...,"counts":{...}}`, the same bytes for the same report.
fn encode_report(call: &PlatformCall) -> Option<String> {
    let mut counts = Vec::with_capacity(call.counts.len());
    for count in &call.counts {
        let tenant = JsonValue::String(count.tenant.clone()).stringify().ok()?;
        counts.push(format!("{tenant}:{}", count.requests));
    }
    let (window, counts) = (call.window.0, counts.join(","));
    Some(format!(
        r#"{{"windowNumber":{window},"counts":{{{counts}}}}}"#
    ))
}

#[cfg(test)]
mod tests;
