//! Typed access to the fields of a JSON value. Invalid fields are recorded as faults with their path.

use crate::faults::CONFIGURATION;
use rookpulley_diagnostics::{Faults, describe};
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use tinyjson::JsonValue;

/// Largest integer up to which all integers are exact as JSON numbers.
pub(crate) const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_991.0;

/// A value and its path from the root. The path is formatted only when a fault is recorded.
#[derive(Clone, Copy)]
pub(crate) struct Value<'a> {
    /// `None` if absent or `null`.
    json: Option<&'a JsonValue>,
    path: Path<'a>,
    faults: &'a RefCell<Faults>,
}

#[derive(Clone, Copy)]
enum Path<'a> {
    Root,
    Field(&'a Value<'a>, &'static str),
    Item(&'a Value<'a>, usize),
}

impl Display for Value<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.path {
            Path::Root => write!(f, "the configuration"),
            Path::Field(
                Value {
                    path: Path::Root, ..
                },
                field,
            ) => write!(f, "{field}"),
            Path::Field(parent, field) => write!(f, "{parent}.{field}"),
            Path::Item(parent, index) => write!(f, "{parent}[{index}]"),
        }
    }
}

impl<'a> Value<'a> {
    pub fn root(json: &'a JsonValue, faults: &'a RefCell<Faults>) -> Self {
        Self {
            json: Some(json),
            path: Path::Root,
            faults,
        }
    }

    /// Another value at the same path.
    pub fn with<'b>(&self, json: &'b JsonValue) -> Value<'b>
    where
        'a: 'b,
    {
        Value {
            json: Some(json),
            path: self.path,
            faults: self.faults,
        }
    }

    pub fn is_present(&self) -> bool {
        self.json.is_some()
    }

    /// Records that this value is invalid.
    pub fn record_fault(&self, found: impl Display, expected: impl Display) {
        self.faults.borrow_mut().add(self, found, expected);
    }

    /// A field of this object; absent if this is not an object.
    pub fn field(&'a self, name: &'static str) -> Value<'a> {
        let fields = self.json.and_then(|json| json.get::<HashMap<_, _>>());
        let json = fields
            .and_then(|fields| fields.get(name))
            .filter(|json| !json.is_null());
        Value {
            json,
            path: Path::Field(self, name),
            faults: self.faults,
        }
    }

    /// Whether this is an object; records a fault otherwise.
    pub fn require_object(&self) -> bool {
        self.required("an object in { }", |json| json.get::<HashMap<_, _>>())
            .is_some()
    }

    /// The items of a list; records a fault if this is not a list.
    pub fn items(&'a self) -> impl Iterator<Item = Value<'a>> {
        let items = self.required("a list in [ ]", |json| json.get::<Vec<_>>());
        items
            .into_iter()
            .flatten()
            .enumerate()
            .map(|(index, json)| Value {
                json: Some(json),
                path: Path::Item(self, index),
                faults: self.faults,
            })
    }

    /// Converts the value. `None` if it is absent, or invalid and recorded as a fault.
    fn take<T>(
        &self,
        expected: &str,
        convert: impl FnOnce(&'a JsonValue) -> Option<T>,
    ) -> Option<T> {
        let json = self.json?;
        let converted = convert(json);
        if converted.is_none() {
            self.record_fault(
                describe(json, "an object", CONFIGURATION.max_chars),
                expected,
            );
        }
        converted
    }

    /// Like `take`, but records a fault if the value is absent.
    fn required<T>(
        &self,
        expected: &str,
        convert: impl FnOnce(&'a JsonValue) -> Option<T>,
    ) -> Option<T> {
        if !self.is_present() {
            self.record_fault("missing", expected);
        }
        self.take(expected, convert)
    }

    /// A string that is not blank.
    pub fn required_string(&self, expected: &str) -> Option<&'a str> {
        let convert = |json: &'a JsonValue| {
            Some(json.get::<String>()?.as_str()).filter(|string| !string.trim().is_empty())
        };
        self.required(expected, convert)
    }

    /// A string that is not blank and whose value never appears in a fault.
    pub fn required_secret(&self, expected: &str) -> Option<&'a str> {
        let text = self.json.and_then(|json| json.get::<String>());
        let secret = text
            .map(String::as_str)
            .filter(|text| !text.trim().is_empty());
        if secret.is_none() {
            self.record_fault("something else (not shown)", expected);
        }
        secret
    }

    /// Like `require_object`, but the value never appears in a fault.
    pub fn require_secret_object(&self) -> bool {
        let is_object = self.json.is_some_and(JsonValue::is_object);
        if !is_object {
            self.record_fault("something else (not shown)", "an object in { }");
        }
        is_object
    }

    /// Like `items`, but an absent list is empty, and the value never appears in a fault.
    pub fn secret_items(&'a self) -> impl Iterator<Item = Value<'a>> {
        let items = self.json.and_then(|json| json.get::<Vec<_>>());
        if self.is_present() && items.is_none() {
            self.record_fault("something else (not shown)", "a list in [ ]");
        }
        items
            .into_iter()
            .flatten()
            .enumerate()
            .map(|(index, json)| Value {
                json: Some(json),
                path: Path::Item(self, index),
                faults: self.faults,
            })
    }

    pub fn boolean(&self) -> Option<bool> {
        self.take("true or false", |json| json.get::<bool>().copied())
    }

    pub fn string(&self) -> Option<&'a str> {
        self.take("a text in quotes", |json| {
            Some(json.get::<String>()?.as_str())
        })
    }

    pub fn required_number(&self, expected: &str, fits: impl FnOnce(f64) -> bool) -> Option<f64> {
        self.required(expected, |json| number(json).filter(|number| fits(*number)))
    }

    pub fn number(&self, expected: &str, fits: impl FnOnce(f64) -> bool) -> Option<f64> {
        self.take(expected, |json| number(json).filter(|number| fits(*number)))
    }

    /// An integer of at least `min` that is exact as a JSON number.
    pub fn required_integer(&self, min: u32, expected: &str) -> Option<u64> {
        let number = self.required_number(expected, |number| is_integer(number, min))?;
        Some(number as u64)
    }

    pub fn integer(&self, min: u32, expected: &str) -> Option<u64> {
        let number = self.number(expected, |number| is_integer(number, min))?;
        Some(number as u64)
    }
}

fn number(json: &JsonValue) -> Option<f64> {
    json.get::<f64>()
        .copied()
        .filter(|number| number.is_finite())
}

fn is_integer(number: f64, min: u32) -> bool {
    number.fract() == 0.0 && (f64::from(min)..=MAX_EXACT_INTEGER).contains(&number)
}
