//! The key-value store: keys, compare-and-swap and leases.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key as the key-value store returns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "K", default)]
    pub key: String,
    /// Value.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "Stamp")]
    pub revision: u64,
    /// Lease that holds it.
    #[serde(rename = "Permit", default)]
    pub lease: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyPage {
    /// Keys in order.
    #[serde(rename = "Pairs")]
    pub items: Vec<KeyValue>,
    /// Whether there are more.
    #[serde(rename = "More", default)]
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionCondition {
    /// Key.
    #[serde(rename = "K")]
    pub key: String,
    /// Version it must have, 0: it must not exist.
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

/// A change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoreWrite {
    /// Put a value.
    Put {
        /// Key.
        #[serde(rename = "Write")]
        key: String,
        /// Value.
        #[serde(rename = "V")]
        value: Value,
        /// Lease to attach it to.
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// Key.
        #[serde(rename = "Remove")]
        key: String,
    },
}

/// Body of `POST /txn`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CompareAndSwap {
    /// All must hold.
    #[serde(rename = "When")]
    pub conditions: Vec<RevisionCondition>,
    /// Done together.
    #[serde(rename = "Writes", default)]
    pub writes: Vec<StoreWrite>,
}

/// Answer of `POST /txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CompareAndSwapResponse {
    /// The store's revision.
    #[serde(rename = "Ledger", default)]
    pub revision: u64,
    /// Keys whose conditions failed.
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// Body of `POST /leases`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantLeaseRequest {
    /// Life without renewal.
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// Answer of `POST /leases`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantLeaseResponse {
    /// The lease.
    #[serde(rename = "Permit")]
    pub lease: u64,
}
