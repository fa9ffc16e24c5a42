//! Reads a settings file.

use crate::faults::{SETTINGS, SettingsError};
use crate::fields::Table;
use crate::node::{Bounds, CloudApi, Limits, Listen, Node, Tolerance};
use rookpulley_diagnostics::{Faults, Position};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use tinyjson::JsonValue;

/// The environment variable with the path of the settings file.
pub const BOOT_VARIABLE: &str = "ROOKPULLEY_BOOT";
/// The maximum size of a file, far above the few kilobytes of a real one.
const MAX_BYTES: u64 = 1 << 20;
/// Values of `serves`.
pub(crate) const CLIENTS: &str = "edge";
pub(crate) const CONTROL: &str = "control_plane";
/// Rate of calls to the platform if the file gives none.
const DEFAULT_CALLS_PER_S: f64 = 10.0;

pub fn boot_path() -> Result<PathBuf, SettingsError> {
    std::env::var_os(BOOT_VARIABLE)
        .filter(|path| !path.is_empty())
        .map(PathBuf::from)
        .ok_or(SettingsError::PathNotSet)
}

impl Node {
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&text(path)?)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let (file, faults) = (values(text)?, RefCell::new(Faults::new(&SETTINGS)));
        let node = node(&Table::root(&file, &faults));
        let faults = faults.into_inner();
        if faults.is_empty() {
            Ok(node)
        } else {
            Err(faults.into())
        }
    }
}

