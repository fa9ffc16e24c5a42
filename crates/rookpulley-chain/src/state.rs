//! The interface to the replicated state machine.

/// A deterministic state machine, replicated by the chain.
///
/// Equal entries with equal times must produce equal states and equal replies on every member.
pub trait State {
    /// Applies an update and returns the reply to its caller.
    ///
    /// `at_ms` is the replicated time in milliseconds. It never decreases and never runs faster than real time.
    fn apply(&mut self, at_ms: u64, entry: &[u8]) -> Vec<u8>;

    /// Executes a read and returns the reply.
    fn read(&self, request: &[u8]) -> Vec<u8>;

    /// Serializes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state with a value that `snapshot` returned. Returns false and changes nothing if the bytes cannot
    /// be decoded.
    fn restore(&mut self, bytes: &[u8]) -> bool;
}
