//! A task's heartbeat, read from the body of its call.

use rookpulley_diagnostics::{Bounds, Nesting, Unread, read};
use rookpulley_protocol::IncarnationId;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use tinyjson::JsonValue;

/// A heartbeat is some hundred bytes.
const LONGEST: usize = 16 << 10;
/// A heartbeat needs three brackets.
const BOUNDS: Bounds = Bounds {
    bytes: LONGEST,
    nesting: Nesting::Brackets(64),
    values: usize::MAX,
};
const NAME_LONGEST: usize = 128;

/// What a task says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub incarnation: IncarnationId,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    /// The version of the task's software.
    pub software: String,
    pub slots: u16,
    pub draining: bool,
    /// How much longer it stays slow after its start.
    pub cold_ms: f64,
    /// Goes up with each call of this incarnation.
    pub sequence: u64,
}

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum HeartbeatError {
    #[error("the path of the beat holds no id of a task's life")]
    #[diagnostic(help(
        "write /rookpulley/instances/ID with 1 to {NAME_LONGEST} visible ASCII characters"
    ))]
    IncarnationId,
    #[error("the body of the beat has {0} bytes")]
    #[diagnostic(help("write one JSON object of at most {LONGEST} bytes"))]
    Long(usize),
    #[error("the body of the beat can't be read: {0}")]
    #[diagnostic(help(
        "write one JSON object, in UTF-8, with the parts nodeInfo and currentStatus"
    ))]
    Json(String),
    #[error("in the beat, `{field}` is {found}")]
    #[diagnostic(help("write {instead} as `{field}`"))]
    Field {
        field: &'static str,
        found: &'static str,
        instead: &'static str,
    },
}

type Object = HashMap<String, JsonValue>;

/// The parts of a heartbeat. A flat one has all fields at the top.
struct Parts<'a> {
    top: &'a Object,
    inner: Option<&'a Object>,
}

impl<'a> Parts<'a> {
    fn of(top: &'a Object, part: &str) -> Self {
        let inner = top.get(part).and_then(|v| v.get::<Object>());
        Self { top, inner }
    }

