//! The operator API: queries that the version manager answers, and rollbacks, which the decision
//! module accepts or refuses.

use crate::StartError;
use crate::driver::{Context, Event, unix_ms};
use crate::messages::server_id;
use crate::orders::{Orders, kinds_in};
use crate::server_file::ServerFile;
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

/// Capacity of the request queue.
const REQUEST_QUEUE: usize = 16;

/// The bound listener of the operator API.
pub struct OperatorApi {
    listener: TcpListener,
    token: Option<Token>,
}

impl OperatorApi {
    /// Returns `None` if the operators file configures no address.
    pub async fn bind(reach: Option<&ListenSettings>) -> Result<Option<Self>, StartError> {
        let Some(ListenSettings {
            listen: address,
            token_file,
        }) = reach
        else {
            return Ok(None);
        };
        let token = token_file.as_deref().map(Token::load).transpose()?;
        let bind_error = |error| StartError::Address {
            what: "operator address",
            address: *address,
            error,
        };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        Ok(Some(Self { listener, token }))
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Starts serving. Must be called within a `LocalSet`.
    pub fn spawn(self, ctx: &Rc<Context>) {
        let (sender, mut requests) = mpsc::channel::<PendingRequest>(REQUEST_QUEUE);
        let counters_ctx = ctx.clone();
        let count_call: server::CounterFn = Rc::new(move |what| counters_ctx.counters.inc(what));
        tokio::task::spawn_local(server::serve(self.listener, self.token, sender, count_call));
        let ctx = ctx.clone();
        tokio::task::spawn_local(async move {
            while let Some(request) = requests.recv().await {
                ctx.send(Event::OperatorRequest(request)).await;
            }
        });
    }
}

/// Creates the version manager. The id of this start must be unique even if the configured seed is
/// reused, so its random part comes from the process.
pub fn version_manager(
    name: &str,
    keep: RetentionLimits,
    channel: &ChannelLimits,
) -> VersionManager {
    let random = RandomState::new().hash_one(std::process::id()) as u32;
    let start = start_id(unix_ms(), random);
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

/// Rollbacks or releases requested from the module, and the channel for the response.
struct PendingRollback {
    tables: BTreeSet<TableId>,
    releases: bool,
    rows: Vec<RollbackRow>,
    answer: oneshot::Sender<ApiResponse>,
}

#[derive(Default)]
pub struct Rollbacks {
    pending: Vec<PendingRollback>,
    /// Tables that are held at an earlier version.
    pub held: BTreeSet<TableId>,
}

fn refusal(status: u16, what: impl Into<String>, instead: &str) -> ApiResponse {
    ApiResponse::Refused {
        refusal: ApiError::new(status, what, Some(instead)),
    }
}

fn rollback_row(table: TableId, what: &RollbackStatus) -> RollbackRow {
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

impl Rollbacks {
    /// Answers a request immediately, or returns the inputs that it requires.
    pub fn handle(
        &mut self,
        now: f64,
        request: PendingRequest,
        orders: &Orders,
        servers: Option<&ServerFile>,
    ) -> Vec<Input> {
        let PendingRequest { ask, answer } = request;
        let disabled = |what: &str, setting: &str| {
            refusal(
                409,
                what,
                &format!("write {setting} into the operators' file and start the assigner anew"),
            )
        };
        let outcome = match (ask, &orders.manager, servers) {
            (ApiRequest::Servers, _, Some(servers)) => {
                Ok(ApiResponse::Servers(servers.snapshot(now)))
            }
            (ApiRequest::Servers, ..) => Ok(disabled(
                "no file lists the servers here",
                "servers(file = ...)",
            )),
            (_, None, _) => Ok(disabled("versions are not kept here", "versions()")),
            (ApiRequest::Versions { table }, Some(mgr), _) => Ok(versions(&mgr.history, table)),
            (ApiRequest::Holders, Some(mgr), _) => Ok(holders(now, mgr, orders, &self.held)),
            (ApiRequest::Diff { from, to }, Some(mgr), _) => Ok(diff(&mgr.history, &from, &to)),
            (ApiRequest::Rollback { to, table, all }, Some(mgr), _) => {
                rollback(mgr, &to, table, all)
            }
            (ApiRequest::Release { table: Some(table) }, ..) => {
                Err(vec![Input::ReleaseRollback { table }])
            }
            (ApiRequest::Release { .. }, ..) if self.held.is_empty() => {
                Ok(refusal(409, "no table is held back", "see holders"))
            }
            (ApiRequest::Release { .. }, ..) => Err(self
                .held
                .iter()
                .map(|table| Input::ReleaseRollback { table: *table })
                .collect()),
        };
        match outcome {
            Ok(response) => {
                // The client may have disconnected.
                _ = answer.send(response);
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
                self.pending.push(PendingRollback {
                    tables,
                    releases,
                    rows: Vec::new(),
                    answer,
                });
                inputs
            }
        }
    }

    /// Records the outcome of a rollback and answers requests that have no more tables pending.
    pub fn record_status(&mut self, table: TableId, what: &RollbackStatus) {
        match what {
            RollbackStatus::Held { .. } => _ = self.held.insert(table),
            RollbackStatus::Ended(_) => _ = self.held.remove(&table),
            RollbackStatus::Refused(_) => {}
        }
        let ended = matches!(what, RollbackStatus::Ended(_));
        let is_waiting =
            |w: &&mut PendingRollback| w.tables.contains(&table) && (w.releases || !ended);
        let Some(pending) = self.pending.iter_mut().find(is_waiting) else {
            return;
        };
        pending.tables.remove(&table);
        pending.rows.push(rollback_row(table, what));
        for done in self.pending.extract_if(.., |w| w.tables.is_empty()) {
            _ = done
                .answer
                .send(ApiResponse::Back(RollbackList { tables: done.rows }));
        }
    }
}

fn versions(history: &History, table: Option<TableId>) -> ApiResponse {
    let retained = history
        .all()
        .filter(|(id, _)| table.is_none_or(|t| t == *id));
    let rows = retained.map(|(id, issued)| VersionRow {
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

fn sync_state_name(state: SyncState) -> &'static str {
    match state {
        SyncState::Unknown => "unknown",
        SyncState::Behind => "behind",
        SyncState::InSync => "in step",
        SyncState::Lost => "lost",
        SyncState::Diverged => "diverged",
    }
}

fn holders(
    now: f64,
    mgr: &VersionManager,
    orders: &Orders,
    held_back: &BTreeSet<TableId>,
) -> ApiResponse {
    let named = |n: Option<u64>| n.map(|n| mgr.history.version(n).to_string());
    let mut holders = Vec::new();
    for (dispatcher, entry) in mgr.deliveries.entries() {
        for (table, held) in entry.tables() {
            let kinds = kinds_in(mgr.kinds_of(dispatcher, table));
            holders.push(HolderRow {
                dispatcher,
                joined: entry.joined,
                speaks: entry.reports_versions,
                kinds: kinds
                    .filter_map(|k| orders.kinds().get(k).cloned())
                    .collect(),
                table,
                judged: sync_state_name(held.sync_state).into(),
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
        assigner: mgr.history.issuer().assigner.to_string(),
        holders,
    })
}

fn diff(history: &History, from: &str, to: &str) -> ApiResponse {
    let find = |text: &str| {
        let version: Version = text
            .parse()
            .map_err(|e| refusal(400, format!("{e}"), "see versions"))?;
        let found = history
            .find(&version)
            .map_err(|e| refusal(404, format!("{e}"), "see versions"))?;
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

fn rollback(
    mgr: &VersionManager,
    to: &str,
    table: Option<TableId>,
    all: bool,
) -> Result<ApiResponse, Vec<Input>> {
    let version: Version = match to.parse() {
        Ok(version) => version,
        Err(e) => return Ok(refusal(400, format!("{e}"), "see versions")),
    };
    let tables = match mgr.rollback_tables(&version, table, all) {
        Ok(tables) => tables,
        Err(e) => return Ok(refusal(404, format!("{e}"), "see versions")),
    };
    let lines = |table: &rookpulley_versions::Table| {
        table.lines().map(|(n, w)| (server_id(n), w)).collect()
    };
    Err(tables
        .iter()
        .map(|(id, table)| Input::Rollback {
            table: *id,
            lines: lines(table),
        })
        .collect())
}
