//! Leases: the store deletes the keys of an owner that no longer renews its lease.

use std::time::Duration;

use crate::calls::Kind;
use crate::client::Client;
use crate::error::Error;
use crate::wire;

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

impl LeaseId {
    /// No lease: a key written with it stays until it is deleted.
    pub const NONE: Self = Self(0);
}

impl Client {
    /// Requests a lease that expires `ttl` (whole seconds, at least one) after its last renewal.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let ttl = wire::Int(ttl.as_secs().max(1));
        let req = wire::LeaseGrantRequest { ttl };
        let res: wire::LeaseResponse = self.post(Kind::Lease, "/v3/lease/grant", &req).await?;
        Ok(LeaseId(res.id.0))
    }

    /// Renews a lease and returns its time to live; `None` when it has expired.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<Option<Duration>, Error> {
        let req = wire::LeaseRequest {
            id: wire::Int(lease.0),
        };
        let path = "/v3/lease/keepalive";
        let res: wire::KeepAliveMessage = self.post(Kind::Renewal, path, &req).await?;
        let ttl = res.result.ttl.0;
        Ok((ttl > 0).then(|| Duration::from_secs(ttl)))
    }

    /// Revokes a lease; its keys are deleted at once.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let req = wire::LeaseRequest {
            id: wire::Int(lease.0),
        };
        let path = "/v3/lease/revoke";
        let _: serde_json::Value = self.post(Kind::Lease, path, &req).await?;
        Ok(())
    }
}
