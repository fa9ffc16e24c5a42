//! Cuts a configuration's text into its rules and the rest, without building any value.
//!
//! The rest has an object with one field, named by the empty text, in the place of each rule: the number of the rule.
//! Where rest and rules are JSON each, the whole is JSON and means the same, as one value stands in the place of another.

use std::ops::Range;

pub(crate) struct Split {
    pub rest: Vec<u8>,
    /// Where the rules stand in the whole.
    pub rules: Vec<Range<usize>>,
}

/// What an open bracket belongs to.
#[derive(Clone, Copy, PartialEq)]
enum Place {
    Top,
    /// The list under `hostnames`.
    Hosts,
    Host,
    /// A list under `pathRules`.
    Rules,
    Other,
}

/// Room for a rule's stand-in.
const STAND_IN_BYTES: usize = 12;

/// None where the text can't be cut: it is spoilt, or names a field by the empty text.
pub(crate) fn split(bytes: &[u8]) -> Option<Split> {
    let mut split = Split {
        rest: Vec::new(),
        rules: Vec::new(),
    };
    let (mut open, mut at, mut copied) = (Vec::<Place>::new(), 0, 0);
    // The last text, and the name of the field whose value comes next.
    let (mut text, mut field) = (&[][..], None);
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'"' => {
                let end = text_end(bytes, at)?;
                text = bytes.get(at + 1..end - 1)?;
                at = end;
                continue;
            }
            b':' if text.is_empty() => return None,
            b':' => field = Some(text),
            b'{' if open.last() == Some(&Place::Rules) => {
                let end = object_end(bytes, at)?;
                split.rest.reserve(at - copied + STAND_IN_BYTES);
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
                    None => Place::Top,
                    Some(Place::Hosts) => Place::Host,
                    Some(_) => Place::Other,
                });
                field = None;
            }
            b'[' => {
                open.push(match (open.last(), field.take()) {
                    (Some(Place::Top), Some(b"hostnames")) => Place::Hosts,
                    (Some(Place::Host), Some(b"pathRules")) => Place::Rules,
                    _ => Place::Other,
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

/// Behind the quote that ends the text that begins here.
fn text_end(bytes: &[u8], begins: usize) -> Option<usize> {
    let mut at = begins + 1;
    loop {
        match bytes.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

/// Behind the bracket that ends the object that begins here.
fn object_end(bytes: &[u8], begins: usize) -> Option<usize> {
    let (mut depth, mut at) = (0usize, begins);
    loop {
        match bytes.get(at)? {
            b'"' => {
                at = text_end(bytes, at)?;
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
