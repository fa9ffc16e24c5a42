//! One table of the file: takes fields out by name, and notes each that can't be used and what to write instead.

use crate::faults::SETTINGS;
use rookpulley_diagnostics::{Faults, said};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use tinyjson::JsonValue;

/// No figure is larger. Up to here, values tell whole numbers apart, and all forms of time can hold them.
const LARGEST: f64 = 9_007_199_254_740_991.0;
const NUMBER: &str = "a number from 0 to 9007199254740991";

pub(crate) struct Table<'a> {
    /// With the tables that it is in; empty for the top of the file.
    name: String,
    fields: Option<&'a HashMap<String, JsonValue>>,
    faults: &'a RefCell<Faults>,
}

impl<'a> Table<'a> {
    pub fn top(file: &'a JsonValue, faults: &'a RefCell<Faults>) -> Self {
        Self {
            name: String::new(),
            fields: file.get(),
            faults,
        }
    }

    /// A table in this one. One that is absent has no fields.
    pub fn table(&self, name: &str) -> Table<'a> {
        let fields = self.take(name, "a table", |value| value.get::<HashMap<_, _>>());
        Table {
            name: self.path(name),
            fields,
            faults: self.faults,
        }
    }

    pub fn is_there(&self) -> bool {
        self.fields.is_some()
    }

    /// The names of all fields, in order.
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

    /// Notes fields of other names than these.
    pub fn only(&self, known: &[&str]) {
        for name in self
            .names()
            .into_iter()
            .filter(|name| !known.contains(name))
        {
            self.note(
                name,
                "no field of this file",
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

    /// Notes a fault of a field.
    pub fn note(&self, field: &str, found: &str, instead: &str) {
        self.faults
            .borrow_mut()
            .add(self.path(field), found, instead);
    }

    /// A field in the form that `form` gives it; None where it is absent, or faulty and noted.
    pub fn take<T>(
        &self,
        field: &str,
        instead: &str,
        form: impl FnOnce(&'a JsonValue) -> Option<T>,
    ) -> Option<T> {
        let value = self.value(field)?;
        let taken = form(value);
        if taken.is_none() {
            self.note(field, &said(value, "a table", SETTINGS.shown), instead);
        }
        taken
    }

    fn must<T>(
        &self,
        field: &str,
        instead: &str,
        form: impl FnOnce(&'a JsonValue) -> Option<T>,
    ) -> Option<T> {
        if self.value(field).is_none() {
            self.note(field, "missing", instead);
        }
        self.take(field, instead, form)
    }

    pub fn text(&self, field: &str) -> Option<String> {
        self.take(field, "a text in quotes", |value| {
            value.get::<String>().cloned()
        })
    }

    pub fn text_needed(&self, field: &str, instead: &str) -> String {
        let form = |value: &JsonValue| {
            value
                .get::<String>()
                .filter(|text| !text.trim().is_empty())
                .cloned()
        };
        self.must(field, instead, form).unwrap_or_default()
    }

    pub fn has(&self, field: &str) -> bool {
        self.value(field).is_some()
    }

    pub fn flag(&self, field: &str, otherwise: bool) -> bool {
        self.take(field, "true or false", |value| value.get::<bool>().copied())
            .unwrap_or(otherwise)
    }

    /// A number, whole or not. True and false are allowed as figures and say nothing of a size.
    pub fn number(&self, field: &str, otherwise: f64) -> f64 {
        let form = |value: &JsonValue| match value {
            JsonValue::Boolean(_) => Some(otherwise),
            JsonValue::Number(number) => Some(*number).filter(|n| (0.0..=LARGEST).contains(n)),
            _ => None,
        };
        self.take(field, NUMBER, form).unwrap_or(otherwise)
    }

    pub fn number_above_0(&self, field: &str, otherwise: f64) -> f64 {
        let number = self.number(field, otherwise);
        if number == 0.0 {
            self.note(field, "0", "a number above 0");
        }
        number
    }

    /// A number without its fraction.
    pub fn whole(&self, field: &str, otherwise: u64) -> u64 {
        self.number(field, otherwise as f64) as u64
    }

    pub fn count(&self, field: &str, otherwise: u32) -> u32 {
        let number = self.whole(field, otherwise.into());
        u32::try_from(number).unwrap_or_else(|_| {
            self.note(field, &number.to_string(), "a smaller number");
            otherwise
        })
    }

    pub fn ip_needed(&self, field: &str) -> Ipv4Addr {
        let form = |value: &JsonValue| value.get::<String>()?.parse().ok();
        self.must(field, "an IPv4 address such as \"10.0.0.4\"", form)
            .unwrap_or(Ipv4Addr::UNSPECIFIED)
    }

    pub fn address(&self, field: &str) -> Option<SocketAddrV4> {
        self.take(field, ADDRESS, address)
    }

    pub fn address_needed(&self, field: &str) -> Option<SocketAddrV4> {
        self.must(field, ADDRESS, address)
    }

    /// A list whose items all have the form that `form` gives them. One that is absent is empty.
    pub fn list<T>(
        &self,
        field: &str,
        instead: &str,
        form: impl Fn(&JsonValue) -> Option<T>,
    ) -> Vec<T> {
        let Some(items) = self.take(field, "a list in [ ]", |value| value.get::<Vec<_>>()) else {
            return Vec::new();
        };
        let each = items.iter().enumerate().filter_map(|(at, item)| {
            let taken = form(item);
            if taken.is_none() {
                self.note(
                    &format!("{field}[{at}]"),
                    &said(item, "a table", SETTINGS.shown),
                    instead,
                );
            }
            taken
        });
        each.collect()
    }

    pub fn texts(&self, field: &str) -> Vec<String> {
        self.list(field, "a text in quotes", |item| {
            item.get::<String>().cloned()
        })
    }

    pub fn addresses(&self, field: &str) -> Vec<SocketAddrV4> {
        self.list(field, ADDRESS, address)
    }

    /// The first and the last of a range of ports.
    pub fn ports_needed(&self, field: &str) -> (u16, u16) {
        let form = |value: &JsonValue| {
            let [JsonValue::Number(first), JsonValue::Number(last)] =
                value.get::<Vec<_>>()?.as_slice()
            else {
                return None;
            };
            let (first, last) = (port(*first)?, port(*last)?);
            (first <= last).then_some((first, last))
        };
        self.must(
            field,
            "the first and the last port, such as [7000,7015]",
            form,
        )
        .unwrap_or_default()
    }

    /// All fields of this table, which has texts only.
    pub fn all_texts(&self) -> impl Iterator<Item = (String, String)> {
        let fields = self.fields.into_iter().flatten();
        fields.filter_map(|(field, _)| Some((field.clone(), self.text(field)?)))
    }
}

const ADDRESS: &str = "an IPv4 address with a port such as \"10.0.0.4:8000\"";

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
