//! One try: a request goes to one task, and what comes back is judged.

use crate::bodies::{self, Parcel, Reply, Stream, Upload};
use crate::check::{DEADLINE_MS, strip};
use crate::head::worth;
use crate::state::ProxyContext;
use crate::wires::{self, NoWire, Wire};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response;
use hyper::{Method, Request, Response, Uri, Version};
use rookpulley_balancer::{Fate, Pick};
use rookpulley_protocol::TableEntry;
use rookpulley_proxy_core::{Back, How, Leaving, Way};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

static TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
/// The task is told a little less than there is: its answer has a way to go.
const WAY_MS: f64 = 5.0;
/// An answer that is not to be passed on is read to its end if that is near, so that the connection can be used again.
const DRAINED: usize = 64 << 10;
const DRAIN: Duration = Duration::from_millis(100);

/// A request as it goes to tasks.
pub struct Errand {
    pub proxy: Rc<ProxyContext>,
    pub method: Method,
    pub target: Uri,
    /// Without those of the client's connection.
    pub headers: HeaderMap,
    pub id: HeaderValue,
    pub way: Way,
}

/// How a try ended, what came of it, and the body where it can go out again.
pub struct Ended {
    pub how: How,
    pub answer: Option<Answer>,
    pub parcel: Option<Parcel>,
}

pub enum Answer {
    Whole(Response<Reply>),
    /// Its head and first bytes are here; the connection and the rest come along.
    Begun(response::Parts, Box<Stream>),
}

impl Ended {
    fn so(how: How) -> Ended {
        Ended {
            how,
            answer: None,
            parcel: None,
        }
    }

    fn fate(fate: Fate) -> Ended {
        Ended::so(How::Fate(fate))
    }

    fn unsent(parcel: Option<Parcel>) -> Ended {
        Ended {
            parcel,
            ..Ended::fate(Fate::Unsent)
        }
    }
}

impl Errand {
    /// It may run once at most.
    pub fn once(&self) -> bool {
        !self.way.kind.repeatable()
    }

    /// `left` turns true once bytes of the request may have left.
    pub async fn attempt(&self, to: &TableEntry, mut parcel: Parcel, left: &Cell<bool>) -> Ended {
        let bound = self.proxy.look(|satchel| satchel.connections(&self.way));
        let mut leaving = Leaving::default();
        loop {
            let mut wire = match self
                .proxy
                .wires
                .take(to, bound, self.once(), leaving.anew())
                .await
            {
                Ok(wire) => wire,
                Err(NoWire::Full) => {
                    return Ended {
                        parcel: Some(parcel),
                        ..Ended::so(How::Full)
                    };
                }
                Err(NoWire::Unreachable) => return Ended::unsent(Some(parcel)),
            };
            // It may have begun to drain while the connection came up.
            if !self
                .proxy
                .look(|satchel| satchel.may_leave(&to.incarnation))
            {
                return Ended {
                    parcel: Some(parcel),
                    ..Ended::so(How::Full)
                };
            }
            let (spare, upload) = (parcel.again(), parcel.upload());
            let Some(request) = self.request(to, parcel) else {
                return Ended::unsent(spare);
            };
            left.set(true);
            wire.begin(&self.id, self.method == Method::HEAD, self.once());
            match wire.sender.try_send_request(request).await {
                Ok(answer) => return self.judge(wire, answer).await,
                Err(mut why) => {
                    // It comes back only if nothing of it was written.
                    let back = why.take_message().map(Request::into_body);
                    let unsent = back.is_some() || wire.unsent();
                    let back = back.or(spare);
                    let then = leaving.failed(unsent, wire.used, back.is_some());
                    left.set(then == Back::Broken);
                    match (then, back) {
                        (Back::Anew, Some(back)) => parcel = back,
                        (Back::Broken, _) => {
                            return match upload.map(|upload| upload.get()) {
                                Some(Upload::Failed(status)) => Ended::so(How::Client(status)),
                                _ => Ended::fate(Fate::Broken),
                            };
                        }
                        (_, back) => return Ended::unsent(back),
                    }
                }
            }
        }
    }

