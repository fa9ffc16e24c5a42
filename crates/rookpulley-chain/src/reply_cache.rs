//! Answers that were given lately.
//!
//! A controller forwards a request again when the view has changed. The second attempt of an update that has taken
//! effect gets the first one's answer, and must not take effect twice.

use crate::message::{Entry, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Much longer than all attempts of one request take, in replicated time.
const KEEP_MS: u64 = 4_000;

/// A request, whichever of its attempts.
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

/// A part of the replicated state: equal on all members after equal updates.
#[derive(Default)]
pub struct ReplyCache {
    answers: BTreeMap<RequestKey, Vec<u8>>,
    /// When each was recorded, oldest first.
    order: VecDeque<(u64, RequestKey)>,
}

/// An answer as it is stored.
#[derive(Serialize, Deserialize)]
struct Row {
    at_ms: u64,
    key: RequestKey,
    answer: Vec<u8>,
}

impl ReplyCache {
    /// The answer of an earlier attempt of the same request.
    pub fn answer(&self, request: &RequestId) -> Option<Vec<u8>> {
        self.answers.get(&request.into()).cloned()
    }

    /// Records an answer. Older ones are forgotten by the time of this entry alone, so that all members forget alike.
    pub fn record(&mut self, entry: &Entry, answer: &[u8]) {
        let expired = |(at_ms, _): &(u64, RequestKey)| at_ms + KEEP_MS < entry.at_ms;
        while self.order.front().is_some_and(expired) {
            if let Some((_, key)) = self.order.pop_front() {
                self.answers.remove(&key);
            }
        }
        let key = RequestKey::from(&entry.request);
        self.answers.insert(key, answer.to_vec());
        self.order.push_back((entry.at_ms, key));
    }

    /// Its own bytes with those of the state behind them.
    pub fn encode_before(&self, state: &[u8]) -> Vec<u8> {
        let row = |(at_ms, key): &(u64, RequestKey)| {
            Some(Row {
                at_ms: *at_ms,
                key: *key,
                answer: self.answers.get(key)?.clone(),
            })
        };
        let rows: Vec<Row> = self.order.iter().filter_map(row).collect();
        let mut bytes = postcard::to_allocvec(&rows).unwrap_or_default();
        bytes.extend_from_slice(state);
        bytes
    }

    /// Reads its own bytes, and returns those of the state behind them.
    pub fn decode(bytes: &[u8]) -> Option<(Self, &[u8])> {
        let (rows, rest) = postcard::take_from_bytes::<Vec<Row>>(bytes).ok()?;
        let order = rows.iter().map(|row| (row.at_ms, row.key)).collect();
        let answers = rows.into_iter().map(|row| (row.key, row.answer)).collect();
        Some((Self { answers, order }, rest))
    }
}
