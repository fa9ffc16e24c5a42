//! One controller's part in the chain: its state, and what comes in handed to where it belongs.

use crate::catch_up::{CatchUp, StateDigests};
use crate::client_requests::PendingRequests;
use crate::deduplication::ReplyCache;
use crate::install::PendingInstall;
use crate::message::{MemberStatus, Message};
use crate::persisted::{self, AcceptorState, PersistedState, VIEWS};
use crate::reconfiguration::{Reconfiguration, StatusReply};
use crate::refound::apart;
use crate::replication::ReplicationState;
use crate::view::{Member, View};
use crate::{Effect, Input, Record, StartState, State};
use std::collections::{BTreeMap, VecDeque};

/// Without two-way contact for so long, a controller is taken for lost.
pub const SILENT_MS: u64 = 600;
/// The same since its line ended: one that lives dials again meanwhile.
const HUNG_UP_MS: u64 = 350;
const PING_MS: u64 = 120;
/// Ticks that are so far apart tell that this process itself was held up.
const HELD_UP_MS: u64 = 250;

/// What to do once something is on the disk.
pub enum AfterSync {
    Send { to: u64, message: Message },
    Installed { number: u64 },
    Appended { view: u64, to: u64 },
    ViewAbandoned { to: u64, ask: u64, number: u64 },
    Bootstrapped,
    CaughtUp,
    DiskProven,
    Nothing,
}

/// Aother controller, as it was last heard.
pub struct PeerState {
    pub standing: MemberStatus,
    pub heard_ms: u64,
    /// The newest clock of its that was heard, and when ours last came back from it.
    pub sent: Option<u64>,
    pub contact_ms: Option<u64>,
    /// The same, whatever became of the line since: of two identities at one address it tells which came later.
    pub echoed: Option<u64>,
}

pub struct Chain<S> {
    pub(crate) me: Member,
    pub(crate) losses: usize,
    pub(crate) seed: u64,
    pub(crate) state: S,
    pub(crate) views: Vec<View>,
    pub(crate) learned_ms: u64,
    pub(crate) installed: u64,
    pub(crate) never: u64,
    pub(crate) at_work: u64,
    pub(crate) vote: AcceptorState,
    /// The disk has lost what was synced: it has no say in views, for it may have forgotten what it said.
    spoilt: bool,
    pub(crate) flow: ReplicationState,
    pub(crate) recent: ReplyCache,
    pub(crate) pieces: u32,
    pub(crate) known: BTreeMap<u64, PeerState>,
    pub(crate) mending: Reconfiguration,
    pub(crate) calls: PendingRequests,
    pub(crate) filling: CatchUp,
    pub(crate) stock: StateDigests,
    pub(crate) slow: bool,
    /// This incarnation has written to its disk. One that can't is not taken into a chain.
    pub(crate) proven: bool,
    pub(crate) ticked_ms: u64,
    pub(crate) woke_ms: u64,
    pinged_ms: u64,
    ticket: u64,
    then: VecDeque<(u64, AfterSync)>,
    pub(crate) out: Vec<Effect>,
}

