//! How the faults of a configuration are told. They go into an answer.

use rookpulley_diagnostics::Manner;

pub(crate) static CONFIGURATION: Manner = Manner {
    told: 16,
    shown: 80,
    heading: |_| "the configuration is invalid".into(),
    help: "mend the places named and send the whole configuration again",
};
