//! Parses JSON. Input that would take too much stack or memory is rejected before any value is built.

use tinyjson::{JsonParseError, JsonValue};

/// Limits on a JSON document.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub bytes: usize,
    pub nesting: Nesting,
    /// A parsed value takes up to about 100 bytes, however short its text is.
    pub values: usize,
}

/// The limit on nesting, which is required because the parser is recursive.
#[derive(Clone, Copy, Debug)]
pub enum Nesting {
    Levels(usize),
    /// The total number of opening brackets, including those in strings.
    Brackets(usize),
}

/// Why a document was rejected. `at` is the offset of the byte that exceeds the limit.
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
    /// The message of the parser, which quotes the input around the error.
    #[error(transparent)]
    #[diagnostic(help("send one whole JSON value"))]
    NoJson(#[from] JsonParseError),
}

/// Parses one JSON value. A limit that is exceeded is reported before encoding and syntax errors.
pub fn read(bytes: &[u8], bounds: Bounds) -> Result<JsonValue, Unread> {
    if bytes.len() > bounds.bytes {
        return Err(Unread::Long);
    }
    check_limits(bytes, bounds)?;
    Ok(std::str::from_utf8(bytes)?.parse()?)
}

/// Checks the limits on depth and number of values without building any value.
fn check_limits(bytes: &[u8], bounds: Bounds) -> Result<(), Unread> {
    let max_depth = match bounds.nesting {
        Nesting::Levels(most) => most,
        Nesting::Brackets(most) => match nth_bracket(bytes, most) {
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
        if depth > max_depth {
            return Err(Unread::Deep { at });
        }
        if values > bounds.values {
            return Err(Unread::Many { at });
        }
    }
    Ok(())
}

/// The offset of the opening bracket that is preceded by `before` others.
fn nth_bracket(bytes: &[u8], before: usize) -> Option<usize> {
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
    fn limits_apply_before_parsing_and_strings_count_only_toward_the_bracket_limit() {
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
