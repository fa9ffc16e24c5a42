//! Tenants: whom an API key belongs to, and how long a proxy may rely on the keys that it holds.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `tenant_table` | immutable lookup of a tenant by API key |
//! | `key_lease` | the time up to which the held keys are known to contain no revoked one |
//!
//! This package never logs, formats or returns a key.

#![warn(missing_docs)]

mod key_lease;
mod tenant_table;

pub use key_lease::KeyLease;
pub use tenant_table::{
    DuplicateTenant, SharedKey, Tenant, TenantIndex, TenantTable, TenantTableBuilder,
};
