//! Parses JSON. Input that would take too much stack or memory is rejected before any value is built.

use tinyjson::{JsonParseError, JsonValue};

/// Limits on a JSON document.
#[derive(Clone, Copy, Debug)]
pub struct JsonLimits {
    pub max_bytes: usize,
    pub nesting: Nesting,
    /// A parsed value takes up to about 100 bytes, however short its text is.
    pub max_values: usize,
}

/// The limit on nesting, which is required because the parser is recursive.
#[derive(Clone, Copy, Debug)]
pub enum Nesting {
    Levels(usize),
    /// The total number of opening brackets, including those in strings.
    Brackets(usize),
}

/// Why a document was rejected. `offset` is that of the byte that exceeds the limit.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum JsonError {
    #[error("too many bytes")]
    #[diagnostic(help("send fewer"))]
    TooLong,
    #[error("nested too deep")]
    #[diagnostic(help("send a flatter value"))]
    TooDeep { offset: usize },
    #[error("too many values")]
    #[diagnostic(help("send a value of fewer parts"))]
    TooManyValues { offset: usize },
    #[error(transparent)]
    #[diagnostic(help("send UTF-8"))]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The message of the parser, which quotes the input around the error.
    #[error(transparent)]
    #[diagnostic(help("send one whole JSON value"))]
    Syntax(#[from] JsonParseError),
}

/// Parses one JSON value. A limit that is exceeded is reported before encoding and syntax errors.
pub fn parse_json(bytes: &[u8], limits: JsonLimits) -> Result<JsonValue, JsonError> {
    if bytes.len() > limits.max_bytes {
        return Err(JsonError::TooLong);
    }
    check_limits(bytes, limits)?;
    Ok(std::str::from_utf8(bytes)?.parse()?)
}

/// Checks the limits on depth and number of values without building any value.
fn check_limits(bytes: &[u8], limits: JsonLimits) -> Result<(), JsonError> {
    let max_depth = match limits.nesting {
        Nesting::Levels(most) => most,
        Nesting::Brackets(most) => match nth_bracket(bytes, most) {
            Some(offset) => return Err(JsonError::TooDeep { offset }),
            None => most,
        },
    };
    let (mut depth, mut values, mut quoted, mut escaped) = (0usize, 1usize, false, false);
    for (offset, byte) in bytes.iter().enumerate() {
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
            return Err(JsonError::TooDeep { offset });
        }
        if values > limits.max_values {
            return Err(JsonError::TooManyValues { offset });
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

    const FLAT: JsonLimits = JsonLimits {
        max_bytes: 40,
        nesting: Nesting::Levels(2),
        max_values: 6,
    };

    #[test]
    fn limits_apply_before_parsing_and_strings_count_only_toward_the_bracket_limit() {
        let read = |text: &str| super::parse_json(text.as_bytes(), FLAT);
        assert!(read(r#"[["\"[[,,,,,,"],[]]"#).is_ok());
        assert!(matches!(
            read("[[[]]]"),
            Err(JsonError::TooDeep { offset: 2 })
        ));
        assert!(matches!(
            read("[1,2,3,4,5,6]"),
            Err(JsonError::TooManyValues { offset: 10 })
        ));
        assert!(matches!(read(&" ".repeat(41)), Err(JsonError::TooLong)));
        assert!(matches!(read("[1"), Err(JsonError::Syntax(_))));
        assert!(matches!(
            super::parse_json(b"\"\xff\"", FLAT),
            Err(JsonError::NotUtf8(_))
        ));
        assert!(matches!(
            super::parse_json(b"[[[\xff", FLAT),
            Err(JsonError::TooDeep { offset: 2 })
        ));
        let counted = JsonLimits {
            nesting: Nesting::Brackets(2),
            ..FLAT
        };
        assert!(super::parse_json(b"[[]]", counted).is_ok());
        assert!(matches!(
            super::parse_json(b"[[\"[\"]]", counted),
            Err(JsonError::TooDeep { offset: 3 })
        ));
    }
}
