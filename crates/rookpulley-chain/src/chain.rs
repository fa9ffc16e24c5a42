//! One office's part in the chain: its state, and what comes in handed to where it belongs.

use crate::entry::Calls;
use crate::flow::Flow;
use crate::kept::{self, Kept, VIEWS, Vote};
use crate::mend::Mending;
use crate::message::{Message, Standing};
use crate::view::{Member, View};
use crate::{Boot, Effect, Input, Record, State};
use std::collections::{BTreeMap, VecDeque};

/// Without two-way contact for so long, an office is taken for lost.
pub const SILENT_MS: u64 = 700;
const PING_MS: u64 = 140;

/// What to do once something is on the disk.
pub enum Then {
    Send { to: u64, message: Message },
    Installed { number: u64 },
    Entries { view: u64, to: u64 },
    Buried { to: u64, ask: u64, number: u64 },
    Nothing,
}

/// Another office, as it was last heard.
pub struct Known {
    pub standing: Standing,
    pub heard_ms: u64,
    /// The newest clock of its that was heard, and when ours last came back from it.
    pub sent: Option<u64>,
    pub contact_ms: Option<u64>,
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
    pub(crate) vote: Vote,
    /// What the disk holds behind the snapshot, as far as it isn't applied.
    pub(crate) flow: Flow,
    pub(crate) pieces: u32,
    pub(crate) known: BTreeMap<u64, Known>,
    pub(crate) mending: Mending,
    pub(crate) calls: Calls,
    pub(crate) slow: bool,
    pub(crate) pinged_ms: u64,
    ticket: u64,
    then: VecDeque<(u64, Then)>,
    pub(crate) out: Vec<Effect>,
}

