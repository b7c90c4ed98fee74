//! Requests to the state service, a consensus-backed key-value store, and responses of external services.

use crate::types::{Duration, LeaseId, Revision};
use crate::wire::{CompareAndSwap, RevisionCondition};
use bytes::Bytes;
use serde::de::DeserializeOwned;

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read one key.
    Get(String),
    /// Read one page of the keys with a prefix, in ascending order.
    Scan {
        /// Prefix of the keys.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Atomically write and delete keys, provided that all conditions hold.
    CompareAndSwap(CompareAndSwap),
    /// Grant a new lease of this duration.
    GrantLease(Duration),
    /// Extend a lease by its duration from now.
    RenewLease(LeaseId),
    /// End a lease immediately, which also deletes the keys that are bound to it.
    RevokeLease(LeaseId),
}

/// An HTTP response of the state service, the cloud or a worker, or the absence of one (status 0).
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// HTTP status, or 0 if no response was received.
    pub status: u16,
    /// Body of the response; empty if none was received.
    pub body: Bytes,
}

impl ServiceResponse {
    /// Represents a missing response, for example after a timeout. The request may have been executed, or may still be.
    pub fn none() -> ServiceResponse {
        ServiceResponse { status: 0, body: Bytes::new() }
    }

    /// Parses the body as JSON; `None` if it does not have the expected form.
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Returns the condition that a key has this revision, or does not exist if the revision is 0.
pub fn condition(key: &str, revision: Revision) -> RevisionCondition {
    RevisionCondition { key: key.to_string(), revision: revision.0 }
}
