//! Client requests received by this controller: forwarded to the head, answered by the tail, with a timeout.
//!
//! Invariant: a request is rejected only if no attempt of it has taken effect or ever will.

use super::Chain;
use crate::effect::{Effect, Outcome};
use crate::message::{ForwardedRequest, Message, RequestId, RequestKind};
use crate::pending_requests::{HeadTime, PendingRequest};
use crate::state::State;

/// Below the one second after which a caller turns to another controller.
const REQUEST_TIMEOUT_MS: u64 = 850;
/// The time after which an unanswered read is forwarded again, which is safe because reads have no effect.
const READ_RETRY_MS: u64 = 300;
/// A head time received longer ago than this is not used, because it would overstate the age of a request.
const MAX_HEAD_TIME_AGE_MS: u64 = 700;
/// After a stall of this length, requests that were buffered in a socket are of unknown age. Those received up to
/// `STALL_GRACE_MS` after it are rejected.
const STALL_MS: u64 = 300;
const STALL_GRACE_MS: u64 = 100;

impl<S: State> Chain<S> {
    pub(super) fn handle_client_request(
        &mut self,
        now: u64,
        token: u64,
        kind: RequestKind,
        body: Vec<u8>,
    ) {
        let has_stalled =
            now > self.last_tick_ms + STALL_MS || now < self.resumed_ms + STALL_GRACE_MS;
        if has_stalled {
            return self.reply(token, Outcome::Rejected);
        }
        let request = PendingRequest::new(now, kind, body);
        self.requests.pending.insert(token, request);
        self.forward(now, token);
    }

    fn reply(&mut self, token: u64, outcome: Outcome) {
        self.effects.push(Effect::Reply { token, outcome });
    }

    /// Forwards a request to the head of the newest view, if that view is active and the head's time is known.
    fn forward(&mut self, now: u64, token: u64) {
        let Some(view) = self.view().filter(|_| self.is_view_active()) else {
            return;
        };
        let number = view.number;
        let Some(head) = view.head().copied() else {
            return;
        };
        let is_fresh =
            |heard: &HeadTime| heard.head == head.id && now < heard.heard_ms + MAX_HEAD_TIME_AGE_MS;
        let head_time = if head.id == self.me.id {
            self.replicated_time(now)
        } else {
            let heard = self.requests.head_time(number).filter(is_fresh);
            heard.map(|heard| heard.at_ms)
        };
        let Some(echo) = head_time else {
            return;
        };
        let Some(pending) = self.requests.pending.get_mut(&token) else {
            return;
        };
        pending.forwarded(now, number);
        let forwarded = ForwardedRequest {
            view: number,
            echo,
            age_ms: now.saturating_sub(pending.received_ms),
            request: RequestId {
                controller: self.me.id,
                incarnation: self.me.incarnation,
                token,
                attempt: pending.attempt,
            },
            kind: pending.kind,
            body: pending.body.clone(),
        };
        self.send(now, head.id, Message::Forward(forwarded));
    }

    pub(super) fn handle_reject(&mut self, request: RequestId) {
        let is_ours = request.incarnation == self.me.incarnation;
        let pending = self.requests.pending.get_mut(&request.token);
        if let Some(pending) = pending.filter(|p| is_ours && p.attempt == request.attempt) {
            pending.rejected();
        }
    }

    pub(super) fn handle_response(
        &mut self,
        now: u64,
        request: RequestId,
        view: u64,
        committed: u64,
        body: Vec<u8>,
    ) {
        // Local reads after this reply must not return older state.
        if committed > self.replication.committed {
            self.handle_commit(view, committed);
            self.request_catch_up_to(now, committed);
        }
        let is_ours = request.incarnation == self.me.incarnation;
        if is_ours && self.requests.pending.remove(&request.token).is_some() {
            self.reply(request.token, Outcome::Completed(body));
        }
    }

    pub(super) fn tick_client_requests(&mut self, now: u64) {
        let is_expired =
            |_: &u64, request: &mut PendingRequest| now >= request.received_ms + REQUEST_TIMEOUT_MS;
        let expired: Vec<(u64, PendingRequest)> =
            self.requests.pending.extract_if(.., is_expired).collect();
        for (token, request) in expired {
            let outcome = if request.had_no_effect() {
                Outcome::Rejected
            } else {
                Outcome::Unknown
            };
            self.reply(token, outcome);
        }
        self.forward_due(now);
    }

    /// Forwards requests that wait for a head, and repeats those that may have been lost with an earlier view. The
    /// reply cache prevents an update from being applied twice.
    pub(super) fn forward_due(&mut self, now: u64) {
        let decided = self.decided();
        let is_due = |request: &PendingRequest| match request.sent {
            None => true,
            Some(sent) => {
                let is_read = request.kind == RequestKind::Read;
                sent.view != decided || (is_read && now >= sent.at_ms + READ_RETRY_MS)
            }
        };
        let due = self.requests.pending.iter();
        let due = due.filter(|(_, request)| is_due(request));
        let tokens: Vec<u64> = due.map(|(token, _)| *token).collect();
        for token in tokens {
            self.forward(now, token);
        }
    }
}
