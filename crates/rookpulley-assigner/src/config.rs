//! The configuration file that `PROXY_CONFIG` names.

use crate::messages::{Codec, List, ParseError};
use rookpulley::interface::Start;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("PROXY_CONFIG is not set")]
    PathNotSet,
    #[error("cannot read configuration {0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("invalid configuration: {0}")]
    Syntax(#[from] serde_json::Error),
    #[error("configuration seed {0:?} is not a hexadecimal number")]
    Seed(String),
    #[error("invalid settings: {0}")]
    Settings(#[from] rookpulley_start::SettingsError),
    #[error("invalid known list: {0}")]
    KnownList(#[from] ParseError),
    #[error("settings enable peers, but the configuration has no {0}")]
    MissingPeers(&'static str),
}

#[derive(Clone, Copy, Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
}

/// Addresses for messages between assigners.
pub struct PeerAddresses {
    pub listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub broadcast: SocketAddr,
}

#[derive(Deserialize)]
struct RawConfig {
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

/// Fields that only take effect at startup.
const STATIC_FIELDS: [&str; 7] = [
    "name",
    "listen",
    "limits",
    "peer_listen",
    "peers",
    "peers_all",
    "settings",
];

pub struct Config {
    /// The values of `STATIC_FIELDS` as written in the file.
    pub static_fields: BTreeMap<String, Value>,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub limits: Limits,
    /// `None` if the settings disable peer messages.
    pub peers: Option<PeerAddresses>,
    /// The server list to start with until discovery responds.
    pub cached_list: List,
    pub codec: Codec,
    pub tick_ms: f64,
    pub start: Start,
}

pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let file: RawConfig = serde_json::from_str(text)?;
    let mut static_fields: BTreeMap<String, Value> = serde_json::from_str(text)?;
    static_fields.retain(|field, _| STATIC_FIELDS.contains(&field.as_str()));
    let seed =
        u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed.clone()))?;
    let mut start = rookpulley_start::read_value(seed, &file.settings)?;
    // Each table line may need a second one that restores a server withdrawn by another assigner.
    start.channel.bind_lines = 2.0;
    let facts = rookpulley_start::read_front_settings(&file.settings)?;
    let codec = Codec {
        zones: start.topology.zones.clone(),
        machines: facts.machines,
        kinds: start.kinds.iter().map(|k| k.name.clone()).collect(),
        load: start.load_fields.clone(),
        proxies: start.topology.proxies,
        versions: false,
    };
    let cached_list = codec.decode_list(&file.known.to_string())?;
    let peers = match start.capabilities.peers {
        false => None,
        true => Some(PeerAddresses {
            listen: file
                .peer_listen
                .ok_or(ConfigError::MissingPeers("peer_listen"))?,
            peers: file.peers.ok_or(ConfigError::MissingPeers("peers"))?,
            broadcast: file
                .peers_all
                .ok_or(ConfigError::MissingPeers("peers_all"))?,
        }),
    };
    let (name, listen, discovery, limits) = (file.name, file.listen, file.discovery, file.limits);
    Ok(Config {
        static_fields,
        name,
        listen,
        discovery,
        limits,
        peers,
        cached_list,
        codec,
        tick_ms: facts.tick_ms,
        start,
    })
}

pub fn path_from_env() -> Result<PathBuf, ConfigError> {
    std::env::var_os("PROXY_CONFIG")
        .map(PathBuf::from)
        .ok_or(ConfigError::PathNotSet)
}

pub fn load(path: &Path) -> Result<Config, ConfigError> {
    parse(&std::fs::read_to_string(path).map_err(|e| ConfigError::File(path.to_path_buf(), e))?)
}
