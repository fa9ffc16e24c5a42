//! Splits the text of a configuration into its rules and the rest, without parsing any value.
//!
//! In the rest, each rule is replaced by a placeholder object `{"": N}`, where N is the index of the rule. If the rest
//! and all rules are valid JSON, so is the text, with the same meaning.

use std::ops::Range;

pub(crate) struct Split {
    pub rest: Vec<u8>,
    /// Byte ranges of the rules in the text.
    pub rules: Vec<Range<usize>>,
}

/// The container that an open bracket belongs to.
#[derive(Clone, Copy, PartialEq)]
enum Container {
    Top,
    /// The list under `hostnames`.
    Hosts,
    Host,
    /// A list under `pathRules`.
    Rules,
    Other,
}

/// Typical length of a placeholder.
const PLACEHOLDER_BYTES: usize = 12;

/// Returns `None` if the text can't be split: it is malformed or has a field with an empty name.
pub(crate) fn split(bytes: &[u8]) -> Option<Split> {
    let mut split = Split {
        rest: Vec::new(),
        rules: Vec::new(),
    };
    let (mut open, mut at, mut copied) = (Vec::<Container>::new(), 0, 0);
    // The last string, and the name of the field whose value follows.
    let (mut last_string, mut field) = (&[][..], None);
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'"' => {
                let end = string_end(bytes, at)?;
                last_string = bytes.get(at + 1..end - 1)?;
                at = end;
                continue;
            }
            b':' if last_string.is_empty() => return None,
            b':' => field = Some(last_string),
            b'{' if open.last() == Some(&Container::Rules) => {
                let end = object_end(bytes, at)?;
                split.rest.reserve(at - copied + PLACEHOLDER_BYTES);
                split.rest.extend_from_slice(bytes.get(copied..at)?);
                split
                    .rest
                    .extend_from_slice(format!("{{\"\":{}}}", split.rules.len()).as_bytes());
                split.rules.push(at..end);
                (at, copied) = (end, end);
                continue;
            }
            b'{' => {
                open.push(match open.last() {
                    None => Container::Top,
                    Some(Container::Hosts) => Container::Host,
                    Some(_) => Container::Other,
                });
                field = None;
            }
            b'[' => {
                open.push(match (open.last(), field.take()) {
                    (Some(Container::Top), Some(b"hostnames")) => Container::Hosts,
                    (Some(Container::Host), Some(b"pathRules")) => Container::Rules,
                    _ => Container::Other,
                });
            }
            b'}' | b']' => _ = open.pop()?,
            b',' => field = None,
            _ => {}
        }
        at += 1;
    }
    split.rest.extend_from_slice(bytes.get(copied..)?);
    Some(split)
}

/// Returns the position after the string that starts here.
fn string_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut at = start + 1;
    loop {
        match bytes.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

/// Returns the position after the object that starts here.
fn object_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut depth, mut at) = (0usize, start);
    loop {
        match bytes.get(at)? {
            b'"' => {
                at = string_end(bytes, at)?;
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(at + 1);
                }
            }
            _ => {}
        }
        at += 1;
    }
}
