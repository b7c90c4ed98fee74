//! The durable records: what operators ask for and what leaders keep, with their keys in the state service.
//!
//! | key | written by | on condition that |
//! | --- | --- | --- |
//! | `drain/request/NAME` | operators | the key has the revision that they read; 0 for a new request |
//! | `drain/status/NAME`, `drain/member/NAME/PART`, `drain/machine/ID` | the leader | it still leads, and the key has the revision that it read or wrote last |

use crate::fleet::InstancePool;
use caperstile_types::{AttemptNumber, Duration, JobId, MachineId, WallClock};
use serde::{Deserialize, Serialize};

/// Prefix of all keys.
pub const PREFIX: &str = "drain/";
/// Prefix of operators' requests.
pub const REQUESTS: &str = "drain/request/";
/// Prefix of what the leader answers.
pub const STATUSES: &str = "drain/status/";
/// Prefix of the machines that belong to a drain.
pub const MEMBERS: &str = "drain/member/";
/// Prefix of the machines that are being emptied.
pub const MACHINES: &str = "drain/machine/";

/// The key of an operator's request.
pub fn request_key(name: &str) -> String {
    format!("{REQUESTS}{name}")
}

/// The key of a drain's status.
pub fn status_key(name: &str) -> String {
    format!("{STATUSES}{name}")
}

/// The key of a part of a drain's machines.
pub fn member_key(name: &str, part: usize) -> String {
    format!("{MEMBERS}{name}/{part:04}")
}

/// The key of a machine that is being emptied.
pub fn machine_key(machine: MachineId) -> String {
    format!("{MACHINES}{machine}")
}

/// Longest name of a drain.
const NAME_LIMIT: usize = 40;

/// Whether a drain may have this name: it becomes a part of keys.
pub fn valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(allowed)
}

/// Which machines a drain is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selector {
    /// These.
    Machines(Vec<MachineId>),
    /// All that match.
    Matching(Filter),
}

/// What machines must be like; what is not named does not matter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Machine type.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Rented at least so long ago: a machine's system image is as old as its rental.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub older_than: Option<Duration>,
    /// So many of them at the most, the oldest first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
}

/// What becomes of the capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Machines are emptied and returned.
    Remove,
    /// For each a like one is rented first.
    Replace,
}

/// What the operators want of a drain now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wanted {
    /// It goes on.
    Run,
    /// It rests: nothing more is evicted.
    Pause,
    /// It ends; machines that are not returned yet take work again.
    Cancel,
}

/// An operator's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Which machines.
    pub selector: Selector,
    /// What becomes of the capacity.
    pub mode: Mode,
    /// What is wanted now.
    pub wanted: Wanted,
}

/// How far a drain is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Machines are being emptied, as budgets allow.
    Running,
    /// It rests.
    Paused,
    /// It was called off.
    Cancelled,
    /// All of its machines are gone.
    Done,
    /// It was not taken.
    Refused,
}

impl Phase {
    /// Whether it can still change.
    pub fn is_live(self) -> bool {
        matches!(self, Phase::Running | Phase::Paused)
    }
}

/// What the leader says of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// How far it is.
    pub phase: Phase,
    /// Revision of the request that this answers.
    pub request: u64,
    /// Revision at which it was asked for first; orders drains.
    pub created: u64,
    /// When it was taken.
    pub accepted_at: WallClock,
    /// Why it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
    /// What an operator should know of the request, such as machines that were gone already.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
    /// How many machines it is for.
    pub total: u32,
    /// How many of them are gone.
    pub emptied: u32,
    /// How many are being emptied.
    pub emptying: u32,
    /// For whom or what it waits, most important first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits_for: Vec<String>,
}

impl Status {
    /// Of a drain that was just asked for.
    pub fn asked_for(request: u64, now: WallClock) -> Status {
        Status {
            phase: Phase::Running,
            request,
            created: request,
            accepted_at: now,
            refusal: None,
            notes: Vec::new(),
            total: 0,
            emptied: 0,
            emptying: 0,
            waits_for: Vec::new(),
        }
    }

    /// It is not taken, for this reason.
    pub fn refuse(&mut self, reason: String) {
        self.phase = Phase::Refused;
        self.refusal = Some(reason);
    }
}

/// Some machines of a drain, all of one place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPart {
    /// Type, zone and kind.
    pub place: InstancePool,
    /// Machines, and when each was rented.
    pub machines: Vec<(MachineId, WallClock)>,
}

/// A machine that is being emptied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptyingRecord {
    /// For which drain; none: its services fit elsewhere, and it costs more than it is worth.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub drain: Option<String>,
    /// Since when it takes no new work.
    #[serde(rename = "s")]
    pub since: WallClock,
    /// What of it was charged and is not available again.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub charges: Vec<Charge>,
}

/// One eviction as it is charged to the budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Charge {
    /// Job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Task; none: all tasks of a gang.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub index: Option<u32>,
    /// The attempt that is stopped. The charge is returned once another one runs, or the task is over.
    #[serde(rename = "a")]
    pub attempt: AttemptNumber,
    /// How many tasks it counts for.
    #[serde(rename = "n")]
    pub count: u32,
}

/// Most bytes that a charge takes in its record: `{"j":…,"i":…,"a":…,"n":…},` with the largest numbers.
pub const CHARGE_BYTES: usize = 84;
/// Bytes of a machine's record without charges, with the longest name of a drain.
pub const MACHINE_BYTES: usize = 128;
/// Most bytes that a machine takes in a part: `[123456789012345,1234567890123],`.
pub const MEMBER_BYTES: usize = 32;
/// Bytes of a part without machines, generously: names of types and zones are short.
pub const PART_BYTES: usize = 256;
