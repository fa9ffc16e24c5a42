//! The request that a handler receives and the reply that it returns.

use rookpulley_diagnostics::{JsonError, JsonLimits, Nesting, parse_json};
use tinyjson::JsonValue;

/// Limits the depth only: the size of a body has been checked when it was read.
const BOUNDS: JsonLimits = JsonLimits {
    max_bytes: usize::MAX,
    nesting: Nesting::Levels(64),
    max_values: usize::MAX,
};

/// A complete request. Path and query are not decoded; header names are in lower case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
}

impl Call {
    /// The first header of this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Parses the body as JSON, or returns the reply to an invalid body.
    pub fn json(&self) -> Result<JsonValue, Reply> {
        parse_json(&self.body, BOUNDS).map_err(|why| match why {
            JsonError::TooDeep { .. } => {
                Reply::error(400, "the body nests too deeply: send a flatter value")
            }
            _ => Reply::error(
                400,
                "the body can't be read: send one whole JSON value in UTF-8",
            ),
        })
    }
}

/// A reply. The codec sets the length, date and connection headers; `Connection: close` set here closes the connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn json(status: u16, value: &JsonValue) -> Reply {
        match value.stringify() {
            Ok(text) => Reply::bytes(status, text.into_bytes()),
            Err(_) => Reply::error(500, "the answer can't be written as JSON"),
        }
    }

    /// A reply whose body is serialized JSON.
    pub fn bytes(status: u16, body: Vec<u8>) -> Reply {
        Reply {
            status,
            headers: vec![("content-type", "application/json".to_owned())],
            body,
        }
    }

    pub fn empty(status: u16) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn error(status: u16, message: &str) -> Reply {
        let text = JsonValue::from(message.to_owned())
            .stringify()
            .unwrap_or_else(|_| "\"\"".to_owned());
        Reply::bytes(status, format!("{{\"errorMessage\":{text}}}").into_bytes())
    }

    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Reply {
        self.headers.push((name, value.into()));
        self
    }

    pub(crate) fn closes(&self) -> bool {
        let is_close = |value: &str| {
            value
                .split(',')
                .any(|word| word.trim().eq_ignore_ascii_case("close"))
        };
        self.headers
            .iter()
            .any(|(name, value)| name.eq_ignore_ascii_case("connection") && is_close(value))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deeply_nested_bodies_are_rejected_and_brackets_in_strings_do_not_count() {
        let call = |body: &str| Call {
            body: body.as_bytes().to_vec(),
            ..Call::default()
        };
        assert_eq!(call(&"[".repeat(1 << 20)).json().unwrap_err().status, 400);
        assert!(
            call(&format!("[\"\\\"{}\"]", "[".repeat(500)))
                .json()
                .is_ok()
        );
        assert_eq!(call("{\"a\":").json().unwrap_err().status, 400);
        assert_eq!(
            Reply::error(409, "a \"word\"").body,
            b"{\"errorMessage\":\"a \\\"word\\\"\"}"
        );
    }
}
