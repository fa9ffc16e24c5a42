//! What an assigner is told at its start, from the file that `PROXY_CONFIG` names.

use crate::messages::{Bad, List, Words};
use rookpulley::interface::Start;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    #[error("PROXY_CONFIG is not set")]
    NotNamed,
    #[error("the configuration {0} can't be read: {1}")]
    File(PathBuf, std::io::Error),
    #[error("the configuration is not what it should be: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the configuration's seed is not a number in hexadecimal: {0:?}")]
    Seed(String),
    #[error("the configuration's settings: {0}")]
    Settings(#[from] rookpulley_start::SettingsError),
    #[error("the configuration's known list {0}")]
    Known(#[from] Bad),
    #[error("the settings allow peers, but the configuration names no {0}")]
    Peers(&'static str),
}

#[derive(Clone, Copy, Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
}

/// The addresses for notes between assigners.
pub struct PeerPlaces {
    pub listen: SocketAddr,
    pub each: Vec<SocketAddr>,
    pub all: SocketAddr,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    peers: Option<Vec<SocketAddr>>,
    peers_all: Option<SocketAddr>,
    known: Value,
    settings: Value,
}

/// What is told once: it takes a restart to change it.
const FIXED: [&str; 7] = [
    "name",
    "listen",
    "limits",
    "peer_listen",
    "peers",
    "peers_all",
    "settings",
];

pub struct Told {
    /// The fields that are told once, as they were written.
    pub fixed: BTreeMap<String, Value>,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub limits: Limits,
    /// None where the settings forbid notes.
    pub peers: Option<PeerPlaces>,
    pub known: List,
    pub words: Words,
    pub tick_ms: f64,
    pub start: Start,
}

pub fn read(text: &str) -> Result<Told, Unusable> {
    let file: File = serde_json::from_str(text)?;
    let mut fixed: BTreeMap<String, Value> = serde_json::from_str(text)?;
    fixed.retain(|field, _| FIXED.contains(&field.as_str()));
    let seed =
        u64::from_str_radix(&file.seed, 16).map_err(|_| Unusable::Seed(file.seed.clone()))?;
    let mut start = rookpulley_start::read_value(seed, &file.settings)?;
    // Each may have to let back a server that the proxy shut out on another assigner's word.
    start.channel.bind_lines = 2.0;
    let facts = rookpulley_start::read_front_settings(&file.settings)?;
    let words = Words {
        zones: start.topology.zones.clone(),
        machines: facts.machines,
        kinds: start.kinds.iter().map(|k| k.name.clone()).collect(),
        load: start.load_fields.clone(),
        proxies: start.topology.proxies,
        versions: false,
    };
    let known = words.decode_list(&file.known.to_string())?;
    let peers = match start.capabilities.peers {
        false => None,
        true => Some(PeerPlaces {
            listen: file.peer_listen.ok_or(Unusable::Peers("peer_listen"))?,
            each: file.peers.ok_or(Unusable::Peers("peers"))?,
            all: file.peers_all.ok_or(Unusable::Peers("peers_all"))?,
        }),
    };
    let (name, listen, discovery, limits) = (file.name, file.listen, file.discovery, file.limits);
    Ok(Told {
        fixed,
        name,
        listen,
        discovery,
        limits,
        peers,
        known,
        words,
        tick_ms: facts.tick_ms,
        start,
    })
}

pub fn path_from_env() -> Result<PathBuf, Unusable> {
    std::env::var_os("PROXY_CONFIG")
        .map(PathBuf::from)
        .ok_or(Unusable::NotNamed)
}

pub fn load(path: &Path) -> Result<Told, Unusable> {
    read(&std::fs::read_to_string(path).map_err(|e| Unusable::File(path.to_path_buf(), e))?)
}
