//! Requests to the state service and its responses, as the record store has them.

use serde_json::Value;

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read keys in order.
    Scan {
        /// With this prefix.
        prefix: String,
        /// After this key.
        after: Option<String>,
    },
    /// Change keys, on condition that this node still leads.
    Write(ConditionalWrite),
}

/// A request that is to be sent, with the number by which its response is told apart.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingRequest {
    /// Number of the request, from 1 under each leader.
    pub id: u64,
    /// The request.
    pub request: StoreRequest,
}

/// A transaction of the state service: a compare-and-swap over several keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConditionalWrite {
    /// What must hold for anything to be changed.
    pub conditions: Vec<RevisionCondition>,
    /// What is put.
    pub puts: Vec<StorePut>,
    /// Keys that are removed.
    pub removals: Vec<String>,
}

impl ConditionalWrite {
    /// How many keys it changes.
    pub fn operation_count(&self) -> usize {
        self.puts.len() + self.removals.len()
    }
}

/// A key must have this revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevisionCondition {
    /// Key.
    pub key: String,
    /// Revision of its last change; 0: the key must not exist.
    pub revision: u64,
}

/// A key gets this value.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePut {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Value,
}

/// A key as the state service has it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreEntry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of its last change.
    pub revision: u64,
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    /// A page of keys.
    Page {
        /// The keys.
        entries: Vec<StoreEntry>,
        /// Whether there are more.
        more: bool,
    },
    /// The transaction was carried out at this revision.
    Written {
        /// Revision.
        revision: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict,
    /// Nothing was done.
    Rejected,
    /// No answer: it may have been carried out, or may yet be.
    Unknown,
}
