//! Requests to the state service and its responses, in a form that is independent of the protocol.

use serde_json::Value;

/// A request of the record store to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read a page of keys in lexical order.
    Scan {
        /// Only keys with this prefix are returned.
        prefix: String,
        /// The page begins after this key; `None` for the first page.
        after: Option<String>,
    },
    /// Change keys in one transaction. The sender adds the condition that this node still is the leader.
    Write(ConditionalWrite),
}

/// A request to be sent, with the ID that its response must refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingRequest {
    /// ID of the request. IDs are consecutive and start at 1 for each newly elected leader.
    pub id: u64,
    /// The request to send.
    pub request: StoreRequest,
}

/// A compare-and-swap transaction of the state service over several keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConditionalWrite {
    /// Conditions that must all hold; otherwise, the transaction changes nothing.
    pub conditions: Vec<RevisionCondition>,
    /// Keys that are set to a value.
    pub puts: Vec<StorePut>,
    /// Keys that are deleted.
    pub removals: Vec<String>,
}

impl ConditionalWrite {
    /// Returns the number of keys that the transaction changes.
    pub fn operation_count(&self) -> usize {
        self.puts.len() + self.removals.len()
    }
}

/// The condition that a key is at a certain revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevisionCondition {
    /// The key to check.
    pub key: String,
    /// Expected revision of the key's last change; 0 if the key must not exist.
    pub revision: u64,
}

/// Sets a key to a value.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePut {
    /// The key to set.
    pub key: String,
    /// Its new value.
    pub value: Value,
}

/// A key as read from the state service.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreEntry {
    /// Name of the key.
    pub key: String,
    /// Value of the key.
    pub value: Value,
    /// Revision of the key's last change.
    pub revision: u64,
}

/// The outcome of a request of the record store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    /// A page of keys, in response to a scan.
    Page {
        /// The keys of this page, in lexical order.
        entries: Vec<StoreEntry>,
        /// Whether more keys follow after this page.
        more: bool,
    },
    /// The transaction was executed.
    Written {
        /// The new revision of the changed keys.
        revision: u64,
    },
    /// A condition did not hold, and the transaction changed nothing.
    Conflict,
    /// The state service did not execute the request.
    Rejected,
    /// There was no response. The request may have been executed, or may still be executed later.
    Unknown,
}
