//! The values stored under the leader keys.

use crate::upgrade::Format;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The value of a held leader key: the process that is the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader's node.
    pub node: String,
    /// Random number that distinguishes this process from earlier and later processes of the same node.
    pub incarnation: u64,
}

/// The value of a leader key that was relocated. It is not bound to a lease and therefore never expires. A version that
/// does not know this value cannot parse it as a [`LeaderRecord`]: it keeps polling the key and never campaigns while
/// the value exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelocatedKey {
    /// Name of the leader key that replaces this one.
    moved_to: String,
}

impl RelocatedKey {
    /// Creates a value that refers to the leader key of this format.
    pub(super) fn to(format: Format) -> RelocatedKey {
        RelocatedKey { moved_to: format.leader_key().into() }
    }

    /// Whether a stored value says that the leader key was relocated to the name that this format uses.
    pub(super) fn points_to(value: &Value, format: Format) -> bool {
        let relocated = serde_json::from_value::<RelocatedKey>(value.clone());
        relocated.is_ok_and(|relocated| relocated.moved_to == format.leader_key())
    }
}
