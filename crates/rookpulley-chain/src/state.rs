//! The replicated state, as the chain sees it.

/// What the chain replicates: a deterministic state machine.
///
/// Equal entries with equal times must lead to equal states and equal answers on every member.
pub trait State {
    /// Applies an update and returns the answer to its caller.
    ///
    /// `at_ms` is the replicated time in milliseconds. It never falls and never runs faster than real time.
    fn apply(&mut self, at_ms: u64, entry: &[u8]) -> Vec<u8>;

    /// Answers a read.
    fn read(&self, request: &[u8]) -> Vec<u8>;

    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by what `snapshot` once returned. False: the bytes can't be read, and nothing changed.
    fn restore(&mut self, bytes: &[u8]) -> bool;
}
