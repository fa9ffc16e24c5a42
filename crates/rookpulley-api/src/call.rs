//! What a handler is given and what it gives back.

use rookpulley_diagnostics::{Bounds, Nesting, Unread, read};
use tinyjson::JsonValue;

/// Deeper values are refused. How long a body may be is seen to before there is a call.
const BOUNDS: Bounds = Bounds {
    bytes: usize::MAX,
    nesting: Nesting::Levels(64),
    values: usize::MAX,
};

/// One call, whole. Path and query are raw, as they were sent; header names are in small letters.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
}

impl Call {
    /// The first header of this name, in capitals or not.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(held, _)| held.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The body as a value, or the reply to a caller whose body is none.
    pub fn json(&self) -> Result<JsonValue, Reply> {
        read(&self.body, BOUNDS).map_err(|why| match why {
            Unread::Deep { .. } => {
                Reply::error(400, "the body nests too deeply: send a flatter value")
            }
            _ => Reply::error(
                400,
                "the body can't be read: send one whole JSON value in UTF-8",
            ),
        })
    }
}

/// What goes back. Length, date and connection are seen to elsewhere; `Connection: close` set here is kept.
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

    /// JSON that stands already, such as a configuration as it was sent.
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

    pub fn error(status: u16, sentence: &str) -> Reply {
        let text = JsonValue::from(sentence.to_owned())
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
    fn a_body_that_nests_beyond_measure_is_refused_and_brackets_in_words_do_not_count() {
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
