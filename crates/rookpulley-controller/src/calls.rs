//! The calls of tasks, the operator and applications: which they are, and how their answers go out.

use crate::hub::Hub;
use crate::show::{self, Part};
use rookpulley_api::{Bounds, Call, Match, Reply, Tree, query};
use rookpulley_control::{self as clerk, Content, Path};
use std::rc::Rc;
use tinyjson::JsonValue;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Asked {
    Call(Path),
    /// Read only, and of this controller alone.
    Show(Part),
}

pub fn tree() -> Result<Tree<Asked>, rookpulley_api::TreeError> {
    let call = Asked::Call;
    let show = Asked::Show;
    Tree::new(&[
        ("PUT /rookpulley/instances/{}", call(Path::Heartbeat)),
        ("DELETE /rookpulley/instances/{}", call(Path::Leave)),
        (
            "PUT /rookpulley/configuration",
            call(Path::PutConfiguration),
        ),
        (
            "GET /rookpulley/configuration",
            call(Path::GetConfiguration),
        ),
        ("POST /rookpulley/locks/{}", call(Path::TakeLock)),
        ("PUT /rookpulley/locks/{}", call(Path::RenewLock)),
        ("DELETE /rookpulley/locks/{}", call(Path::DropLock)),
        ("POST /rookpulley/numbers/{}", call(Path::Number)),
        ("PUT /rookpulley/cells/{}", call(Path::PutCell)),
        ("GET /rookpulley/cells/{}", call(Path::GetCell)),
        ("GET /rookpulley/watch/{}", call(Path::Watch)),
        ("GET /rookpulley/show/view", show(Part::View)),
        ("GET /rookpulley/show/tasks", show(Part::Tasks)),
        ("GET /rookpulley/show/tasks/{}", show(Part::Tasks)),
        ("GET /rookpulley/show/tables", show(Part::Tables)),
        ("GET /rookpulley/show/tables/{}", show(Part::Tables)),
        ("GET /rookpulley/show/couriers", show(Part::Proxies)),
        ("GET /rookpulley/show/ledger", show(Part::Ledger)),
        ("GET /rookpulley/show/counters", show(Part::Counters)),
    ])
}

pub struct Calls {
    pub hub: Rc<Hub>,
    tree: Tree<Asked>,
}

pub fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(
        fields
            .into_iter()
            .map(|(name, value)| (name.into(), value))
            .collect(),
    )
}

pub fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

impl Calls {
    pub fn new(hub: Rc<Hub>) -> Result<Rc<Calls>, rookpulley_api::TreeError> {
        Ok(Rc::new(Calls { hub, tree: tree()? }))
    }

    /// Takes calls until it is told to stop.
    pub fn serve(
        self: &Rc<Calls>,
        listener: TcpListener,
        stopped: watch::Receiver<bool>,
    ) -> JoinHandle<()> {
        let calls = self.clone();
        let handler = Rc::new(move |call| {
            let calls = calls.clone();
            async move { calls.answer(call).await }
        });
        tokio::task::spawn_local(rookpulley_api::serve(
            listener,
            Bounds::default(),
            stopped,
            handler,
        ))
    }

    pub async fn answer(&self, call: Call) -> Reply {
        let (asked, reply) = match self.tree.lookup(&call.method, &call.path) {
            Match::Nothing => (None, Reply::error(404, "there is no such call")),
            Match::WrongMethod => (
                None,
                Reply::error(405, "there is no such call with this method"),
            ),
            Match::Found(asked, name) => (Some(asked), self.take(asked, &name, call).await),
        };
        self.hub.counts.call(asked, reply.status);
        reply
    }

    async fn take(&self, asked: Asked, name: &str, call: Call) -> Reply {
        let path = match asked {
            Asked::Call(path) => path,
            Asked::Show(part) => return show::answer(&self.hub, part, name),
        };
        let wants = self.hub.look(|controller| {
            clerk::read(
                path,
                name,
                call.body,
                |of| query(&call.query, of),
                controller.configuration(),
            )
        });
        match wants {
            Ok(wants) => match self.hub.call(wants).await {
                Some(reply) => written(reply),
                None => Reply::error(504, "no answer: it may or may not have taken effect"),
            },
            Err(wrong) => {
                if path == Path::PutConfiguration {
                    tracing::info!("calls: a configuration was refused: {:?}", wrong.content);
                }
                written(wrong)
            }
        }
    }
}

fn written(reply: clerk::Reply) -> Reply {
    let clerk::Reply {
        status,
        retry_after,
        content,
    } = reply;
    let written = match content {
        Content::Nothing => Reply::empty(status),
        Content::Json(value) => Reply::json(status, &value),
        Content::Bytes(bytes) => Reply::bytes(status, bytes),
        Content::Error(sentence) => Reply::error(status, &sentence),
    };
    match retry_after {
        Some(seconds) => written.with("Retry-After", seconds),
        None => written,
    }
}
