//! Deterministic property tests: the generated inputs are the same in every run.

use arbtest::arbitrary::{Result, Unstructured};

/// Checks a property on `runs` inputs, each generated from `bytes` bytes. Prints the seed of an input that fails.
pub fn run_cases(runs: u32, bytes: u32, property: impl Fn(&mut Unstructured) -> Result<()>) {
    run_sized_cases(runs, |_| bytes, property);
}

/// Like `run_cases`, with an input size that depends on the run number, which starts at 1.
pub fn run_sized_cases(
    runs: u32,
    bytes: impl Fn(u32) -> u32,
    property: impl Fn(&mut Unstructured) -> Result<()>,
) {
    for run in 1..=runs {
        // Adjacent seeds yield similar inputs, so the run numbers are scattered.
        let spread = u64::from(run.wrapping_mul(0x9e37_79b1));
        arbtest::arbtest(&property)
            .seed(spread << 32 | u64::from(bytes(run)))
            .run();
    }
}
