//! Combines the version history with delivery tracking.
//!
//! The decision module determines the lines of a table. The manager assigns version identifiers, selects the
//! shortest update for each dispatcher, and reports which tables must be sent again.

use crate::deliveries::{AckTimeouts, Claim, DeliveryTracker, SyncState};
use crate::delta::Update;
use crate::history::{History, LookupError, RetentionLimits};
use crate::holder::Order;
use crate::table::Table;
use crate::version::{Issuer, Version};
use crate::{DispatcherId, Kinds, TableId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long dispatchers that left stay listed.
const DEPARTED_RETENTION_MS: f64 = 600_000.0;

/// The versions of all tables of one assigner start and their delivery to dispatchers.
pub struct VersionManager {
    pub history: History,
    pub deliveries: DeliveryTracker,
    /// Claims made on joining, by request kinds, until the tables for these kinds are bound.
    initial_claims: BTreeMap<DispatcherId, BTreeMap<Kinds, Claim>>,
    /// The table of each dispatcher and set of request kinds.
    bindings: BTreeMap<(DispatcherId, Kinds), TableId>,
    /// The dispatchers of each table.
    table_users: BTreeMap<TableId, BTreeSet<DispatcherId>>,
    /// Tables that must be sent whole although the decision module counted only changes. They are not written;
    /// the module is asked to send them again.
    uncounted: BTreeSet<TableId>,
    /// When `poll_due` next checks for resends.
    next_check_ms: f64,
}

impl VersionManager {
    pub fn new(issuer: Issuer, first: u64, limits: RetentionLimits, timeouts: AckTimeouts) -> Self {
        let (initial_claims, bindings, table_users) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            history: History::new(issuer, first, limits),
            deliveries: DeliveryTracker::new(timeouts),
            initial_claims,
            bindings,
            table_users,
            uncounted: BTreeSet::new(),
            next_check_ms: 0.0,
        }
    }

    /// Registers a joined dispatcher with the tables it claims to hold; `None` if it does not report versions.
    pub fn join(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        claims: Option<BTreeMap<Kinds, Claim>>,
    ) {
        self.deliveries
            .join(now, dispatcher, claims.is_some(), &mut self.history);
        self.deliveries.forget_departed(now - DEPARTED_RETENTION_MS);
        for (_, id) in self
            .bindings
            .extract_if((dispatcher, 0)..=(dispatcher, Kinds::MAX), |_, _| true)
        {
            self.table_users
                .entry(id)
                .and_modify(|users| _ = users.remove(&dispatcher));
        }
        self.initial_claims.remove(&dispatcher);
        if let Some(claims) = claims.filter(|c| !c.is_empty()) {
            self.initial_claims.insert(dispatcher, claims);
        }
    }

    pub fn leave(&mut self, now: f64, dispatcher: DispatcherId) {
        self.deliveries
            .disconnect(now, dispatcher, &mut self.history);
        self.initial_claims.remove(&dispatcher);
    }

    /// Issues a new version if the table differs from its newest one.
    pub fn issue(&mut self, now: f64, id: TableId, table: Table) -> Option<Version> {
        let issued = self.history.issue(now, id, table);
        for dispatcher in self
            .table_users
            .get(&id)
            .into_iter()
            .flatten()
            .filter(|_| issued.is_some())
        {
            self.deliveries.newer_issued(now, *dispatcher, id);
        }
        issued
    }

    /// Binds a dispatcher to a table for these request kinds and evaluates its initial claim for them.
    pub fn bind(&mut self, now: f64, dispatcher: DispatcherId, kinds: Kinds, id: TableId) {
        self.bindings.insert((dispatcher, kinds), id);
        self.table_users.entry(id).or_default().insert(dispatcher);
        let initial_claim = self
            .initial_claims
            .get_mut(&dispatcher)
            .and_then(|b| b.remove(&kinds));
        if let Some(claim) = initial_claim {
            self.deliveries
                .record_initial_claim(now, dispatcher, id, claim, &mut self.history);
        }
    }

    pub fn table_for(&self, dispatcher: DispatcherId, kinds: Kinds) -> Option<TableId> {
        self.bindings.get(&(dispatcher, kinds)).copied()
    }

    /// The request kinds for which a dispatcher uses this table.
    pub fn kinds_of(&self, dispatcher: DispatcherId, table: TableId) -> Kinds {
        let bindings = self
            .bindings
            .range((dispatcher, 0)..=(dispatcher, Kinds::MAX));
        bindings
            .filter(|(_, id)| **id == table)
            .fold(0, |all, ((_, kinds), _)| all | kinds)
    }

    /// Whether a version of this table was written on the current stream of the dispatcher.
    pub fn was_sent(&self, dispatcher: DispatcherId, table: TableId) -> bool {
        self.deliveries
            .entry(dispatcher)
            .and_then(|e| e.table(table))
            .is_some_and(|state| state.sent.is_some())
    }

    pub fn reports_versions(&self, dispatcher: DispatcherId) -> bool {
        self.deliveries
            .entry(dispatcher)
            .is_some_and(|e| e.joined && e.reports_versions)
    }

    /// The shortest order that brings a dispatcher to the newest version of a table.
    pub fn order(&self, dispatcher: DispatcherId, id: TableId) -> Option<Order> {
        let newest = self.history.newest(id)?;
        let base = self
            .deliveries
            .delta_base(dispatcher, id)
            .and_then(|n| self.history.get(n));
        let base: Option<&Table> = base.filter(|(of, _)| *of == id).map(|(_, i)| &*i.table);
        Some(Order {
            version: newest.version.clone(),
            update: Update::shortest(base, &newest.table),
        })
    }

    /// Like `order`, but returns `None` and asks for a resend if the whole table must be sent on no known base
    /// while the module counted only its changes (`whole` is false).
    pub fn order_as_counted(
        &mut self,
        dispatcher: DispatcherId,
        id: TableId,
        whole: bool,
    ) -> Option<Order> {
        let order = self.order(dispatcher, id)?;
        let exceeds_count = matches!(order.update, Update::Whole(_)) && !whole;
        if exceeds_count && self.deliveries.delta_base(dispatcher, id).is_none() {
            self.uncounted.insert(id);
            return None;
        }
        Some(order)
    }

    /// Whether a table was lost on the way or the dispatcher holds an unknown one.
    pub fn is_lost(&self, dispatcher: DispatcherId, id: TableId) -> bool {
        let state = self.deliveries.entry(dispatcher).and_then(|e| e.table(id));
        state.is_some_and(|h| matches!(h.sync_state, SyncState::Lost | SyncState::Diverged))
    }

    /// Records that a message with the newest versions of these tables and an optional mark was written.
    pub fn record_sent(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        tables: &[TableId],
        mark: Option<u64>,
    ) {
        let number = |id: &TableId| Some((*id, self.history.newest(*id)?.version.number));
        let versions: Vec<_> = tables.iter().filter_map(number).collect();
        self.deliveries
            .record_sent(now, dispatcher, &versions, mark, &mut self.history);
    }

    /// Handles an acknowledgement with the claims it carries, if any.
    pub fn acknowledge(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        mark: u64,
        claims: &BTreeMap<Kinds, Claim>,
    ) {
        if !self.reports_versions(dispatcher) {
            return self
                .deliveries
                .acknowledge(now, dispatcher, mark, &mut self.history);
        }
        let by_table = |(kinds, claim): (&Kinds, &Claim)| {
            Some((self.table_for(dispatcher, *kinds)?, claim.clone()))
        };
        let claims = claims.iter().filter_map(by_table).collect();
        self.deliveries
            .acknowledge_with_claims(now, dispatcher, mark, &claims, &mut self.history);
    }

    /// Handles a refused order; `claim` is the table that the dispatcher holds.
    pub fn record_refusal(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        kinds: Kinds,
        claim: Option<Claim>,
    ) {
        if let Some(id) = self.table_for(dispatcher, kinds) {
            self.deliveries
                .record_refusal(now, dispatcher, id, claim, &mut self.history);
        }
    }

    /// The interval at which `poll_due` checks for resends.
    pub fn check_interval_ms(&self) -> f64 {
        self.deliveries.check_interval_ms()
    }

    /// Takes the tables that were not written because only their changes were counted.
    pub fn take_uncounted(&mut self) -> BTreeSet<TableId> {
        std::mem::take(&mut self.uncounted)
    }

    /// Like `due_resends`, but limited to one check per `check_interval_ms`.
    pub fn poll_due(&mut self, now: f64) -> Vec<(DispatcherId, TableId)> {
        if now < self.next_check_ms {
            return Vec::new();
        }
        self.next_check_ms = now + self.check_interval_ms();
        self.due_resends(now)
    }

    /// The dispatchers and tables that must be sent again now.
    pub fn due_resends(&mut self, now: f64) -> Vec<(DispatcherId, TableId)> {
        self.deliveries.due_resends(now)
    }

    /// The tables to roll back to: that of one version, or with `all` those of all tables at the time of the
    /// version.
    pub fn rollback_tables(
        &self,
        version: &Version,
        table: Option<TableId>,
        all: bool,
    ) -> Result<Vec<(TableId, Arc<Table>)>, LookupError> {
        let (of, issued) = self.history.find(version)?;
        if !all {
            return match table {
                Some(wanted) if wanted != of => Err(LookupError::OtherTable {
                    version: version.clone(),
                    of,
                    wanted,
                }),
                _ => Ok(vec![(of, issued.table.clone())]),
            };
        }
        let table_at = |id| Some((id, self.history.as_of(id, version.number)?.table.clone()));
        Ok(self.history.tables().filter_map(table_at).collect())
    }

    /// Whether every joined dispatcher has confirmed the newest version of each of its tables.
    pub fn all_in_sync(&self) -> bool {
        let joined = self.deliveries.entries().filter(|(_, e)| e.joined);
        joined
            .flat_map(|(_, e)| e.tables())
            .all(|(_, state)| state.sync_state == SyncState::InSync)
    }
}
