//! Calls to the state service, as the slices ask for them.

use crate::types::{Duration, LeaseId, Revision};
use crate::wire::{CompareAndSwap, RevisionCondition};
use bytes::Bytes;
use serde::de::DeserializeOwned;

/// A request to the state service.
#[derive(Debug, Clone)]
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
    /// Change keys if conditions hold.
    CompareAndSwap(CompareAndSwap),
    /// Obtain a lease.
    GrantLease(Duration),
    /// Renew a lease.
    RenewLease(LeaseId),
    /// End a lease at once.
    RevokeLease(LeaseId),
}

impl PartialEq for StoreRequest {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

/// An answer over HTTP; status 0 when none came.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// Status code, or 0.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

impl ServiceResponse {
    /// No answer: the request may have been executed, or may yet be.
    pub fn none() -> ServiceResponse {
        ServiceResponse { status: 0, body: Bytes::new() }
    }

    /// The body, if it has the expected form.
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// A condition on a key's revision; 0: the key must not exist.
pub fn condition(key: &str, version: Revision) -> RevisionCondition {
    RevisionCondition { key: key.to_string(), revision: version.0 }
}
