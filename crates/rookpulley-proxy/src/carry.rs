//! A request from its head to its answer: checked, routed, tried as often as it may be.

use crate::answers;
use crate::attempt::{Answer, Ended, Errand, Trial};
use crate::bodies::{self, Parcel, Reply, Upload};
use crate::check;
use crate::ear::Watch;
use crate::span::{Chunks, Span};
use crate::state::ProxyContext;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::{Request, Response};
use rookpulley_proxy_core::{Go, How, Journey, Tell, Then};
use rookpulley_routes::Limits;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::time::timeout_at;

/// A request's body up to this length is read whole before anything is sent on.
const READ_WHOLE: usize = 64 << 10;

/// Counts among what is at work as long as it lives.
struct Counted(Rc<ProxyContext>);

impl Counted {
    fn new(proxy: &Rc<ProxyContext>) -> Counted {
        proxy.at_work.set(proxy.at_work.get() + 1);
        Counted(proxy.clone())
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
    fn new(proxy: &Rc<ProxyContext>, watch: &Rc<Watch>, body: Span) -> AtWork {
        watch.begins(body);
        AtWork {
            watch: watch.clone(),
            _counted: Counted::new(proxy),
        }
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

pub async fn serve(
    proxy: Rc<ProxyContext>,
    watch: Rc<Watch>,
    request: Request<Incoming>,
) -> Response<Reply> {
    let body = request
        .body()
        .size_hint()
        .exact()
        .map_or(Span::Chunks(Chunks::Start), Span::Length);
    let work = AtWork::new(&proxy, &watch, body);
    let mut answer = carry(&proxy, &watch, request).await;
    // What the client still sends isn't read to its end.
    if proxy.ending() || watch.unread() {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer.body_mut().keep(work);
    answer
}

async fn carry(
    proxy: &Rc<ProxyContext>,
    watch: &Watch,
    request: Request<Incoming>,
) -> Response<Reply> {
    let (mut head, body) = request.into_parts();
    let limits = proxy
        .book()
        .map_or_else(Limits::default, |book| book.limits);
    let checked = match check::check(&head, watch, limits) {
        Ok(checked) => checked,
        Err(status) => return answers::last(status),
    };
    let way = proxy.with(|satchel, now| {
        satchel.arrives(now, &checked.host, head.uri.path(), checked.deadline_ms)
    });
    let way = match way {
        Ok(way) => way,
        Err(tell) => return told(tell),
    };
    let parcel = match gather(proxy, body, checked.length, limits, way.until_ms).await {
        Ok(parcel) => parcel,
        Err(status) => return answers::last(status),
    };
    check::strip(&mut head.headers);
    head.headers.remove(EXPECT);
    let errand = Errand {
        proxy: proxy.clone(),
        method: head.method,
        target: head.uri,
        headers: head.headers,
        id: checked.id,
        way,
    };
    let gone = Rc::new(Cell::new(false));
    if !errand.once() {
        return tries(errand, parcel, gone).await;
    }
    // A task that has begun on it may finish though the client has left: its work is done once and not broken off.
    let (_leaves, counted) = (Leaves(gone.clone()), Counted::new(proxy));
    let work = tokio::task::spawn_local(async move {
        let _counted = counted;
        tries(errand, parcel, gone).await
    });
    work.await.unwrap_or_else(|_| answers::own(502, None))
}

/// The body whole, if it is short; else what there is of it, to be passed on as it comes.
async fn gather(
    proxy: &ProxyContext,
    mut body: Incoming,
    length: Option<u64>,
    limits: Limits,
    until_ms: f64,
) -> Result<Parcel, u16> {
    if body.is_end_stream() {
        return Ok(Parcel::Whole(Bytes::new()));
    }
    let wanted = length.map_or(READ_WHOLE, |length| {
        usize::try_from(length).unwrap_or(usize::MAX)
    });
    let held = (wanted <= READ_WHOLE)
        .then(|| proxy.hold_sent(wanted))
        .flatten();
    let Some(held) = held else {
        return Ok(Parcel::stream(VecDeque::new(), body, limits.body_bytes));
    };
    let read = match timeout_at(proxy.instant(until_ms), bodies::read(&mut body, READ_WHOLE)).await
    {
        Err(_) => return Err(408),
        Ok(Err(_)) => return Err(400),
        Ok(Ok(read)) => read,
    };
    let left = limits
        .body_bytes
        .checked_sub(read.bytes as u64)
        .ok_or(413u16)?;
    if read.whole {
        return Ok(Parcel::Whole(held.around(read.joined())));
    }
    Ok(Parcel::stream(read.chunks, body, left))
}

/// `gone` turns true when the client leaves: nothing is begun for it any more.
async fn tries(errand: Errand, parcel: Parcel, gone: Rc<Cell<bool>>) -> Response<Reply> {
    let proxy = &errand.proxy;
    let again = parcel.again().is_some();
    let mut journey = proxy.with(|satchel, _| Journey::new(satchel, errand.way.clone(), again));
    let mut parcel = Some(parcel);
    loop {
        let wanted = !gone.get() && parcel.is_some();
        let (pick, to, turn_ms) = match proxy.with(|satchel, now| journey.go(satchel, now, wanted))
        {
            Go::Try { pick, to, turn_ms } => (pick, to, turn_ms),
            Go::Tell(tell) => return told(tell),
        };
        let trial = Trial::new(proxy, &errand.way.service, pick);
        let Some(body) = parcel.take() else {
            return answers::own(502, None);
        };
        parcel = body.again();
        let (left, upload) = (Cell::new(false), body.upload());
        let ended = {
            let mut work = std::pin::pin!(errand.attempt(&to, body, &left));
            match timeout_at(proxy.instant(turn_ms), work.as_mut()).await {
                Ok(ended) => Some(ended),
                Err(_) if proxy.with(|satchel, now| journey.turns(satchel, now)) => None,
                Err(_) => timeout_at(proxy.instant(errand.way.until_ms), work)
                    .await
                    .ok(),
            }
        };
        let ended = ended.unwrap_or_else(|| {
            let client_waits = upload.is_some_and(|upload| upload.get() == Upload::Waits);
            Ended {
                how: Journey::broken_off(left.get(), client_waits),
                answer: None,
                parcel: None,
            }
        });
        if let How::Client(status) = ended.how {
            trial.end(ended.how);
            return answers::last(status);
        }
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
        let status = answer.as_ref().map(|answer| answer.status().as_u16());
        let then = proxy
            .with(|satchel, now| journey.ended(satchel, now, ended.how, status, parcel.is_some()));
        match (then, answer) {
            (Then::Again, _) => {}
            (Then::Pass, Some(answer)) => return answer,
            (Then::Pass, None) => return answers::own(502, None),
            (Then::Tell(tell), _) => return told(tell),
        }
    }
}

fn told(tell: Tell) -> Response<Reply> {
    answers::own(tell.status, tell.retry_after_ms)
}
