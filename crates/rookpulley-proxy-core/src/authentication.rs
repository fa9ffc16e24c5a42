//! Decides whom a request comes from and whether it may be executed.

use crate::credentials::Credentials;
use crate::lifecycle::LocalResponse;
use crate::rejected_requests::RejectionCause;
use crate::state::ProxyState;
use rookpulley_routes::Route;
use rookpulley_tenants::TenantTable;
use std::sync::Arc;

/// Retry-after delay while the held keys may contain revoked ones.
const UNVERIFIED_KEYS_RETRY_MS: f64 = 200.0;

impl ProxyState {
    /// Authenticates a request on a route of a configuration with tenants. Returns the name of its tenant, which only a
    /// request without a known key on a public route lacks.
    pub(crate) fn authenticate(
        &mut self,
        now: f64,
        tenants: &TenantTable,
        route: &Route,
        credentials: Credentials,
    ) -> Result<Option<Arc<str>>, LocalResponse> {
        if route.is_public && credentials == Credentials::None {
            return Ok(None);
        }
        // Before the key is looked up: a newer configuration may have revoked it, passed it on, or added one that is unknown
        // here.
        if !self.may_accept_keys(now) {
            return Err(LocalResponse::rejected(UNVERIFIED_KEYS_RETRY_MS));
        }
        match identify(tenants, credentials) {
            Ok(tenant) => Ok(Some(tenant)),
            Err(_) if route.is_public => Ok(None),
            Err(cause) => Err(self.reject(cause)),
        }
    }

    /// Checks a request under a configuration without tenants, which names no tenant. A newer configuration may have brought
    /// tenants and revoked the key that the request carries, so it needs the same lease as under a configuration with
    /// tenants.
    pub(crate) fn check_without_tenants(
        &self,
        now: f64,
        credentials: Credentials,
    ) -> Result<Option<Arc<str>>, LocalResponse> {
        if credentials != Credentials::None && !self.may_accept_keys(now) {
            return Err(LocalResponse::rejected(UNVERIFIED_KEYS_RETRY_MS));
        }
        Ok(None)
    }

    /// Returns the response to a request without a known key. While a newer configuration is known to exist, its key may be a
    /// new one.
    fn reject(&mut self, cause: RejectionCause) -> LocalResponse {
        if cause == RejectionCause::UnknownKey && self.awaits_newer_keys() {
            return LocalResponse::rejected(UNVERIFIED_KEYS_RETRY_MS);
        }
        self.rejected_requests.count(cause);
        LocalResponse::with_status(401)
    }
}

/// Returns the name of the tenant that the key belongs to.
fn identify(tenants: &TenantTable, credentials: Credentials) -> Result<Arc<str>, RejectionCause> {
    match credentials {
        Credentials::None => Err(RejectionCause::NoKey),
        Credentials::Invalid => Err(RejectionCause::Malformed),
        Credentials::Bearer(key) => tenants
            .authenticate(key)
            .map(|tenant| tenant.name.clone())
            .ok_or(RejectionCause::UnknownKey),
    }
}
