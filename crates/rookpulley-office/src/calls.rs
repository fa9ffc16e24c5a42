//! The calls of tasks, the operator and applications: which they are, what is asked of them, how they are answered.

use crate::hub::{Hub, Taken, Told};
use crate::show::{self, Part};
use rookpulley_addressbook::Book;
use rookpulley_counter::{Bounds, Call, Match, Reply, Tree, query};
use rookpulley_ledger::{Answer, Ask, Update, Watched};
use rookpulley_sorting::Beat;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tinyjson::JsonValue;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Path {
    Beat,
    Leave,
    PutConfiguration,
    GetConfiguration,
    TakeLock,
    RenewLock,
    DropLock,
    Number,
    PutCell,
    GetCell,
    Watch,
    /// Read only, and of this office alone.
    Show(Part),
}

fn tree() -> Result<Tree<Path>, rookpulley_counter::TreeError> {
    Tree::new(&[
        ("PUT /rookpulley/instances/{}", Path::Beat),
        ("DELETE /rookpulley/instances/{}", Path::Leave),
        ("PUT /rookpulley/configuration", Path::PutConfiguration),
        ("GET /rookpulley/configuration", Path::GetConfiguration),
        ("POST /rookpulley/locks/{}", Path::TakeLock),
        ("PUT /rookpulley/locks/{}", Path::RenewLock),
        ("DELETE /rookpulley/locks/{}", Path::DropLock),
        ("POST /rookpulley/numbers/{}", Path::Number),
        ("PUT /rookpulley/cells/{}", Path::PutCell),
        ("GET /rookpulley/cells/{}", Path::GetCell),
        ("GET /rookpulley/watch/{}", Path::Watch),
        ("GET /rookpulley/show/view", Path::Show(Part::View)),
        ("GET /rookpulley/show/tasks", Path::Show(Part::Tasks)),
        ("GET /rookpulley/show/tasks/{}", Path::Show(Part::Tasks)),
        ("GET /rookpulley/show/tables", Path::Show(Part::Tables)),
        ("GET /rookpulley/show/tables/{}", Path::Show(Part::Tables)),
        ("GET /rookpulley/show/couriers", Path::Show(Part::Couriers)),
        ("GET /rookpulley/show/ledger", Path::Show(Part::Ledger)),
        ("GET /rookpulley/show/counters", Path::Show(Part::Counters)),
    ])
}

/// No watch waits longer, whatever it asks for.
const WATCH_MOST_MS: u64 = 30_000;
const WATCH_EVENTS: usize = 1_000;

pub struct Calls {
    hub: Rc<Hub>,
    tree: Tree<Path>,
}

type Fields = HashMap<String, JsonValue>;

/// What is wrong with a call, as its caller is told.
type Wrong = Reply;

fn fields(call: &Call) -> Result<Fields, Wrong> {
    match call.json()? {
        JsonValue::Object(fields) => Ok(fields),
        _ => Err(Reply::error(400, "the body is no object; send one JSON object")),
    }
}

fn text(fields: &Fields, name: &str) -> Result<String, Wrong> {
    match fields.get(name) {
        Some(JsonValue::String(text)) if !text.is_empty() => Ok(text.clone()),
        _ => Err(Reply::error(400, &format!("{name} is missing or no text; give it as a string"))),
    }
}

fn whole(fields: &Fields, name: &str) -> Result<u64, Wrong> {
    match fields.get(name) {
        Some(JsonValue::Number(n)) if *n >= 0.0 && *n <= 9e15 && n.fract() == 0.0 => Ok(*n as u64),
        _ => Err(Reply::error(400, &format!("{name} is missing or no whole number from 0 up"))),
    }
}

pub fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(fields.into_iter().map(|(name, value)| (name.into(), value)).collect())
}

pub fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

/// Nothing was done and never will be.
fn later() -> Reply {
    let reply = Reply::error(503, "not now: this office is not in touch with the others; nothing was done");
    reply.with("Retry-After", "0.2")
}

/// No promise either way.
fn unknown() -> Reply {
    Reply::error(504, "no answer in time: it may or may not have taken effect; send the same call again")
}

