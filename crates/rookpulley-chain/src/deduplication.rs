//! Calls that were answered lately. A controller whose view has changed asks again; what took effect must not do so twice.

use crate::message::{Entry, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Much longer than the tries of one call last, by the ledger's time.
const KEEP_MS: u64 = 4_000;

/// The controller, its incarnation, its token: one call, whichever of its tries.
type RequestKey = (u64, u64, u64);

#[derive(Default)]
pub struct ReplyCache {
    answers: BTreeMap<RequestKey, Vec<u8>>,
    order: VecDeque<(u64, RequestKey)>,
}

#[derive(Serialize, Deserialize)]
struct Row {
    at_ms: u64,
    key: RequestKey,
    answer: Vec<u8>,
}

fn key(from: &RequestId) -> RequestKey {
    (from.controller, from.incarnation, from.token)
}

impl ReplyCache {
    /// What the same call was answered before, if it has taken effect already.
    pub fn answer(&self, from: &RequestId) -> Option<Vec<u8>> {
        self.answers.get(&key(from)).cloned()
    }

    /// By the stamps alone, so that all members remember the same.
    pub fn note(&mut self, entry: &Entry, answer: &[u8]) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| at + KEEP_MS < entry.at_ms)
        {
            if let Some((_, key)) = self.order.pop_front() {
                self.answers.remove(&key);
            }
        }
        let key = key(&entry.from);
        self.answers.insert(key, answer.to_vec());
        self.order.push_back((entry.at_ms, key));
    }

    /// Its bytes, with the state's own behind them.
    pub fn before(&self, state: &[u8]) -> Vec<u8> {
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

    /// Takes its own bytes off and gives those of the state.
    pub fn parse(bytes: &[u8]) -> Option<(Self, &[u8])> {
        let (rows, rest) = postcard::take_from_bytes::<Vec<Row>>(bytes).ok()?;
        let order = rows.iter().map(|r| (r.at_ms, r.key)).collect();
        let answers = rows.into_iter().map(|r| (r.key, r.answer)).collect();
        Some((Self { answers, order }, rest))
    }
}
