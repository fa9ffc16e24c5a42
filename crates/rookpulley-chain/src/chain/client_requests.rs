//! Requests of clients that this controller was asked: forwarded to the head, answered by the tail, given up in time.
//!
//! Invariant: a request is rejected only if no attempt of it has taken effect or ever will.

use super::Chain;
use crate::effect::{Effect, Outcome};
use crate::message::{ForwardedRequest, Message, RequestId, RequestKind};
use crate::pending_requests::{HeadTime, PendingRequest};
use crate::state::State;

/// A caller goes elsewhere after a second of silence.
const REQUEST_TIMEOUT_MS: u64 = 850;
/// A read that isn't answered is forwarded again; it changes nothing.
const READ_RETRY_MS: u64 = 300;
/// A head's time that was heard longer ago would make a request seem older than it is.
const MAX_HEAD_TIME_AGE_MS: u64 = 700;
/// A process that did not run for so long can't tell how old a request is that lay in a socket meanwhile. Whatever comes
/// within `WAKE_GRACE_MS` after it runs again lay there.
const STALL_MS: u64 = 300;
const WAKE_GRACE_MS: u64 = 100;

impl<S: State> Chain<S> {
    pub(super) fn handle_client_request(
        &mut self,
        now: u64,
        token: u64,
        kind: RequestKind,
        body: Vec<u8>,
    ) {
        let has_stalled = now > self.ticked_ms + STALL_MS || now < self.woke_ms + WAKE_GRACE_MS;
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

    /// Forwards a request to the head of the newest view, if that is active and its time is known.
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
        // What is shown here is to be as new as the answer that was given here.
        if committed > self.replication.committed {
            self.handle_commit(view, committed);
            self.catch_up_to(now, committed);
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

    /// Forwards what waits for a head, and in a new view what may have been lost with the one before. An attempt that
    /// took effect is known to the head's chain (`reply_cache`).
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
