//! Model state: three machines with their controllers, the decided views, the votes, and everything that members of a
//! view have announced to each other.

use rookpulley_chain::{Member, View};
use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const MACHINES: usize = 3;
/// The highest view number; views are numbered from one.
pub const MAX_VIEWS: usize = 3;
/// The number of ballots of all view numbers together.
pub const SLOTS: usize = 4;

/// A sequence of updates 1 to 3, with two bits each and the first in the lowest bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log(u8);

impl Log {
    pub fn count(self) -> u8 {
        (8 - self.0.leading_zeros() as u8).div_ceil(2)
    }

    pub fn at(self, place: u8) -> u8 {
        (self.0 >> (2 * place)) & 3
    }

    pub fn first(self, count: u8) -> Self {
        Self(self.0 & ((1u16 << (2 * count)) - 1) as u8)
    }

    pub fn push(&mut self, update: u8) {
        self.0 |= update << (2 * self.count());
    }

    pub fn is_prefix_of(self, whole: Self) -> bool {
        whole.first(self.count()) == self
    }
}

/// One controller. Only the vote for the newest view number is kept, as on a real disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Controller {
    pub id: u8,
    pub incarnation: u8,
    /// The newest known view, the installed view, and the view that it promised not to install.
    pub known: u8,
    pub installed: u8,
    pub abandoned: u8,
    /// The log, and how much of it is synced and applied.
    pub log: Log,
    pub synced: u8,
    pub applied: u8,
    pub vote: Vote,
}

/// Ballots count from one; zero means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Vote {
    pub number: u8,
    pub promised: u8,
    pub accepted: u8,
}

/// A proposal for one view number under one ballot, with its answers. Views are indices into `Views`; sets of
/// identities are bit masks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Slot {
    pub proposed: u16,
    pub sent: u16,
    pub accepted: u8,
    /// Three bits for each identity: zero without a promise, else one more than the ballot it had accepted.
    pub promises: u16,
}

/// What a member has announced in one view: its log, how much of it all members up to this one have synced, and how
/// much it has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Announced {
    pub installed: bool,
    pub log: Log,
    pub synced: u8,
    pub applied: u8,
}

/// A read in progress: its view, how many updates were acknowledged when it began, and the last member it passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Read {
    pub view: u8,
    pub asked_at: u8,
    pub passed: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    pub controllers: [Controller; MACHINES],
    /// Identities whose disks are lost, as a bit mask.
    pub lost: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub updates: u8,
    /// The decided view of each number as an index into `Views`; zero means none.
    pub views: [u16; MAX_VIEWS],
    pub slots: [Slot; SLOTS],
    pub announced: [[Announced; MACHINES]; MAX_VIEWS],
    /// The newest view that was ever active, and a bit mask of the views that a member promised not to install.
    pub active: u8,
    pub abandoned_views: u8,
    pub read: Read,
    /// The acknowledged updates in order, and the view that acknowledged the first one.
    pub acknowledged: Log,
    pub first_acknowledged_in: u8,
}

impl State {
    pub fn is_abandoned(&self, number: u8) -> bool {
        self.abandoned_views & bit(number - 1) != 0
    }
}

pub fn bit(of: u8) -> u8 {
    1 << of
}

pub fn member(place: usize, controller: &Controller) -> Member {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, place as u8), 7);
    Member {
        id: controller.id.into(),
        incarnation: controller.incarnation.into(),
        address,
    }
}

pub fn machine_of(member: &Member) -> usize {
    member.address.ip().octets()[3].into()
}

/// Incarnations count from one, and identities from zero.
pub const IDS: u8 = 5;
const INCARNATIONS: usize = 4;

/// A view with its cached answers about each identity and incarnation.
pub struct ViewInfo {
    pub view: View,
    pub majority: u32,
    pub length: usize,
    /// The machine of each member, in view order.
    pub places: Vec<usize>,
    /// Identities that vote on the next view, as a bit mask.
    pub voters: u8,
    at: [Option<u8>; IDS as usize],
    includes: [[bool; INCARNATIONS]; IDS as usize],
}

impl ViewInfo {
    fn of(view: View) -> Self {
        Self {
            majority: view.majority() as u32,
            length: view.members.len(),
            places: view.members.iter().map(machine_of).collect(),
            voters: (0..IDS)
                .filter(|id| view.is_acceptor((*id).into()))
                .map(bit)
                .sum(),
            at: std::array::from_fn(|id| view.position(id as u64).map(|at| at as u8)),
            includes: std::array::from_fn(|id| {
                std::array::from_fn(|incarnation| view.has_member(id as u64, incarnation as u64))
            }),
            view,
        }
    }

    pub fn has_identity(&self, controller: &Controller) -> bool {
        self.at[usize::from(controller.id)].is_some()
    }

    /// The position of this incarnation among the members.
    pub fn position_of(&self, controller: &Controller) -> Option<usize> {
        let id = usize::from(controller.id);
        self.at[id]
            .filter(|_| self.includes[id][usize::from(controller.incarnation)])
            .map(usize::from)
    }
}

/// Interned views, which keep states small, and cached results of `View::is_quorum`.
#[derive(Default)]
pub struct Views {
    all: Vec<ViewInfo>,
    numbers: HashMap<Vec<u64>, u16>,
    decides: HashMap<(u16, u8, u8), bool>,
}

impl Views {
    pub fn get(&self, number: u16) -> Option<&ViewInfo> {
        self.all.get(usize::from(number).wrapping_sub(1))
    }

    pub fn intern(&mut self, view: View) -> u16 {
        let who = view.acceptors().flat_map(|m| [m.id, m.incarnation]);
        let key = [view.number, view.members.len() as u64]
            .into_iter()
            .chain(who)
            .collect();
        *self.numbers.entry(key).or_insert_with(|| {
            self.all.push(ViewInfo::of(view));
            self.all.len() as u16
        })
    }

    pub fn decides(&mut self, number: u16, voices: u8, lost: u8) -> bool {
        let set = |bits: u8| -> BTreeSet<u64> {
            (0..IDS)
                .filter(|id| bits & bit(*id) != 0)
                .map(u64::from)
                .collect()
        };
        let Some(known) = self.all.get(usize::from(number).wrapping_sub(1)) else {
            return false;
        };
        *self
            .decides
            .entry((number, voices, lost))
            .or_insert_with(|| known.view.is_quorum(&set(voices), &set(lost)))
    }
}
