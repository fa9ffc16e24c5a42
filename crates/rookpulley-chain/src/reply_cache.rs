//! Cache of recent replies, for at-most-once execution of updates.
//!
//! A controller forwards a request again when the view changes. If an earlier attempt of an update took effect, a later
//! one gets the cached reply and is not applied again.

use crate::message::{Entry, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Retention in replicated time, well above the time in which all attempts of a request are made.
const RETENTION_MS: u64 = 4_000;

/// Identifies a request, independent of the attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RequestKey {
    controller: u64,
    incarnation: u64,
    token: u64,
}

impl From<&RequestId> for RequestKey {
    fn from(request: &RequestId) -> Self {
        Self {
            controller: request.controller,
            incarnation: request.incarnation,
            token: request.token,
        }
    }
}

/// Replies by request. Part of the replicated state: equal on all members after equal updates.
#[derive(Default)]
pub struct ReplyCache {
    replies: BTreeMap<RequestKey, Vec<u8>>,
    /// Recording times and keys, oldest first.
    order: VecDeque<(u64, RequestKey)>,
}

/// The encoded form of a cached reply.
#[derive(Serialize, Deserialize)]
struct CachedReply {
    at_ms: u64,
    key: RequestKey,
    reply: Vec<u8>,
}

impl ReplyCache {
    /// The reply to an earlier attempt of the same request.
    pub fn get(&self, request: &RequestId) -> Option<Vec<u8>> {
        self.replies.get(&request.into()).cloned()
    }

    /// Records a reply. Expiry depends only on the time of the entry, so it is the same on all members.
    pub fn record(&mut self, entry: &Entry, reply: &[u8]) {
        let expired = |(at_ms, _): &(u64, RequestKey)| at_ms + RETENTION_MS < entry.at_ms;
        while self.order.front().is_some_and(expired) {
            if let Some((_, key)) = self.order.pop_front() {
                self.replies.remove(&key);
            }
        }
        let key = RequestKey::from(&entry.request);
        self.replies.insert(key, reply.to_vec());
        self.order.push_back((entry.at_ms, key));
    }

    /// Encodes the cache, followed by the bytes of the state.
    pub fn encode_with_state(&self, state: &[u8]) -> Vec<u8> {
        let to_reply = |(at_ms, key): &(u64, RequestKey)| {
            Some(CachedReply {
                at_ms: *at_ms,
                key: *key,
                reply: self.replies.get(key)?.clone(),
            })
        };
        let cached: Vec<CachedReply> = self.order.iter().filter_map(to_reply).collect();
        let mut bytes = postcard::to_allocvec(&cached).unwrap_or_default();
        bytes.extend_from_slice(state);
        bytes
    }

    /// Decodes the cache, and returns it with the remaining bytes, which are those of the state.
    pub fn decode(bytes: &[u8]) -> Option<(Self, &[u8])> {
        let (cached, rest) = postcard::take_from_bytes::<Vec<CachedReply>>(bytes).ok()?;
        let order = cached
            .iter()
            .map(|reply| (reply.at_ms, reply.key))
            .collect();
        let replies = cached
            .into_iter()
            .map(|reply| (reply.key, reply.reply))
            .collect();
        Some((Self { replies, order }, rest))
    }
}
