//! The calls at the end of a scenario: every key is read and every number sequence asked once more.

use super::replies::outcome_of;
use super::{GROUPS, KEYS, NUMBERS};
use crate::MS;
use crate::callers::{Call, Who};
use crate::record::{AppCall, Asked, Got};
use crate::world::World;
use rookpulley_control::{Endpoint, Reply};

impl World {
    /// Reads all keys and requests a number of each sequence.
    pub fn apps_end(&mut self) {
        let mut last = |asked: Asked, endpoint: Endpoint, name: String, body: String| {
            let number = self.record.calls.len();
            self.record.calls.push(AppCall {
                asked,
                name: name.clone(),
                sent: self.now,
                done: None,
                got: Got::Nothing,
                indeterminate: false,
            });
            self.record.last.push(number);
            self.call(
                Who::Last(number),
                endpoint,
                &name,
                body,
                Vec::new(),
                (3_300 * MS, 0),
            );
        };
        for group in 0..GROUPS {
            for key in 0..KEYS {
                last(
                    Asked::Get,
                    Endpoint::GetKey,
                    format!("g{group}.k{key}"),
                    String::new(),
                );
            }
        }
        for number in 0..NUMBERS {
            last(
                Asked::NextNumber,
                Endpoint::NextNumber,
                format!("n{number}"),
                "{}".into(),
            );
        }
    }

    pub fn last_answered(&mut self, number: usize, call: &Call, reply: Option<&Reply>) {
        let call_record = &mut self.record.calls[number];
        call_record.got = outcome_of(&call_record.asked, reply);
        call_record.done = Some(self.now);
        call_record.indeterminate = call.indeterminate;
    }
}
