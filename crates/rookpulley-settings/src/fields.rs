//! Reads the fields of a table by name, and reports each invalid one with what is expected.

use crate::faults::SETTINGS;
use rookpulley_diagnostics::{Faults, describe};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use tinyjson::JsonValue;

/// The maximum of a number: up to here, `f64` represents all integers and durations cannot overflow.
const MAX_NUMBER: f64 = 9_007_199_254_740_991.0;
const NUMBER_HINT: &str = "a number from 0 to 9007199254740991";

pub(crate) struct Table<'a> {
    /// The path of the table; empty for the root of the file.
    name: String,
    fields: Option<&'a HashMap<String, JsonValue>>,
    faults: &'a RefCell<Faults>,
}

impl<'a> Table<'a> {
    pub fn root(file: &'a JsonValue, faults: &'a RefCell<Faults>) -> Self {
        Self {
            name: String::new(),
            fields: file.get(),
            faults,
        }
    }

    /// A nested table. A missing one is treated as empty.
    pub fn table(&self, name: &str) -> Table<'a> {
        let fields = self.optional(name, "a table", |value| value.get::<HashMap<_, _>>());
        Table {
            name: self.path(name),
            fields,
            faults: self.faults,
        }
    }

    pub fn exists(&self) -> bool {
        self.fields.is_some()
    }

    /// The sorted names of all fields.
    pub fn names(&self) -> Vec<&'a str> {
        let mut names: Vec<&str> = self
            .fields
            .into_iter()
            .flatten()
            .map(|(name, _)| name.as_str())
            .collect();
        names.sort_unstable();
        names
    }

    /// Reports fields whose names are not in `known`.
    pub fn reject_unknown(&self, known: &[&str]) {
        for name in self
            .names()
            .into_iter()
            .filter(|name| !known.contains(name))
        {
            self.report(
                name,
                "not a field of this file",
                &format!("one of {}", known.join(", ")),
            );
        }
    }

    fn value(&self, field: &str) -> Option<&'a JsonValue> {
        self.fields?.get(field)
    }

    fn path(&self, field: &str) -> String {
        if self.name.is_empty() {
            field.into()
        } else {
            format!("{}.{field}", self.name)
        }
    }

    /// Reports a fault of a field.
    pub fn report(&self, field: &str, found: &str, expected: &str) {
        self.faults
            .borrow_mut()
            .add(self.path(field), found, expected);
    }

    /// Converts a field with `convert`. None: it is missing, or it is invalid and has been reported.
    pub fn optional<T>(
        &self,
        field: &str,
        expected: &str,
        convert: impl FnOnce(&'a JsonValue) -> Option<T>,
    ) -> Option<T> {
        let value = self.value(field)?;
        let converted = convert(value);
        if converted.is_none() {
            self.report(
                field,
                &describe(value, "a table", SETTINGS.max_chars),
                expected,
            );
        }
        converted
    }

    /// Like `optional`, and reports a missing field.
    fn required<T>(
        &self,
        field: &str,
        expected: &str,
        convert: impl FnOnce(&'a JsonValue) -> Option<T>,
    ) -> Option<T> {
        if self.value(field).is_none() {
            self.report(field, "missing", expected);
        }
        self.optional(field, expected, convert)
    }

    pub fn string(&self, field: &str) -> Option<String> {
        self.optional(field, "a string in quotes", |value| {
            value.get::<String>().cloned()
        })
    }

    pub fn required_string(&self, field: &str, expected: &str) -> String {
        let convert = |value: &JsonValue| {
            value
                .get::<String>()
                .filter(|text| !text.trim().is_empty())
                .cloned()
        };
        self.required(field, expected, convert).unwrap_or_default()
    }

    pub fn has(&self, field: &str) -> bool {
        self.value(field).is_some()
    }

    pub fn boolean(&self, field: &str, default: bool) -> bool {
        self.optional(field, "true or false", |value| value.get::<bool>().copied())
            .unwrap_or(default)
    }

    /// A number from 0 to `MAX_NUMBER`. A boolean is accepted and stands for the default.
    pub fn number(&self, field: &str, default: f64) -> f64 {
        let convert = |value: &JsonValue| match value {
            JsonValue::Boolean(_) => Some(default),
            JsonValue::Number(number) => Some(*number).filter(|n| (0.0..=MAX_NUMBER).contains(n)),
            _ => None,
        };
        self.optional(field, NUMBER_HINT, convert)
            .unwrap_or(default)
    }

    pub fn positive_number(&self, field: &str, default: f64) -> f64 {
        let number = self.number(field, default);
        if number == 0.0 {
            self.report(field, "0", "a number above 0");
        }
        number
    }

    /// A number, rounded down.
    pub fn integer(&self, field: &str, default: u64) -> u64 {
        self.number(field, default as f64) as u64
    }

    pub fn count(&self, field: &str, default: u32) -> u32 {
        let number = self.integer(field, default.into());
        u32::try_from(number).unwrap_or_else(|_| {
            self.report(field, &number.to_string(), "a smaller number");
            default
        })
    }

    pub fn required_ip(&self, field: &str) -> Ipv4Addr {
        let convert = |value: &JsonValue| value.get::<String>()?.parse().ok();
        self.required(field, "an IPv4 address such as \"10.0.0.4\"", convert)
            .unwrap_or(Ipv4Addr::UNSPECIFIED)
    }

    pub fn address(&self, field: &str) -> Option<SocketAddrV4> {
        self.optional(field, ADDRESS_HINT, address)
    }

    pub fn required_address(&self, field: &str) -> Option<SocketAddrV4> {
        self.required(field, ADDRESS_HINT, address)
    }

    /// A list whose items are converted with `convert`; invalid items are reported. A missing list is empty.
    pub fn list<T>(
        &self,
        field: &str,
        expected: &str,
        convert: impl Fn(&JsonValue) -> Option<T>,
    ) -> Vec<T> {
        let Some(items) = self.optional(field, "a list in [ ]", |value| value.get::<Vec<_>>())
        else {
            return Vec::new();
        };
        let each = items.iter().enumerate().filter_map(|(index, item)| {
            let converted = convert(item);
            if converted.is_none() {
                self.report(
                    &format!("{field}[{index}]"),
                    &describe(item, "a table", SETTINGS.max_chars),
                    expected,
                );
            }
            converted
        });
        each.collect()
    }

    pub fn strings(&self, field: &str) -> Vec<String> {
        self.list(field, "a string in quotes", |item| {
            item.get::<String>().cloned()
        })
    }

    pub fn addresses(&self, field: &str) -> Vec<SocketAddrV4> {
        self.list(field, ADDRESS_HINT, address)
    }

    /// The first and the last port of a range.
    pub fn required_ports(&self, field: &str) -> (u16, u16) {
        let convert = |value: &JsonValue| {
            let [JsonValue::Number(first), JsonValue::Number(last)] =
                value.get::<Vec<_>>()?.as_slice()
            else {
                return None;
            };
            let (first, last) = (port(*first)?, port(*last)?);
            (first <= last).then_some((first, last))
        };
        self.required(
            field,
            "the first and the last port, such as [7000,7015]",
            convert,
        )
        .unwrap_or_default()
    }

    /// All fields of a table that contains only strings.
    pub fn all_strings(&self) -> impl Iterator<Item = (String, String)> {
        let fields = self.fields.into_iter().flatten();
        fields.filter_map(|(field, _)| Some((field.clone(), self.string(field)?)))
    }
}

const ADDRESS_HINT: &str = "an IPv4 address with a port such as \"10.0.0.4:8000\"";

fn address(value: &JsonValue) -> Option<SocketAddrV4> {
    value
        .get::<String>()?
        .parse()
        .ok()
        .filter(|address: &SocketAddrV4| address.port() != 0)
}

fn port(number: f64) -> Option<u16> {
    (number.fract() == 0.0 && (1.0..=65_535.0).contains(&number)).then_some(number as u16)
}
