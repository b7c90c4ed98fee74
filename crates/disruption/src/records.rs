//! The durable records: what operators request and what leaders store. The names of their fields are a stored form.

use crate::instance_pool::InstancePool;
use caperstile_types::{AttemptNumber, Duration, JobId, MachineId, WallClock};
use serde::{Deserialize, Serialize};

/// Which machines a drain is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineSelector {
    /// These.
    Machines(Vec<MachineId>),
    /// All that match.
    Matching(MachineFilter),
}

/// What machines must match; what is not named matches all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineFilter {
    /// Zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Machine type.
    #[serde(rename = "kind", default, skip_serializing_if = "Option::is_none")]
    pub machine_type: Option<String>,
    /// Rented at least so long ago: a machine's system image is as old as its rental.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub older_than: Option<Duration>,
    /// So many of them at the most, the oldest first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
}

/// Whether drained machines are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainMode {
    /// Machines are drained and released.
    Remove,
    /// For each machine another one of its pool is rented first.
    Replace,
}

/// The state in which the operators want a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// It goes on.
    Run,
    /// It is paused: nothing more is evicted.
    Pause,
    /// It ends; machines that are not released yet take work again.
    Cancel,
}

/// An operator's request for a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Which machines.
    pub selector: MachineSelector,
    /// Whether drained machines are replaced.
    pub mode: DrainMode,
    /// The desired state.
    #[serde(rename = "wanted")]
    pub desired_state: DesiredState,
}

/// How far a drain is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// Machines are being drained, as budgets allow.
    Running,
    /// Nothing more is evicted until it is resumed.
    Paused,
    /// The operators cancelled it.
    Cancelled,
    /// All of its machines are gone.
    Done,
    /// The request was not accepted.
    Refused,
}

impl DrainPhase {
    /// Whether the drain has not ended.
    pub fn is_open(self) -> bool {
        matches!(self, DrainPhase::Running | DrainPhase::Paused)
    }
}

/// The state of a drain as the leader reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// How far it is.
    pub phase: DrainPhase,
    /// Revision of the request that this status reflects.
    #[serde(rename = "request")]
    pub request_revision: u64,
    /// Revision of the first request; orders drains.
    #[serde(rename = "created")]
    pub created_revision: u64,
    /// When it was accepted.
    pub accepted_at: WallClock,
    /// Why it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
    /// What an operator should know of the request, such as machines that were gone already.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
    /// How many machines it is for.
    #[serde(rename = "total")]
    pub machine_count: u32,
    /// How many of them are gone.
    #[serde(rename = "emptied")]
    pub drained: u32,
    /// How many are being drained.
    #[serde(rename = "emptying")]
    pub draining: u32,
    /// What it waits for, most important first.
    #[serde(rename = "waits_for", default, skip_serializing_if = "Vec::is_empty")]
    pub wait_reasons: Vec<String>,
}

impl DrainStatus {
    /// The status of a drain that was just requested.
    pub fn requested(request_revision: u64, now: WallClock) -> DrainStatus {
        DrainStatus {
            phase: DrainPhase::Running,
            request_revision,
            created_revision: request_revision,
            accepted_at: now,
            refusal: None,
            notes: Vec::new(),
            machine_count: 0,
            drained: 0,
            draining: 0,
            wait_reasons: Vec::new(),
        }
    }

    /// Refuses the request for this reason.
    pub fn refuse(&mut self, reason: String) {
        self.phase = DrainPhase::Refused;
        self.refusal = Some(reason);
    }
}

/// Some machines of a drain, all of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Machine type, zone and purchase model.
    #[serde(rename = "place")]
    pub pool: InstancePool,
    /// The machines.
    pub machines: Vec<MemberMachine>,
}

/// A machine of a drain. Stored as a pair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(MachineId, WallClock)", into = "(MachineId, WallClock)")]
pub struct MemberMachine {
    /// The machine.
    pub id: MachineId,
    /// When it was rented.
    pub provisioned_at: WallClock,
}

impl From<(MachineId, WallClock)> for MemberMachine {
    fn from((id, provisioned_at): (MachineId, WallClock)) -> MemberMachine {
        MemberMachine { id, provisioned_at }
    }
}

impl From<MemberMachine> for (MachineId, WallClock) {
    fn from(machine: MemberMachine) -> (MachineId, WallClock) {
        (machine.id, machine.provisioned_at)
    }
}

/// A machine that is being drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineDrainRecord {
    /// For which drain; none: it is consolidated, since its services fit elsewhere.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub drain: Option<String>,
    /// Since when it takes no new work.
    #[serde(rename = "s")]
    pub started_at: WallClock,
    /// Evictions that are charged to budgets and not released yet.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub charges: Vec<BudgetCharge>,
}

/// One eviction as it is charged to the budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetCharge {
    /// Job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Task; none: all tasks of a gang.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub index: Option<u32>,
    /// The attempt that is stopped. The charge is released once another one runs, or the task is over.
    #[serde(rename = "a")]
    pub attempt: AttemptNumber,
    /// How many tasks it counts for.
    #[serde(rename = "n")]
    pub task_count: u32,
}

/// Most bytes that a charge takes in its record: `{"j":…,"i":…,"a":…,"n":…},` with the largest numbers.
pub const MAX_CHARGE_BYTES: usize = 84;
/// Bytes of a machine's record without charges, with the longest name of a drain.
pub const MAX_MACHINE_RECORD_OVERHEAD_BYTES: usize = 128;
/// Most bytes that a machine takes in a record of members: `[123456789012345,1234567890123],`.
pub const MAX_MEMBER_BYTES: usize = 32;
/// Bytes of a record of members without machines, generously: names of types and zones are short.
pub const MAX_MEMBER_RECORD_OVERHEAD_BYTES: usize = 256;
