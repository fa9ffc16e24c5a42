//! A request from its head to its answer: checked, routed, tried as often as it may be.

use crate::answers;
use crate::attempt::{Answer, Ended, Errand, How, Trial};
use crate::bodies::{self, Parcel, Reply, Upload};
use crate::check;
use crate::ear::Watch;
use crate::span::{Chunks, Span};
use crate::state::Courier;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::{Request, Response};
use rookpulley_addressbook::Limits;
use rookpulley_round::{Fate, Next, Round};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::time::timeout_at;

/// A request's body up to this length is read whole before anything is sent on.
const READ_WHOLE: usize = 64 << 10;
/// When clients are to come again before a configuration is known.
const UNKNOWN_MS: f64 = 200.0;

/// Counts among what is at work as long as it lives.
struct Counted(Rc<Courier>);

impl Counted {
    fn new(courier: &Rc<Courier>) -> Counted {
        courier.at_work.set(courier.at_work.get() + 1);
        Counted(courier.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.at_work.set(self.0.at_work.get().saturating_sub(1));
    }
}

/// A request is at work as long as this lives.
pub struct AtWork {
    watch: Rc<Watch>,
    _counted: Counted,
}

impl AtWork {
    fn new(courier: &Rc<Courier>, watch: &Rc<Watch>, body: Span) -> AtWork {
        watch.begins(body);
        AtWork { watch: watch.clone(), _counted: Counted::new(courier) }
    }
}

impl Drop for AtWork {
    fn drop(&mut self) {
        self.watch.ends();
    }
}

/// Tells, once dropped, that the client is gone.
struct Leaves(Rc<Cell<bool>>);

impl Drop for Leaves {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

pub async fn serve(courier: Rc<Courier>, watch: Rc<Watch>, request: Request<Incoming>) -> Response<Reply> {
    let body = request.body().size_hint().exact().map_or(Span::Chunks(Chunks::Start), Span::Length);
    let work = AtWork::new(&courier, &watch, body);
    let mut answer = carry(&courier, &watch, request).await;
    // What the client still sends isn't read to its end.
    if courier.ending.get() || watch.unread() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer.body_mut().keep(work);
    answer
}

async fn carry(courier: &Rc<Courier>, watch: &Watch, request: Request<Incoming>) -> Response<Reply> {
    let arrived_ms = courier.now_ms();
    let (mut head, body) = request.into_parts();
    let book = courier.book();
    let limits = book.as_ref().map_or_else(Limits::default, |book| book.limits);
    let checked = match check::check(&head, watch, limits) {
        Ok(checked) => checked,
        Err(status) => return answers::last(status),
    };
    let Some(book) = book else { return answers::own(503, Some(UNKNOWN_MS)) };
    let Some(route) = book.route(&checked.host, head.uri.path()) else { return answers::own(404, None) };
    let unit = courier.post.borrow_mut().unit();
    let Some(service) = route.draw(unit).and_then(|index| book.service(index)) else {
        return answers::own(503, Some(UNKNOWN_MS));
    };
    let until_ms = arrived_ms + checked.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    courier.tally.borrow_mut().came(&service.name);
    courier.budget(&service.name, |budget| budget.request(arrived_ms));
    let parcel = match gather(courier, body, checked.length, limits, until_ms).await {
        Ok(parcel) => parcel,
        Err(status) => return answers::last(status),
    };
    check::strip(&mut head.headers);
    head.headers.remove(EXPECT);
    let errand = Errand {
        courier: courier.clone(),
        method: head.method,
        target: head.uri,
        headers: head.headers,
        id: checked.id,
        service: Rc::from(service.name.as_str()),
        kind: route.kind,
        attempts: route.attempts,
        aim_ms: route.aim_ms,
        until_ms,
        max_connections: service.max_connections,
    };
    let gone = Rc::new(Cell::new(false));
    if !errand.once() {
        return tries(errand, parcel, gone).await;
    }
    // A task that has begun on it may finish though the client has left: its work is done once and not broken off.
    let (_leaves, counted) = (Leaves(gone.clone()), Counted::new(courier));
    let work = tokio::task::spawn_local(async move {
        let _counted = counted;
        tries(errand, parcel, gone).await
    });
    work.await.unwrap_or_else(|_| answers::own(502, None))
}

/// The body whole, if it is short; else what there is of it, to be passed on as it comes.
async fn gather(
    courier: &Courier,
    mut body: Incoming,
    length: Option<u64>,
    limits: Limits,
    until_ms: f64,
) -> Result<Parcel, u16> {
    if body.is_end_stream() {
        return Ok(Parcel::Whole(Bytes::new()));
    }
    let wanted = length.map_or(READ_WHOLE, |length| usize::try_from(length).unwrap_or(usize::MAX));
    let held = (wanted <= READ_WHOLE).then(|| courier.hold_sent(wanted)).flatten();
    let Some(held) = held else {
        return Ok(Parcel::stream(VecDeque::new(), body, limits.body_bytes));
    };
    let read = match timeout_at(courier.instant(until_ms), bodies::read(&mut body, READ_WHOLE)).await {
        Err(_) => return Err(408),
        Ok(Err(_)) => return Err(400),
        Ok(Ok(read)) => read,
    };
    let left = limits.body_bytes.checked_sub(read.bytes as u64).ok_or(413u16)?;
    if read.whole {
        return Ok(Parcel::Whole(held.around(read.joined())));
    }
    Ok(Parcel::stream(read.chunks, body, left))
}

/// `gone` turns true when the client leaves: nothing is begun for it any more.
async fn tries(errand: Errand, parcel: Parcel, gone: Rc<Cell<bool>>) -> Response<Reply> {
    let (courier, name) = (&errand.courier, &*errand.service);
    let unit = courier.post.borrow_mut().unit();
    let mut round = Round::new(errand.kind, errand.attempts, errand.until_ms, unit);
    if parcel.again().is_none() {
        round.only_once();
    }
    let mut parcel = Some(parcel);
    loop {
        let now_ms = courier.now_ms();
        let pick =
            if gone.get() { None } else { courier.post.borrow_mut().pick(name, &round, errand.kind, now_ms) };
        let (Some(pick), Some(body)) = (pick, parcel.take()) else {
            let next = courier.budget(name, |budget| round.no_task(now_ms, budget));
            return give_up(courier, name, next);
        };
        parcel = body.again();
        round.goes_to(&pick.line.life);
        let (to, habit_ms) = (pick.line.clone(), pick.habit_ms);
        let trial = Trial::new(courier, &errand.service, pick);
        let (left, upload) = (Cell::new(false), body.upload());
        let patience_ms = round.patience_ms(now_ms, errand.aim_ms, habit_ms);
        let ended = {
            let mut work = std::pin::pin!(errand.attempt(&to, body, &left));
            let first_ms = patience_ms.unwrap_or(errand.until_ms);
            match timeout_at(courier.instant(first_ms), work.as_mut()).await {
                Ok(ended) => Some(ended),
                Err(_) if patience_ms.is_none() || elsewhere(courier, name, &round) => None,
                Err(_) => timeout_at(courier.instant(errand.until_ms), work).await.ok(),
            }
        };
        let ended = ended.unwrap_or_else(|| Ended {
            how: match upload {
                Some(upload) if left.get() && upload.get() == Upload::Waits => How::Client(504),
                _ if left.get() => How::Fate(Fate::TimedOut),
                _ => How::Fate(Fate::Unsent),
            },
            answer: None,
            parcel: None,
        });
        let fate = match ended.how {
            How::Fate(fate) => fate,
            How::Full => Fate::Unsent,
            How::Stranger => Fate::NotExecuted,
            How::Client(status) => {
                trial.end(ended.how);
                return answers::last(status);
            }
        };
        let answer = match ended.answer {
            Some(Answer::Begun(head, mut stream)) => {
                stream.trial = Some(trial);
                Some(Response::from_parts(head, Reply::stream(*stream)))
            }
            Some(Answer::Whole(answer)) => {
                trial.end(ended.how);
                Some(answer)
            }
            None => {
                trial.end(ended.how);
                None
            }
        };
        if ended.parcel.is_some() {
            parcel = ended.parcel;
        }
        let now_ms = courier.now_ms();
        let another = parcel.is_some() && courier.post.borrow().another(name, &round);
        let next = courier.budget(name, |budget| round.settle(fate, now_ms, another, budget));
        match (next, answer) {
            (Next::Try, _) => {}
            (Next::Pass, Some(answer)) => {
                if answer.status().is_server_error() {
                    courier.tally.borrow_mut().failed(name);
                }
                return answer;
            }
            (next, _) => return give_up(courier, name, next),
        }
    }
}

/// Whether a try that takes long may be broken off for one that goes to another task.
fn elsewhere(courier: &Courier, service: &str, round: &Round) -> bool {
    let now_ms = courier.now_ms();
    !courier.ending.get()
        && courier.post.borrow().another(service, round)
        && courier.budget(service, |budget| budget.has(now_ms))
}

fn give_up(courier: &Courier, service: &str, next: Next) -> Response<Reply> {
    courier.tally.borrow_mut().failed(service);
    match next {
        Next::Refuse { retry_after_ms } => answers::own(503, Some(retry_after_ms)),
        Next::TimedOut => answers::own(504, None),
        Next::Try | Next::Pass | Next::BadGateway => answers::own(502, None),
    }
}
