//! Takes clients' connections, serves them, ends those that are idle or slow beyond their bounds.

use crate::carry;
use crate::ear::{Ear, Watch};
use crate::state::Courier;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rookpulley_addressbook::Limits;
use rookpulley_waybill::line;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// What a client may leave unconfirmed: its link may be slow, so this is longer than among machines.
const UNHEARD: Duration = Duration::from_secs(10);
/// While the program ends, a connection without a request stays so long: requests on their way still find it.
const LAST_IDLE: Duration = Duration::from_millis(1_500);
/// The parser's buffer is larger than the bound on heads: what comes right behind a head is read along with it.
const BEHIND: usize = 16 << 10;
const LEAST_HEAD: usize = 8_192;
const HEADERS: usize = 256;

/// All connections of clients.
pub struct Clients {
    watches: RefCell<BTreeMap<u64, Rc<Watch>>>,
    next: Cell<u64>,
    most: usize,
}

impl Clients {
    pub fn new(most: usize) -> Clients {
        Clients { watches: RefCell::default(), next: Cell::new(0), most }
    }

    /// Ends what is idle, or takes too long over a head.
    pub fn sweep(&self, limits: Limits, ending: bool) {
        for watch in self.watches.borrow().values() {
            let rests = watch.stirred.get().elapsed();
            let idle_bound = Duration::from_millis(limits.idle_ms);
            let idle_bound = if ending { LAST_IDLE.min(idle_bound) } else { idle_bound };
            let late = watch.idle() && rests > idle_bound;
            if late || (watch.in_head() && rests > Duration::from_millis(limits.header_ms)) {
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
        let mut watches = self.watches.borrow_mut();
        if watches.len() >= self.most {
            let oldest =
                watches.values().filter(|watch| watch.idle()).min_by_key(|watch| watch.stirred.get())?;
            oldest.close.notify_one();
            // It is gone a moment later; until then few more than the bound are here.
            if watches.len() >= self.most + 64 {
                return None;
            }
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let watch = Rc::new(Watch::new());
        watches.insert(number, watch.clone());
        Some((number, watch))
    }
}

pub async fn serve(courier: Rc<Courier>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some((number, watch)) = courier.clients.admit() {
                    tokio::task::spawn_local(client(courier.clone(), stream, number, watch));
                }
            }
            Err(why) => {
                tracing::warn!("listener: no connection can be taken: {why}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn client(courier: Rc<Courier>, stream: TcpStream, number: u64, watch: Rc<Watch>) {
    line::tend(&stream, UNHEARD);
    let bound = courier.book().map_or_else(Limits::default, |book| book.limits).header_bytes.max(LEAST_HEAD);
    let io = TokioIo::new(Ear { stream, watch: watch.clone() });
    let service = {
        let (courier, watch) = (courier.clone(), watch.clone());
        service_fn(move |request| {
            let (courier, watch) = (courier.clone(), watch.clone());
            async move { Ok::<_, Infallible>(carry::serve(courier, watch, request).await) }
        })
    };
    // The time for a head is kept by the sweep: the parser's own would also run while a connection is idle.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(bound + BEHIND)
        .max_headers(HEADERS)
        .auto_date_header(false)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = watch.close.notified() => {
            connection.as_mut().graceful_shutdown();
            if watch.in_head() { Ok(()) } else { connection.await }
        }
    };
    if let Err(why) = ended {
        tracing::debug!("listener: a client's connection ended: {why}");
    }
    courier.clients.watches.borrow_mut().remove(&number);
}
