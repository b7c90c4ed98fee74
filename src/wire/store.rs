//! Messages of the state service: keys, compare-and-swap transactions and leases.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key and its value as the state service returns them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key; empty if the response omits it.
    #[serde(rename = "K", default)]
    pub key: String,
    /// The value of the key.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision at which the key was last changed.
    #[serde(rename = "Stamp")]
    pub revision: u64,
    /// Lease to which the key is attached: the key is deleted when the lease expires.
    #[serde(rename = "Permit", default)]
    pub lease: Option<u64>,
}

/// A page of the response to a scan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyPage {
    /// Key-value pairs in the order of their keys.
    #[serde(rename = "Pairs")]
    pub items: Vec<KeyValue>,
    /// Whether there are further pages after the last key of this one.
    #[serde(rename = "More", default)]
    pub more: bool,
}

/// A condition of a compare-and-swap transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionCondition {
    /// The key that is checked.
    #[serde(rename = "K")]
    pub key: String,
    /// Revision that the key must have; 0 requires that the key does not exist.
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

/// A write of a compare-and-swap transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoreWrite {
    /// Sets the value of a key.
    Put {
        /// The key to write.
        #[serde(rename = "Write")]
        key: String,
        /// The value to write.
        #[serde(rename = "V")]
        value: Value,
        /// Lease to attach the key to; `None` for a key without a lease.
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key to delete.
        #[serde(rename = "Remove")]
        key: String,
    },
}

/// Body of `POST /txn`: a transaction that is applied only if all its conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CompareAndSwap {
    /// Conditions, all of which must hold.
    #[serde(rename = "When")]
    pub conditions: Vec<RevisionCondition>,
    /// Writes, which are applied atomically.
    #[serde(rename = "Writes", default)]
    pub writes: Vec<StoreWrite>,
}

/// Response to `POST /txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CompareAndSwapResponse {
    /// Revision of the state service; if the transaction was committed, the new revision of the keys that it wrote.
    #[serde(rename = "Ledger", default)]
    pub revision: u64,
    /// Keys whose conditions did not hold.
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// Body of `POST /leases`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantLeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// Response to `POST /leases`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantLeaseResponse {
    /// Identifier of the granted lease.
    #[serde(rename = "Permit")]
    pub lease: u64,
}
