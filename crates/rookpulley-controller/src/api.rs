//! The HTTP API for instances, operators and applications.

use crate::inspect;
use crate::request::{ApiRequest, request_router};
use crate::server::Server;
use rookpulley_api::{Bounds, Call, Match, Reply, Router, RouterError, query_value};
use rookpulley_control::{self as control, Content, Endpoint};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Answers API calls by means of a controller.
pub struct Api {
    pub server: Rc<Server>,
    router: Router<ApiRequest>,
}

impl Api {
    pub fn new(server: Rc<Server>) -> Result<Rc<Self>, RouterError> {
        let router = request_router()?;
        Ok(Rc::new(Self { server, router }))
    }

    /// Starts a task that serves calls until `stopped` becomes true.
    pub fn serve(
        self: &Rc<Self>,
        listener: TcpListener,
        stopped: watch::Receiver<bool>,
    ) -> JoinHandle<()> {
        let api = self.clone();
        let handler = Rc::new(move |call| {
            let api = api.clone();
            async move { api.answer(call).await }
        });
        let bounds = Bounds::default();
        tokio::task::spawn_local(rookpulley_api::serve(listener, bounds, stopped, handler))
    }

    pub async fn answer(&self, call: Call) -> Reply {
        let (request, reply) = match self.router.lookup(&call.method, &call.path) {
            Match::NotFound => (None, not_found()),
            Match::WrongMethod => (None, method_not_allowed()),
            Match::Found(request, name) => {
                (Some(request), self.dispatch(request, &name, call).await)
            }
        };
        self.server.metrics.count_call(request, reply.status);
        reply
    }

    async fn dispatch(&self, request: ApiRequest, name: &str, call: Call) -> Reply {
        let endpoint = match request {
            ApiRequest::Call(endpoint) => endpoint,
            ApiRequest::Inspect(section) => return inspect::answer(&self.server, section, name),
        };
        let operation = self.server.inspect(|controller| {
            let field = |field: &str| query_value(&call.query, field);
            control::parse(endpoint, name, call.body, field, controller.configuration())
        });
        match operation {
            Ok(operation) => match self.server.call(operation).await {
                Some(reply) => encode(reply),
                None => Reply::error(504, "no answer: it may or may not have taken effect"),
            },
            Err(reply) => {
                if endpoint == Endpoint::PutConfiguration {
                    tracing::info!("calls: configuration rejected: {:?}", reply.content);
                }
                encode(reply)
            }
        }
    }
}

/// The reply for an unknown path.
pub fn not_found() -> Reply {
    Reply::error(404, "there is no such call")
}

/// The reply for a known path with another method.
pub fn method_not_allowed() -> Reply {
    Reply::error(405, "there is no such call with this method")
}

/// Redirects a call to the same path and query at another controller.
pub fn redirect(to: std::net::Ipv4Addr, port: u16, call: &Call) -> Reply {
    let query = if call.query.is_empty() {
        String::new()
    } else {
        format!("?{}", call.query)
    };
    let location = format!("http://{to}:{port}{}{query}", call.path);
    Reply::empty(307).with("Location", location)
}

fn encode(reply: control::Reply) -> Reply {
    let control::Reply {
        status,
        retry_after,
        content,
    } = reply;
    let encoded = match content {
        Content::Empty => Reply::empty(status),
        Content::Json(value) => Reply::json(status, &value),
        Content::Bytes(bytes) => Reply::bytes(status, bytes),
        Content::Error(sentence) => Reply::error(status, &sentence),
    };
    match retry_after {
        Some(seconds) => encoded.with("Retry-After", seconds),
        None => encoded,
    }
}

#[cfg(test)]
mod tests;
