//! What is stored under the leader keys.

use crate::upgrade::Format;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The holder of the leader key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node's name.
    pub node: String,
    /// One run of that node's process; random.
    pub incarnation: u64,
}

/// What stands under a leader key that was relocated. It has no lease, so that it stays for ever; a version that does not know it
/// cannot read it as a [`LeaderRecord`], reads the key again and again, and never campaigns while it is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelocatedKey {
    /// The key that leaders hold from now on.
    moved_to: String,
}

impl RelocatedKey {
    /// Points to the leader key of this format.
    pub(super) fn to(format: Format) -> RelocatedKey {
        RelocatedKey { moved_to: format.leader_key().into() }
    }

    /// Whether a value says that the leader key was relocated to that of this format.
    pub(super) fn points_to(value: &Value, format: Format) -> bool {
        let relocated = serde_json::from_value::<RelocatedKey>(value.clone());
        relocated.is_ok_and(|relocated| relocated.moved_to == format.leader_key())
    }
}
