//! Takes clients' connections, serves them, ends those that are idle or slow beyond their bounds.

use crate::carry;
use crate::ear::{Due, Ear, Watch};
use crate::state::ProxyContext;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rookpulley_routes::Limits;
use rookpulley_runtime::connection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// What a client may leave unconfirmed: its link may be slow, so this is longer than among machines.
const UNHEARD: Duration = Duration::from_secs(10);
/// How long a client may take to hear that it was too slow.
const LAST_WORD: Duration = Duration::from_secs(2);
/// Connections beyond the bound, for as long as those that make room take to end.
const BEYOND: usize = 64;
/// The parser takes a bit more than any head may have, so that the bound is kept in one place: by the check.
const BEYOND_HEAD: usize = 8 << 10;
/// A longer head is refused though the operator should allow it.
const LONGEST_HEAD: usize = 256 << 10;

/// All connections of clients.
pub struct Clients {
    watches: RefCell<BTreeMap<u64, Rc<Watch>>>,
    next: Cell<u64>,
    most: usize,
}

impl Clients {
    pub fn new(most: usize) -> Clients {
        Clients {
            watches: RefCell::default(),
            next: Cell::new(0),
            most,
        }
    }

    /// Ends what is idle, takes too long over a head, or doesn't take its answer.
    pub fn sweep(&self, limits: Limits, ending: bool) {
        for watch in self.watches.borrow().values() {
            if watch.due(limits, ending).is_some() {
                watch.close.notify_one();
            }
        }
    }

    /// Nothing of any request is here.
    pub fn calm(&self) -> bool {
        self.watches.borrow().values().all(|watch| watch.idle())
    }

    /// Where there are too many, the one that has been idle longest makes room.
    fn admit(&self) -> Option<(u64, Rc<Watch>)> {
        if self.watches.borrow().len() >= self.most {
            // It is gone a moment later; until then few more than the bound are here.
            if !self.make_room() || self.watches.borrow().len() >= self.most + BEYOND {
                return None;
            }
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let watch = Rc::new(Watch::new());
        self.watches.borrow_mut().insert(number, watch.clone());
        Some((number, watch))
    }

    /// Ends one that is idle and isn't told so yet.
    fn make_room(&self) -> bool {
        let watches = self.watches.borrow();
        let idle = watches
            .values()
            .filter(|watch| watch.idle() && !watch.leaves.get());
        let oldest = idle.min_by_key(|watch| watch.stirred());
        if let Some(watch) = oldest {
            watch.leaves.set(true);
            watch.close.notify_one();
        }
        oldest.is_some()
    }
}

pub async fn serve(proxy: Rc<ProxyContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some((number, watch)) = proxy.clients.admit() {
                    tokio::task::spawn_local(client(proxy.clone(), stream, number, watch));
                }
            }
            Err(why) => {
                tracing::warn!("listener: no connection can be taken: {why}");
                proxy.clients.make_room();
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn client(proxy: Rc<ProxyContext>, stream: TcpStream, number: u64, watch: Rc<Watch>) {
    connection::configure(&stream, UNHEARD);
    let bound = limits(&proxy)
        .header_bytes
        .clamp(Limits::default().header_bytes, LONGEST_HEAD)
        + BEYOND_HEAD;
    let io = TokioIo::new(Ear::new(stream, watch.clone()));
    let service = {
        let (proxy, watch) = (proxy.clone(), watch.clone());
        service_fn(move |request| {
            let (proxy, watch) = (proxy.clone(), watch.clone());
            async move { Ok::<_, Infallible>(carry::serve(proxy, watch, request).await) }
        })
    };
    // The time for a head is kept by the sweep: the parser's own would also run while a connection is idle.
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(bound)
        .auto_date_header(false)
        .serve_connection(io, service);
    loop {
        tokio::select! {
            biased;
            ended = &mut connection => {
                if let Err(why) = ended {
                    tracing::debug!("listener: a client's connection ended: {why}");
                }
                break;
            }
            () = watch.close.notified() => {}
        }
        match watch.due(limits(&proxy), proxy.ending()) {
            // Nothing of a request is here, or the client leaves us to sit.
            Some(Due::Idle | Due::Stuck) => break,
            Some(Due::SlowHead) if watch.held_up() => break,
            Some(Due::SlowHead) => {
                let ear = connection.into_parts().io.into_inner();
                _ = tokio::time::timeout(LAST_WORD, too_slow(ear)).await;
                break;
            }
            None if watch.leaves.take() && watch.idle() => break,
            None => {}
        }
    }
    proxy.clients.watches.borrow_mut().remove(&number);
}

async fn too_slow(mut ear: Ear) {
    const ANSWER: &[u8] =
        b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    if ear.write_all(ANSWER).await.is_ok() {
        _ = ear.shutdown().await;
    }
}

fn limits(proxy: &ProxyContext) -> Limits {
    proxy
        .book()
        .map_or_else(Limits::default, |book| book.limits)
}