impl Calls {
    pub fn new(hub: Rc<Hub>) -> Result<Rc<Calls>, rookpulley_counter::TreeError> {
        Ok(Rc::new(Calls { hub, tree: tree()? }))
    }

    /// Takes calls until it is told to stop.
    pub fn serve(self: &Rc<Calls>, listener: TcpListener, stopped: watch::Receiver<bool>) -> JoinHandle<()> {
        let calls = self.clone();
        let handler = Rc::new(move |call| {
            let calls = calls.clone();
            async move { calls.answer(call).await }
        });
        tokio::task::spawn_local(rookpulley_counter::serve(listener, Bounds::default(), stopped, handler))
    }

    pub async fn answer(&self, call: Call) -> Reply {
        let (path, reply) = match self.tree.lookup(&call.method, &call.path) {
            Match::Nothing => (None, Reply::error(404, "there is no such call")),
            Match::WrongMethod => (None, Reply::error(405, "there is no such call with this method")),
            Match::Found(path, name) => {
                (Some(path), self.take(path, &name, call).await.unwrap_or_else(|wrong| wrong))
            }
        };
        self.hub.counts.call(path, reply.status);
        reply
    }

    async fn take(&self, path: Path, name: &str, call: Call) -> Result<Reply, Wrong> {
        let hub = &self.hub;
        let name = || name.to_string();
        Ok(match path {
            Path::Beat => {
                let beat =
                    Beat::read(&name(), &call.body).map_err(|why| Reply::error(400, &why.to_string()))?;
                taken(hub.beat(beat).await, Reply::json(200, &object([])))
            }
            Path::Leave => taken(hub.leave(&name()).await, Reply::empty(200)),
            Path::PutConfiguration => {
                let book = Book::read(&call.body).map_err(|why| {
                    tracing::info!("calls: a configuration was refused: {why}");
                    Reply::error(400, &why.to_string())
                })?;
                let version = book.version;
                match hub.update(&Update::PutConfiguration { version, body: call.body }).await {
                    Told::Answer(Answer::Configured { .. }) => {
                        Reply::json(200, &object([("configVersion", number(version))]))
                    }
                    other => not_done(other),
                }
            }
            Path::GetConfiguration => match hub.ask(&Ask::Configuration).await {
                Told::Answer(Answer::Configuration { body, .. }) => Reply::bytes(200, body),
                Told::Answer(Answer::Nothing) => Reply::error(404, "no configuration was taken yet"),
                other => not_done(other),
            },
            Path::TakeLock => {
                let f = fields(&call)?;
                let (holder, hold_ms) = (text(&f, "holder")?, whole(&f, "holdMs")?);
                lock(hub.update(&Update::TakeLock { name: name(), holder, hold_ms }).await)
            }
            Path::RenewLock => {
                let f = fields(&call)?;
                let (holder, fence, hold_ms) =
                    (text(&f, "holder")?, whole(&f, "fence")?, whole(&f, "holdMs")?);
                lock(hub.update(&Update::RenewLock { name: name(), holder, fence, hold_ms }).await)
            }
            Path::DropLock => {
                let f = fields(&call)?;
                let (holder, fence) = (text(&f, "holder")?, whole(&f, "fence")?);
                lock(hub.update(&Update::DropLock { name: name(), holder, fence }).await)
            }
            Path::Number => match hub.update(&Update::NextNumber { name: name() }).await {
                Told::Answer(Answer::Number(value)) => Reply::json(200, &object([("value", number(value))])),
                other => not_done(other),
            },
            Path::PutCell => {
                let f = fields(&call)?;
                let value = text(&f, "value")?;
                let active = f.contains_key("active").then(|| whole(&f, "active")).transpose()?;
                match hub.update(&Update::PutCell { name: name(), value, active }).await {
                    Told::Answer(Answer::Revision(r)) => Reply::json(200, &object([("revision", number(r))])),
                    Told::Answer(Answer::Conflict { revision }) => {
                        Reply::json(412, &object([("revision", number(revision))]))
                    }
                    other => not_done(other),
                }
            }
            Path::GetCell => match hub.ask(&Ask::Cell { name: name() }).await {
                Told::Answer(Answer::Cell { value, revision }) => Reply::json(
                    200,
                    &object([("value", JsonValue::String(value)), ("revision", number(revision))]),
                ),
                Told::Answer(Answer::Nothing) => Reply::error(404, "there is no such cell"),
                other => not_done(other),
            },
            Path::Watch => self.watch(&name(), &call.query).await?,
            Path::Show(part) => show::answer(hub, part, &name()),
        })
    }

