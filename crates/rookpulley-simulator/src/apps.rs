//! Stand-ins for applications: locks, numbers, cells and those who watch them.

use crate::callers::{Call, Who};
use crate::record::{AppCall, Asked, Got, Hold, WatchPart};
use crate::world::{What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rookpulley_control::{Content, Endpoint, Reply};
use std::collections::HashMap;
use std::ops::Range;
use tinyjson::JsonValue;

const LOCKS: u32 = 2;
const NUMBERS: u32 = 2;
const GROUPS: u32 = 2;
const KEYS: u32 = 3;
const WITHIN: Us = 4 * S;

struct Held {
    lock: String,
    fence: u64,
    hold: usize,
    hold_ms: u64,
}

/// Time from a crash of an application until it runs again.
const RESTART: Range<Us> = 10 * MS..250 * MS;

#[derive(Default)]
pub struct App {
    held: Option<Held>,
    /// The lock to acquire first after a crash, and for how long.
    lock_before_crash: Option<(String, u64)>,
    /// Under way: its number in the record.
    call: Option<usize>,
    seen: HashMap<String, u64>,
    values: u64,
}

#[derive(Default)]
pub struct Watcher {
    group: String,
    after: u64,
}

fn field(reply: &Reply, name: &str) -> Option<u64> {
    match &reply.content {
        Content::Json(JsonValue::Object(fields)) => match fields.get(name) {
            Some(JsonValue::Number(n)) => Some(*n as u64),
            _ => None,
        },
        _ => None,
    }
}

fn value_of(reply: &Reply) -> Option<String> {
    match &reply.content {
        Content::Json(JsonValue::Object(fields)) => match fields.get("value") {
            Some(JsonValue::String(text)) => Some(text.clone()),
            _ => None,
        },
        _ => None,
    }
}

fn events_of(reply: &Reply) -> Vec<(String, String, u64)> {
    let Content::Json(JsonValue::Object(fields)) = &reply.content else {
        return Vec::new();
    };
    let Some(JsonValue::Array(events)) = fields.get("events") else {
        return Vec::new();
    };
    let one = |event: &JsonValue| {
        let JsonValue::Object(fields) = event else {
            return None;
        };
        match (
            fields.get("name"),
            fields.get("value"),
            fields.get("revision"),
        ) {
            (
                Some(JsonValue::String(n)),
                Some(JsonValue::String(v)),
                Some(JsonValue::Number(r)),
            ) => Some((n.clone(), v.clone(), *r as u64)),
            _ => None,
        }
    };
    events.iter().filter_map(one).collect()
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

    fn winding_up(&self) -> bool {
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
        self.call(Who::App(app), endpoint, name, body, Vec::new(), (WITHIN, 0));
    }

    pub fn app_acts(&mut self, app: usize) {
        if self.winding_up() && self.apps[app].held.is_none() {
            return;
        }
        let now = self.now;
        if let Some(held) = &self.apps[app].held {
            let (lock, fence, hold, hold_ms) =
                (held.lock.clone(), held.fence, held.hold, held.hold_ms);
            let until = self.record.holds[hold].until;
            if now >= until {
                self.apps[app].held = None;
                return self.after(20 * MS, None, What::App(app));
            }
            // Some die while holding.
            if self.chance(25) {
                self.apps[app].held = None;
                self.record.holds[hold].until = now;
                return self.after(until - now, None, What::App(app));
            }
            if self.chance(2) {
                let body =
                    format!("{{\"holder\":\"a{app}\",\"fence\":{fence},\"holdMs\":{hold_ms}}}");
                return self.app_calls(
                    app,
                    Asked::Renew { hold },
                    Endpoint::RenewLock,
                    &lock,
                    body,
                );
            }
            self.record.holds[hold].until = now;
            self.apps[app].held = None;
            let body = format!("{{\"holder\":\"a{app}\",\"fence\":{fence}}}");
            if self.day.shape.holders_crash && self.chance(2) {
                return self.app_crashes_amid_release(app, lock, hold_ms, body);
            }
            return self.app_calls(app, Asked::Drop, Endpoint::ReleaseLock, &lock, body);
        }
        if let Some((lock, hold_ms)) = self.apps[app].lock_before_crash.take() {
            return self.app_acquires(app, &lock, hold_ms);
        }
        match self.rng.random_range(0..10u32) {
            0..=2 => {
                let lock = format!("l{}", self.rng.random_range(0..LOCKS));
                let hold_ms = self.rng.random_range(300..3_000u64);
                self.app_acquires(app, &lock, hold_ms);
            }
            3 | 4 => {
                let name = format!("n{}", self.rng.random_range(0..NUMBERS));
                self.app_calls(app, Asked::Number, Endpoint::NextNumber, &name, "{}".into());
            }
            5..=7 => {
                let name = self.cell();
                self.apps[app].values += 1;
                let value = format!("v{app}-{}", self.apps[app].values);
                let active = self
                    .chance(2)
                    .then(|| self.apps[app].seen.get(&name).copied().unwrap_or(0));
                let body = match active {
                    Some(active) => format!("{{\"value\":\"{value}\",\"active\":{active}}}"),
                    None => format!("{{\"value\":\"{value}\"}}"),
                };
                self.app_calls(
                    app,
                    Asked::Put { value, active },
                    Endpoint::PutKey,
                    &name,
                    body,
                );
            }
            _ => {
                let name = self.cell();
                self.app_calls(app, Asked::Get, Endpoint::GetKey, &name, String::new());
            }
        }
    }

    fn app_acquires(&mut self, app: usize, lock: &str, hold_ms: u64) {
        let body = format!("{{\"holder\":\"a{app}\",\"holdMs\":{hold_ms}}}");
        let asked = Asked::Take { hold_ms };
        self.app_calls(app, asked, Endpoint::AcquireLock, lock, body);
    }

    /// Sends a release, and crashes without waiting for the answer.
    fn app_crashes_amid_release(&mut self, app: usize, lock: String, hold_ms: u64, body: String) {
        let no_retry = (0, 0);
        self.call(
            Who::CrashedApp,
            Endpoint::ReleaseLock,
            &lock,
            body,
            Vec::new(),
            no_retry,
        );
        self.apps[app].lock_before_crash = Some((lock, hold_ms));
        let down_us = self.rng.random_range(RESTART);
        self.after(down_us, None, What::App(app));
    }

    fn cell(&mut self) -> String {
        format!(
            "g{}.k{}",
            self.rng.random_range(0..GROUPS),
            self.rng.random_range(0..KEYS)
        )
    }

    pub fn app_answered(&mut self, app: usize, call: &Call, reply: Option<&Reply>) {
        let now = self.now;
        let Some(number) = self.apps[app].call.take() else {
            return;
        };
        let asked = self.record.calls[number].asked.clone();
        let name = call.name.clone();
        let got = match (reply, &asked) {
            (None, _) => Got::Nothing,
            (Some(reply), _) if reply.status == 412 => {
                Got::Conflict(field(reply, "revision").unwrap_or(0))
            }
            (Some(reply), Asked::Get) if reply.status == 404 => Got::Read(None),
            (Some(reply), _) if reply.status != 200 => Got::No(reply.status),
            (Some(reply), Asked::Take { .. }) => Got::Fence(field(reply, "fence").unwrap_or(0)),
            (Some(reply), Asked::Number) => Got::Number(field(reply, "value").unwrap_or(0)),
            (Some(reply), Asked::Put { .. }) => {
                Got::Revision(field(reply, "revision").unwrap_or(0))
            }
            (Some(reply), Asked::Get) => Got::Read(
                value_of(reply).map(|value| (value, field(reply, "revision").unwrap_or(0))),
            ),
            (Some(_), _) => Got::Done,
        };
        match (&asked, &got) {
            (Asked::Take { hold_ms }, Got::Fence(fence)) => {
                // It counts itself holder from the answer until its time since the call is over.
                let until = call.sent_us + hold_ms * MS;
                if until > now {
                    let hold = self.record.holds.len();
                    self.record.holds.push(Hold {
                        app,
                        lock: name.clone(),
                        fence: *fence,
                        from: now,
                        until,
                        asked: call.first_us,
                    });
                    let held = Held {
                        lock: name.clone(),
                        fence: *fence,
                        hold,
                        hold_ms: *hold_ms,
                    };
                    self.apps[app].held = Some(held);
                }
            }
            (Asked::Renew { hold }, Got::Done) => {
                let hold_ms = self.apps[app].held.as_ref().map_or(0, |held| held.hold_ms);
                let until = call.sent_us + hold_ms * MS;
                let of = &mut self.record.holds[*hold];
                if now < of.until {
                    of.until = of.until.max(until);
                } else {
                    self.apps[app].held = None;
                }
            }
            (Asked::Renew { hold }, Got::No(_)) => {
                let of = &mut self.record.holds[*hold];
                of.until = of.until.min(now);
                self.apps[app].held = None;
            }
            (_, Got::Revision(revision)) => _ = self.apps[app].seen.insert(name.clone(), *revision),
            (_, Got::Conflict(revision)) => _ = self.apps[app].seen.insert(name.clone(), *revision),
            (_, Got::Read(Some((_, revision)))) => {
                _ = self.apps[app].seen.insert(name.clone(), *revision)
            }
            _ => {}
        }
        let of = &mut self.record.calls[number];
        (of.done, of.got, of.indeterminate) = (Some(now), got, call.indeterminate);
        let holds = self.apps[app].held.is_some();
        let pause_ms = match self.day.shape.holders_crash && holds {
            true => 100..1_500u64,
            false => 10..160,
        };
        let us = self.rng.random_range(pause_ms) * MS;
        self.after(us, None, What::App(app));
    }

    // ---- watches ----------------------------------------------------------------------------

    pub fn watcher_acts(&mut self, watcher: usize) {
        let of = &self.watchers[watcher];
        let (group, after) = (of.group.clone(), of.after);
        let query = vec![("after", after.to_string()), ("waitMs", "800".to_string())];
        self.call(
            Who::Watcher(watcher),
            Endpoint::Watch,
            &group,
            String::new(),
            query,
            (WITHIN, 800 * MS),
        );
    }

    pub fn watcher_answered(&mut self, watcher: usize, call: &Call, reply: Option<&Reply>) {
        let group = call.name.clone();
        if let Some(reply) = reply {
            let after = self.watchers[watcher].after;
            let revision = field(reply, "revision").unwrap_or(0);
            let status = reply.status;
            let events = events_of(reply);
            self.record.watches.push(WatchPart {
                group,
                after,
                revision,
                status,
                events,
                sent: call.first_us,
            });
            if status == 200 {
                self.watchers[watcher].after = revision;
            }
        }
        self.after(5 * MS, None, What::Watch(watcher));
    }

    // ---- the end of the day -----------------------------------------------------------------

    /// Keys are read back, numbers asked for, locks too.
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
                Asked::Number,
                Endpoint::NextNumber,
                format!("n{number}"),
                "{}".into(),
            );
        }
    }

    pub fn last_answered(&mut self, number: usize, call: &Call, reply: Option<&Reply>) {
        let got = match (reply, &self.record.calls[number].asked) {
            (Some(reply), Asked::Get) if reply.status == 404 => Got::Read(None),
            (Some(reply), _) if reply.status != 200 => Got::No(reply.status),
            (Some(reply), Asked::Number) => Got::Number(field(reply, "value").unwrap_or(0)),
            (Some(reply), _) => Got::Read(
                value_of(reply).map(|value| (value, field(reply, "revision").unwrap_or(0))),
            ),
            (None, _) => Got::Nothing,
        };
        let of = &mut self.record.calls[number];
        (of.done, of.got, of.indeterminate) = (Some(self.now), got, call.indeterminate);
    }
}
