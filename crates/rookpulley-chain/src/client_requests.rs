//! Calls that were asked of this controller: handed to the head, answered by the tail, given up in time.

use crate::chain::Chain;
use crate::message::{Message, RequestId};
use crate::{Effect, Outcome, RequestKind, State};
use std::collections::BTreeMap;

/// Callers go elsewhere after a second of silence.
const GIVE_UP_MS: u64 = 850;
/// A read that isn't answered is asked again; it changes nothing.
const READ_AGAIN_MS: u64 = 300;
/// A head's time older than this is not worth sending.
const LEDGER_MS: u64 = 700;
/// One that was asleep so long can't tell how old a call is that lay in a socket meanwhile; what comes within so much
/// after it woke lay there.
const ASLEEP_MS: u64 = 300;
const WAKING_MS: u64 = 100;

struct Pending {
    kind: RequestKind,
    body: Vec<u8>,
    asked_ms: u64,
    attempt: u32,
    /// The view that it was last sent in, and when.
    sent: Option<(u64, u64)>,
    /// The last try, or one before it, may have taken effect.
    maybe: bool,
    ghost: bool,
}

#[derive(Default)]
pub struct PendingRequests {
    pending: BTreeMap<u64, Pending>,
    /// The view, its head, and the time that was heard from it at that moment of our clock.
    ledger: Option<(u64, u64, u64, u64)>,
}

impl PendingRequests {
    pub fn heard_ledger(&mut self, view: u64, head: u64, at_ms: u64, now: u64) {
        if self
            .ledger
            .is_none_or(|(known, _, at, _)| (view, at_ms) >= (known, at))
        {
            self.ledger = Some((view, head, at_ms, now));
        }
    }

    /// The newest time that was heard from the head of this view.
    pub fn ledger_of(&self, view: u64) -> Option<u64> {
        self.ledger
            .filter(|(of, ..)| *of == view)
            .map(|(_, _, at_ms, _)| at_ms)
    }
}

impl<S: State> Chain<S> {
    pub(crate) fn call(&mut self, now: u64, token: u64, kind: RequestKind, body: Vec<u8>) {
        let asleep = now > self.ticked_ms + ASLEEP_MS || now < self.woke_ms + WAKING_MS;
        if asleep {
            return self.out.push(Effect::Reply {
                token,
                outcome: Outcome::Rejected,
            });
        }
        let pending = Pending {
            kind,
            body,
            asked_ms: now,
            attempt: 0,
            sent: None,
            maybe: false,
            ghost: false,
        };
        self.calls.pending.insert(token, pending);
        self.forward(now, token);
    }

    fn forward(&mut self, now: u64, token: u64) {
        let Some(view) = self.view().filter(|_| self.is_at_work()) else {
            return;
        };
        let (number, Some(head)) = (view.number, view.head().copied()) else {
            return;
        };
        let heard = self
            .calls
            .ledger
            .filter(|(v, h, _, at)| (*v, *h) == (number, head.id) && now < at + LEDGER_MS);
        let echo = if head.id == self.me.id {
            self.ledger_time(now)
        } else {
            heard.map(|(_, _, at, _)| at)
        };
        let (Some(echo), Some(pending)) = (echo, self.calls.pending.get_mut(&token)) else {
            return;
        };
        pending.ghost |= pending.maybe;
        (pending.attempt, pending.sent, pending.maybe) =
            (pending.attempt + 1, Some((number, now)), true);
        let from = RequestId {
            controller: self.me.id,
            incarnation: self.me.incarnation,
            token,
            attempt: pending.attempt,
        };
        let (kind, body, age_ms) = (
            pending.kind,
            pending.body.clone(),
            now.saturating_sub(pending.asked_ms),
        );
        self.send(
            now,
            head.id,
            Message::Forward {
                view: number,
                echo,
                age_ms,
                from,
                kind,
                body,
            },
        );
    }

    pub(crate) fn refused(&mut self, from: RequestId) {
        let pending = self.calls.pending.get_mut(&from.token);
        if let Some(pending) =
            pending.filter(|p| p.attempt == from.attempt && from.incarnation == self.me.incarnation)
        {
            (pending.sent, pending.maybe) = (None, false);
        }
    }

    pub(crate) fn answered(
        &mut self,
        now: u64,
        from: RequestId,
        (view, committed): (u64, u64),
        body: Vec<u8>,
    ) {
        // Where the copy here is older than the answer, that is mended at once.
        if committed > self.flow.committed {
            self.take_commit(view, committed);
            self.fetch_up_to(now, committed);
        }
        if from.incarnation == self.me.incarnation
            && self.calls.pending.remove(&from.token).is_some()
        {
            self.out.push(Effect::Reply {
                token: from.token,
                outcome: Outcome::Completed(body),
            });
        }
    }

    pub(crate) fn tend_calls(&mut self, now: u64) {
        let late = self
            .calls
            .pending
            .extract_if(.., |_, p| now >= p.asked_ms + GIVE_UP_MS);
        for (token, pending) in late.collect::<Vec<_>>() {
            // A read takes no effect, whatever became of it.
            let none = pending.kind == RequestKind::Read || !(pending.maybe || pending.ghost);
            let outcome = if none {
                Outcome::Rejected
            } else {
                Outcome::Unknown
            };
            self.out.push(Effect::Reply { token, outcome });
        }
        self.forward_due(now);
    }

    /// Hands on what waits for a head, and in a new view what may have been lost with the one before. The head's
    /// chain knows a call that has taken effect already.
    pub(crate) fn forward_due(&mut self, now: u64) {
        let decided = self.decided();
        let due = |p: &Pending| match p.sent {
            None => true,
            Some((view, at)) => {
                view != decided || (p.kind == RequestKind::Read && now >= at + READ_AGAIN_MS)
            }
        };
        let again: Vec<u64> = self
            .calls
            .pending
            .iter()
            .filter(|(_, p)| due(p))
            .map(|(token, _)| *token)
            .collect();
        again.into_iter().for_each(|token| self.forward(now, token));
    }
}
