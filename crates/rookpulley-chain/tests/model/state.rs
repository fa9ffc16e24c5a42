//! What the model holds: three places with their controllers, the views, the votes that were told, and all that members of
//! a view have ever told each other.

use rookpulley_chain::{Member, View};
use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const PLACES: usize = 3;
/// Views are numbered from one to so many at most.
pub const NUMBERS: usize = 3;
/// Ballots for all numbers together.
pub const SLOTS: usize = 4;

/// Updates in their order: two bits for each, the first in the lowest. An update is 1, 2 or 3.
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

    pub fn add(&mut self, update: u8) {
        self.0 |= update << (2 * self.count());
    }

    pub fn begins(self, whole: Self) -> bool {
        whole.first(self.count()) == self
    }
}

/// One controller, by its place. Of its votes only the newest number's are kept, as on the real disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Controller {
    pub id: u8,
    pub incarnation: u8,
    /// The newest view known here, the one installed, the one that it promised never to install.
    pub known: u8,
    pub installed: u8,
    pub never: u8,
    /// All that it holds, how much of it is synced, and how much applied.
    pub log: Log,
    pub own: u8,
    pub done: u8,
    pub vote: Vote,
}

/// Ballots count from one, and none is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Vote {
    pub number: u8,
    pub promised: u8,
    pub accepted: u8,
}

/// A proposal for one number under one ballot, and what was answered to it. Views are numbers in the table; identities
/// are bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Slot {
    pub wanted: u16,
    pub sent: u16,
    pub accepted: u8,
    /// Three bits an identity: none, or one more than the ballot that it had accepted before.
    pub promises: u16,
}

/// All that a member has told in one view: what it holds, up to where it and all before it have synced it, what it has
/// applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Told {
    pub installed: bool,
    pub log: Log,
    pub own: u8,
    pub done: u8,
}

/// A read on its way: its view, how much was acknowledged when it was asked, the last member that it has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Read {
    pub view: u8,
    pub asked_at: u8,
    pub passed: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    pub controllers: [Controller; PLACES],
    /// Identities whose disks are gone.
    pub lost: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub updates: u8,
    /// The decided view of each number, as its place in the table; none is zero.
    pub views: [u16; NUMBERS],
    pub slots: [Slot; SLOTS],
    pub told: [[Told; PLACES]; NUMBERS],
    /// The newest view that ever was at work; by bits, those that some member promised never to install.
    pub at_work: u8,
    pub dead: u8,
    pub read: Read,
    /// What was acknowledged, in its order, and the view that acknowledged the first of it.
    pub order: Log,
    pub first_in: u8,
}

impl State {
    pub fn is_dead(&self, number: u8) -> bool {
        self.dead & bit(number - 1) != 0
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

pub fn place_of(member: &Member) -> usize {
    member.address.ip().octets()[3].into()
}

/// Incarnations count from one, and identities from zero.
pub const IDS: u8 = 5;
const INCARNATIONS: usize = 4;

/// What a view says of each identity and incarnation, asked once.
pub struct Known {
    pub view: View,
    pub majority: u32,
    pub length: usize,
    /// Where the members are, by their place in the view.
    pub places: Vec<usize>,
    /// Identities with a say in the next one, as bits.
    pub voters: u8,
    at: [Option<u8>; IDS as usize],
    names: [[bool; INCARNATIONS]; IDS as usize],
}

impl Known {
    fn of(view: View) -> Self {
        Self {
            majority: view.majority() as u32,
            length: view.members.len(),
            places: view.members.iter().map(place_of).collect(),
            voters: (0..IDS)
                .filter(|id| view.is_acceptor((*id).into()))
                .map(bit)
                .sum(),
            at: std::array::from_fn(|id| view.position(id as u64).map(|at| at as u8)),
            names: std::array::from_fn(|id| {
                std::array::from_fn(|incarnation| view.has_member(id as u64, incarnation as u64))
            }),
            view,
        }
    }

    pub fn holds(&self, controller: &Controller) -> bool {
        self.at[usize::from(controller.id)].is_some()
    }

    /// The place among the members, where this incarnation is one.
    pub fn names(&self, controller: &Controller) -> Option<usize> {
        let id = usize::from(controller.id);
        self.at[id]
            .filter(|_| self.names[id][usize::from(controller.incarnation)])
            .map(usize::from)
    }
}

/// Each view once, so that states stay small, and what `View::decides` said of it.
#[derive(Default)]
pub struct Views {
    all: Vec<Known>,
    numbers: HashMap<Vec<u64>, u16>,
    decides: HashMap<(u16, u8, u8), bool>,
}

impl Views {
    pub fn get(&self, number: u16) -> Option<&Known> {
        self.all.get(usize::from(number).wrapping_sub(1))
    }

    pub fn keep(&mut self, view: View) -> u16 {
        let who = view.acceptors().flat_map(|m| [m.id, m.incarnation]);
        let key = [view.number, view.members.len() as u64]
            .into_iter()
            .chain(who)
            .collect();
        *self.numbers.entry(key).or_insert_with(|| {
            self.all.push(Known::of(view));
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
