//! The settings text of a start, read into the records of the interface. Unknown keys are ignored.

use rookpulley::interface::{
    AdmissionMode, COARSE_FLOW_STEPS, Capabilities, ChannelLimits, Group, ListSettings, LoadField,
    ProxyBehavior, RepeatSafety, RequestKind, Retry, SafetyBounds, Start, Topology,
};
use serde_json::Value;

#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("'{key}' is missing or not {wanted}")]
    Key { key: String, wanted: &'static str },
}

/// A part of the settings and the path that led to it, for messages.
struct Part<'a> {
    path: &'static str,
    value: &'a Value,
}

impl<'a> Part<'a> {
    fn of(root: &'a Value, path: &'static str) -> Self {
        Self {
            path,
            value: &root[path],
        }
    }

    fn wrong(&self, key: &str, wanted: &'static str) -> Unreadable {
        let key = if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        };
        Unreadable::Key { key, wanted }
    }

    fn num(&self, key: &str) -> Result<f64, Unreadable> {
        self.value[key]
            .as_f64()
            .ok_or_else(|| self.wrong(key, "a number"))
    }

    /// A figure that some sites leave out.
    fn num_or(&self, key: &str, absent: f64) -> f64 {
        self.value[key].as_f64().unwrap_or(absent)
    }

    fn ms(&self, key: &str) -> Result<f64, Unreadable> {
        Ok(self.num(key)? / 1000.0)
    }

    fn text(&self, key: &str) -> Result<&'a str, Unreadable> {
        self.value[key]
            .as_str()
            .ok_or_else(|| self.wrong(key, "a text"))
    }

    fn flag(&self, key: &str) -> bool {
        self.value[key].as_bool().unwrap_or(false)
    }

    fn list(&self, key: &str) -> Result<&'a [Value], Unreadable> {
        Ok(self.value[key]
            .as_array()
            .ok_or_else(|| self.wrong(key, "a list"))?
            .as_slice())
    }

    fn places(&self, key: &str) -> Vec<u16> {
        let list = self.value[key].as_array().map_or(&[][..], Vec::as_slice);
        list.iter()
            .filter_map(Value::as_u64)
            .map(|place| place as u16)
            .collect()
    }

    fn flag_of(&self, key: &str, place: usize) -> bool {
        self.value[key][place].as_bool().unwrap_or(false)
    }
}

