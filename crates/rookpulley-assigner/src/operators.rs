//! What operators ask while the assigner runs: answers from the book, and ways back, which the module decides.

use crate::CannotRun;
use crate::driver::{Event, Front, unix_ms};
use crate::messages::server_id;
use crate::orders::{Orders, places};
use crate::servers::Servers;
use rookpulley::interface::{ChannelLimits, Input, RollbackStatus, TableId};
use rookpulley_operators::api::{
    ApiError, ApiRequest, ApiResponse, DiffList, DiffRow, HolderList, HolderRow, PendingRequest,
    RollbackList, RollbackRow, VersionList, VersionRow,
};
use rookpulley_operators::file::{ListenSettings, Token};
use rookpulley_operators::server;
use rookpulley_versions::version::start_id;
use rookpulley_versions::{
    AckTimeouts, Delta, History, Issuer, RetentionLimits, SyncState, Version, VersionManager,
};
use std::collections::BTreeSet;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// So many asks wait at once at most.
const ASKS: usize = 16;

/// The operators' address, held and not served yet.
pub struct Asking {
    listener: TcpListener,
    token: Option<Token>,
}

impl Asking {
    /// Nothing is opened where the operators' file names no address.
    pub async fn bind(reach: Option<&ListenSettings>) -> Result<Option<Self>, CannotRun> {
        let Some(ListenSettings {
            listen: place,
            token_file,
        }) = reach
        else {
            return Ok(None);
        };
        let token = token_file.as_deref().map(Token::load).transpose()?;
        let why = |why| CannotRun::Address {
            what: "the operators' address",
            place: *place,
            why,
        };
        let listener = TcpListener::bind(place).await.map_err(why)?;
        Ok(Some(Self { listener, token }))
    }

