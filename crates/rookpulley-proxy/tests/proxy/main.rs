//! A proxy on loopback: what clients, tasks and controllers see of it.

mod answers;
mod clients;
mod deadlines;
mod departures;
mod homes;
mod requests;
mod rude;
mod scene;
mod tasks;
