//! The connections of one server: how many there are, which of them wait, and the word that tells them to leave.

use crate::bounds::{Bounds, Room};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// What one connection shares with the hall.
#[derive(Default)]
struct Seat {
    /// When it began to wait, in the order in which connections do; none while a call is at work.
    waits: Cell<Option<u64>>,
    leave: Notify,
}

pub struct Hall {
    pub bounds: Bounds,
    pub room: Room,
    stopping: Cell<bool>,
    turns: Cell<u64>,
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
}

impl Hall {
    pub fn new(bounds: Bounds) -> Hall {
        Hall {
            bounds,
            room: Room::new(bounds.bodies_bytes),
            stopping: Cell::new(false),
            turns: Cell::new(0),
            seats: RefCell::default(),
        }
    }

    fn turn(&self) -> u64 {
        self.turns.set(self.turns.get() + 1);
        self.turns.get()
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Tells all to leave once their call is answered.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.seats
            .borrow()
            .values()
            .for_each(|seat| seat.leave.notify_one());
    }

    /// Sends away the one that has waited longest; false if all are at work.
    pub fn send_one_away(&self) -> bool {
        let seats = self.seats.borrow();
        let longest = seats
            .values()
            .filter(|seat| seat.waits.get().is_some())
            .min_by_key(|seat| seat.waits.get());
        if let Some(seat) = longest {
            seat.waits.set(None);
            seat.leave.notify_one();
        }
        longest.is_some()
    }

    /// A seat for a new connection, if need be that of the one that has waited longest.
    pub fn seat(self: &Rc<Hall>) -> Option<Guest> {
        if self.seats.borrow().len() >= self.bounds.connections && !self.send_one_away() {
            return None;
        }
        let (number, seat) = (self.turn(), Rc::new(Seat::default()));
        self.seats.borrow_mut().insert(number, seat.clone());
        Some(Guest {
            hall: self.clone(),
            number,
            seat,
        })
    }
}

/// A connection's place; it is free again when this is dropped.
pub struct Guest {
    pub hall: Rc<Hall>,
    number: u64,
    seat: Rc<Seat>,
}

impl Guest {
    pub fn waits(&self) {
        self.seat.waits.set(Some(self.hall.turn()));
    }

    pub fn works(&self) {
        self.seat.waits.set(None);
    }

    /// Ends when this connection is told to leave.
    pub async fn told_to_leave(&self) {
        self.seat.leave.notified().await;
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        self.hall.seats.borrow_mut().remove(&self.number);
    }
}
