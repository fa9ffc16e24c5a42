//! Why a text is not taken. All that is wrong with it is told at once, within bounds.

use std::fmt::{self, Display};

/// How the faults of one kind of text are told, and how much of them.
#[derive(Debug)]
pub struct Manner {
    /// Faults told of one text.
    pub told: usize,
    /// Of what was found, so many letters are shown.
    pub shown: usize,
    /// What stands before the faults, by their count with those untold.
    pub heading: fn(usize) -> String,
    pub help: &'static str,
}

/// Everything that is wrong with a text. Nothing of it is in force.
#[derive(Clone, Debug, thiserror::Error, miette::Diagnostic)]
#[error("{}: {}", (.manner.heading)(.faults.len() + .untold), listed(.faults, *.untold))]
#[diagnostic(help("{}", manner.help))]
pub struct Faults {
    #[related]
    pub faults: Vec<Fault>,
    /// How many more there are.
    pub untold: usize,
    manner: &'static Manner,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error, miette::Diagnostic)]
#[error("{place} is {found}; write {instead}")]
#[diagnostic(help("write {instead}"))]
pub struct Fault {
    /// The way to the value, such as `limits.cpuShare` or `hostnames[2].pathRules[0]`, or a line and a column.
    pub place: String,
    pub found: String,
    pub instead: String,
}

impl Faults {
    pub fn none(manner: &'static Manner) -> Self {
        Self {
            faults: Vec::new(),
            untold: 0,
            manner,
        }
    }

    pub fn one(
        manner: &'static Manner,
        place: impl Display,
        found: impl Display,
        instead: impl Display,
    ) -> Self {
        let mut faults = Self::none(manner);
        faults.add(place, found, instead);
        faults
    }

    pub fn add(&mut self, place: impl Display, found: impl Display, instead: impl Display) {
        if self.faults.len() < self.manner.told {
            let (place, instead) = (place.to_string(), instead.to_string());
            self.faults.push(Fault {
                place,
                found: shortened(found, self.manner.shown),
                instead,
            });
        } else {
            self.untold += 1;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }
}

fn shortened(found: impl Display, most: usize) -> String {
    let found = found.to_string();
    match found.char_indices().nth(most) {
        Some((end, _)) => format!("{}...", found.get(..end).unwrap_or_default()),
        None => found,
    }
}

fn listed(faults: &[Fault], untold: usize) -> impl Display {
    fmt::from_fn(move |f| {
        for (at, fault) in faults.iter().enumerate() {
            write!(f, "{}{fault}", if at > 0 { ". " } else { "" })?;
        }
        if untold > 0 {
            write!(f, ". And {untold} more")?;
        }
        Ok(())
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{counted, said};

    static MANNER: Manner = Manner {
        told: 2,
        shown: 4,
        heading: |faults| format!("{} can't be used", counted(faults, "line")),
        help: "mend them",
    };

    #[test]
    fn faults_are_told_in_the_manner_of_their_text_and_as_far_as_it_goes() {
        let mut faults = Faults::one(
            &MANNER,
            "line 1",
            said(&"öffnen".to_owned().into(), "a table", 4),
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
            "mend them"
        );
    }
}
