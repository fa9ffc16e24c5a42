//! Parses and validates the tenants and their API keys. No key appears in a fault.

use crate::values::Value;
use rookpulley_tenants::{
    DuplicateTenant, SharedKey, TenantIndex, TenantTable, TenantTableBuilder,
};

/// Parses the list of tenants. Returns None if it is absent; faults are recorded.
pub(crate) fn tenants(list: Value) -> Option<TenantTable> {
    if !list.is_present() {
        return None;
    }
    let mut builder = TenantTableBuilder::default();
    for tenant in list.secret_items().filter(Value::require_secret_object) {
        add_tenant(&mut builder, tenant);
    }
    Some(builder.build())
}

fn add_tenant(builder: &mut TenantTableBuilder, tenant: Value) {
    let priority = tenant
        .field("priority")
        .integer(0, "a whole number, 0 for the highest");
    let priority = priority.map(|priority| u32::try_from(priority).unwrap_or(u32::MAX));
    let Some(index) = add_name(builder, tenant.field("name"), priority) else {
        return;
    };
    for key in tenant.field("apiKeys").secret_items() {
        add_key(builder, index, key);
    }
}

fn add_name(
    builder: &mut TenantTableBuilder,
    name: Value,
    priority: Option<u32>,
) -> Option<TenantIndex> {
    let text = name.required_string("the tenant's name")?;
    // The name becomes the value of a header.
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        name.record_fault(
            format!("{text:?}"),
            "visible ASCII characters without spaces",
        );
        return None;
    }
    match builder.add_tenant(text, priority) {
        Ok(index) => Some(index),
        Err(DuplicateTenant(earlier)) => {
            name.record_fault(
                format!("{text:?}, as is tenants[{earlier}].name"),
                "each tenant once, under a name of its own",
            );
            None
        }
    }
}

fn add_key(builder: &mut TenantTableBuilder, tenant: TenantIndex, key: Value) {
    let Some(text) = key.required_secret("a key in quotes") else {
        return;
    };
    if let Err(SharedKey(earlier)) = builder.add_key(tenant, text) {
        key.record_fault(
            format!("a key that tenants[{earlier}] has as well (not shown)"),
            "each key in one tenant",
        );
    }
}