    pub fn place(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Serves from now on. Called within a `LocalSet`.
    pub fn begin(self, front: &Rc<Front>) {
        let (sender, mut asks) = mpsc::channel::<PendingRequest>(ASKS);
        let counted = front.clone();
        let count: server::CounterFn = Rc::new(move |what| counted.counters.one(what));
        tokio::task::spawn_local(server::serve(self.listener, self.token, sender, count));
        let front = front.clone();
        tokio::task::spawn_local(async move {
            while let Some(asked) = asks.recv().await {
                front.tell(Event::Asked(asked)).await;
            }
        });
    }
}

/// The book of one start. The start's name must never come again, also where the seed of the configuration
/// does: its part of chance is the process's own.
pub fn book(name: &str, keep: RetentionLimits, channel: &ChannelLimits) -> VersionManager {
    let chance = RandomState::new().hash_one(std::process::id()) as u32;
    let start = start_id(unix_ms(), chance);
    VersionManager::new(
        Issuer {
            assigner: name.into(),
            start,
        },
        1,
        keep,
        AckTimeouts::for_transit(channel.max_transit_ms),
    )
}

/// Ways back that the module has been asked for, and whom to answer.
struct Waiting {
    tables: BTreeSet<TableId>,
    releases: bool,
    rows: Vec<RollbackRow>,
    answer: oneshot::Sender<ApiResponse>,
}

#[derive(Default)]
pub struct WaysBack {
    waiting: Vec<Waiting>,
    /// Tables that an operator holds back.
    pub held: BTreeSet<TableId>,
}

fn refused(status: u16, what: impl Into<String>, instead: &str) -> ApiResponse {
    ApiResponse::Refused {
        refusal: ApiError::new(status, what, Some(instead)),
    }
}

fn row(table: TableId, what: &RollbackStatus) -> RollbackRow {
    let blank = RollbackRow {
        table,
        what: String::new(),
        why: None,
        usable: None,
        of: None,
    };
    match what {
        RollbackStatus::Held { lines, of } => RollbackRow {
            what: "held".into(),
            usable: Some(*lines),
            of: Some(*of),
            ..blank
        },
        RollbackStatus::Refused(why) => RollbackRow {
            what: "refused".into(),
            why: Some(why.to_string()),
            ..blank
        },
        RollbackStatus::Ended(why) => RollbackRow {
            what: "ended".into(),
            why: Some(why.to_string()),
            ..blank
        },
    }
}

impl WaysBack {
    /// Answers an ask at once, or gives what the module is to be told for it.
    pub fn take(
        &mut self,
        now: f64,
        asked: PendingRequest,
        orders: &Orders,
        servers: Option<&Servers>,
    ) -> Vec<Input> {
        let PendingRequest { ask, answer } = asked;
        let off = |what: &str, word: &str| {
            refused(
                409,
                what,
                &format!("write {word} into the operators' file and start the assigner anew"),
            )
        };
        let said = match (ask, &orders.book, servers) {
            (ApiRequest::Servers, _, Some(servers)) => Ok(ApiResponse::Servers(servers.shown(now))),
            (ApiRequest::Servers, ..) => {
                Ok(off("no file lists the servers here", "servers(file = ...)"))
            }
            (_, None, _) => Ok(off("versions are not kept here", "versions()")),
            (ApiRequest::Versions { table }, Some(book), _) => Ok(versions(&book.history, table)),
            (ApiRequest::Holders, Some(book), _) => Ok(holders(now, book, orders, &self.held)),
            (ApiRequest::Diff { from, to }, Some(book), _) => Ok(diff(&book.history, &from, &to)),
            (ApiRequest::Rollback { to, table, all }, Some(book), _) => {
                go_back(book, &to, table, all)
            }
            (ApiRequest::Release { table: Some(table) }, ..) => {
                Err(vec![Input::ReleaseRollback { table }])
            }
            (ApiRequest::Release { .. }, ..) if self.held.is_empty() => {
                Ok(refused(409, "no table is held back", "see holders"))
            }
            (ApiRequest::Release { .. }, ..) => Err(self
                .held
                .iter()
                .map(|table| Input::ReleaseRollback { table: *table })
                .collect()),
        };
        match said {
            Ok(now_known) => {
                // Whoever asked may have gone.
                _ = answer.send(now_known);
                Vec::new()
            }
            Err(inputs) => {
                let table = |i: &Input| match i {
                    Input::Rollback { table, .. } | Input::ReleaseRollback { table } => {
                        Some(*table)
                    }
                    _ => None,
                };
                let releases = inputs
                    .iter()
                    .any(|i| matches!(i, Input::ReleaseRollback { .. }));
                let tables = inputs.iter().filter_map(table).collect();
                self.waiting.push(Waiting {
                    tables,
                    releases,
                    rows: Vec::new(),
                    answer,
                });
                inputs
            }
        }
    }

    /// What the module made of a way back; whoever waits for no further table is answered.
    pub fn hear(&mut self, table: TableId, what: &RollbackStatus) {
        match what {
            RollbackStatus::Held { .. } => _ = self.held.insert(table),
            RollbackStatus::Ended(_) => _ = self.held.remove(&table),
            RollbackStatus::Refused(_) => {}
        }
        let ended = matches!(what, RollbackStatus::Ended(_));
        let waits = |w: &&mut Waiting| w.tables.contains(&table) && (w.releases || !ended);
        let Some(waiting) = self.waiting.iter_mut().find(waits) else {
            return;
        };
        waiting.tables.remove(&table);
        waiting.rows.push(row(table, what));
        for done in self.waiting.extract_if(.., |w| w.tables.is_empty()) {
            _ = done
                .answer
                .send(ApiResponse::Back(RollbackList { tables: done.rows }));
        }
    }
}

fn versions(history: &History, table: Option<TableId>) -> ApiResponse {
    let kept = history
        .all()
        .filter(|(id, _)| table.is_none_or(|t| t == *id));
    let rows = kept.map(|(id, issued)| VersionRow {
        version: issued.version.to_string(),
        table: id,
        digest: issued.table.digest().to_string(),
        lines: issued.table.len(),
        issued_ms: issued.at_ms.round(),
        newest: issued.superseded_by.is_none(),
        in_use: issued.is_pinned(),
    });
    let issuer = history.issuer();
    let (assigner, start) = (
        issuer.assigner.to_string(),
        format!("{:016x}", issuer.start),
    );
    ApiResponse::Versions(VersionList {
        assigner,
        start,
        versions: rows.collect(),
    })
}

fn judged(judged: SyncState) -> &'static str {
    match judged {
        SyncState::Unknown => "unknown",
        SyncState::Behind => "behind",
        SyncState::InSync => "in step",
        SyncState::Lost => "lost",
        SyncState::Diverged => "diverged",
    }
}

