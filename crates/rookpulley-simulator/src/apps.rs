//! Simulated applications, which use locks, number sequences and keys.
//!
//! `watchers` has those that watch keys, `final_calls` the calls at the end of a scenario, and `replies` reads replies.

mod final_calls;
mod replies;
mod watchers;

use crate::callers::{Call, Who};
use crate::record::{AppCall, Asked, Got, Hold};
use crate::world::{What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use replies::outcome_of;
use rookpulley_control::{Endpoint, Reply};
use std::collections::HashMap;
use std::ops::Range;

const LOCKS: u32 = 2;
const NUMBERS: u32 = 2;
const GROUPS: u32 = 2;
const KEYS: u32 = 3;
/// How long a call is repeated before it counts as unanswered.
const CALL_TIMEOUT: Us = 4 * S;
/// Time from a crash of an application until it runs again.
const RESTART: Range<Us> = 10 * MS..250 * MS;

/// A lock that an application holds.
#[derive(Clone)]
struct HeldLock {
    name: String,
    fence: u64,
    /// Index in `record.holds`.
    hold: usize,
    lease_ms: u64,
}

#[derive(Default)]
pub struct App {
    held: Option<HeldLock>,
    /// The lock to acquire first after a crash, and for how long.
    lock_before_crash: Option<(String, u64)>,
    /// The call in progress, by its index in `record.calls`.
    call: Option<usize>,
    /// The last seen revision of each key.
    revisions: HashMap<String, u64>,
    /// Number of values put, which makes each one unique.
    values: u64,
}

#[derive(Default)]
pub struct Watcher {
    group: String,
    after: u64,
}

impl World {
    pub fn begin_apps(&mut self) {
        for app in 0..self.day.apps {
            self.apps.push(App::default());
            self.after(2 * S + app as u64 * 37 * MS, None, What::App(app));
        }
        if self.day.apps > 0 {
            for group in 0..GROUPS {
                self.watchers.push(Watcher {
                    group: format!("g{group}."),
                    after: 0,
                });
                self.after(2 * S, None, What::Watch(group as usize));
            }
            self.after((self.day.length_ms - 4_000) * MS, None, What::AppsEnd);
        }
    }

    /// Whether applications begin nothing new, so that the final calls see a settled state.
    fn apps_are_finishing(&self) -> bool {
        self.now + 4_500 * MS >= self.day.length_ms * MS
    }

    fn app_calls(
        &mut self,
        app: usize,
        asked: Asked,
        endpoint: Endpoint,
        name: &str,
        body: String,
    ) {
        let number = self.record.calls.len();
        self.record.calls.push(AppCall {
            asked,
            name: name.into(),
            sent: self.now,
            done: None,
            got: Got::Nothing,
            indeterminate: false,
        });
        self.apps[app].call = Some(number);
        let timeouts = (CALL_TIMEOUT, 0);
        self.call(Who::App(app), endpoint, name, body, Vec::new(), timeouts);
    }

    pub fn app_acts(&mut self, app: usize) {
        if let Some(held) = self.apps[app].held.clone() {
            return self.app_uses_lock(app, held);
        }
        if self.apps_are_finishing() {
            return;
        }
        if let Some((lock, lease_ms)) = self.apps[app].lock_before_crash.take() {
            return self.app_acquires(app, &lock, lease_ms);
        }
        match self.rng.random_range(0..10u32) {
            0..=2 => {
                let lock = format!("l{}", self.rng.random_range(0..LOCKS));
                let lease_ms = self.rng.random_range(300..3_000u64);
                self.app_acquires(app, &lock, lease_ms);
            }
            3 | 4 => {
                let name = format!("n{}", self.rng.random_range(0..NUMBERS));
                let endpoint = Endpoint::NextNumber;
                self.app_calls(app, Asked::NextNumber, endpoint, &name, "{}".into());
            }
            5..=7 => self.app_puts(app),
            _ => {
                let name = self.draw_key();
                self.app_calls(app, Asked::Get, Endpoint::GetKey, &name, String::new());
            }
        }
    }

    /// Lets the lease expire, dies, renews, releases, or crashes amid a release.
    fn app_uses_lock(&mut self, app: usize, held: HeldLock) {
        let now = self.now;
        let until = self.record.holds[held.hold].until;
        if now >= until {
            self.apps[app].held = None;
            return self.after(20 * MS, None, What::App(app));
        }
        // Some die while holding.
        if self.chance(25) {
            self.app_hold_ends(app, held.hold);
            return self.after(until - now, None, What::App(app));
        }
        if self.chance(2) {
            return self.app_renews(app, &held);
        }
        self.app_hold_ends(app, held.hold);
        let body = format!("{{\"holder\":\"a{app}\",\"fence\":{}}}", held.fence);
        if self.day.shape.holders_crash && self.chance(2) {
            return self.app_crashes_amid_release(app, held, body);
        }
        let endpoint = Endpoint::ReleaseLock;
        self.app_calls(app, Asked::Release, endpoint, &held.name, body);
    }

    fn app_hold_ends(&mut self, app: usize, hold: usize) {
        let until = &mut self.record.holds[hold].until;
        *until = self.now.min(*until);
        self.apps[app].held = None;
    }

    fn app_acquires(&mut self, app: usize, lock: &str, lease_ms: u64) {
        let body = format!("{{\"holder\":\"a{app}\",\"holdMs\":{lease_ms}}}");
        let asked = Asked::Acquire { lease_ms };
        self.app_calls(app, asked, Endpoint::AcquireLock, lock, body);
    }

    fn app_renews(&mut self, app: usize, held: &HeldLock) {
        let HeldLock {
            name,
            fence,
            hold,
            lease_ms,
        } = held;
        let body = format!("{{\"holder\":\"a{app}\",\"fence\":{fence},\"holdMs\":{lease_ms}}}");
        let asked = Asked::Renew { hold: *hold };
        self.app_calls(app, asked, Endpoint::RenewLock, name, body);
    }

    /// Sends a release, and crashes without waiting for the answer.
    fn app_crashes_amid_release(&mut self, app: usize, held: HeldLock, body: String) {
        let (who, endpoint, no_retry) = (Who::CrashedApp, Endpoint::ReleaseLock, (0, 0));
        self.call(who, endpoint, &held.name, body, Vec::new(), no_retry);
        self.apps[app].lock_before_crash = Some((held.name, held.lease_ms));
        let down_us = self.rng.random_range(RESTART);
        self.after(down_us, None, What::App(app));
    }

    /// Puts a unique value to a random key, half of the time on the condition that it has the last seen revision.
    fn app_puts(&mut self, app: usize) {
        let name = self.draw_key();
        self.apps[app].values += 1;
        let value = format!("v{app}-{}", self.apps[app].values);
        let is_conditional = self.chance(2);
        let active =
            is_conditional.then(|| self.apps[app].revisions.get(&name).copied().unwrap_or(0));
        let body = match active {
            Some(active) => format!("{{\"value\":\"{value}\",\"active\":{active}}}"),
            None => format!("{{\"value\":\"{value}\"}}"),
        };
        let asked = Asked::Put { value, active };
        self.app_calls(app, asked, Endpoint::PutKey, &name, body);
    }

    fn draw_key(&mut self) -> String {
        format!(
            "g{}.k{}",
            self.rng.random_range(0..GROUPS),
            self.rng.random_range(0..KEYS)
        )
    }

    pub fn app_answered(&mut self, app: usize, call: &Call, reply: Option<&Reply>) {
        let Some(number) = self.apps[app].call.take() else {
            return;
        };
        let asked = self.record.calls[number].asked.clone();
        let got = outcome_of(&asked, reply);
        match (&asked, &got) {
            (Asked::Acquire { lease_ms }, Got::Fence(fence)) => {
                self.app_acquired(app, call, *fence, *lease_ms);
            }
            (Asked::Renew { hold }, Got::Done) => self.app_renewed(app, call, *hold),
            (Asked::Renew { hold }, Got::No(_)) => {
                self.app_hold_ends(app, *hold);
            }
            (_, Got::Revision(revision) | Got::Conflict(revision))
            | (_, Got::Read(Some((_, revision)))) => {
                let revisions = &mut self.apps[app].revisions;
                revisions.insert(call.name.clone(), *revision);
            }
            _ => {}
        }
        let call_record = &mut self.record.calls[number];
        call_record.done = Some(self.now);
        call_record.got = got;
        call_record.indeterminate = call.indeterminate;
        let pause = self.draw_app_pause(app);
        self.after(pause, None, What::App(app));
    }

    /// An application counts itself holder from the answer until its lease, counted from when it sent the call, is over.
    fn app_acquired(&mut self, app: usize, call: &Call, fence: u64, lease_ms: u64) {
        let until = call.sent_us + lease_ms * MS;
        if until <= self.now {
            return;
        }
        let hold = self.record.holds.len();
        self.record.holds.push(Hold {
            app,
            lock: call.name.clone(),
            fence,
            from: self.now,
            until,
            asked: call.first_us,
        });
        self.apps[app].held = Some(HeldLock {
            name: call.name.clone(),
            fence,
            hold,
            lease_ms,
        });
    }

    /// A renewal that is answered after the end of the lease counts for nothing.
    fn app_renewed(&mut self, app: usize, call: &Call, hold: usize) {
        let held = self.apps[app].held.as_ref();
        let lease_ms = held.map_or(0, |held| held.lease_ms);
        let hold = &mut self.record.holds[hold];
        if self.now < hold.until {
            hold.until = hold.until.max(call.sent_us + lease_ms * MS);
        } else {
            self.apps[app].held = None;
        }
    }

    /// Time until the next call of an application. One that may crash keeps its locks for longer.
    fn draw_app_pause(&mut self, app: usize) -> Us {
        let holds = self.apps[app].held.is_some();
        let pause_ms = if self.day.shape.holders_crash && holds {
            100..1_500u64
        } else {
            10..160
        };
        self.rng.random_range(pause_ms) * MS
    }
}
