//! Keys of the durable records in the state service.
//!
//! | key | written by | on condition that |
//! | --- | --- | --- |
//! | `drain/request/NAME` | operators | the key has the revision that they read; 0 for a new request |
//! | `drain/status/NAME`, `drain/member/NAME/PART`, `drain/machine/ID` | the leader | it still leads, and the key has the revision that it read or wrote last |

use caperstile_types::MachineId;

/// Prefix of all keys.
pub const PREFIX: &str = "drain/";
/// Prefix of operators' requests.
pub const REQUEST_PREFIX: &str = "drain/request/";
/// Prefix of the statuses of drains.
pub const STATUS_PREFIX: &str = "drain/status/";
/// Prefix of the machines that belong to a drain.
pub const MEMBER_PREFIX: &str = "drain/member/";
/// Prefix of the machines that are being drained.
pub const MACHINE_PREFIX: &str = "drain/machine/";

/// The key of an operator's request.
pub fn request_key(name: &str) -> String {
    format!("{REQUEST_PREFIX}{name}")
}

/// The key of a drain's status.
pub fn status_key(name: &str) -> String {
    format!("{STATUS_PREFIX}{name}")
}

/// The key of a part of a drain's machines.
pub fn member_key(name: &str, part: usize) -> String {
    format!("{MEMBER_PREFIX}{name}/{part:04}")
}

/// The key of a machine that is being drained.
pub fn machine_key(machine: MachineId) -> String {
    format!("{MACHINE_PREFIX}{machine}")
}

/// Longest name of a drain.
const MAX_NAME_BYTES: usize = 40;

/// Whether a drain may have this name: it becomes a part of keys.
pub fn is_valid_drain_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
