//! Requests to the consensus-backed key-value store, and responses of the services outside.

use crate::types::{Duration, LeaseId, Revision};
use crate::wire::{CompareAndSwap, RevisionCondition};
use bytes::Bytes;
use serde::de::DeserializeOwned;

/// A request to the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read one key.
    Get(String),
    /// Read keys with a prefix, in order, after a key.
    Scan {
        /// Prefix.
        prefix: String,
        /// Begin after this key.
        after: Option<String>,
    },
    /// Write and delete keys, all or none, if conditions hold.
    CompareAndSwap(CompareAndSwap),
    /// Obtain a lease.
    GrantLease(Duration),
    /// Renew a lease.
    RenewLease(LeaseId),
    /// End a lease at once.
    RevokeLease(LeaseId),
}

/// A response over HTTP of the store, the cloud or a worker; status 0 when none came.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// Status code, or 0.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

impl ServiceResponse {
    /// No response: the request may have been executed, or may yet be.
    pub fn none() -> ServiceResponse {
        ServiceResponse { status: 0, body: Bytes::new() }
    }

    /// The body, if it has the expected form.
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// A condition on a key's revision; 0: the key must not exist.
pub fn condition(key: &str, revision: Revision) -> RevisionCondition {
    RevisionCondition { key: key.to_string(), revision: revision.0 }
}
