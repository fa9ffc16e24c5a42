//! What a proxy was sent of one service's tables, and when it may be sent another.

use crate::list::{Fate, List, server_id};
use crate::module::{Module, name_as_sent};
use rookpulley::facts::ProxyId;
use rookpulley_protocol::Line;

/// A proxy gets another table so often, drains aside.
const PACE_MS: f64 = 1_000.0;
/// More often while tasks are still being heard for the first time.
const SETTLING_PACE_MS: f64 = 300.0;

#[derive(Default)]
pub struct Posted {
    /// None: nothing yet since it came in.
    pub lines: Option<Vec<Line>>,
    pub mark: u64,
    sent_ms: f64,
    /// What is to be sent may differ from what was.
    pub stale: bool,
    /// The module's marks that the next table answers.
    pub marks: Vec<u64>,
}

/// What is to be done about a proxy's table.
#[derive(PartialEq)]
pub enum Next {
    Nothing,
    Wait,
    Send(Vec<Line>),
}

pub fn hash_of(lines: &[Line]) -> u64 {
    name_as_sent(lines.iter().map(|l| (server_id(l.address), l.weight)))
}

impl Posted {
    /// Nothing was sent to one that has just come in.
    pub fn new() -> Self {
        Self {
            stale: true,
            ..Self::default()
        }
    }

    pub fn next(
        &self,
        now: f64,
        list: &List,
        module: &Module,
        proxy: ProxyId,
        settling: bool,
    ) -> Next {
        if !self.stale {
            return Next::Nothing;
        }
        let cut: Vec<Line> = module
            .lines(proxy)
            .filter_map(|(server, w)| list.line(server, w))
            .collect();
        let Some(held) = &self.lines else {
            // Whatever it may hold from before is better than nothing.
            return if cut.is_empty() {
                Next::Nothing
            } else {
                Next::Send(cut)
            };
        };
        if cut.is_empty() {
            // Tasks that nobody has heard of late are better than none; those that have gone do not.
            let kept: Vec<Line> = held
                .iter()
                .filter(|l| list.fate(l) != Fate::Gone)
                .cloned()
                .collect();
            return match kept.len() {
                same if same == held.len() => Next::Nothing,
                // Others may live that were not heard yet.
                0 if settling => Next::Wait,
                _ => Next::Send(kept),
            };
        }
        if cut == *held {
            return Next::Nothing;
        }
        let urgent = held.is_empty() || held.iter().any(|line| list.fate(line) == Fate::Gone);
        let pace_ms = if settling { SETTLING_PACE_MS } else { PACE_MS };
        if urgent || now - self.sent_ms >= pace_ms {
            Next::Send(cut)
        } else {
            Next::Wait
        }
    }

    /// Notes what is sent now; gives the module's marks that an answer to it answers.
    pub fn sent(&mut self, now: f64, mark: u64, lines: Vec<Line>) -> Vec<u64> {
        (self.lines, self.sent_ms, self.mark, self.stale) = (Some(lines), now, mark, false);
        std::mem::take(&mut self.marks)
    }
}
