//! Files written by the program: a complete one from a list, and a seal on one that was edited.

use crate::read::{ReadError, closing_statement, parse_body, split_closing};
use rookpulley_lists::Candidate;
use std::fmt::Write;
use std::path::Path;

/// A text as the script writes it. Names and addresses hold neither quotes nor control characters where they pass
/// the checks; those that don't are still written so that they are read back as they are.
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

/// A complete file with this list.
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

/// The same file with a closing statement that fits it.
pub fn with_seal(file: &Path, text: &str) -> Result<String, ReadError> {
    let (before, _) = split_closing(text);
    let before = if before.is_empty() || before.ends_with('\n') {
        before.to_string()
    } else {
        format!("{before}\n")
    };
    let servers = parse_body(file, &before)?.entries.len();
    let closing = closing_statement(&before, servers);
    Ok(before + &closing + "\n")
}
