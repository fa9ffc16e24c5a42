//! A proxy on loopback: what clients, tasks and controllers see of it.

mod clients;
mod homes;
mod requests;
mod rude;
mod scene;
mod tasks;
