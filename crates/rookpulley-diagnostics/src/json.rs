//! Bytes become JSON values. What would cost too much stack or memory is refused before it is built.

use tinyjson::{JsonParseError, JsonValue};

/// The most that a text of JSON may have.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub bytes: usize,
    pub nesting: Nesting,
    /// Each value costs some hundred bytes at worst, whatever it takes on the wire.
    pub values: usize,
}

/// The parser calls itself for each value within a value: no text is without this bound.
#[derive(Clone, Copy, Debug)]
pub enum Nesting {
    Levels(usize),
    /// Opening brackets in all, also those in quotes.
    Brackets(usize),
}

/// Why bytes are no value. `at` is the byte that was one too many.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Unread {
    #[error("too many bytes")]
    #[diagnostic(help("send fewer"))]
    Long,
    #[error("nested too deep")]
    #[diagnostic(help("send a flatter value"))]
    Deep { at: usize },
    #[error("too many values")]
    #[diagnostic(help("send a value of fewer parts"))]
    Many { at: usize },
    #[error(transparent)]
    #[diagnostic(help("send UTF-8"))]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The parser's own words, which show the input around the place.
    #[error(transparent)]
    #[diagnostic(help("send one whole JSON value"))]
    NoJson(#[from] JsonParseError),
}

/// The value that these bytes are. The first bound that they break is told before what else is wrong with them.
pub fn read(bytes: &[u8], bounds: Bounds) -> Result<JsonValue, Unread> {
    if bytes.len() > bounds.bytes {
        return Err(Unread::Long);
    }
    weigh(bytes, bounds)?;
    Ok(std::str::from_utf8(bytes)?.parse()?)
}

/// Counts depth and values, without building any.
fn weigh(bytes: &[u8], bounds: Bounds) -> Result<(), Unread> {
    let deepest = match bounds.nesting {
        Nesting::Levels(most) => most,
        Nesting::Brackets(most) => match bracket(bytes, most) {
            Some(at) => return Err(Unread::Deep { at }),
            None => most,
        },
    };
    let (mut depth, mut values, mut quoted, mut escaped) = (0usize, 1usize, false, false);
    for (at, byte) in bytes.iter().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'[' | b'{' => (depth, values) = (depth + 1, values + 1),
            b']' | b'}' => depth = depth.saturating_sub(1),
            b',' => values += 1,
            _ => {}
        }
        if depth > deepest {
            return Err(Unread::Deep { at });
        }
        if values > bounds.values {
            return Err(Unread::Many { at });
        }
    }
    Ok(())
}

/// Where the opening bracket stands that has so many before it.
fn bracket(bytes: &[u8], before: usize) -> Option<usize> {
    let opening = bytes
        .iter()
        .enumerate()
        .filter(|(_, byte)| matches!(byte, b'{' | b'['));
    opening.map(|(at, _)| at).nth(before)
}

#[cfg(test)]
mod tests {
    use super::*;

    const FLAT: Bounds = Bounds {
        bytes: 40,
        nesting: Nesting::Levels(2),
        values: 6,
    };

    #[test]
    fn bounds_hold_before_anything_is_built_and_signs_in_quotes_count_only_as_brackets() {
        let read = |text: &str| super::read(text.as_bytes(), FLAT);
        assert!(read(r#"[["\"[[,,,,,,"],[]]"#).is_ok());
        assert!(matches!(read("[[[]]]"), Err(Unread::Deep { at: 2 })));
        assert!(matches!(
            read("[1,2,3,4,5,6]"),
            Err(Unread::Many { at: 10 })
        ));
        assert!(matches!(read(&" ".repeat(41)), Err(Unread::Long)));
        assert!(matches!(read("[1"), Err(Unread::NoJson(_))));
        assert!(matches!(
            super::read(b"\"\xff\"", FLAT),
            Err(Unread::NotUtf8(_))
        ));
        assert!(matches!(
            super::read(b"[[[\xff", FLAT),
            Err(Unread::Deep { at: 2 })
        ));
        let counted = Bounds {
            nesting: Nesting::Brackets(2),
            ..FLAT
        };
        assert!(super::read(b"[[]]", counted).is_ok());
        assert!(matches!(
            super::read(b"[[\"[\"]]", counted),
            Err(Unread::Deep { at: 3 })
        ));
    }
}
