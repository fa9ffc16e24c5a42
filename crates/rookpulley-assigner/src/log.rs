//! What the program prints: short lines on standard error, a few of a kind in each stretch of time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STRETCH: Duration = Duration::from_secs(10);

/// Says one line, unless its kind has had its share of this stretch: `say!(log, "kind", "text {x}")`.
#[macro_export]
macro_rules! say {
    ($log:expr, $kind:expr, $($text:tt)*) => {
        if let Some(left_out) = $log.may_say($kind) {
            eprintln!("{} {}: {}{left_out}", $log.name, $kind, format_args!($($text)*));
        }
    };
}

pub struct Log {
    pub name: String,
    most: u32,
    said: RefCell<BTreeMap<&'static str, Said>>,
}

struct Said {
    from: Instant,
    lines: u32,
    left_out: u32,
}

impl Log {
    /// At most so many lines of one kind in a stretch.
    pub fn new(name: String, most: u32) -> Self {
        Self { name, most, said: RefCell::default() }
    }

    /// Lines that were asked for are printed all.
    pub const ASKED: &str = "count";

    /// None: not now. Otherwise what to say of the lines left out before.
    pub fn may_say(&self, kind: &'static str) -> Option<String> {
        let mut kinds = self.said.borrow_mut();
        let fresh = || Said { from: Instant::now(), lines: 0, left_out: 0 };
        let said = kinds.entry(kind).or_insert_with(fresh);
        let mut note = String::new();
        if said.from.elapsed() >= STRETCH {
            if said.left_out > 0 {
                note = format!(" ({} more like it were left out)", said.left_out);
            }
            *said = fresh();
        }
        if said.lines >= self.most && kind != Self::ASKED {
            said.left_out += 1;
            return None;
        }
        said.lines += 1;
        Some(note)
    }
}