impl<S: State> Chain<S> {
    pub fn start(now: u64, boot: StartState, mut state: S) -> Self {
        let kept = boot.kept.unwrap_or_default();
        let PersistedState {
            mut installed,
            never,
            vote,
            views,
            snapshot,
            log,
            agreed,
            places,
            mut spoilt,
        } = kept;
        let (mut flow, mut recent, mut pieces) =
            (ReplicationState::default(), ReplyCache::default(), 0);
        if let Some((head, bytes)) = snapshot {
            let parsed = ReplyCache::parse(&bytes).filter(|(_, rest)| state.restore(rest));
            spoilt |= parsed.is_none();
            if let Some((known, _)) = parsed {
                (recent, pieces) = (known, head.pieces);
                flow.begin(head.seq, head.at_ms, now);
                flow.go_on(head.at_ms.max(agreed.1), now, log);
            }
        }
        places.into_iter().for_each(|places| flow.found(places));
        if spoilt {
            // Without its state a disk holds nothing that could be a source.
            installed = 0;
        }
        let mut new = Self {
            me: boot.me,
            losses: boot.losses,
            seed: boot.seed,
            state,
            views,
            learned_ms: now,
            installed,
            never,
            at_work: 0,
            vote,
            spoilt,
            flow,
            recent,
            pieces,
            known: BTreeMap::new(),
            mending: Reconfiguration::default(),
            calls: PendingRequests::default(),
            filling: CatchUp::default(),
            stock: StateDigests::default(),
            slow: false,
            proven: false,
            ticked_ms: now,
            woke_ms: 0,
            pinged_ms: 0,
            ticket: 0,
            then: VecDeque::new(),
            out: Vec::new(),
        };
        // What was shown before is where it begins: nothing has moved yet.
        new.apply_to(agreed.0);
        new.out.clear();
        new.write(
            vec![persisted::put_begun(new.me.incarnation)],
            AfterSync::DiskProven,
        );
        if boot.founder {
            new.found();
        }
        new
    }