/// Reads a file up to one byte beyond the maximum size, so that `values` rejects a longer one.
pub(crate) fn text(path: &Path) -> Result<String, SettingsError> {
    let unreadable = |cause| SettingsError::Unreadable {
        path: path.into(),
        cause,
    };
    let mut text = String::new();
    let file = File::open(path).map_err(unreadable)?;
    file.take(MAX_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(unreadable)?;
    Ok(text)
}

/// Parses TOML.
pub(crate) fn values(text: &str) -> Result<JsonValue, SettingsError> {
    let bytes = text.len() as u64;
    if bytes > MAX_BYTES {
        return Err(SettingsError::TooLong {
            bytes,
            max: MAX_BYTES,
        });
    }
    let table: toml::Table = text.parse().map_err(|e| not_toml(text, &e))?;
    Ok(to_json(toml::Value::Table(table)))
}

fn not_toml(text: &str, error: &toml::de::Error) -> SettingsError {
    let start = error.span().map_or(0, |span| span.start);
    let before = text.get(..start).unwrap_or(text);
    let Position { line, column } = Position::after(before.as_bytes());
    SettingsError::NotToml {
        line,
        column,
        cause: error.message().into(),
    }
}

/// Converts TOML to the JSON values that all file formats are validated as. Dates and times become strings.
fn to_json(value: toml::Value) -> JsonValue {
    match value {
        toml::Value::String(text) => JsonValue::String(text),
        toml::Value::Integer(number) => JsonValue::Number(number as f64),
        toml::Value::Float(number) => JsonValue::Number(number),
        toml::Value::Boolean(flag) => JsonValue::Boolean(flag),
        toml::Value::Datetime(time) => JsonValue::String(time.to_string()),
        toml::Value::Array(items) => JsonValue::Array(items.into_iter().map(to_json).collect()),
        toml::Value::Table(fields) => JsonValue::Object(
            fields
                .into_iter()
                .map(|(name, value)| (name, to_json(value)))
                .collect(),
        ),
    }
}

fn node(file: &Table) -> Node {
    let serves = file.strings("serves");
    let zones: BTreeMap<String, String> = file.table("zones").all_strings().collect();
    let zone = file.required_string("zone", "the name of this machine's zone");
    let region = file
        .string("region")
        .or_else(|| zones.get(&zone).cloned())
        .unwrap_or_default();
    Node {
        name: file.required_string("nodeName", "a name that no other machine has"),
        role: file.string("role").unwrap_or_default(),
        class: file.string("machineClass").unwrap_or_default(),
        ip: file.required_ip("ipAddress"),
        internal_ports: file.required_ports("internalPortRange"),
        seeds: file.addresses("seedNodes"),
        first_start: file.boolean("firstStart", false),
        loss_counted: file.boolean("lossCounted", true),
        data: file
            .string("dataDirectory")
            .filter(|path| !path.is_empty())
            .map(PathBuf::from),
        heartbeat_ms: file.positive_number("heartbeatMs", 1_000.0).ceil() as u64,
        listen: listen(&file.table("listenAddresses"), &serves),
        limits: limits(&file.table("limits")),
        tolerance: tolerance(&file.table("faultTolerance")),
        bounds: bounds(&file.table("bounds")),
        cloud: cloud(&file.table("cloudApi")),
        serves,
        zone,
        region,
        zones,
    }
}

fn listen(table: &Table, serves: &[String]) -> Listen {
    let address = |field, audience: &str| {
        if serves.iter().any(|one| one == audience) {
            table.required_address(field)
        } else {
            table.address(field)
        }
    };
    Listen {
        front: address("frontHttp", CLIENTS),
        readiness: address("readiness", CLIENTS),
        control: address("controlPlane", CONTROL),
    }
}

fn limits(table: &Table) -> Limits {
    let default = Limits::default();
    let disk = table.number("diskMb", 0.0);
    Limits {
        cpu_share: table.positive_number("cpuShare", default.cpu_share),
        cpu_cores: table.positive_number("cpuCores", default.cpu_cores),
        memory_mb: table.positive_number("memoryMb", default.memory_mb),
        max_open_files: table.integer("maxOpenFiles", default.max_open_files),
        link_mbps: table.positive_number("linkMbps", default.link_mbps),
        disk_mb: (disk > 0.0).then_some(disk),
    }
}

fn tolerance(table: &Table) -> Tolerance {
    Tolerance {
        machine_losses: table.count("machineLosses", 0),
        zone_losses: table.count("zones", 0),
        region_losses: table.count("regionLosses", 0),
    }
}

fn bounds(table: &Table) -> Bounds {
    let default = Bounds::default();
    Bounds {
        seed_lag_s: table.number("seedLagS", default.seed_lag_s),
        address_reuse_s: table.number("addressReuseS", default.address_reuse_s),
        contact_ms: table.integer("contactMs", default.contact_ms),
        ack_deadline_ms: table.integer("ackDeadlineMs", default.ack_deadline_ms),
        catch_up_s: table.number("catchUpS", default.catch_up_s),
        drain_ms: table.integer("drainMs", default.drain_ms),
        grace_period_s: table.number("gracePeriodS", default.grace_period_s),
        loss_slack_ms: table.integer("lossSlackMs", default.loss_slack_ms),
        config_apply_ms: table.integer("configApplyMs", default.config_apply_ms),
        downgrade_slack_ms: table.integer("downgradeSlackMs", default.downgrade_slack_ms),
        max_stretch_ms: table.integer("maxStretchMs", default.max_stretch_ms),
        retry_budget_ratio: table.number("retryBudgetRatio", default.retry_budget_ratio),
        retry_window_s: table.number("retryWindowS", default.retry_window_s),
        retry_budget_slack: table.number("retryBudgetSlack", default.retry_budget_slack),
        recovery_s: table.number("recoveryS", default.recovery_s),
        history_retention_s: table.number("historyRetentionS", default.history_retention_s),
        release_ms: table.integer("releaseMs", default.release_ms),
        revocation_strict: table.boolean("revocationStrict", default.revocation_strict),
        revoke_ms: table.integer("revokeMs", default.revoke_ms),
        fencing_enabled: table.boolean("fencingEnabled", default.fencing_enabled),
        lease_ms: table.positive_number("leaseMs", default.lease_ms as f64) as u64,
        thaw_slack_ms: table.integer("thawSlackMs", default.thaw_slack_ms),
        usage_window_s: table.positive_number("usageWindowS", default.usage_window_s),
        usage_tolerance: table.number("usageTolerance", default.usage_tolerance),
        usage_late_s: table.number("usageLateS", default.usage_late_s),
    }
}

fn cloud(table: &Table) -> Option<CloudApi> {
    if !table.exists() {
        return None;
    }
    Some(CloudApi {
        address: table.required_address("address")?,
        rate_per_s: table.positive_number("ratePerS", DEFAULT_CALLS_PER_S),
        duties: table.strings("duties"),
        duties_per_s: table.positive_number("dutiesPerS", DEFAULT_CALLS_PER_S),
    })
}
