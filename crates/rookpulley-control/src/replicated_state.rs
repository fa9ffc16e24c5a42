//! The ledger as the state that the chain keeps.

use rookpulley_state::Ledger;

#[derive(Default)]
pub struct ReplicatedState {
    pub ledger: Ledger,
}

impl rookpulley_chain::State for ReplicatedState {
    fn apply(&mut self, at_ms: u64, entry: &[u8]) -> Vec<u8> {
        self.ledger.apply_bytes(at_ms, entry)
    }

    fn read(&self, ask: &[u8]) -> Vec<u8> {
        self.ledger.read_bytes(ask)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.ledger.snapshot()
    }

    fn restore(&mut self, bytes: &[u8]) -> bool {
        self.ledger.restore(bytes).is_ok()
    }
}