fn holders(
    now: f64,
    book: &VersionManager,
    orders: &Orders,
    held_back: &BTreeSet<TableId>,
) -> ApiResponse {
    let named = |n: Option<u64>| n.map(|n| book.history.version(n).to_string());
    let mut holders = Vec::new();
    for (dispatcher, entry) in book.deliveries.entries() {
        for (table, held) in entry.tables() {
            let kinds = places(book.kinds_of(dispatcher, table));
            holders.push(HolderRow {
                dispatcher,
                joined: entry.joined,
                speaks: entry.reports_versions,
                kinds: kinds
                    .filter_map(|k| orders.kinds().get(k).cloned())
                    .collect(),
                table,
                judged: judged(held.sync_state).into(),
                told: named(held.sent),
                confirmed: named(held.confirmed),
                claimed: held
                    .claimed
                    .as_ref()
                    .and_then(|c| c.version.as_ref())
                    .map(Version::to_string),
                waits_ms: entry
                    .oldest_pending_since_ms()
                    .map(|since| (now - since).max(0.0).round()),
                back: held_back.contains(&table),
            });
        }
    }
    ApiResponse::Holders(HolderList {
        assigner: book.history.issuer().assigner.to_string(),
        holders,
    })
}

fn diff(history: &History, from: &str, to: &str) -> ApiResponse {
    let find = |text: &str| {
        let version: Version = text
            .parse()
            .map_err(|e| refused(400, format!("{e}"), "see versions"))?;
        let found = history
            .find(&version)
            .map_err(|e| refused(404, format!("{e}"), "see versions"))?;
        Ok::<_, ApiResponse>(found.1.table.clone())
    };
    let (a, b) = match (find(from), find(to)) {
        (Ok(a), Ok(b)) => (a, b),
        (Err(answer), _) | (_, Err(answer)) => return answer,
    };
    let delta = Delta::between(&a, &b);
    let row = |name: &str| DiffRow {
        server: name.into(),
        from: a.weight(name),
        to: b.weight(name),
    };
    let lines = delta.changes.iter().map(|(name, _)| row(name)).collect();
    let (delta_bytes, whole_bytes) = (delta.canonical_len(), b.canonical_len());
    ApiResponse::Diff(DiffList {
        from: from.into(),
        to: to.into(),
        lines,
        delta_bytes,
        whole_bytes,
    })
}

fn go_back(
    book: &VersionManager,
    to: &str,
    table: Option<TableId>,
    all: bool,
) -> Result<ApiResponse, Vec<Input>> {
    let version: Version = match to.parse() {
        Ok(version) => version,
        Err(e) => return Ok(refused(400, format!("{e}"), "see versions")),
    };
    let ways = match book.rollback_tables(&version, table, all) {
        Ok(ways) => ways,
        Err(e) => return Ok(refused(404, format!("{e}"), "see versions")),
    };
    let lines = |table: &rookpulley_versions::Table| {
        table.lines().map(|(n, w)| (server_id(n), w)).collect()
    };
    Err(ways
        .iter()
        .map(|(id, table)| Input::Rollback {
            table: *id,
            lines: lines(table),
        })
        .collect())
}
