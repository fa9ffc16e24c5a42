//! Reads the start settings, a JSON text, into the `Start` record of the decision module. Unknown keys are ignored.

use rookpulley::interface::{
    AdmissionMode, COARSE_FLOW_STEPS, Capabilities, ChannelLimits, Group, ListSettings, LoadField,
    ProxyBehavior, RepeatSafety, RequestKind, Retry, SafetyBounds, Start, Topology,
};
use serde_json::Value;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("'{key}' is missing or not {expected}")]
    Key { key: String, expected: &'static str },
}

/// An object of the settings and its path, which error messages name.
struct Section<'a> {
    path: &'static str,
    value: &'a Value,
}

impl<'a> Section<'a> {
    fn new(root: &'a Value, path: &'static str) -> Self {
        Self {
            path,
            value: &root[path],
        }
    }

    fn invalid(&self, key: &str, expected: &'static str) -> SettingsError {
        let key = if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        };
        SettingsError::Key { key, expected }
    }

    fn number(&self, key: &str) -> Result<f64, SettingsError> {
        self.value[key]
            .as_f64()
            .ok_or_else(|| self.invalid(key, "a number"))
    }

    /// A number that may be absent.
    fn number_or(&self, key: &str, default: f64) -> f64 {
        self.value[key].as_f64().unwrap_or(default)
    }

    fn us_as_ms(&self, key: &str) -> Result<f64, SettingsError> {
        Ok(self.number(key)? / 1000.0)
    }

    fn string(&self, key: &str) -> Result<&'a str, SettingsError> {
        self.value[key]
            .as_str()
            .ok_or_else(|| self.invalid(key, "a string"))
    }

    fn bool_or_false(&self, key: &str) -> bool {
        self.value[key].as_bool().unwrap_or(false)
    }

    fn list(&self, key: &str) -> Result<&'a [Value], SettingsError> {
        Ok(self.value[key]
            .as_array()
            .ok_or_else(|| self.invalid(key, "a list"))?
            .as_slice())
    }

    fn indexes(&self, key: &str) -> Vec<u16> {
        let list = self.value[key].as_array().map_or(&[][..], Vec::as_slice);
        list.iter()
            .filter_map(Value::as_u64)
            .map(|index| index as u16)
            .collect()
    }

    fn bool_at(&self, key: &str, index: usize) -> bool {
        self.value[key][index].as_bool().unwrap_or(false)
    }
}

fn read_request_kind(
    value: &Value,
    index: usize,
    family: &Section,
) -> Result<RequestKind, SettingsError> {
    let section = Section {
        path: "categories[]",
        value,
    };
    let repeat = match section.string("effect")? {
        "pure" => RepeatSafety::Replayable,
        "side_effect" => RepeatSafety::NonReplayable,
        "token" => {
            let group = match section.string("group")? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Bay,
                _ => return Err(section.invalid("group", "all, zone or cell")),
            };
            RepeatSafety::Uniqued {
                group,
                window_ms: section.us_as_ms("window_us")?,
            }
        }
        _ => return Err(section.invalid("effect", "pure, token or side_effect")),
    };
    Ok(RequestKind {
        name: section.string("name")?.to_string(),
        response_target_ms: section.us_as_ms("aim_us")?,
        client_timeout_ms: section.us_as_ms("hard_limit_us")?,
        value: section.number("worth")?,
        late_value_share: section.number_or("late_share", 0.0),
        repeat,
        writes: family.bool_at("write_classes", index),
        zones: section.indexes("only_zones"),
        machines: section.indexes("only_kinds"),
        own_zone: family.bool_at("class_own_zone", index),
    })
}

fn read_load_field(name: &Value) -> LoadField {
    match name.as_str().unwrap_or_default() {
        "concurrent" => LoadField::InFlight,
        "depth" => LoadField::Queue,
        "load_share" => LoadField::Busy,
        "mean_ms" => LoadField::ServiceMs,
        "tps" => LoadField::CompletedPerS,
        "err_ps" => LoadField::FailedPerS,
        _ => LoadField::Other,
    }
}

pub fn read(seed: u64, text: &str) -> Result<Start, SettingsError> {
    read_value(seed, &serde_json::from_str(text)?)
}

/// The settings that a socket front end needs and the decision module does not.
pub struct FrontSettings {
    /// The names of the machine kinds, in index order.
    pub machines: Vec<String>,
    /// The minimum interval between two calls of the decision module.
    pub tick_ms: f64,
}