    async fn watch(&self, group: &str, asked: &str) -> Result<Reply, Wrong> {
        let wrong = |what| Reply::error(400, what);
        let after = query(asked, "after").map_or(Ok(0), str::parse::<u64>);
        let after = after.map_err(|_| wrong("after is no whole number"))?;
        let wait_ms = query(asked, "waitMs").map_or(Ok(0), str::parse::<u64>);
        let wait_ms = wait_ms.map_err(|_| wrong("waitMs is no whole number"))?.min(WATCH_MOST_MS);
        let shown = |events: Vec<JsonValue>, revision| {
            Reply::json(200, &object([("events", JsonValue::Array(events)), ("revision", number(revision))]))
        };
        if after == 0 {
            // Where a watcher begins must be no older than what it may have seen acknowledged.
            return Ok(match self.hub.ask(&Ask::Revision { group: group.into() }).await {
                Told::Answer(Answer::Revision(revision)) => shown(Vec::new(), revision),
                other => not_done(other),
            });
        }
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let moved = self.hub.applied.notified();
            tokio::pin!(moved);
            moved.as_mut().enable();
            match self.hub.with_ledger(|l| l.watch(group, after, WATCH_EVENTS)) {
                Watched::Present { revision } => return Ok(shown(Vec::new(), revision)),
                Watched::TooOld => {
                    return Ok(Reply::error(410, "what followed this revision is no longer kept"));
                }
                Watched::Events { events, revision } => {
                    let show = |e: rookpulley_ledger::Event| {
                        object([
                            ("name", JsonValue::String(e.name)),
                            ("value", JsonValue::String(e.value)),
                            ("revision", number(e.revision)),
                        ])
                    };
                    return Ok(shown(events.into_iter().map(show).collect(), revision));
                }
                Watched::Nothing { .. } if !self.hub.serving() || self.hub.ending.get() => return Ok(later()),
                Watched::Nothing { revision } => {
                    let now = tokio::time::Instant::now();
                    if now >= until {
                        return Ok(shown(Vec::new(), revision.max(after)));
                    }
                    // Whether this office is still in touch is looked at now and then.
                    let look = until.min(now + Duration::from_millis(500));
                    _ = tokio::time::timeout_at(look, moved).await;
                }
            }
        }
    }
}

/// Only what did nothing may be promised to have done nothing.
fn taken(taken: Taken, known: Reply) -> Reply {
    match taken {
        Taken::Known => known,
        Taken::HereAlone => unknown(),
        Taken::Not => later(),
    }
}

fn lock(told: Told) -> Reply {
    match told {
        Told::Answer(Answer::Fence(fence)) => Reply::json(200, &object([("fence", number(fence))])),
        Told::Answer(Answer::Dropped | Answer::Renewed) => Reply::json(200, &object([])),
        Told::Answer(Answer::Held) => Reply::error(409, "another holds it, or it was lost"),
        other => not_done(other),
    }
}

fn not_done(told: Told) -> Reply {
    match told {
        Told::Unknown => unknown(),
        Told::Refused => later(),
        Told::Answer(Answer::TooLong) => {
            Reply::error(413, "a name, holder, value or body is too long; nothing was done")
        }
        Told::Answer(Answer::Full) => Reply::error(503, "there is no room for more; nothing was done"),
        Told::Answer(_) => Reply::error(400, "the call does not fit what it names"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_that_only_this_office_knows_is_not_promised_to_have_done_nothing() {
        let status = |word| taken(word, Reply::empty(200)).status;
        assert_eq!([Taken::Known, Taken::HereAlone, Taken::Not].map(status), [200, 504, 503]);
    }
}
