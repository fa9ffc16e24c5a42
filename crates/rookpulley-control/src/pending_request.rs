//! Requests that wait for the chain.

use crate::reply_kind::ReplyKind;

/// Who waits for the chain's outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PendingRequest {
    /// A caller, who gets a reply of this kind.
    Caller(ReplyKind),
    /// The controller itself.
    Internal(InternalPurpose),
}

/// Why the controller itself has sent a request to the chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum InternalPurpose {
    /// Reads the version of the newest configuration for the proxies that asked for it.
    Verification,
    /// Asks for the lease of a duty.
    DutyLease,
    /// Changes usage or a duty; the outcome shows in the replicated state.
    DutyUpdate,
    /// Records usage counts of proxies.
    Usage,
}
