//! Cells, watches, numbers and configurations against a model that keeps the whole past and searches it.

use super::{moved, run_cases};
use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_state::{Answer, Limits, Query, StateMachine, Update, WatchResult};
use std::collections::BTreeMap;

/// Small, so that runs reach every bound.
fn bounds() -> Limits {
    Limits {
        group_events: 8,
        keep_ms: 3_000,
        promised_ms: 1_500,
        history_bytes: 1_400,
        ..Limits::default()
    }
}

struct Put {
    name: String,
    value: String,
    at_ms: u64,
}

#[derive(Default)]
struct Model {
    now_ms: u64,
    groups: BTreeMap<String, Vec<Put>>,
    numbers: BTreeMap<String, u64>,
    configuration: Option<(u64, Vec<u8>)>,
}

impl Model {
    fn puts(&self, group: &str) -> &[Put] {
        self.groups.get(group).map_or(&[], |puts| puts)
    }

    /// The key's present value with its revision.
    fn present(&self, name: &str) -> Option<(&Put, u64)> {
        (1..)
            .zip(self.puts(group_of(name)))
            .map(|(r, p)| (p, r))
            .filter(|(p, _)| p.name == name)
            .last()
    }

    fn young(&self, put: &Put) -> bool {
        put.at_ms + bounds().promised_ms >= self.now_ms
    }

    fn judge_put(&mut self, name: &str, value: &str, active: Option<u64>, answer: &Answer) {
        let (group, present) = (group_of(name), self.present(name).map_or(0, |(_, r)| r));
        let same = (1..)
            .zip(self.puts(group))
            .filter(|(_, put)| put.name == name && put.value == value)
            .last();
        if let Some((first, put)) = same
            && (first == present || self.young(put))
        {
            return assert_eq!(
                *answer,
                Answer::Revision(first),
                "a repeat gets the revision it has"
            );
        }
        match answer {
            Answer::Conflict { revision } => {
                assert_eq!(*revision, present);
                assert!(active.is_some_and(|active| active != present));
            }
            Answer::CapacityExceeded => {
                let young = self.groups.values().flatten().filter(|put| self.young(put));
                let many = self
                    .puts(group)
                    .iter()
                    .filter(|put| self.young(put))
                    .count();
                let bytes: usize = young.map(|put| put.name.len() + put.value.len() + 40).sum();
                assert!(many >= bounds().group_events || bytes + 100 > bounds().history_bytes);
            }
            Answer::Revision(revision) => {
                // An old repeat whose memory is gone may still be known.
                if same.is_some_and(|(first, _)| first == *revision) {
                    return;
                }
                assert!(
                    active.is_none_or(|active| active == present),
                    "a put over a later revision"
                );
                assert_eq!(*revision, self.puts(group).len() as u64 + 1);
                let put = Put {
                    name: name.into(),
                    value: value.into(),
                    at_ms: self.now_ms,
                };
                self.groups.entry(group.into()).or_default().push(put);
            }
            other => panic!("{other:?} is no answer to a put"),
        }
    }

    fn judge(&mut self, update: &Update, answer: &Answer) {
        match update {
            Update::PutKey {
                name,
                value,
                expected: active,
            } => self.judge_put(name, value, *active, answer),
            Update::NextNumber { name } => {
                let last = self.numbers.entry(name.clone()).or_default();
                let Answer::Number(next) = answer else {
                    panic!("{answer:?} is no number")
                };
                assert!(next > last);
                *last = *next;
            }
            Update::PutConfiguration { version, body } => {
                if self
                    .configuration
                    .as_ref()
                    .is_none_or(|(held, _)| version > held)
                {
                    self.configuration = Some((*version, body.clone()));
                }
                let held = self.configuration.as_ref().map_or(0, |(held, _)| *held);
                assert_eq!(*answer, Answer::Configured { version: held });
            }
            _ => {}
        }
    }

    fn judge_watch(&self, group: &str, after: u64, most: usize, watched: &WatchResult) {
        let puts = self.puts(group);
        let present = puts.len() as u64;
        match watched {
            WatchResult::Present { revision } => assert_eq!((after, *revision), (0, present)),
            WatchResult::Nothing { revision } => {
                assert_eq!(*revision, after);
                assert!(after >= present && after > 0);
            }
            WatchResult::TooOld => {
                assert!(
                    !self.young(&puts[after as usize]),
                    "history that was promised is gone"
                )
            }
            WatchResult::Events { events, revision } => {
                assert!(!events.is_empty() && events.len() <= most && *revision <= present);
                assert!(events.len() == most || *revision == present);
                assert_eq!(*revision, after + events.len() as u64);
                for (event, (number, put)) in
                    events.iter().zip((1..).zip(puts).skip(after as usize))
                {
                    assert_eq!(
                        (event.revision, &event.name, &event.value),
                        (number, &put.name, &put.value)
                    );
                }
            }
        }
    }

