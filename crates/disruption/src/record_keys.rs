//! Keys of the durable records in the state service.
//!
//! | key | writer | condition of each write |
//! | --- | --- | --- |
//! | `drain/request/NAME` | operators | the key is at the revision that they read; 0 for a new request |
//! | `drain/status/NAME` | leader | it still is the leader, and the key is at the revision that it last read or wrote |
//! | `drain/member/NAME/PART` | leader | same as above |
//! | `drain/machine/ID` | leader | same as above |

use caperstile_types::MachineId;

/// Common prefix of all keys in this module.
pub const PREFIX: &str = "drain/";
/// Prefix of the keys of operators' requests.
pub const REQUEST_PREFIX: &str = "drain/request/";
/// Prefix of the keys of drain statuses.
pub const STATUS_PREFIX: &str = "drain/status/";
/// Prefix of the keys of member records, which list the machines of each drain.
pub const MEMBER_PREFIX: &str = "drain/member/";
/// Prefix of the keys of machines that are being drained.
pub const MACHINE_PREFIX: &str = "drain/machine/";

/// Returns the key of the operator's request for a drain.
pub fn request_key(name: &str) -> String {
    format!("{REQUEST_PREFIX}{name}")
}

/// Returns the key of the status of a drain.
pub fn status_key(name: &str) -> String {
    format!("{STATUS_PREFIX}{name}")
}

/// Returns the key of a member record of a drain. The machines of a drain may be split into several records, numbered
/// from 0.
pub fn member_key(name: &str, part: usize) -> String {
    format!("{MEMBER_PREFIX}{name}/{part:04}")
}

/// Returns the key of the record of a machine that is being drained.
pub fn machine_key(machine: MachineId) -> String {
    format!("{MACHINE_PREFIX}{machine}")
}

/// Maximum length of the name of a drain.
const MAX_NAME_BYTES: usize = 40;

/// Whether a drain may have this name. The name becomes part of keys, so only `a` to `z`, `0` to `9` and `-` are
/// allowed.
pub fn is_valid_drain_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
