//! A request from its head to its answer: checked, routed, tried as often as it may be.

use crate::answers;
use crate::attempt::{Answer, Ended, Errand, How, Trial};
use crate::bodies::{self, Parcel, Reply};
use crate::check::{self, Checked};
use crate::ear::Watch;
use crate::state::{Courier, Held};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::{Request, Response};
use rookpulley_addressbook::{Limits, Route, RouteKind, Service};
use rookpulley_round::{Fate, Next, Round};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::timeout_at;

/// A request's body up to this length is read whole before anything is sent on.
const READ_WHOLE: usize = 64 << 10;
/// When clients are to come again before a configuration is known.
const UNKNOWN_MS: f64 = 200.0;

/// A request is at work as long as this lives.
pub struct AtWork {
    courier: Rc<Courier>,
    watch: Rc<Watch>,
}

impl AtWork {
    fn new(courier: &Rc<Courier>, watch: &Rc<Watch>) -> AtWork {
        courier.at_work.set(courier.at_work.get() + 1);
        watch.begins();
        AtWork { courier: courier.clone(), watch: watch.clone() }
    }
}

impl Drop for AtWork {
    fn drop(&mut self) {
        self.courier.at_work.set(self.courier.at_work.get().saturating_sub(1));
        self.watch.ends();
    }
}

pub async fn serve(courier: Rc<Courier>, watch: Rc<Watch>, request: Request<Incoming>) -> Response<Reply> {
    let work = AtWork::new(&courier, &watch);
    let mut answer = carry(&courier, &watch, request).await;
    if courier.ending.get() {
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
    let (parcel, _held) = match gather(courier, body, &checked, limits, until_ms).await {
        Ok(gathered) => gathered,
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
        once: route.kind == RouteKind::Mutating,
        until_ms,
        max_connections: service.max_connections,
    };
    tries(errand, parcel, route, service).await
}

/// The body whole, if it is short; else what there is of it, to be passed on as it comes.
async fn gather(
    courier: &Rc<Courier>,
    mut body: Incoming,
    checked: &Checked,
    limits: Limits,
    until_ms: f64,
) -> Result<(Parcel, Option<Held>), u16> {
    let wanted = checked.length.map_or(READ_WHOLE, |length| usize::try_from(length).unwrap_or(usize::MAX));
    let held = if wanted <= READ_WHOLE { courier.hold(wanted) } else { None };
    let most = if held.is_some() { READ_WHOLE } else { 0 };
    if held.is_none() && wanted > 0 {
        let parcel = Parcel::Stream { chunks: Default::default(), rest: body, left: limits.body_bytes };
        return Ok((parcel, None));
    }
    let read = match timeout_at(courier.instant(until_ms), bodies::read(&mut body, most)).await {
        Err(_) => return Err(408),
        Ok(Err(_)) => return Err(400),
        Ok(Ok(read)) => read,
    };
    if read.whole {
        return Ok((Parcel::Whole(read.joined()), held));
    }
    let left = limits.body_bytes.checked_sub(read.bytes as u64).ok_or(413u16)?;
    Ok((Parcel::Stream { chunks: read.chunks, rest: body, left }, held))
}

async fn tries(errand: Errand, parcel: Parcel, route: &Route, service: &Service) -> Response<Reply> {
    let courier = &errand.courier;
    let name: Rc<str> = Rc::from(service.name.as_str());
    let unit = courier.post.borrow_mut().unit();
    let mut round = Round::new(route.kind, route.attempts, errand.until_ms, unit);
    if parcel.again().is_none() {
        round.only_once();
    }
    let mut parcel = Some(parcel);
    loop {
        let now_ms = courier.now_ms();
        let pick = courier.post.borrow_mut().pick(&name, &round, route.kind, now_ms);
        let (Some(pick), Some(body)) = (pick, parcel.take()) else {
            let next = courier.budget(&name, |budget| round.no_task(now_ms, budget));
            return give_up(courier, &name, next);
        };
        parcel = body.again();
        round.goes_to(&pick.line.life);
        let (to, habit_ms) = (pick.line.clone(), pick.habit_ms);
        let trial = Trial::new(courier, &name, pick);
        let left = Cell::new(false);
        let patience_ms = round.patience_ms(now_ms, route.aim_ms, habit_ms);
        let ended = {
            let mut work = std::pin::pin!(errand.attempt(&to, body, &left));
            let first_ms = patience_ms.unwrap_or(errand.until_ms);
            match timeout_at(courier.instant(first_ms), work.as_mut()).await {
                Ok(ended) => Some(ended),
                Err(_) if patience_ms.is_none() || elsewhere(courier, &name, &round) => None,
                Err(_) => timeout_at(courier.instant(errand.until_ms), work).await.ok(),
            }
        };
        let late = if left.get() { Fate::TimedOut } else { Fate::Unsent };
        let ended = ended.unwrap_or(Ended { how: How::Fate(late), answer: None, parcel: None });
        let fate = match ended.how {
            How::Fate(fate) => fate,
            How::Full => Fate::Unsent,
            How::Stranger => Fate::NotExecuted,
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
        let another = parcel.is_some() && courier.post.borrow().another(&name, &round);
        let next = courier.budget(&name, |budget| round.settle(fate, now_ms, another, budget));
        match (next, answer) {
            (Next::Try, _) => {}
            (Next::Pass, Some(answer)) => {
                if answer.status().is_server_error() {
                    courier.tally.borrow_mut().failed(&name);
                }
                return answer;
            }
            (next, _) => return give_up(courier, &name, next),
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