    fn judge_reads(&self, state: &StateMachine) {
        for (name, group) in NAMES {
            let seen = match state.read(&Query::Key { name: name.into() }) {
                Answer::Value { value, revision } => Some((value, revision)),
                Answer::NotFound => None,
                other => panic!("{other:?} is no cell"),
            };
            assert_eq!(
                seen,
                self.present(name)
                    .map(|(put, revision)| (put.value.clone(), revision))
            );
            let revision = Answer::Revision(self.puts(group).len() as u64);
            assert_eq!(
                state.read(&Query::Revision {
                    group: group.into()
                }),
                revision
            );
        }
        let held = match self.configuration.clone() {
            Some((version, body)) => Answer::Configuration { version, body },
            None => Answer::NotFound,
        };
        assert_eq!(state.read(&Query::Configuration), held);
    }
}

/// Keys with their groups.
const NAMES: [(&str, &str); 5] = [
    ("g1.a", "g1."),
    ("g1.b.c", "g1."),
    ("g1.", "g1."),
    ("g2.a", "g2."),
    ("plain", "plain"),
];

fn group_of(name: &str) -> &'static str {
    NAMES
        .iter()
        .find(|(key, _)| *key == name)
        .map_or("", |(_, group)| group)
}

fn draw(u: &mut Unstructured<'_>, fresh: &mut u64, model: &Model) -> Result<Update> {
    let name = u.choose(&NAMES)?.0.to_owned();
    Ok(match u.int_in_range(0..=11)? {
        0 => Update::NextNumber { name },
        1 => Update::PutConfiguration {
            version: u.int_in_range(1..=40)?,
            body: u.arbitrary()?,
        },
        2 => Update::AcquireLock {
            name,
            holder: "a".into(),
            lease_ms: u.int_in_range(0..=900)?,
        },
        3 => Update::AcquireLock {
            name,
            holder: "b".into(),
            lease_ms: u.int_in_range(0..=900)?,
        },
        _ => {
            *fresh += 1;
            let active = match u.int_in_range(0..=3)? {
                0 => Some(u.int_in_range(0..=30)?),
                1 => None,
                _ => Some(model.present(&name).map_or(0, |(_, revision)| revision)),
            };
            Update::PutKey {
                name,
                value: format!("v{fresh}"),
                expected: active,
            }
        }
    })
}

fn play(u: &mut Unstructured<'_>) -> Result<()> {
    // The other one never moves: where a move changed anything, the two would part.
    let mut state = StateMachine::new(bounds());
    let mut stays = state.clone();
    let (mut model, mut sent, mut fresh) = (Model::default(), Vec::<Update>::new(), 0);
    while !u.is_empty() {
        model.now_ms += u.int_in_range(0..=100)?;
        if u.ratio(1, 50)? {
            model.now_ms += 4_000;
        }
        let again = !sent.is_empty() && u.ratio(1, 3)?;
        let update = match again {
            true => sent[sent.len() - 1 - u.int_in_range(0..=(sent.len() - 1).min(15))?].clone(),
            false => draw(u, &mut fresh, &model)?,
        };
        let answer = state.apply(model.now_ms, &update);
        assert_eq!(stays.apply(model.now_ms, &update), answer);
        model.judge(&update, &answer);
        sent.push(update);

        let (_, group) = *u.choose(&NAMES)?;
        let (after, most) = (
            u.int_in_range(0..=model.puts(group).len() as u64 + 2)?,
            u.int_in_range(1..=15)?,
        );
        model.judge_watch(group, after, most, &state.watch(group, after, most));
        if u.ratio(1, 8)? {
            model.judge_reads(&state);
            state = moved(&state);
            assert!(state == stays);
        }
    }
    model.judge_reads(&state);
    Ok(())
}

#[test]
fn puts_watches_and_reads_are_what_a_model_that_forgets_nothing_says_through_all_moves() {
    run_cases(60, 10_000, play);
}
