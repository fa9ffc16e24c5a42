//! Validation of the response head of an instance.

/// Relevant properties of a response head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// The response carries the request's id exactly once.
    pub has_request_id: bool,
    /// The response has the header that reports that the request was not executed.
    pub not_executed: bool,
    /// The response has a signature.
    pub is_signed: bool,
    /// The body is encoded.
    pub is_encoded: bool,
    /// The body length is specified unambiguously.
    pub has_unambiguous_length: bool,
}

/// Result of validating a response head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The response can be forwarded once its body is complete.
    Valid,
    /// The instance reported that it did not execute the request.
    NotExecuted,
    /// A different instance answered and did not execute the request.
    WrongInstance,
    /// The status implies that the request was not executed, but the header that confirms it is missing.
    UnconfirmedRejection,
    /// The response is invalid or does not belong to this request.
    Invalid,
}

const MISDIRECTED_REQUEST: u16 = 421;
/// Statuses that imply that the request was not executed.
const REJECTIONS: [u16; 3] = [408, 429, 503];

/// Validates a response head.
///
/// The request id must match, since a late response could otherwise be taken for the response to the next request.
pub fn evaluate(head: ResponseHead) -> Verdict {
    if !head.has_request_id || head.status < 200 {
        return Verdict::Invalid;
    }
    if head.status == MISDIRECTED_REQUEST {
        return Verdict::WrongInstance;
    }
    let is_success = (200..300).contains(&head.status);
    if head.not_executed {
        return if is_success {
            Verdict::Invalid
        } else {
            Verdict::NotExecuted
        };
    }
    if REJECTIONS.contains(&head.status) {
        return Verdict::UnconfirmedRejection;
    }
    let is_signed_if_needed = head.is_signed || !is_success;
    if is_signed_if_needed && !head.is_encoded && head.has_unambiguous_length {
        Verdict::Valid
    } else {
        Verdict::Invalid
    }
}
