//! Adapter between the state machine and the chain.

use rookpulley_chain::MAX_REQUEST_AGE_MS;
use rookpulley_state::{MAX_CHAIN_DELAY_MS, StateMachine};

// The state machine refuses releases of locks that may be stale, up to the age that the chain permits.
const _: () = assert!(MAX_REQUEST_AGE_MS <= MAX_CHAIN_DELAY_MS);

/// Implements the chain's `State` trait for the state machine.
#[derive(Default)]
pub struct ReplicatedState {
    /// The replicated state machine.
    pub machine: StateMachine,
}

impl rookpulley_chain::State for ReplicatedState {
    fn apply(&mut self, at_ms: u64, entry: &[u8]) -> Vec<u8> {
        self.machine.apply_bytes(at_ms, entry)
    }

    fn read(&self, request: &[u8]) -> Vec<u8> {
        self.machine.read_bytes(request)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.machine.snapshot()
    }

    fn restore(&mut self, bytes: &[u8]) -> bool {
        self.machine.restore(bytes).is_ok()
    }
}