impl<S: State> Chain<S> {
    pub fn start(now: u64, boot: Boot, mut state: S) -> Self {
        let kept = boot.kept.unwrap_or_default();
        let Kept { mut installed, never, vote, views, snapshot, log } = kept;
        let mut flow = Flow::default();
        let mut pieces = 0;
        if let Some((head, bytes)) = snapshot {
            if state.restore(&bytes) {
                pieces = head.pieces;
                flow.begin(head.seq, head.at_ms, now);
                flow.hold(log);
            } else {
                installed = 0;
            }
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
            flow,
            pieces,
            known: BTreeMap::new(),
            mending: Mending::default(),
            calls: Calls::default(),
            slow: false,
            pinged_ms: 0,
            ticket: 0,
            then: VecDeque::new(),
            out: Vec::new(),
        };
        if boot.founder && new.views.is_empty() {
            new.log("founds the first view".into());
            new.learn(now, View { number: 1, members: vec![new.me] });
        }
        new
    }

    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => {
                if now >= self.pinged_ms + PING_MS {
                    self.pinged_ms = now;
                    self.ping(now);
                }
                self.mend(now);
                self.tend_flow(now);
                self.tend_calls(now);
            }
            Input::Met { member } => self.met(now, member),
            Input::Heard { from, message } => self.heard(now, from, message),
            Input::Synced { ticket } => {
                while self.then.front().is_some_and(|(t, _)| *t <= ticket) {
                    if let Some((_, then)) = self.then.pop_front() {
                        self.carry_on(now, then);
                    }
                }
            }
            Input::Disk { slow } => self.slow = slow,
            Input::Call { token, kind, body } => self.call(now, token, kind, body),
        }
        std::mem::take(&mut self.out)
    }

    fn heard(&mut self, now: u64, from: u64, message: Message) {
        match message {
            Message::Ping { standing, sent, echo, ledger } => {
                self.pinged(now, from, standing, sent, echo, ledger)
            }
            Message::Opinion { ask } => self.say_seen(now, from, ask),
            Message::Seen { ask, standing, contacts, never } => {
                self.take_seen(from, ask, standing, contacts, never)
            }
            Message::Bury { ask, number } => self.bury(from, ask, number),
            Message::Buried { ask, number, installed } => self.take_buried(from, ask, number, installed),
            Message::Prepare { base, ballot } => self.prepare(now, from, base, ballot),
            Message::Promise { number, ballot, accepted } => {
                self.take_promise(now, from, number, ballot, accepted)
            }
            Message::Accept { ballot, view } => self.accept(from, ballot, view),
            Message::Accepted { number, ballot } => self.take_accepted(now, from, number, ballot),
            Message::Outbid { number, ballot } => self.outbid(now, number, ballot),
            Message::Learn { views } => views.into_iter().for_each(|view| self.learn(now, view)),
            Message::Install { view, seq, at_ms, snapshot } => {
                self.take_install(now, from, view, seq, at_ms, snapshot)
            }
            Message::AtWork { number } => self.works(number),
            Message::Forward { view, echo, from, kind, body } => {
                self.forwarded(now, view, echo, from, kind, body)
            }
            Message::Refuse { from } => self.refused(now, from),
            Message::Pass { view, entries, questions, synced_to } => {
                self.passed(now, from, view, entries, questions, synced_to);
            }
            Message::Answer { from, body } => self.answered(from, body),
            Message::Commit { view, seq } => self.take_commit(view, seq),
        }
    }

    fn carry_on(&mut self, now: u64, then: Then) {
        match then {
            Then::Send { to, message } => self.send(now, to, message),
            Then::Installed { number } => self.has_installed(now, number),
            Then::Entries { view, to } => self.entries_synced(now, view, to),
            Then::Buried { to, ask, number } => {
                let installed = self.installed;
                self.send(now, to, Message::Buried { ask, number, installed });
            }
            Then::Nothing => {}
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

    pub(crate) fn write(&mut self, records: Vec<Record>, then: Then) {
        self.ticket += 1;
        self.then.push_back((self.ticket, then));
        self.out.push(Effect::Write { ticket: self.ticket, records });
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

    /// The newest view, where this life of this office is a member of it and has installed it.
    pub(crate) fn acting(&self) -> Option<&View> {
        let view = self.view()?;
        (view.number == self.installed && view.names(self.me.id, self.me.life)).then_some(view)
    }

    pub(crate) fn in_contact(&self, now: u64, id: u64) -> bool {
        let contact = |k: &Known| k.contact_ms.is_some_and(|at| now < at + SILENT_MS);
        id == self.me.id || self.known.get(&id).is_some_and(contact)
    }

    /// In two-way contact with most of a view that is at work.
    pub fn in_touch(&self, now: u64) -> bool {
        let Some(view) = self.view().filter(|v| v.number <= self.at_work) else { return false };
        view.members.iter().filter(|m| self.in_contact(now, m.id)).count() >= view.majority()
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
        let members = self
            .view()
            .map_or(Vec::new(), |v| v.members.iter().map(|m| m.address.ip().to_string()).collect());
        let (view, work, seq) = (self.decided(), self.at_work, self.flow.committed);
        let part = if self.acting().is_some() { "acting" } else { "idle" };
        format!("view {view} of {}, at work {work}, {part}, update {seq}", members.join(" "))
    }

    pub(crate) fn standing(&self) -> Standing {
        Standing {
            me: self.me,
            decided: self.decided(),
            installed: self.installed,
            at_work: self.at_work,
            last: self.flow.last,
            committed: self.flow.committed,
            slow: self.slow,
        }
    }

    /// Takes a decided view, if it is newer than what is known.
    pub(crate) fn learn(&mut self, now: u64, view: View) {
        if view.number <= self.decided() {
            return;
        }
        self.learned_ms = now;
        let names: Vec<String> = view.members.iter().map(|m| m.address.ip().to_string()).collect();
        self.log(format!("view {} is decided: {}", view.number, names.join(" ")));
        let mut records = vec![kept::put_view(&view)];
        self.views.push(view);
        while self.views.len() > VIEWS {
            records.push(kept::drop_view(self.views.remove(0).number));
        }
        self.write(records, Then::Nothing);
        self.mending.calm(now);
        self.flow.questions.clear();
        self.install_as_source(now);
    }

    pub(crate) fn works(&mut self, number: u64) {
        if number > self.at_work {
            self.at_work = number;
            if number == self.decided() {
                self.log(format!("view {number} is at work"));
            }
        }
    }

    // ---- who is there -----------------------------------------------------------------------

    fn met(&mut self, now: u64, member: Member) {
        if member.id == self.me.id {
            return;
        }
        let standing =
            Standing { me: member, decided: 0, installed: 0, at_work: 0, last: 0, committed: 0, slow: false };
        let fresh = Known { standing, heard_ms: now, sent: None, contact_ms: None };
        let known = self.known.entry(member.id).or_insert(fresh);
        if known.standing.me.life != member.life {
            (known.standing.me, known.sent, known.contact_ms) = (member, None, None);
        }
        let unheard = known.contact_ms.is_none();
        // An address that another identity has now: who was there before has lost its disk.
        self.known.retain(|id, k| *id == member.id || k.standing.me.address != member.address);
        // Who has just come is heard of both ways as soon as can be.
        if unheard {
            self.ping_one(now, member.id);
        }
    }

    fn ping_one(&mut self, now: u64, to: u64) {
        let Some(echo) = self.known.get(&to).map(|k| k.sent) else { return };
        let (standing, ledger) = (self.standing(), self.ledger_time(now));
        self.out.push(Effect::Send { to, message: Message::Ping { standing, sent: now, echo, ledger } });
    }

    fn ping(&mut self, now: u64) {
        let old = |k: &Known| now > k.heard_ms + 30_000;
        let view = self.views.last();
        self.known.retain(|id, k| !old(k) || view.is_some_and(|v| v.place(*id).is_some()));
        let to: Vec<u64> = self.known.keys().copied().collect();
        to.into_iter().for_each(|to| self.ping_one(now, to));
    }

    fn pinged(
        &mut self,
        now: u64,
        from: u64,
        standing: Standing,
        sent: u64,
        echo: Option<u64>,
        ledger: Option<u64>,
    ) {
        let Some(known) = self.known.get_mut(&from).filter(|k| k.standing.me.life == standing.me.life) else {
            return self.met(now, standing.me);
        };
        let first = known.sent.is_none();
        known.heard_ms = now;
        known.sent = Some(sent);
        // Our clock came back: both ways were open since then.
        if let Some(echo) = echo.filter(|e| *e <= now && now < *e + SILENT_MS) {
            known.contact_ms = known.contact_ms.max(Some(echo));
        }
        known.standing = standing.clone();
        if first {
            self.ping_one(now, from);
        }
        if let Some(ledger) = ledger {
            self.calls.heard_ledger(standing.installed, from, ledger, now);
        }
        self.works(standing.at_work.min(self.decided()));
        if standing.decided < self.decided() {
            let views = self.views.iter().filter(|v| v.number > standing.decided).cloned().collect();
            self.send(now, from, Message::Learn { views });
        }
        self.look_after_successor(now, from, &standing);
    }
}
