//! Decision core of the configuration controller for a proxy fleet.  [`rules::Controller`] takes inputs and returns
//! effects; it does no I/O. [`interface`] defines the inputs, effects and settings, [`state`] the controller's state,
//! [`ring`] the time-bucketed counters for measurements, and `shares` the arithmetic of distributing load. Transport
//! and serialization belong to the callers.

pub mod interface;
pub mod ring;
pub mod rules;
mod shares;
pub mod state;