fn read_kind(value: &Value, place: usize, family: &Part) -> Result<RequestKind, Unreadable> {
    let part = Part {
        path: "categories[]",
        value,
    };
    let repeat = match part.text("effect")? {
        "pure" => RepeatSafety::Replayable,
        "side_effect" => RepeatSafety::NonReplayable,
        "token" => {
            let group = match part.text("group")? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Bay,
                _ => return Err(part.wrong("group", "all, zone or cell")),
            };
            RepeatSafety::Uniqued {
                group,
                window_ms: part.ms("window_us")?,
            }
        }
        _ => return Err(part.wrong("effect", "pure, token or side_effect")),
    };
    Ok(RequestKind {
        name: part.text("name")?.to_string(),
        response_target_ms: part.ms("aim_us")?,
        client_timeout_ms: part.ms("hard_limit_us")?,
        value: part.num("worth")?,
        late_value_share: part.num_or("late_share", 0.0),
        repeat,
        writes: family.flag_of("write_classes", place),
        zones: part.places("only_zones"),
        machines: part.places("only_kinds"),
        own_zone: family.flag_of("class_own_zone", place),
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

pub fn read(seed: u64, text: &str) -> Result<Start, Unreadable> {
    read_value(seed, &serde_json::from_str(text)?)
}

/// What only a front on sockets needs of the settings.
pub struct FrontFacts {
    /// The names of the kinds of machine, in the order of their places.
    pub machines: Vec<String>,
    /// The least time between two calls of the module.
    pub tick_ms: f64,
}

pub fn front_facts(root: &Value) -> Result<FrontFacts, Unreadable> {
    let top = Part {
        path: "",
        value: root,
    };
    let machines = top
        .list("kinds")?
        .iter()
        .filter_map(Value::as_str)
        .map(String::from)
        .collect();
    let tick_ms = top.ms("tick_us")?;
    let sound = tick_ms > 0.0 && tick_ms <= 60_000.0;
    if sound {
        Ok(FrontFacts { machines, tick_ms })
    } else {
        Err(top.wrong("tick_us", "a minute at most"))
    }
}

pub fn read_value(seed: u64, root: &Value) -> Result<Start, Unreadable> {
    let top = Part {
        path: "",
        value: root,
    };
    let [family, rules, limits, charges, load] =
        ["family_info", "rules", "limits", "charges", "load_info"].map(|path| Part::of(root, path));
    let kinds = top.list("categories")?.iter().enumerate();
    let levels = match family.text("admission").unwrap_or("none") {
        "share" => AdmissionMode::Share,
        "rate" => AdmissionMode::Rate,
        _ => AdmissionMode::Unsupported,
    };
    let default_retry = match family.num_or("usual_how", 0.0) as u8 {
        0 => Retry::Never,
        1 => Retry::IfNotExecuted,
        2 => Retry::OnceAfterAny,
        _ => Retry::TwiceAfterAny,
    };
    Ok(Start {
        seed,
        topology: Topology {
            index: top.num("self_index")? as u16,
            controllers: top.num("balancers")? as u16,
            zone: top.num("locality")? as u16,
            zones: top
                .list("areas")?
                .iter()
                .filter_map(Value::as_str)
                .map(String::from)
                .collect(),
            proxies: family.num_or("agents", 0.0) as u32,
            joined_by_zone: family.flag("by_zone"),
        },
        kinds: kinds
            .map(|(place, value)| read_kind(value, place, &family))
            .collect::<Result<_, _>>()?,
        bounds: SafetyBounds {
            max_unbound_ms: family.ms("empty_for_us")?,
            drain_grace_ms: rules.ms("drain_grace_us")?,
            cold_share: rules.num("cold_share")?,
            warm_up_ms: rules.ms("ramp_time_us")?,
            fall_multiple: rules.num("fall_multiple")?,
            overload_ms: rules.ms("tip_after_us")?,
            soft_removal: rules.flag("soft_removal"),
        },
        channel: ChannelLimits {
            lines_per_s: family.num("lines_per_s")?,
            header_lines: family.num("envelope")?,
            bind_lines: 1.0,
            backlog_lines: family.num("backlog")?,
            messages_most: family.num_or("messages_most", 0.0) as u32,
            message_window_ms: family.num_or("counted_over_us", 0.0) / 1000.0,
            transit_ms: family.ms("transit_us")?,
            max_transit_ms: family.ms("push_delay_max_us")?,
        },
        proxy_behavior: ProxyBehavior {
            levels,
            default_retry,
            try_timeout_targets: family.num_or("per_try", 1.0),
            standing_lines: family.num_or("initial_set", 0.0) as u32,
            write_in_flight_ms: family.num_or("in_flight_max_us", 0.0) / 1000.0,
        },
        list: ListSettings {
            on_request: top.text("registry_mode")? == "on_request",
            ask_within_ms: rules.num_or("ask_within_us", 0.0) / 1000.0,
            live_weights: top.text("weight_kind").unwrap_or_default() == "live",
        },
        capabilities: Capabilities {
            peers: limits.flag("peers"),
            probes: limits.flag("probing"),
            cross_zone_price: charges.num_or("cross_zone", 0.0),
            flow_steps: COARSE_FLOW_STEPS,
            report_period_ms: family.num_or("period_us", 1e6) / 1000.0,
            report_lines_per_s: family.num_or("reports_per_s", 0.0),
            min_connections: family.num_or("min_conn_cap", f64::INFINITY),
            slices: family.num_or("shards", 0.0) as u32,
            single_owner: family.flag("one_owner"),
            shared_verdicts: false,
        },
        load_fields: load.value["fields"]
            .as_array()
            .map_or(Vec::new(), |fields| {
                fields.iter().map(read_load_field).collect()
            }),
    })
}
