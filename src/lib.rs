//! rookpulley: the configuration controller of a proxy fleet.
//!
//! [`rules::Controller`] decides; everything else here is the plain interface it is reached by:
//! [`facts`] holds what a controller is told and what it orders, [`ring`] the fixed time buckets
//! that measurements are kept in, [`state`] what a controller keeps between inputs, and `shares` how sums are shared out. The core knows nothing of the front that carries its orders.

pub mod interface;
pub mod ring;
pub mod rules;
mod shares;
pub mod state;
