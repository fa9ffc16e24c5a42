//! Heartbeats and drains of tasks: taken, kept on disk, and known elsewhere before a drain is acknowledged.

use super::{CONFIRM_WITHIN_MS, Caller, Confirm, Controller, Effect, Noted};
use crate::calls::{Taken, taken};
use crate::word::Word;
use rookpulley_chain::Record;
use rookpulley_registry::{Heartbeat, News, Outcome as Sorted, Standing, Word as Spread};

/// An incarnation and the last that matters of it, as it stands on the disk.
fn note_of(news: &News) -> Record {
    let incarnation = match news {
        News::Heartbeat { heartbeat, .. } => heartbeat.incarnation.as_str(),
        News::Gone { incarnation, .. } => incarnation.as_str(),
        News::Heard { .. } => "",
    };
    Record::Put {
        key: incarnation.into(),
        value: postcard::to_allocvec(news).unwrap_or_default(),
    }
}

impl Controller {
    /// Takes a heartbeat.
    pub(super) fn heartbeat(&mut self, now: f64, token: u64, heartbeat: Heartbeat) {
        if !self.registry.takes_heartbeats(now) {
            return self.taken((token, true), Taken::Not);
        }
        let draining = heartbeat.draining;
        self.tally.heartbeat(draining);
        let incarnation = heartbeat.incarnation.clone();
        let sorted = self.registry.heartbeat(now, heartbeat);
        self.sorted(now, sorted);
        // A drain is acknowledged only once it is known elsewhere, also when it is told again.
        if draining {
            self.drain_known(now, (token, true), incarnation);
        } else {
            self.taken((token, true), Taken::Known);
        }
    }

    pub(super) fn leave(&mut self, now: f64, token: u64, incarnation: &str) {
        let sorted = self.registry.leave(now, incarnation);
        self.sorted(now, sorted);
        self.drain_known(now, (token, false), incarnation.into());
    }

    pub(super) fn taken(&mut self, (token, heartbeat): Caller, word: Taken) {
        self.out.push(Effect::Reply {
            token,
            reply: taken(word, heartbeat),
        });
    }

    /// An incarnation that drains or ends: once that is known elsewhere it need not be asked about again.
    pub(super) fn drain_known(&mut self, now: f64, caller: Caller, incarnation: String) {
        if self.drains.is_known(&incarnation) {
            return self.taken(caller, Taken::Known);
        }
        self.known_elsewhere(now, caller, incarnation);
    }

    /// Carries out what came of a heartbeat or of news.
    pub(super) fn sorted(&mut self, now: f64, sorted: Sorted) {
        if let Spread::Now(news) = sorted.word {
            self.note(vec![note_of(&news)], None);
            self.send_all(&Word::News {
                ask: 0,
                news: vec![news],
            });
        }
        self.tell_gone(now, sorted.newly_draining.into_iter().collect());
    }

    /// Writes what is known of tasks. After a crash it is where the registry begins: heartbeats alone would take a while,
    /// and a drain that was acknowledged must hold.
    pub(super) fn note(&mut self, records: Vec<Record>, then: Option<Noted>) {
        self.notes += 1;
        let ticket = self.notes;
        self.noting.extend(then.map(|then| (ticket, then)));
        self.out.push(Effect::Note { ticket, records });
    }

    pub(super) fn noted(&mut self, now: f64, ticket: u64) {
        let due: Vec<_> = self.noting.extract_if(.., |(t, _)| *t <= ticket).collect();
        for (_, then) in due {
            match then {
                Noted::Tell { to, ask } => self.send_to(to, &Word::Took { ask }),
                Noted::Done { ask } => {
                    self.confirms
                        .get_mut(&ask)
                        .into_iter()
                        .for_each(|confirm| confirm.noted = true);
                    self.confirmed(now, ask);
                }
            }
        }
    }

    /// Once heartbeats have had time to come, what is noted of incarnations that are unknown now is dropped.
    pub(super) fn tidy_notes(&mut self) {
        let incarnations = std::mem::take(&mut self.incarnations);
        let gone = |key: &Vec<u8>| {
            let incarnation = std::str::from_utf8(key).unwrap_or_default();
            self.registry.standing(incarnation) == Standing::Unknown
        };
        let drops = incarnations
            .into_iter()
            .filter(|(key, _)| gone(key))
            .map(|(key, _)| Record::Delete { key });
        let drops: Vec<Record> = drops.collect();
        if !drops.is_empty() {
            self.note(drops, None);
        }
    }

    /// Waits until as many others know as may be lost: then the word reaches every proxy in touch whatever
    /// becomes of this machine, and it may be acknowledged.
    pub(super) fn known_elsewhere(&mut self, now: f64, caller: Caller, incarnation: String) {
        let others = self
            .chain
            .view()
            .map_or(0, |v| v.members.len().saturating_sub(1));
        if !self.in_touch(now) {
            return self.taken(caller, Taken::HereAlone);
        }
        let ask = self.number();
        let told = !self.drains.ask(ask, others);
        let until_ms = now + CONFIRM_WITHIN_MS;
        self.confirms.insert(
            ask,
            Confirm {
                caller,
                incarnation: incarnation.clone(),
                until_ms,
                noted: false,
                told,
            },
        );
        self.send_all(&Word::News {
            ask,
            news: vec![News::Gone {
                incarnation,
                age_ms: 0.0,
            }],
        });
        self.note(Vec::new(), Some(Noted::Done { ask }));
    }

    /// Answers a drain that is on the disk here and known to enough others.
    pub(super) fn confirmed(&mut self, now: f64, ask: u64) {
        if !self
            .confirms
            .get(&ask)
            .is_some_and(|confirm| confirm.noted && confirm.told)
        {
            return;
        }
        let Some(confirm) = self.confirms.remove(&ask) else {
            return;
        };
        self.drains.over(ask);
        let known = self.in_touch(now);
        if known {
            self.drains.known(now, confirm.incarnation);
        }
        self.taken(
            confirm.caller,
            if known {
                Taken::Known
            } else {
                Taken::HereAlone
            },
        );
    }

    /// Those that took too long to be known elsewhere.
    pub(super) fn unconfirmed(&mut self, now: f64) {
        let late: Vec<(u64, Confirm)> = self
            .confirms
            .extract_if(.., |_, c| c.until_ms <= now)
            .collect();
        for (ask, confirm) in late {
            self.drains.over(ask);
            self.taken(confirm.caller, Taken::HereAlone);
        }
    }
}
