//! Formatting of validation errors of a configuration, which are returned to the operator.

use rookpulley_diagnostics::Manner;

pub(crate) static CONFIGURATION: Manner = Manner {
    told: 16,
    shown: 80,
    heading: |_| "the configuration is invalid".into(),
    help: "correct the listed errors and send the complete configuration again",
};