    /// Nobody hears of the first view before it is there whole: one that lost its power before founds once more.
    fn found(&mut self) {
        let founding = self
            .then
            .iter()
            .any(|(_, then)| matches!(then, AfterSync::Bootstrapped));
        if founding || !self.views.is_empty() {
            return;
        }
        self.log("founds the first view".into());
        let view = self.first_view();
        let mut records = self.first_state();
        records.extend([
            self.put_agreed(),
            persisted::put_view(&view),
            persisted::put_installed(view.number),
        ]);
        self.write(records, AfterSync::Bootstrapped);
    }

    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => {
                if now > self.ticked_ms + HELD_UP_MS {
                    self.woke_ms = now;
                }
                self.ticked_ms = now;
                if now >= self.pinged_ms + PING_MS {
                    self.pinged_ms = now;
                    self.ping(now);
                }
                self.mend(now);
                self.tend_flow(now);
                self.tend_calls(now);
                self.tend_fill(now);
            }
            Input::Bootstrap => self.found(),
            Input::PeerDiscovered { member } => self.met(now, member),
            Input::Received { from, message } => self.heard(now, from, message),
            Input::Synced { ticket } => {
                while self.then.front().is_some_and(|(t, _)| *t <= ticket) {
                    if let Some((_, then)) = self.then.pop_front() {
                        self.carry_on(now, then);
                    }
                }
            }
            Input::DiskHealth { slow } => {
                self.slow = slow;
                self.mend(now);
            }
            Input::Disconnected { id } => {
                let Some(known) = self.known.get_mut(&id) else {
                    return Vec::new();
                };
                let at_most = now.saturating_sub(SILENT_MS - HUNG_UP_MS);
                known.contact_ms = known.contact_ms.map(|at| at.min(at_most));
            }
            Input::ClientRequest { token, kind, body } => self.call(now, token, kind, body),
        }
        self.compact();
        std::mem::take(&mut self.out)
    }

    fn heard(&mut self, now: u64, from: u64, message: Message) {
        if self.spoilt && message.asks_for_a_say() {
            return;
        }
        match message {
            Message::Heartbeat {
                standing,
                sent,
                echo,
                ledger,
            } => self.pinged(now, from, standing, sent, echo, ledger),
            Message::StatusRequest { ask } => self.say_seen(now, from, ask),
            Message::StatusReply {
                ask,
                standing,
                contacts,
                never,
                views,
            } => {
                self.learn(now, views);
                self.take_seen(
                    now,
                    from,
                    ask,
                    StatusReply {
                        standing,
                        contacts,
                        never,
                    },
                );
            }
            Message::AbandonView { ask, number } => self.bury(from, ask, number),
            Message::ViewAbandoned {
                ask,
                number,
                installed,
            } => self.take_buried(now, from, ask, number, installed),
            Message::Prepare { base, ballot } => self.prepare(now, from, base, ballot),
            Message::Promise {
                number,
                ballot,
                accepted,
            } => self.take_promise(now, from, number, ballot, accepted),
            Message::Accept { ballot, view } => self.accept(from, ballot, view),
            Message::Accepted { number, ballot } => self.take_accepted(now, from, number, ballot),
            Message::Preempted { number, ballot } => self.outbid(now, number, ballot),
            Message::Learn { views } => self.learn(now, views),
            Message::Install {
                view,
                committed,
                at_ms,
                log,
            } => self.take_install(
                now,
                PendingInstall {
                    from,
                    view,
                    committed,
                    at_ms,
                    log,
                },
            ),
            Message::CatchUpRequest { ask, held, piece } => {
                self.fetched(now, from, ask, held, piece)
            }
            Message::CatchUpReply { ask, fill } => self.take_fill(now, from, ask, fill),
            Message::ViewActive { number } => self.works(now, number),
            Message::Forward {
                view,
                echo,
                age_ms,
                from,
                kind,
                body,
            } => self.forwarded(now, view, (echo, age_ms), from, (kind, body)),
            Message::Reject { from } => self.refused(from),
            Message::Append {
                view,
                entries,
                questions,
                synced_to,
            } => {
                self.passed(now, from, view, entries, questions, synced_to);
            }
            Message::Response {
                from,
                view,
                committed,
                body,
            } => self.answered(now, from, (view, committed), body),
            Message::Commit { view, seq } => self.take_commit(view, seq),
        }
    }

    fn carry_on(&mut self, now: u64, then: AfterSync) {
        match then {
            AfterSync::Send { to, message } => self.send(now, to, message),
            AfterSync::Installed { number } => self.has_installed(now, number),
            AfterSync::Appended { view, to } => self.entries_synced(now, view, to),
            AfterSync::ViewAbandoned { to, ask, number } => {
                let installed = self.installed;
                self.send(
                    now,
                    to,
                    Message::ViewAbandoned {
                        ask,
                        number,
                        installed,
                    },
                );
            }
            AfterSync::Bootstrapped => {
                let view = self.first_view();
                self.flow.installing = view.number;
                self.learn(now, vec![view.clone()]);
                self.has_installed(now, view.number);
            }
            AfterSync::CaughtUp => self.filled(now),
            AfterSync::DiskProven => {
                self.proven = true;
                self.ping(now);
                self.mend(now);
            }
            AfterSync::Nothing => {}
        }
    }

    fn first_view(&self) -> View {
        View {
            number: 1,
            members: vec![self.me],
            voters: Vec::new(),
        }
    }

    // ---- what all parts use -----------------------------------------------------------------

    /// Sends, or takes at once what is meant for ourselves.
    pub(crate) fn send(&mut self, now: u64, to: u64, message: Message) {
        if to == self.me.id {
            self.heard(now, to, message);
        } else {
            self.out.push(Effect::Send { to, message });
        }
    }

    pub(crate) fn write(&mut self, records: Vec<Record>, then: AfterSync) {
        self.ticket += 1;
        self.then.push_back((self.ticket, then));
        self.out.push(Effect::Write {
            ticket: self.ticket,
            records,
        });
    }

    pub(crate) fn log(&mut self, line: String) {
        self.out.push(Effect::Log(format!("chain: {line}")));
    }

    pub fn view(&self) -> Option<&View> {
        self.views.last()
    }

    pub(crate) fn decided(&self) -> u64 {
        self.view().map_or(0, |v| v.number)
    }

    /// Whether the newest view known is at work. Where a later one is, this one must first be learned.
    pub(crate) fn is_at_work(&self) -> bool {
        self.at_work > 0 && self.at_work == self.decided()
    }

    /// The newest view, where this incarnation of this controller is a member of it and has installed it.
    pub(crate) fn acting(&self) -> Option<&View> {
        let view = self.view()?;
        (view.number == self.installed && view.names(self.me.id, self.me.incarnation))
            .then_some(view)
    }

    pub(crate) fn in_contact(&self, now: u64, id: u64) -> bool {
        let contact = |k: &PeerState| k.contact_ms.is_some_and(|at| now < at + SILENT_MS);
        id == self.me.id || self.known.get(&id).is_some_and(contact)
    }

    /// In two-way contact with most of a view that is at work.
    pub fn in_touch(&self, now: u64) -> bool {
        let Some(view) = self.view().filter(|_| self.is_at_work()) else {
            return false;
        };
        view.acceptors()
            .filter(|m| self.in_contact(now, m.id))
            .count()
            >= view.majority()
    }

    /// In touch, and part of the chain: what is applied here is as new as it can be.
    pub fn serving(&self, now: u64) -> bool {
        self.in_touch(now) && self.acting().is_some()
    }

    pub fn me(&self) -> Member {
        self.me
    }

    /// What is applied here.
    pub fn state(&self) -> &S {
        &self.state
    }

    pub fn status(&self) -> String {
        let members = self.view().map_or(Vec::new(), |v| {
            v.members
                .iter()
                .map(|m| m.address.ip().to_string())
                .collect()
        });
        let (view, work, seq) = (self.decided(), self.at_work, self.flow.committed);
        let part = if self.acting().is_some() {
            "acting"
        } else {
            "idle"
        };
        format!(
            "view {view} of {}, at work {work}, {part}, update {seq}",
            members.join(" ")
        )
    }

    pub(crate) fn standing(&self) -> MemberStatus {
        MemberStatus {
            me: self.me,
            decided: self.decided(),
            installed: self.installed,
            at_work: self.at_work,
            last: self.flow.last,
            committed: self.flow.committed,
            slow: self.slow || !self.proven,
            swept: self.stock.swept,
        }
    }

    /// Takes decided views. Older ones that were missed are remembered as well: a view that never came to work can
    /// only be passed over by who knows its members.
    pub(crate) fn learn(&mut self, now: u64, views: Vec<View>) {
        let before = self.decided();
        let oldest = if self.views.len() < VIEWS {
            0
        } else {
            self.views.first().map_or(0, |v| v.number)
        };
        let unknown =
            |v: &View| v.number > oldest && self.views.iter().all(|k| k.number != v.number);
        let mut new: Vec<View> = views.into_iter().filter(|v| unknown(v)).collect();
        new.sort_by_key(|v| v.number);
        new.dedup_by_key(|v| v.number);
        if new.is_empty() {
            return;
        }
        let mut records: Vec<Record> = new.iter().map(persisted::put_view).collect();
        self.views.extend(new);
        self.views.sort_by_key(|v| v.number);
        while self.views.len() > VIEWS {
            records.push(persisted::drop_view(self.views.remove(0).number));
        }
        self.write(records, AfterSync::Nothing);
        let Some(view) = self.views.last().filter(|v| v.number > before) else {
            return;
        };
        let names: Vec<String> = view
            .members
            .iter()
            .map(|m| m.address.ip().to_string())
            .collect();
        self.log(format!(
            "view {} is decided: {}",
            self.decided(),
            names.join(" ")
        ));
        if apart(before, self.decided()) {
            self.log("the chain was founded anew without what is kept here: it is given up".into());
            self.out.push(Effect::DiscardStore);
        }
        self.learned_ms = now;
        self.mending.calm(now);
        self.filling.give_up();
        self.flow.questions.clear();
        self.install_as_source(now);
    }

    pub(crate) fn works(&mut self, now: u64, number: u64) {
        if number <= self.at_work {
            return;
        }
        self.at_work = number;
        if number != self.decided() {
            return;
        }
        self.log(format!("view {number} is at work"));
        if self.ledger_time(now).is_some() {
            // Nobody can hand on a call before he has heard our time.
            self.ping(now);
        }
        self.forward_due(now);
    }

    // ---- who is there -----------------------------------------------------------------------

    fn met(&mut self, now: u64, member: Member) {
        if member.id == self.me.id {
            return;
        }
        let standing = MemberStatus::of(member);
        let fresh = PeerState {
            standing,
            heard_ms: now,
            sent: None,
            contact_ms: None,
            echoed: None,
        };
        let known = self.known.entry(member.id).or_insert(fresh);
        if known.standing.me.incarnation != member.incarnation {
            (known.standing.me, known.sent, known.contact_ms) = (member, None, None);
        }
        // Who has just come is heard of both ways as soon as can be.
        if known.contact_ms.is_none() {
            self.ping_one(now, member.id);
        }
    }

    /// Our steady clock, from a start of this incarnation's own: an echo of an earlier incarnation means nothing.
    fn mark(&self, now: u64) -> u64 {
        (self.me.incarnation >> 16) + now
    }

    fn ping_one(&mut self, now: u64, to: u64) {
        let Some(echo) = self.known.get(&to).map(|k| k.sent) else {
            return;
        };
        let (standing, sent, ledger) = (self.standing(), self.mark(now), self.ledger_time(now));
        self.out.push(Effect::Send {
            to,
            message: Message::Heartbeat {
                standing,
                sent,
                echo,
                ledger,
            },
        });
    }

    pub(crate) fn ping(&mut self, now: u64) {
        let old = |k: &PeerState| now > k.heard_ms + 30_000;
        let view = self.views.last();
        self.known
            .retain(|id, k| !old(k) || view.is_some_and(|v| v.votes(*id)));
        let to: Vec<u64> = self.known.keys().copied().collect();
        to.into_iter().for_each(|to| self.ping_one(now, to));
    }

    fn pinged(
        &mut self,
        now: u64,
        from: u64,
        standing: MemberStatus,
        sent: u64,
        echo: Option<u64>,
        ledger: Option<u64>,
    ) {
        let begin = self.mark(0);
        let Some(known) = self
            .known
            .get_mut(&from)
            .filter(|k| k.standing.me.incarnation == standing.me.incarnation)
        else {
            return self.met(now, standing.me);
        };
        let first = known.sent.is_none();
        let news = known.contact_ms.is_none() || known.standing.slow != standing.slow;
        known.heard_ms = now;
        known.sent = Some(sent);
        // Our clock came back: both ways were open since then.
        let echo = echo.and_then(|mark| mark.checked_sub(begin));
        let contact = echo.filter(|e| *e <= now && now < *e + SILENT_MS);
        known.standing = standing.clone();
        if let Some(at) = contact {
            known.contact_ms = known.contact_ms.max(Some(at));
            known.echoed = known.echoed.max(Some(at));
            // Two identities at one address: only the later one is there, the other has lost its disk.
            let there = |k: &PeerState| k.standing.me.address == standing.me.address;
            if self
                .known
                .iter()
                .any(|(id, k)| *id != from && there(k) && k.echoed > Some(at))
            {
                self.known.remove(&from);
                return;
            }
            self.known.retain(|id, k| *id == from || !there(k));
        }
        if first {
            self.ping_one(now, from);
        }
        if let Some(ledger) = ledger {
            self.calls
                .heard_ledger(standing.installed, from, ledger, now);
        }
        self.works(now, standing.at_work.min(self.decided()));
        if ledger.is_some() {
            self.forward_due(now);
        }
        if standing.decided < self.decided() {
            let views = self
                .views
                .iter()
                .filter(|v| v.number > standing.decided)
                .cloned()
                .collect();
            self.send(now, from, Message::Learn { views });
        }
        self.look_after_successor(now, from, &standing);
        self.fetch(now);
        self.compare_stock(standing.swept);
        if news {
            self.mend(now);
        }
    }
}
