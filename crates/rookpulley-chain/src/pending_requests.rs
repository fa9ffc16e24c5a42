//! Client requests that this controller has received and not answered yet.

use crate::message::RequestKind;
use std::collections::BTreeMap;

/// A request that is waiting for its reply.
pub struct PendingRequest {
    pub kind: RequestKind,
    pub body: Vec<u8>,
    pub received_ms: u64,
    /// The number of times that it was forwarded.
    pub attempt: u32,
    /// The last attempt, unless it was rejected.
    pub sent: Option<Forwarded>,
    /// The last attempt may have taken effect.
    pub may_have_taken_effect: bool,
    /// An attempt before the last one may have taken effect.
    pub earlier_may_have_taken_effect: bool,
}

/// When a request was forwarded, and in which view.
#[derive(Clone, Copy)]
pub struct Forwarded {
    pub view: u64,
    pub at_ms: u64,
}

impl PendingRequest {
    pub fn new(now: u64, kind: RequestKind, body: Vec<u8>) -> Self {
        Self {
            kind,
            body,
            received_ms: now,
            attempt: 0,
            sent: None,
            may_have_taken_effect: false,
            earlier_may_have_taken_effect: false,
        }
    }

    /// Records a new attempt.
    pub fn forwarded(&mut self, now: u64, view: u64) {
        self.earlier_may_have_taken_effect |= self.may_have_taken_effect;
        self.attempt += 1;
        self.sent = Some(Forwarded { view, at_ms: now });
        self.may_have_taken_effect = true;
    }

    /// Records that the last attempt took no effect and never will.
    pub fn rejected(&mut self) {
        self.sent = None;
        self.may_have_taken_effect = false;
    }

    /// Whether it is certain that no attempt took effect.
    pub fn had_no_effect(&self) -> bool {
        let is_read = self.kind == RequestKind::Read;
        is_read || !(self.may_have_taken_effect || self.earlier_may_have_taken_effect)
    }
}

/// The replicated time reported by the head of a view, and the local time at which it was received.
#[derive(Clone, Copy)]
pub struct HeadTime {
    pub view: u64,
    pub head: u64,
    pub at_ms: u64,
    pub heard_ms: u64,
}

/// The pending client requests of this controller, and the latest time reported by a head.
#[derive(Default)]
pub struct PendingRequests {
    /// By token.
    pub pending: BTreeMap<u64, PendingRequest>,
    head_time: Option<HeadTime>,
}

impl PendingRequests {
    /// Records the time reported by a head.
    pub fn note_head_time(&mut self, heard: HeadTime) {
        let newer = |known: HeadTime| (heard.view, heard.at_ms) >= (known.view, known.at_ms);
        if self.head_time.is_none_or(newer) {
            self.head_time = Some(heard);
        }
    }

    /// The latest time reported by the head of this view.
    pub fn head_time(&self, view: u64) -> Option<HeadTime> {
        self.head_time.filter(|known| known.view == view)
    }
}
