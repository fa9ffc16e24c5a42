//! Cases drawn for tests, the same in every run.

use arbtest::arbitrary::{Result, Unstructured};

/// Plays a property on so many cases, each drawn from so many bytes. The seed of one that fails is printed; seeds are
/// spread, as their generator starts close to where it is told to.
pub fn plays(runs: u32, bytes: u32, property: impl Fn(&mut Unstructured) -> Result<()>) {
    plays_of(runs, |_| bytes, property);
}

/// The same with cases of different lengths, by the number of the run.
pub fn plays_of(
    runs: u32,
    bytes: impl Fn(u32) -> u32,
    property: impl Fn(&mut Unstructured) -> Result<()>,
) {
    for run in 1..=runs {
        let spread = u64::from(run.wrapping_mul(0x9e37_79b1));
        arbtest::arbtest(&property)
            .seed(spread << 32 | u64::from(bytes(run)))
            .run();
    }
}
