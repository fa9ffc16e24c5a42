//! Faults of a rejected document. All of them are reported at once, up to a limit.

use std::fmt::{self, Display};

/// How faults of one kind of document are reported.
#[derive(Debug)]
pub struct FaultFormat {
    /// The maximum number of faults listed for one document.
    pub max_faults: usize,
    /// The maximum number of characters shown of a value found.
    pub max_chars: usize,
    /// The text before the list, given the total number of faults.
    pub heading: fn(usize) -> String,
    pub help: &'static str,
}

/// All faults of a document, which is rejected as a whole.
#[derive(Clone, Debug, thiserror::Error, miette::Diagnostic)]
#[error("{}: {}", (.format.heading)(.faults.len() + .omitted), format_list(.faults, *.omitted))]
#[diagnostic(help("{}", format.help))]
pub struct Faults {
    #[related]
    pub faults: Vec<Fault>,
    /// The number of faults that are not listed.
    pub omitted: usize,
    format: &'static FaultFormat,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error, miette::Diagnostic)]
#[error("{place} is {found}; write {instead}")]
#[diagnostic(help("write {instead}"))]
pub struct Fault {
    /// The path to the value, such as `limits.cpuShare` or `hostnames[2].pathRules[0]`, or a line and a column.
    pub place: String,
    pub found: String,
    pub instead: String,
}

impl Faults {
    pub fn new(format: &'static FaultFormat) -> Self {
        Self {
            faults: Vec::new(),
            omitted: 0,
            format,
        }
    }

    pub fn one(
        format: &'static FaultFormat,
        place: impl Display,
        found: impl Display,
        instead: impl Display,
    ) -> Self {
        let mut faults = Self::new(format);
        faults.add(place, found, instead);
        faults
    }

    pub fn add(&mut self, place: impl Display, found: impl Display, instead: impl Display) {
        if self.faults.len() < self.format.max_faults {
            let (place, instead) = (place.to_string(), instead.to_string());
            self.faults.push(Fault {
                place,
                found: truncated(found, self.format.max_chars),
                instead,
            });
        } else {
            self.omitted += 1;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }
}

fn truncated(found: impl Display, max_chars: usize) -> String {
    let found = found.to_string();
    match found.char_indices().nth(max_chars) {
        Some((end, _)) => format!("{}...", found.get(..end).unwrap_or_default()),
        None => found,
    }
}

fn format_list(faults: &[Fault], omitted: usize) -> impl Display {
    fmt::from_fn(move |f| {
        for (index, fault) in faults.iter().enumerate() {
            write!(f, "{}{fault}", if index > 0 { ". " } else { "" })?;
        }
        if omitted > 0 {
            write!(f, ". And {omitted} more")?;
        }
        Ok(())
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{describe, pluralize};

    static FORMAT: FaultFormat = FaultFormat {
        max_faults: 2,
        max_chars: 4,
        heading: |faults| format!("{} can't be used", pluralize(faults, "line")),
        help: "correct them",
    };

    #[test]
    fn faults_are_listed_and_values_shortened_up_to_the_limits() {
        let mut faults = Faults::one(
            &FORMAT,
            "line 1",
            describe(&"öffnen".to_owned().into(), "a table", 4),
            "a word",
        );
        assert_eq!(
            faults.to_string(),
            "1 line can't be used: line 1 is \"öff...; write a word"
        );
        faults.add("line 2", "none", "a word");
        faults.add("line 3", "none", "a word");
        assert!(faults.to_string().starts_with("3 lines can't be used: "));
        assert!(
            faults
                .to_string()
                .ends_with("line 2 is none; write a word. And 1 more")
        );
        assert_eq!(
            miette::Diagnostic::help(&faults).unwrap().to_string(),
            "correct them"
        );
    }
}
