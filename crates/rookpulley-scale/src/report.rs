//! The figures of a run, as a table to read and as JSON to keep.

use crate::Sizes;
use crate::processes::Usage;
use crate::run::{Figures, Span};
use std::collections::HashMap;
use std::fmt::Write;
use tinyjson::JsonValue;

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

fn most(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn peak_mb(usages: &[Usage]) -> f64 {
    usages
        .iter()
        .map(|usage| usage.peak_kb as f64 / 1024.0)
        .fold(0.0, f64::max)
}

fn descriptors(usages: &[Usage]) -> u64 {
    usages
        .iter()
        .map(|usage| usage.descriptors)
        .max()
        .unwrap_or(0)
}

pub fn table(sizes: &Sizes, figures: &Figures) -> String {
    let mut text = String::new();
    _ = writeln!(text, "{sizes:?}");
    _ = writeln!(
        text,
        "configuration {} bytes; all known after {:.1} s",
        figures.configuration_bytes, figures.ready_s
    );
    for (name, span) in [("rest", &figures.rest), ("changing", &figures.changing)] {
        _ = writeln!(text, "{name} ({:.1} s):", span.seconds);
        _ = writeln!(
            text,
            "  a controller: median {:.1}, most {:.1} ms of processor time a second; a real proxy {:.2}",
            median(&span.controllers_ms_per_s),
            most(&span.controllers_ms_per_s),
            median(&span.proxies_ms_per_s)
        );
        _ = writeln!(
            text,
            "  a hollow proxy: {:.0} bytes a second in, {:.0} out, {:.1} messages in; tables {:.1} a second in all",
            span.proxy_in_per_s, span.proxy_out_per_s, span.proxy_messages_per_s, span.tables_per_s
        );
        _ = writeln!(
            text,
            "  heartbeats {:.0} a second, {} failed",
            span.heartbeats_per_s, span.heartbeats_failed
        );
    }
    _ = writeln!(
        text,
        "a change: acknowledged {:.0} ms (most {:.0}); at half {:.0}, at 99 of 100 {:.0}, everywhere {:.0} (most {:.0}); missed {}",
        median(&figures.acknowledged_ms),
        most(&figures.acknowledged_ms),
        median(&figures.half_ms),
        median(&figures.most_ms),
        median(&figures.everywhere_ms),
        most(&figures.everywhere_ms),
        figures.missed
    );
    _ = writeln!(
        text,
        "peak memory: controller {:.1} MB, proxy {:.1} MB; descriptors: controller {}, proxy {}",
        peak_mb(&figures.controllers),
        peak_mb(&figures.proxies),
        descriptors(&figures.controllers),
        descriptors(&figures.proxies)
    );
    text
}

fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(
        fields
            .into_iter()
            .map(|(name, value)| (name.into(), value))
            .collect::<HashMap<_, _>>(),
    )
}

fn numbers(values: &[f64]) -> JsonValue {
    JsonValue::Array(
        values
            .iter()
            .map(|value| JsonValue::Number(*value))
            .collect(),
    )
}

fn span(of: &Span) -> JsonValue {
    let number = JsonValue::Number;
    object([
        ("seconds", number(of.seconds)),
        ("controllersMsPerS", numbers(&of.controllers_ms_per_s)),
        ("proxiesMsPerS", numbers(&of.proxies_ms_per_s)),
        ("hollowBytesInPerS", number(of.proxy_in_per_s)),
        ("hollowBytesOutPerS", number(of.proxy_out_per_s)),
        ("hollowMessagesInPerS", number(of.proxy_messages_per_s)),
        ("tablesPerS", number(of.tables_per_s)),
        ("beatsPerS", number(of.heartbeats_per_s)),
        ("beatsFailed", number(of.heartbeats_failed as f64)),
    ])
}

pub fn json(sizes: &Sizes, figures: &Figures) -> String {
    let number = |value: usize| JsonValue::Number(value as f64);
    let value = object([
        ("controllers", number(sizes.controllers)),
        ("proxies", number(sizes.proxies)),
        ("hollow", number(sizes.hollow)),
        ("tasks", number(sizes.tasks)),
        ("services", number(sizes.services)),
        ("routes", number(sizes.routes)),
        ("changes", number(sizes.changes)),
        ("pauseMs", JsonValue::Number(sizes.pause_ms as f64)),
        ("configurationBytes", number(figures.configuration_bytes)),
        ("readyS", JsonValue::Number(figures.ready_s)),
        ("rest", span(&figures.rest)),
        ("changing", span(&figures.changing)),
        ("acknowledgedMs", numbers(&figures.acknowledged_ms)),
        ("halfMs", numbers(&figures.half_ms)),
        ("at99Ms", numbers(&figures.most_ms)),
        ("everywhereMs", numbers(&figures.everywhere_ms)),
        ("missed", number(figures.missed)),
        (
            "controllerPeakMb",
            JsonValue::Number(peak_mb(&figures.controllers)),
        ),
        ("proxyPeakMb", JsonValue::Number(peak_mb(&figures.proxies))),
        (
            "controllerDescriptors",
            JsonValue::Number(descriptors(&figures.controllers) as f64),
        ),
        (
            "proxyDescriptors",
            JsonValue::Number(descriptors(&figures.proxies) as f64),
        ),
    ]);
    value.format().unwrap_or_default() + "\n"
}
