//! Start of a member from the contents of its disk, and bootstrap of the first view.

use super::Chain;
use crate::after_sync::AfterSync;
use crate::input::StartState;
use crate::persisted::{self, PersistedState};
use crate::reconfiguration_state::Reconfiguration;
use crate::replication_state::ReplicationState;
use crate::reply_cache::ReplyCache;
use crate::state::State;
use crate::view::View;
use crate::{catch_up_state, pending_requests};
use std::collections::{BTreeMap, VecDeque};

impl<S: State> Chain<S> {
    /// Starts at the time `now`. `state` must be empty; the snapshot on disk is restored into it.
    ///
    /// All entries known to be committed are applied immediately, so this replica does not go back behind state that it
    /// has already exposed. Later entries wait for a view.
    pub fn start(now: u64, start: StartState, mut state: S) -> Self {
        let PersistedState {
            mut installed,
            abandoned,
            acceptor,
            views,
            snapshot,
            log,
            committed,
            entry_range,
            mut corrupted,
        } = start.persisted.unwrap_or_default();
        let mut replication = ReplicationState::default();
        let mut reply_cache = ReplyCache::default();
        let mut snapshot_chunks = 0;
        if let Some((header, bytes)) = snapshot {
            let decoded = ReplyCache::decode(&bytes).filter(|(_, rest)| state.restore(rest));
            corrupted |= decoded.is_none();
            if let Some((decoded, _)) = decoded {
                reply_cache = decoded;
                snapshot_chunks = header.chunks;
                replication.start_from_snapshot(header.seq, header.at_ms, now);
                replication.resume_with_log(header.at_ms.max(committed.at_ms), now, log);
            }
        }
        if let Some(found) = entry_range {
            replication.include_disk_entries(&found);
        }
        if corrupted {
            // Without a readable state this replica can't be the source of a view.
            installed = 0;
        }
        let mut chain = Self {
            me: start.me,
            tolerated_losses: start.tolerated_losses,
            seed: start.seed,
            state,
            views,
            view_learned_ms: now,
            installed,
            abandoned,
            active: 0,
            acceptor,
            corrupted,
            replication,
            reply_cache,
            snapshot_chunks,
            peers: BTreeMap::new(),
            reconfiguration: Reconfiguration::default(),
            requests: pending_requests::PendingRequests::default(),
            catch_up: catch_up_state::CatchUp::default(),
            digests: catch_up_state::Digests::default(),
            disk_slow: false,
            first_write_synced: false,
            last_tick_ms: now,
            resumed_ms: 0,
            heartbeat_sent_ms: 0,
            ticket: 0,
            after_sync: VecDeque::new(),
            effects: Vec::new(),
        };
        chain.apply_up_to(committed.seq);
        // Replayed entries are not state changes for the caller.
        chain.effects.clear();
        let incarnation_record = persisted::put_incarnation(chain.me.incarnation);
        chain.write(vec![incarnation_record], AfterSync::FirstWriteSynced);
        if start.founder {
            chain.bootstrap();
        }
        chain
    }

    /// Writes the first view, with this controller as its only member. It is announced only once it is on disk, so a
    /// crash before that restarts the bootstrap.
    pub(super) fn bootstrap(&mut self) {
        let is_bootstrapping = self
            .after_sync
            .iter()
            .any(|(_, next)| matches!(next, AfterSync::Bootstrapped));
        if is_bootstrapping || !self.views.is_empty() {
            return;
        }
        self.log("bootstrapping the first view");
        let view = self.first_view();
        let mut records = self.initial_snapshot_records();
        records.extend([
            self.committed_record(),
            persisted::put_view(&view),
            persisted::put_installed(view.number),
        ]);
        self.write(records, AfterSync::Bootstrapped);
    }

    pub(super) fn handle_bootstrapped(&mut self, now: u64) {
        let view = self.first_view();
        let number = view.number;
        self.replication.installing = number;
        self.learn_views(now, vec![view]);
        self.handle_installed(now, number);
    }

    fn first_view(&self) -> View {
        View {
            number: 1,
            members: vec![self.me],
            voters: Vec::new(),
        }
    }
}