    fn find(&self, field: &'static str) -> Option<&'a JsonValue> {
        self.inner
            .and_then(|part| part.get(field))
            .or_else(|| self.top.get(field))
    }

    fn wrong(&self, field: &'static str, instead: &'static str) -> HeartbeatError {
        let found = match self.find(field) {
            None => "missing",
            Some(JsonValue::Null) => "null",
            Some(JsonValue::String(_)) => "a text that won't do",
            Some(JsonValue::Number(_)) => "a number that won't do",
            Some(_) => "of another type",
        };
        HeartbeatError::Field {
            field,
            found,
            instead,
        }
    }

    fn name(&self, field: &'static str, least: usize) -> Result<String, HeartbeatError> {
        let wrong = || self.wrong(field, "a text of at most 128 bytes");
        let text = self.find(field).and_then(|v| v.get::<String>());
        let text = match text {
            None if least == 0 && self.find(field).is_none() => return Ok(String::new()),
            text => text.ok_or_else(wrong)?,
        };
        if (least..=NAME_LONGEST).contains(&text.len()) {
            Ok(text.clone())
        } else {
            Err(wrong())
        }
    }

    fn whole(&self, field: &'static str, least: f64, most: f64) -> Result<f64, HeartbeatError> {
        let number = self.find(field).and_then(|v| v.get::<f64>()).copied();
        let sound = number.filter(|n| n.fract() == 0.0 && (least..=most).contains(n));
        sound.ok_or_else(|| self.wrong(field, "a whole number in its range"))
    }
}

/// Whether this can be the id of an incarnation; it goes into a header.
pub(crate) fn names_a_incarnation(incarnation: &str) -> bool {
    (1..=NAME_LONGEST).contains(&incarnation.len())
        && incarnation.bytes().all(|b| b.is_ascii_graphic())
}

impl Heartbeat {
    /// Reads the body of a heartbeat, its fields in their two parts or all at the top.
    pub fn read(incarnation: &str, body: &[u8]) -> Result<Self, HeartbeatError> {
        if !names_a_incarnation(incarnation) {
            return Err(HeartbeatError::IncarnationId);
        }
        let value = read(body, BOUNDS).map_err(|why| match why {
            Unread::Long => HeartbeatError::Long(body.len()),
            Unread::Deep { .. } => HeartbeatError::Json("too many brackets".into()),
            why => HeartbeatError::Json(why.to_string()),
        })?;
        let top = value
            .get::<Object>()
            .ok_or_else(|| HeartbeatError::Json("it is no JSON object".into()))?;
        let (node, status) = (Parts::of(top, "nodeInfo"), Parts::of(top, "currentStatus"));
        let address = status.name("address", 1)?;
        let address: SocketAddrV4 = address
            .parse()
            .ok()
            .filter(|a: &SocketAddrV4| a.port() != 0)
            .ok_or(HeartbeatError::Field {
                field: "address",
                found: "no address",
                instead: "an IPv4 address and a port",
            })?;
        let draining = match status.name("lifecycleState", 1)?.as_str() {
            "available" => false,
            "draining" => true,
            _ => return Err(status.wrong("lifecycleState", "`available` or `draining`")),
        };
        let cold = status
            .find("coldRemainingMs")
            .and_then(|v| v.get::<f64>())
            .copied();
        Ok(Self {
            incarnation: incarnation.into(),
            service: node.name("targetService", 1)?,
            address,
            zone: node.name("zone", 1)?,
            software: node.name("configVersion", 0)?,
            slots: node.whole("capacitySlots", 1.0, f64::from(u16::MAX))? as u16,
            draining,
            cold_ms: cold
                .filter(|ms| ms.is_finite())
                .unwrap_or(0.0)
                .clamp(0.0, 600_000.0),
            sequence: status.whole("callSequence", 0.0, 9e15)? as u64,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NESTED: &str = r#"{"address":"10.128.0.9:8080",
        "nodeInfo":{"targetService":"a","configVersion":"v1","zone":"z","capacitySlots":4},
        "currentStatus":{"lifecycleState":"draining","callSequence":4,"coldRemainingMs":0}}"#;
    const FLAT: &str = r#"{"address":"10.128.0.9:8080","targetService":"a","configVersion":"v1","zone":"z",
        "capacitySlots":4,"lifecycleState":"draining","callSequence":4,"coldRemainingMs":0}"#;

    #[test]
    fn a_heartbeat_reads_alike_in_parts_and_flat() {
        let heartbeat = Heartbeat::read("i-1", NESTED.as_bytes()).unwrap();
        assert_eq!(heartbeat, Heartbeat::read("i-1", FLAT.as_bytes()).unwrap());
        assert_eq!(
            (heartbeat.slots, heartbeat.draining, heartbeat.sequence),
            (4, true, 4)
        );
    }

    #[test]
    fn a_spoilt_heartbeat_is_refused_with_words_and_never_ends_the_program() {
        let spoilt = [
            ("\"a\"", "7"),
            ("4", "0"),
            ("draining", "gone"),
            (":8080", ""),
            ("\"z\"", "[[]]"),
        ];
        for (was, is) in spoilt {
            let fault = Heartbeat::read("i-1", NESTED.replacen(was, is, 1).as_bytes()).unwrap_err();
            assert!(miette::Diagnostic::help(&fault).is_some(), "{fault}");
        }
        assert!(Heartbeat::read("i-1", &[b'['; 10_000]).is_err());
        assert!(Heartbeat::read("i 1", NESTED.as_bytes()).is_err());
        rookpulley_samples::plays(2_000, 64, |u| {
            let mut body = NESTED.as_bytes().to_vec();
            for _ in 0..u.int_in_range(1..=4)? {
                let at = u.choose_index(body.len())?;
                body[at] = u.arbitrary()?;
            }
            _ = Heartbeat::read("i-1", &body);
            Ok(())
        });
    }
}