    /// None where it couldn't be told to whom it goes.
    fn request(&self, to: &TableEntry, parcel: Parcel) -> Option<Request<Parcel>> {
        let incarnation = HeaderValue::from_str(&to.incarnation).ok()?;
        // A body that comes in chunks goes on in chunks, whatever the method.
        let chunks = parcel.size_hint().exact().is_none();
        let mut request = Request::new(parcel);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let left_ms = (self.way.until_ms - self.proxy.now_ms() - WAY_MS).max(1.0) as u64;
        headers.insert(&DEADLINE_MS, HeaderValue::from(left_ms));
        headers.insert(&TARGET_INSTANCE, incarnation);
        if chunks {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        Some(request)
    }

    async fn judge(&self, wire: Wire, answer: Response<Incoming>) -> Ended {
        let (mut head, body) = answer.into_parts();
        let kept_for = wires::kept_for(&head.headers);
        if let Some(how) = How::of(worth(&head, &self.id, &self.method)) {
            if how == How::Fate(Fate::NotExecuted) {
                drain(wire, body, kept_for);
            }
            return Ended::so(how);
        }
        strip(&mut head.headers);
        head.version = Version::HTTP_11;
        self.take_body(wire, head, body, kept_for).await
    }

    /// Holds the answer until it is whole, if it isn't too long for that.
    async fn take_body(
        &self,
        wire: Wire,
        mut head: response::Parts,
        mut body: Incoming,
        kept_for: Option<Duration>,
    ) -> Ended {
        let status = head.status.as_u16();
        let length = body.size_hint().exact();
        let wanted = length.map_or(self.proxy.hold_bytes, |length| {
            usize::try_from(length).unwrap_or(usize::MAX)
        });
        let held = (wanted <= self.proxy.hold_bytes)
            .then(|| self.proxy.hold(wanted))
            .flatten();
        let most = if held.is_some() {
            self.proxy.hold_bytes
        } else {
            0
        };
        let read = match bodies::read(&mut body, most).await {
            Ok(read) => read,
            Err(_) => return Ended::fate(Fate::Broken),
        };
        if read.whole && length.is_some_and(|length| length != read.bytes as u64) {
            return Ended::fate(Fate::Broken);
        }
        // The length is stated anew, as it is; what a HEAD states is the length of no body.
        if self.method != Method::HEAD {
            head.headers.remove(CONTENT_LENGTH);
        }
        let answer = if read.whole {
            wire.free(kept_for);
            let bytes = match held {
                Some(held) => held.around(read.joined()),
                None => read.joined(),
            };
            Answer::Whole(Response::from_parts(head, Reply::whole(bytes)))
        } else {
            let until = Box::pin(tokio::time::sleep_until(
                self.proxy.instant(self.way.until_ms),
            ));
            let wire = Some((wire, kept_for));
            let stream = Stream {
                chunks: read.chunks,
                rest: body,
                left: length,
                until,
                wire,
                trial: None,
            };
            Answer::Begun(head, Box::new(stream))
        };
        Ended {
            answer: Some(answer),
            ..Ended::fate(Fate::Answered(status))
        }
    }
}

fn drain(wire: Wire, mut body: Incoming, kept_for: Option<Duration>) {
    if body.is_end_stream() {
        return wire.free(kept_for);
    }
    tokio::task::spawn_local(async move {
        let read = tokio::time::timeout(DRAIN, bodies::read(&mut body, DRAINED)).await;
        if let Ok(Ok(read)) = read
            && read.whole
        {
            wire.free(kept_for);
        }
    });
}

/// A try as the post counts it: dropped without an end, the client left.
pub struct Trial {
    proxy: Rc<ProxyContext>,
    service: Rc<str>,
    pick: Option<Pick>,
    began_ms: f64,
}

impl Trial {
    pub fn new(proxy: &Rc<ProxyContext>, service: &Rc<str>, pick: Pick) -> Trial {
        let began_ms = proxy.now_ms();
        Trial {
            proxy: proxy.clone(),
            service: service.clone(),
            pick: Some(pick),
            began_ms,
        }
    }

    pub fn settle(self, fate: Fate) {
        self.end(How::Fate(fate));
    }

    pub fn end(mut self, how: How) {
        let Some(pick) = self.pick.take() else { return };
        let incarnation = pick.line.incarnation.clone();
        let left = self
            .proxy
            .with(|satchel, now| satchel.tried(&self.service, pick, how, self.began_ms, now));
        if left {
            self.proxy.wires.forget(&incarnation);
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if let Some(pick) = self.pick.take() {
            self.proxy.with(|satchel, _| satchel.post.left(pick));
        }
    }
}
