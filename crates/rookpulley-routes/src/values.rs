//! Takes fields out of a JSON value by name, and notes each that can't be used, with the way to it.

use crate::faults::CONFIGURATION;
use rookpulley_diagnostics::{Faults, describe};
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use tinyjson::JsonValue;

/// The last number up to which values tell all whole numbers apart.
pub(crate) const EXACT: f64 = 9_007_199_254_740_991.0;

/// A value and the way to it from the top. The way is written out only for a fault.
#[derive(Clone, Copy)]
pub(crate) struct Value<'a> {
    /// None: absent, or `null`.
    json: Option<&'a JsonValue>,
    way: Way<'a>,
    faults: &'a RefCell<Faults>,
}

#[derive(Clone, Copy)]
enum Way<'a> {
    Top,
    Field(&'a Value<'a>, &'static str),
    Item(&'a Value<'a>, usize),
}

impl Display for Value<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.way {
            Way::Top => write!(f, "the configuration"),
            Way::Field(Value { way: Way::Top, .. }, field) => write!(f, "{field}"),
            Way::Field(of, field) => write!(f, "{of}.{field}"),
            Way::Item(of, at) => write!(f, "{of}[{at}]"),
        }
    }
}

impl<'a> Value<'a> {
    pub fn top(json: &'a JsonValue, faults: &'a RefCell<Faults>) -> Self {
        Self {
            json: Some(json),
            way: Way::Top,
            faults,
        }
    }

    /// Another value at the same place.
    pub fn with<'b>(&self, json: &'b JsonValue) -> Value<'b>
    where
        'a: 'b,
    {
        Value {
            json: Some(json),
            way: self.way,
            faults: self.faults,
        }
    }

    pub fn present(&self) -> bool {
        self.json.is_some()
    }

    /// Notes that this value can't be used.
    pub fn note(&self, found: impl Display, instead: impl Display) {
        self.faults.borrow_mut().add(self, found, instead);
    }

    /// A field of this object; absent where this is none.
    pub fn field(&'a self, name: &'static str) -> Value<'a> {
        let fields = self.json.and_then(|json| json.get::<HashMap<_, _>>());
        let json = fields
            .and_then(|fields| fields.get(name))
            .filter(|json| !json.is_null());
        Value {
            json,
            way: Way::Field(self, name),
            faults: self.faults,
        }
    }

    /// Notes anything but an object.
    pub fn is_object(&self) -> bool {
        self.needed("an object in { }", |json| json.get::<HashMap<_, _>>())
            .is_some()
    }

    /// The items of a list; notes anything but a list.
    pub fn items(&'a self) -> impl Iterator<Item = Value<'a>> {
        let items = self.needed("a list in [ ]", |json| json.get::<Vec<_>>());
        items
            .into_iter()
            .flatten()
            .enumerate()
            .map(|(at, json)| Value {
                json: Some(json),
                way: Way::Item(self, at),
                faults: self.faults,
            })
    }

    /// The value in the form that `form` gives it. None where it is absent, or faulty and noted.
    fn take<T>(&self, instead: &str, form: impl FnOnce(&'a JsonValue) -> Option<T>) -> Option<T> {
        let json = self.json?;
        let taken = form(json);
        if taken.is_none() {
            self.note(
                describe(json, "an object", CONFIGURATION.max_chars),
                instead,
            );
        }
        taken
    }

    /// The same, where being absent is a fault.
    fn needed<T>(&self, instead: &str, form: impl FnOnce(&'a JsonValue) -> Option<T>) -> Option<T> {
        if !self.present() {
            self.note("missing", instead);
        }
        self.take(instead, form)
    }

    /// A text that says something.
    pub fn text_needed(&self, instead: &str) -> Option<&'a str> {
        let form = |json: &'a JsonValue| {
            Some(json.get::<String>()?.as_str()).filter(|text| !text.trim().is_empty())
        };
        self.needed(instead, form)
    }

    pub fn text(&self) -> Option<&'a str> {
        self.take("a text in quotes", |json| {
            Some(json.get::<String>()?.as_str())
        })
    }

    pub fn number_needed(&self, instead: &str, fits: impl FnOnce(f64) -> bool) -> Option<f64> {
        self.needed(instead, |json| number(json).filter(|number| fits(*number)))
    }

    pub fn number(&self, instead: &str, fits: impl FnOnce(f64) -> bool) -> Option<f64> {
        self.take(instead, |json| number(json).filter(|number| fits(*number)))
    }

    /// A whole number from `least` on, small enough to be what was written.
    pub fn whole_needed(&self, least: u32, instead: &str) -> Option<u64> {
        let number = self.number_needed(instead, |number| whole(number, least))?;
        Some(number as u64)
    }

    pub fn whole(&self, least: u32, instead: &str) -> Option<u64> {
        let number = self.number(instead, |number| whole(number, least))?;
        Some(number as u64)
    }
}

fn number(json: &JsonValue) -> Option<f64> {
    json.get::<f64>()
        .copied()
        .filter(|number| number.is_finite())
}

fn whole(number: f64, least: u32) -> bool {
    number.fract() == 0.0 && (f64::from(least)..=EXACT).contains(&number)
}
