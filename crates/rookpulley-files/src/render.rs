//! Renders server files from lists and seals edited files.

use crate::read::{ReadError, closing_statement, parse_body, split_closing};
use rookpulley_lists::Candidate;
use std::fmt::Write;
use std::path::Path;

/// Quotes a string for the script. Quotes, backslashes and control characters are escaped, so that invalid names
/// also round-trip.
fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            '\n' => out += "\\n",
            '\r' => out += "\\r",
            '\t' => out += "\\t",
            c if c.is_control() => _ = write!(out, "\\u{:04x}", u32::from(c)),
            c => out.push(c),
        }
    }
    out + "\""
}

/// Renders a list as a complete, sealed file.
pub fn render(list: &Candidate) -> String {
    let mut text = String::from(
        "# Servers and their weights. `rookpulley servers seal FILE` after every change.\n",
    );
    _ = writeln!(text, "generation({})", list.generation);
    if let Some(loss) = list.loss {
        _ = writeln!(text, "loss({loss:?})");
    }
    for e in &list.entries {
        _ = write!(
            text,
            "server({}, {}, zone = {}",
            quoted(&e.name),
            quoted(&e.address),
            quoted(&e.zone)
        );
        if !e.machine.is_empty() {
            _ = write!(text, ", machine = {}", quoted(&e.machine));
        }
        _ = write!(text, ", weight = {:?}", e.weight);
        if e.bay != 0 {
            _ = write!(text, ", bay = {}", e.bay);
        }
        if e.drains {
            text += ", drains = True";
        }
        if e.started_ms > 0.0 {
            _ = write!(text, ", started = {:.0}", e.started_ms);
        }
        text += ")\n";
    }
    let closing = closing_statement(&text, list.entries.len());
    text + &closing + "\n"
}

/// Replaces or adds the closing statement so that it matches the content of the file.
pub fn with_seal(file: &Path, text: &str) -> Result<String, ReadError> {
    let (body, _) = split_closing(text);
    let body = if body.is_empty() || body.ends_with('\n') {
        body.to_string()
    } else {
        format!("{body}\n")
    };
    let servers = parse_body(file, &body)?.entries.len();
    let closing = closing_statement(&body, servers);
    Ok(body + &closing + "\n")
}