pub fn read_front_settings(root: &Value) -> Result<FrontSettings, SettingsError> {
    let top = Section {
        path: "",
        value: root,
    };
    let machines = top
        .list("kinds")?
        .iter()
        .filter_map(Value::as_str)
        .map(String::from)
        .collect();
    let tick_ms = top.us_as_ms("tick_us")?;
    let valid = tick_ms > 0.0 && tick_ms <= 60_000.0;
    if valid {
        Ok(FrontSettings { machines, tick_ms })
    } else {
        Err(top.invalid("tick_us", "a positive duration of at most one minute"))
    }
}

pub fn read_value(seed: u64, root: &Value) -> Result<Start, SettingsError> {
    let top = Section {
        path: "",
        value: root,
    };
    let [family, rules, limits, charges, load] =
        ["family_info", "rules", "limits", "charges", "load_info"]
            .map(|path| Section::new(root, path));
    let kinds = top.list("categories")?.iter().enumerate();
    let levels = match family.string("admission").unwrap_or("none") {
        "share" => AdmissionMode::Share,
        "rate" => AdmissionMode::Rate,
        _ => AdmissionMode::Unsupported,
    };
    let default_retry = match family.number_or("usual_how", 0.0) as u8 {
        0 => Retry::Never,
        1 => Retry::IfNotExecuted,
        2 => Retry::OnceAfterAny,
        _ => Retry::TwiceAfterAny,
    };
    Ok(Start {
        seed,
        topology: Topology {
            index: top.number("self_index")? as u16,
            controllers: top.number("balancers")? as u16,
            zone: top.number("locality")? as u16,
            zones: top
                .list("areas")?
                .iter()
                .filter_map(Value::as_str)
                .map(String::from)
                .collect(),
            proxies: family.number_or("agents", 0.0) as u32,
            joined_by_zone: family.bool_or_false("by_zone"),
        },
        kinds: kinds
            .map(|(index, value)| read_request_kind(value, index, &family))
            .collect::<Result<_, _>>()?,
        bounds: SafetyBounds {
            max_unbound_ms: family.us_as_ms("empty_for_us")?,
            drain_grace_ms: rules.us_as_ms("drain_grace_us")?,
            cold_share: rules.number("cold_share")?,
            warm_up_ms: rules.us_as_ms("ramp_time_us")?,
            fall_multiple: rules.number("fall_multiple")?,
            overload_ms: rules.us_as_ms("tip_after_us")?,
            soft_removal: rules.bool_or_false("soft_removal"),
        },
        channel: ChannelLimits {
            lines_per_s: family.number("lines_per_s")?,
            header_lines: family.number("envelope")?,
            bind_lines: 1.0,
            backlog_lines: family.number("backlog")?,
            messages_most: family.number_or("messages_most", 0.0) as u32,
            message_window_ms: family.number_or("counted_over_us", 0.0) / 1000.0,
            transit_ms: family.us_as_ms("transit_us")?,
            max_transit_ms: family.us_as_ms("push_delay_max_us")?,
        },
        proxy_behavior: ProxyBehavior {
            levels,
            default_retry,
            try_timeout_targets: family.number_or("per_try", 1.0),
            standing_lines: family.number_or("initial_set", 0.0) as u32,
            write_in_flight_ms: family.number_or("in_flight_max_us", 0.0) / 1000.0,
        },
        list: ListSettings {
            on_request: top.string("registry_mode")? == "on_request",
            ask_within_ms: rules.number_or("ask_within_us", 0.0) / 1000.0,
            live_weights: top.string("weight_kind").unwrap_or_default() == "live",
        },
        capabilities: Capabilities {
            peers: limits.bool_or_false("peers"),
            probes: limits.bool_or_false("probing"),
            cross_zone_price: charges.number_or("cross_zone", 0.0),
            flow_steps: COARSE_FLOW_STEPS,
            report_period_ms: family.number_or("period_us", 1e6) / 1000.0,
            report_lines_per_s: family.number_or("reports_per_s", 0.0),
            min_connections: family.number_or("min_conn_cap", f64::INFINITY),
            slices: family.number_or("shards", 0.0) as u32,
            single_owner: family.bool_or_false("one_owner"),
            shared_verdicts: false,
        },
        load_fields: load.value["fields"]
            .as_array()
            .map_or(Vec::new(), |fields| {
                fields.iter().map(read_load_field).collect()
            }),
    })
}
