//! What the head of an instance's answer is worth.

/// What matters of a head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// It bears the id of the request that it answers, once.
    pub has_request_id: bool,
    /// It has the header by which an instance says that it didn't run the request.
    pub not_executed: bool,
    /// It has a signature.
    pub is_signed: bool,
    /// Its body is encoded.
    pub is_encoded: bool,
    /// It doesn't say in two ways where its body ends.
    pub has_clear_end: bool,
}

/// What is to become of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may go to the client once its body is complete.
    Valid,
    /// The instance says that it didn't run the request.
    NotExecuted,
    /// The same, since it is another instance than the one meant.
    WrongInstance,
    /// A promise that the request wasn't run, which the instance didn't confirm by the header.
    UnconfirmedRejection,
    /// It isn't the answer to this request.
    Invalid,
}

const MISDIRECTED_REQUEST: u16 = 421;
/// Statuses that promise that the request wasn't run.
const REJECTIONS: [u16; 3] = [408, 429, 503];

/// Judges an answer by its head.
///
/// An answer is passed on only under this request's id: a late one may stand in the place of the next.
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
    if is_signed_if_needed && !head.is_encoded && head.has_clear_end {
        Verdict::Valid
    } else {
        Verdict::Invalid
    }
}
