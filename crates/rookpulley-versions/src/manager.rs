//! History and ledger together: what an assigner asks of them, in the order in which it happens.
//!
//! The module decides a table's lines; the book names them, finds the shortest way for each dispatcher and
//! says whom the module must write anew.

use crate::deliveries::{AckTimeouts, Claim, DeliveryTracker, SyncState};
use crate::delta::Update;
use crate::history::{History, LookupError, RetentionLimits};
use crate::holder::Order;
use crate::table::Table;
use crate::version::{Issuer, Version};
use crate::{DispatcherId, Kinds, TableId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Those that left are shown for so long.
const SHOWN_MS: f64 = 600_000.0;

pub struct VersionManager {
    pub history: History,
    pub deliveries: DeliveryTracker,
    /// What a dispatcher said at its joining, by request kinds, until its tables are known.
    brought: BTreeMap<DispatcherId, BTreeMap<Kinds, Claim>>,
    /// Which table a dispatcher has for which request kinds.
    bound: BTreeMap<(DispatcherId, Kinds), TableId>,
    /// The same the other way round.
    users: BTreeMap<TableId, BTreeSet<DispatcherId>>,
    /// Tables that must go out whole and that the module has not counted so: they are not written but owed.
    uncounted: BTreeSet<TableId>,
    /// When the ledger is next asked who is due.
    look_at_ms: f64,
}

impl VersionManager {
    pub fn new(issuer: Issuer, first: u64, bounds: RetentionLimits, patience: AckTimeouts) -> Self {
        let (brought, bound, users) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            history: History::new(issuer, first, bounds),
            deliveries: DeliveryTracker::new(patience),
            brought,
            bound,
            users,
            uncounted: BTreeSet::new(),
            look_at_ms: 0.0,
        }
    }

    /// Joins with what it says it holds; None: it says nothing of versions.
    pub fn join(
        &mut self,
        now: f64,
        dispatcher: DispatcherId,
        claims: Option<BTreeMap<Kinds, Claim>>,
    ) {
        self.deliveries
            .join(now, dispatcher, claims.is_some(), &mut self.history);
        self.deliveries.forget_departed(now - SHOWN_MS);
        for (_, id) in self
            .bound
            .extract_if((dispatcher, 0)..=(dispatcher, Kinds::MAX), |_, _| true)
        {
            self.users
                .entry(id)
                .and_modify(|users| _ = users.remove(&dispatcher));
        }
        self.brought.remove(&dispatcher);
        if let Some(claims) = claims.filter(|c| !c.is_empty()) {
            self.brought.insert(dispatcher, claims);
        }
    }

    pub fn leave(&mut self, now: f64, dispatcher: DispatcherId) {
        self.deliveries
            .disconnect(now, dispatcher, &mut self.history);
        self.brought.remove(&dispatcher);
    }

    /// A table's lines as they stand now; a new version where they differ from its newest.
    pub fn issue(&mut self, now: f64, id: TableId, table: Table) -> Option<Version> {
        let issued = self.history.issue(now, id, table);
        for who in self
            .users
            .get(&id)
            .into_iter()
            .flatten()
            .filter(|_| issued.is_some())
        {
            self.deliveries.newer_issued(now, *who, id);
        }
        issued
    }

    /// Its table for these request kinds is this one: what it brought for them counts from now on.
    pub fn bind(&mut self, now: f64, dispatcher: DispatcherId, kinds: Kinds, id: TableId) {
        self.bound.insert((dispatcher, kinds), id);
        self.users.entry(id).or_default().insert(dispatcher);
        let brought = self
            .brought
            .get_mut(&dispatcher)
            .and_then(|b| b.remove(&kinds));
        if let Some(claim) = brought {
            self.deliveries
                .record_initial_claim(now, dispatcher, id, claim, &mut self.history);
        }
    }

    pub fn table_for(&self, dispatcher: DispatcherId, kinds: Kinds) -> Option<TableId> {
        self.bound.get(&(dispatcher, kinds)).copied()
    }

    /// The request kinds that a dispatcher has this table for.
    pub fn kinds_of(&self, dispatcher: DispatcherId, table: TableId) -> Kinds {
        let own = self.bound.range((dispatcher, 0)..=(dispatcher, Kinds::MAX));
        own.filter(|(_, id)| **id == table)
            .fold(0, |all, ((_, kinds), _)| all | kinds)
    }

    /// Whether a version of this table was written on the dispatcher's stream.
    pub fn was_sent(&self, dispatcher: DispatcherId, table: TableId) -> bool {
        self.deliveries
            .entry(dispatcher)
            .and_then(|e| e.table(table))
            .is_some_and(|held| held.sent.is_some())
    }

    pub fn reports_versions(&self, dispatcher: DispatcherId) -> bool {
        self.deliveries
            .entry(dispatcher)
            .is_some_and(|e| e.joined && e.reports_versions)
    }

    /// The shortest way for a dispatcher to its table's newest version.
    pub fn order(&self, dispatcher: DispatcherId, id: TableId) -> Option<Order> {
        let newest = self.history.newest(id)?;
        let base = self
            .deliveries
            .base(dispatcher, id)
            .and_then(|n| self.history.get(n));
        let base: Option<&Table> = base.filter(|(of, _)| *of == id).map(|(_, i)| &*i.table);
        Some(Order {
            version: newest.version.clone(),
            update: Update::shortest(base, &newest.table),
        })
    }

    /// The same, for a message in which the module counted the table whole or by its changes. None: it would have
    /// to go out whole and was not counted so; the module is asked to write it anew.
    pub fn order_as_counted(
        &mut self,
        dispatcher: DispatcherId,
        id: TableId,
        whole: bool,
    ) -> Option<Order> {
        let order = self.order(dispatcher, id)?;
        let over = matches!(order.update, Update::Whole(_)) && !whole;
        if over && self.deliveries.base(dispatcher, id).is_none() {
            self.uncounted.insert(id);
            return None;
        }
        Some(order)
    }

    /// What was written of a table did not reach its dispatcher, or it holds something else.
    pub fn is_lost(&self, dispatcher: DispatcherId, id: TableId) -> bool {
        let held = self.deliveries.entry(dispatcher).and_then(|e| e.table(id));
        held.is_some_and(|h| matches!(h.sync_state, SyncState::Lost | SyncState::Diverged))
    }

    /// One message was written: for these tables, with this mark.
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

    /// An answer to a mark, with what is held where that is said.
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

    /// It refused an order and holds this.
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

    /// So often it is worth while to ask who is due.
    pub fn check_interval_ms(&self) -> f64 {
        self.deliveries.check_interval_ms()
    }

    /// Tables that were owed for want of room in a message, once.
    pub fn take_uncounted(&mut self) -> BTreeSet<TableId> {
        std::mem::take(&mut self.uncounted)
    }

    /// As `due`, asked as often as one likes and worked out as often as it is worth while.
    pub fn poll_due(&mut self, now: f64) -> Vec<(DispatcherId, TableId)> {
        if now < self.look_at_ms {
            return Vec::new();
        }
        self.look_at_ms = now + self.check_interval_ms();
        self.due_resends(now)
    }

    /// Whom the module must write anew, by dispatcher and table.
    pub fn due_resends(&mut self, now: f64) -> Vec<(DispatcherId, TableId)> {
        self.deliveries.due_resends(now)
    }

    /// The lines to go back to, by table: those of one version, or of all tables at its moment.
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
        let then = |id| Some((id, self.history.as_of(id, version.number)?.table.clone()));
        Ok(self.history.tables().filter_map(then).collect())
    }

    /// Every joined dispatcher holds, and has proved, the newest version of each of its tables.
    pub fn all_in_sync(&self) -> bool {
        let joined = self.deliveries.entries().filter(|(_, e)| e.joined);
        joined
            .flat_map(|(_, e)| e.tables())
            .all(|(_, held)| held.sync_state == SyncState::InSync)
    }
}
