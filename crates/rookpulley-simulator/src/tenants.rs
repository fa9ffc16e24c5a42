//! The tenants in the operators' configurations: their API keys, how these change, and which ones clients send.
//!
//! All draws come from a generator of its own, so a scenario without tenants is the same as before there were any.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Keys of each tenant in the first configuration.
const INITIAL_KEYS: usize = 3;
/// Recently revoked keys that clients continue to send.
const MAX_REVOKED_IN_USE: usize = 24;
/// Of so many routes one is public.
const ONE_PUBLIC_ROUTE_IN: u32 = 6;
/// Of so many requests one carries a key that clients should no longer use.
const ONE_REVOKED_KEY_IN: u32 = 4;
const ONE_UNKNOWN_KEY_IN: u32 = 40;
const ONE_MISSING_KEY_IN: u32 = 60;
const ONE_FORGED_NAME_IN: u32 = 8;
/// Of so many changes of the configuration one gives a tenant another key.
const ONE_NEW_KEY_IN: u32 = 3;

/// A tenant in a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub keys: Vec<String>,
}

/// What a client says about who it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Identity {
    /// The key in its `Authorization` header; None: it sends no such header.
    pub key: Option<String>,
    /// The `Tenant-Name` that it sends, which the gateway must not believe.
    pub claimed_tenant: Option<String>,
}

/// The tenants as the newest configuration has them.
pub struct Tenants {
    rng: ChaCha8Rng,
    tenants: Vec<Tenant>,
    /// Number of keys handed out so far, from which their names are made.
    keys: u64,
    /// Revoked keys that clients continue to send, oldest first.
    revoked: Vec<String>,
}

impl Tenants {
    pub fn new(count: u32, seed: u64) -> Self {
        let mut tenants = Self {
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x7e4a),
            tenants: Vec::new(),
            keys: 0,
            revoked: Vec::new(),
        };
        for number in 0..count {
            let name = format!("tenant{number}");
            let keys = (0..INITIAL_KEYS).map(|_| tenants.new_key()).collect();
            tenants.tenants.push(Tenant { name, keys });
        }
        tenants
    }

    /// Whether configurations have tenants at all.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    pub fn all(&self) -> &[Tenant] {
        &self.tenants
    }

    /// Whether a new route is public.
    pub fn draw_public_route(&mut self) -> bool {
        !self.is_empty() && self.one_in(ONE_PUBLIC_ROUTE_IN)
    }

    /// What a client sends with a new request.
    pub fn draw_identity(&mut self) -> Identity {
        if self.is_empty() {
            return Identity::default();
        }
        let key = self.draw_key();
        let claimed_tenant = self.one_in(ONE_FORGED_NAME_IN).then(|| {
            let claimed = self.rng.random_range(0..self.tenants.len());
            self.tenants[claimed].name.clone()
        });
        Identity {
            key,
            claimed_tenant,
        }
    }

    fn draw_key(&mut self) -> Option<String> {
        if self.one_in(ONE_MISSING_KEY_IN) {
            return None;
        }
        if self.one_in(ONE_UNKNOWN_KEY_IN) {
            return Some(format!("never-{}", self.rng.random_range(0..1_000u32)));
        }
        if !self.revoked.is_empty() && self.one_in(ONE_REVOKED_KEY_IN) {
            let at = self.rng.random_range(0..self.revoked.len());
            return Some(self.revoked[at].clone());
        }
        let holders: Vec<usize> = self.with_keys(1);
        if holders.is_empty() {
            return None;
        }
        // The lower of two draws: the first tenants are large.
        let draw = |rng: &mut ChaCha8Rng| rng.random_range(0..holders.len());
        let at = draw(&mut self.rng).min(draw(&mut self.rng));
        let keys = &self.tenants[holders[at]].keys;
        Some(keys[self.rng.random_range(0..keys.len())].clone())
    }

    /// Takes a key from a tenant that has others, or with `last` all keys of a tenant. Returns whether a key was taken.
    pub fn revoke(&mut self, last: bool) -> bool {
        let candidates = self.with_keys(if last { 1 } else { 2 });
        // One tenant keeps its keys, so that there are proper requests.
        if candidates.is_empty() || (last && candidates.len() < 2) {
            return false;
        }
        let tenant = candidates[self.rng.random_range(0..candidates.len())];
        let keys = &mut self.tenants[tenant].keys;
        let from = if last {
            0
        } else {
            self.rng.random_range(0..keys.len())
        };
        let to = if last { keys.len() } else { from + 1 };
        let taken: Vec<String> = keys.drain(from..to).collect();
        self.revoked.extend(taken);
        let surplus = self.revoked.len().saturating_sub(MAX_REVOKED_IN_USE);
        self.revoked.drain(..surplus);
        true
    }

    /// Removes a tenant with all its keys. Returns whether one could be removed.
    pub fn remove(&mut self) -> bool {
        if self.tenants.len() < 2 {
            return false;
        }
        let removed = self.rng.random_range(0..self.tenants.len());
        let tenant = self.tenants.remove(removed);
        self.revoked.extend(tenant.keys);
        let surplus = self.revoked.len().saturating_sub(MAX_REVOKED_IN_USE);
        self.revoked.drain(..surplus);
        true
    }

    /// Passes a key from one tenant to another. Returns whether there was one to pass.
    pub fn pass_key(&mut self) -> bool {
        let holders = self.with_keys(1);
        if holders.is_empty() || self.tenants.len() < 2 {
            return false;
        }
        let from = holders[self.rng.random_range(0..holders.len())];
        let keys = &mut self.tenants[from].keys;
        let key = keys.swap_remove(self.rng.random_range(0..keys.len()));
        let to = (from + self.rng.random_range(1..self.tenants.len())) % self.tenants.len();
        self.tenants[to].keys.push(key);
        true
    }

    /// What an ordinary change of the configuration does to the tenants: at times one gets another key.
    pub fn change(&mut self) {
        if !self.is_empty() && self.one_in(ONE_NEW_KEY_IN) {
            let tenant = self.rng.random_range(0..self.tenants.len());
            let key = self.new_key();
            self.tenants[tenant].keys.push(key);
        }
    }

    /// A key that one tenant holds, to be given to a second one in an invalid configuration.
    pub fn draw_shared_key(&mut self) -> Option<String> {
        if self.is_empty() || self.one_in(2) {
            return None;
        }
        let holder = self.with_keys(1).first().copied()?;
        self.tenants[holder].keys.first().cloned()
    }

    /// The tenants with at least this many keys.
    fn with_keys(&self, count: usize) -> Vec<usize> {
        (0..self.tenants.len())
            .filter(|tenant| self.tenants[*tenant].keys.len() >= count)
            .collect()
    }

    fn new_key(&mut self) -> String {
        self.keys += 1;
        format!("key-{}", self.keys)
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.rng.random_range(0..count) == 0
    }
}
