//! Formatting of validation errors of a configuration, which are returned to the operator.

use rookpulley_diagnostics::FaultFormat;

pub(crate) static CONFIGURATION: FaultFormat = FaultFormat {
    max_faults: 16,
    max_chars: 80,
    heading: |_| "the configuration is invalid".into(),
    help: "mend the places named and send the whole configuration again",
};
