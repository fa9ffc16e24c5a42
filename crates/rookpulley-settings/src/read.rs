//! From the file's text to its values.

use crate::faults::{SETTINGS, SettingsError};
use crate::fields::Table;
use crate::node::{Bounds, Limits, Listen, Node, Tolerance};
use rookpulley_diagnostics::{Faults, Place};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use tinyjson::JsonValue;

/// The variable that names the settings file.
pub const BOOT: &str = "ROOKPULLEY_BOOT";
/// A file is a few kilobytes.
const BYTES_MOST: u64 = 1 << 20;
/// The words of `serves`.
pub(crate) const CLIENTS: &str = "edge";
pub(crate) const CONTROL: &str = "control_plane";

pub fn boot_path() -> Result<PathBuf, SettingsError> {
    std::env::var_os(BOOT)
        .filter(|path| !path.is_empty())
        .map(PathBuf::from)
        .ok_or(SettingsError::NotTold)
}

impl Node {
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&text(path)?)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let (file, faults) = (values(text)?, RefCell::new(Faults::none(&SETTINGS)));
        let node = node(&Table::top(&file, &faults));
        let faults = faults.into_inner();
        if faults.is_empty() {
            Ok(node)
        } else {
            Err(faults.into())
        }
    }
}

/// The text of a file, as far as it may go.
pub(crate) fn text(path: &Path) -> Result<String, SettingsError> {
    let unreadable = |cause| SettingsError::Unreadable {
        path: path.into(),
        cause,
    };
    let mut text = String::new();
    let file = File::open(path).map_err(unreadable)?;
    file.take(BYTES_MOST + 1)
        .read_to_string(&mut text)
        .map_err(unreadable)?;
    Ok(text)
}

pub(crate) fn values(text: &str) -> Result<JsonValue, SettingsError> {
    let bytes = text.len() as u64;
    if bytes > BYTES_MOST {
        return Err(SettingsError::TooLong {
            bytes,
            most: BYTES_MOST,
        });
    }
    let table: toml::Table = text.parse().map_err(|e| not_toml(text, &e))?;
    Ok(turned(toml::Value::Table(table)))
}

fn not_toml(text: &str, error: &toml::de::Error) -> SettingsError {
    let start = error.span().map_or(0, |span| span.start);
    let before = text.get(..start).unwrap_or(text);
    let Place { line, column } = Place::after(before.as_bytes());
    SettingsError::NotToml {
        line,
        column,
        cause: error.message().into(),
    }
}

/// The values of TOML as those that all our files are read from. Times become texts.
fn turned(value: toml::Value) -> JsonValue {
    match value {
        toml::Value::String(text) => JsonValue::String(text),
        toml::Value::Integer(number) => JsonValue::Number(number as f64),
        toml::Value::Float(number) => JsonValue::Number(number),
        toml::Value::Boolean(flag) => JsonValue::Boolean(flag),
        toml::Value::Datetime(time) => JsonValue::String(time.to_string()),
        toml::Value::Array(items) => JsonValue::Array(items.into_iter().map(turned).collect()),
        toml::Value::Table(fields) => JsonValue::Object(
            fields
                .into_iter()
                .map(|(name, value)| (name, turned(value)))
                .collect(),
        ),
    }
}

fn node(file: &Table) -> Node {
    let serves = file.texts("serves");
    let zones: BTreeMap<String, String> = file.table("zones").all_texts().collect();
    let zone = file.text_needed("zone", "the name of this machine's zone");
    let region = file
        .text("region")
        .or_else(|| zones.get(&zone).cloned())
        .unwrap_or_default();
    Node {
        name: file.text_needed("nodeName", "a name that no other machine has"),
        role: file.text("role").unwrap_or_default(),
        class: file.text("machineClass").unwrap_or_default(),
        ip: file.ip_needed("ipAddress"),
        inner_ports: file.ports_needed("internalPortRange"),
        seeds: file.addresses("seedNodes"),
        first_start: file.flag("firstStart", false),
        loss_counted: file.flag("lossCounted", true),
        data: file
            .text("dataDirectory")
            .filter(|path| !path.is_empty())
            .map(PathBuf::from),
        heartbeat_ms: file.number_above_0("heartbeatMs", 1_000.0).ceil() as u64,
        listen: listen(&file.table("listenAddresses"), &serves),
        limits: limits(&file.table("limits")),
        tolerance: tolerance(&file.table("faultTolerance")),
        bounds: bounds(&file.table("bounds")),
        serves,
        zone,
        region,
        zones,
    }
}

fn listen(table: &Table, serves: &[String]) -> Listen {
    let address = |field, whom: &str| {
        if serves.iter().any(|one| one == whom) {
            table.address_needed(field)
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
    let small = Limits::default();
    let disk = table.number("diskMb", 0.0);
    Limits {
        cpu_share: table.number_above_0("cpuShare", small.cpu_share),
        cpu_cores: table.number_above_0("cpuCores", small.cpu_cores),
        memory_mb: table.number_above_0("memoryMb", small.memory_mb),
        open_files: table.whole("maxOpenFiles", small.open_files),
        link_mbps: table.number_above_0("linkMbps", small.link_mbps),
        disk_mb: (disk > 0.0).then_some(disk),
    }
}

fn tolerance(table: &Table) -> Tolerance {
    Tolerance {
        machines: table.count("machineLosses", 0),
        zones: table.count("zones", 0),
        regions: table.count("regionLosses", 0),
    }
}

fn bounds(table: &Table) -> Bounds {
    let careful = Bounds::default();
    Bounds {
        seed_lag_s: table.number("seedLagS", careful.seed_lag_s),
        address_reuse_s: table.number("addressReuseS", careful.address_reuse_s),
        contact_ms: table.whole("contactMs", careful.contact_ms),
        ack_deadline_ms: table.whole("ackDeadlineMs", careful.ack_deadline_ms),
        catch_up_s: table.number("catchUpS", careful.catch_up_s),
        drain_ms: table.whole("drainMs", careful.drain_ms),
        grace_period_s: table.number("gracePeriodS", careful.grace_period_s),
        loss_slack_ms: table.whole("lossSlackMs", careful.loss_slack_ms),
        config_apply_ms: table.whole("configApplyMs", careful.config_apply_ms),
        downgrade_slack_ms: table.whole("downgradeSlackMs", careful.downgrade_slack_ms),
        max_stretch_ms: table.whole("maxStretchMs", careful.max_stretch_ms),
        retry_budget_ratio: table.number("retryBudgetRatio", careful.retry_budget_ratio),
        retry_window_s: table.number("retryWindowS", careful.retry_window_s),
        retry_budget_slack: table.number("retryBudgetSlack", careful.retry_budget_slack),
        recovery_s: table.number("recoveryS", careful.recovery_s),
        history_retention_s: table.number("historyRetentionS", careful.history_retention_s),
        release_ms: table.whole("releaseMs", careful.release_ms),
    }
}
