//! Immutable lookup of a tenant by API key.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Unique name.
    pub name: Arc<str>,
    /// Takes precedence over the priority of a route; 0 is the highest. None if the tenant has none.
    pub priority: Option<u32>,
}

/// The tenants of a configuration and their API keys.
#[derive(Clone, Default, PartialEq)]
pub struct TenantTable {
    tenants: Vec<Tenant>,
    /// Indices into `tenants` by API key.
    by_key: HashMap<Box<str>, usize>,
}

/// Omits the keys, so that they never reach a log.
impl Debug for TenantTable {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let keys = self.by_key.len();
        write!(f, "TenantTable({:?}, {keys} keys)", self.tenants)
    }
}

/// Two tenants have the same name. Contains the index of the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateTenant(pub usize);

/// Two tenants have the same key. Contains the index of the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedKey(pub usize);

/// Index of a tenant in the order in which the tenants were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantIndex(usize);

/// Builds a [`TenantTable`].
#[derive(Default)]
pub struct TenantTableBuilder {
    table: TenantTable,
    by_name: HashMap<Arc<str>, usize>,
}

impl TenantTableBuilder {
    /// Adds a tenant without keys.
    pub fn add_tenant(
        &mut self,
        name: &str,
        priority: Option<u32>,
    ) -> Result<TenantIndex, DuplicateTenant> {
        let index = self.table.tenants.len();
        let name: Arc<str> = name.into();
        match self.by_name.entry(name.clone()) {
            Entry::Occupied(earlier) => return Err(DuplicateTenant(*earlier.get())),
            Entry::Vacant(entry) => _ = entry.insert(index),
        }
        self.table.tenants.push(Tenant { name, priority });
        Ok(TenantIndex(index))
    }

    /// Adds a key to a tenant. A key that the tenant already has is ignored.
    pub fn add_key(&mut self, tenant: TenantIndex, key: &str) -> Result<(), SharedKey> {
        match self.table.by_key.entry(key.into()) {
            Entry::Occupied(earlier) if *earlier.get() != tenant.0 => {
                Err(SharedKey(*earlier.get()))
            }
            Entry::Occupied(_) => Ok(()),
            Entry::Vacant(entry) => {
                entry.insert(tenant.0);
                Ok(())
            }
        }
    }

    /// Returns the table.
    pub fn build(self) -> TenantTable {
        self.table
    }
}

impl TenantTable {
    /// Returns the tenant that an API key belongs to.
    pub fn authenticate(&self, key: &str) -> Option<&Tenant> {
        let index = self.by_key.get(key)?;
        self.tenants.get(*index)
    }

    /// All tenants in configuration order.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }
}
