//! Durable records in the state service: the drain requests of operators and the state that leaders store. The
//! serialized names of fields and values are a storage format and must not change.

use crate::instance_pool::InstancePool;
use caperstile_types::{AttemptNumber, Duration, JobId, MachineId, WallClock};
use serde::{Deserialize, Serialize};

/// Selects the machines of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineSelector {
    /// The machines with these IDs.
    Machines(Vec<MachineId>),
    /// All machines that match the filter when the drain is accepted.
    Matching(MachineFilter),
}

/// Criteria that machines must meet. A criterion that is `None` is met by all machines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineFilter {
    /// Name of the machine's zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "kind", default, skip_serializing_if = "Option::is_none")]
    pub machine_type: Option<String>,
    /// Minimum time since the machine was provisioned. This selects machines with old system images, since a machine
    /// gets its image when it is provisioned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub older_than: Option<Duration>,
    /// Maximum number of machines to select. The oldest are selected first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
}

/// Whether a drain replaces the machines that it releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainMode {
    /// Machines are drained and released without replacement.
    Remove,
    /// For each machine, another one in the same pool is provisioned before the machine is drained.
    Replace,
}

/// The state of a drain that the operator requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// The drain runs.
    Run,
    /// The drain is paused: no further tasks are evicted.
    Pause,
    /// The drain ends. Machines that have not been released are uncordoned.
    Cancel,
}

/// An operator's request for a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The machines to be drained.
    pub selector: MachineSelector,
    /// Whether the drained machines are replaced.
    pub mode: DrainMode,
    /// Whether the drain is to run, to be paused or to be cancelled.
    #[serde(rename = "wanted")]
    pub desired_state: DesiredState,
}

/// Phase of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// Machines are being drained as budgets, spare capacity and replacements allow.
    Running,
    /// No further tasks are evicted until the operator resumes the drain.
    Paused,
    /// The operator cancelled the drain or removed its request.
    Cancelled,
    /// None of the drain's machines exists any more.
    Done,
    /// The request was not accepted.
    Refused,
}

impl DrainPhase {
    /// Whether the drain has not ended: it is running or paused.
    pub fn is_open(self) -> bool {
        matches!(self, DrainPhase::Running | DrainPhase::Paused)
    }
}

/// The state of a drain, as the leader stores it for operators and for its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Current phase.
    pub phase: DrainPhase,
    /// Revision of the request that was last applied to the drain.
    #[serde(rename = "request")]
    pub request_revision: u64,
    /// Revision of the request that created the drain. Drains are ordered by it where their progress is equal.
    #[serde(rename = "created")]
    pub created_revision: u64,
    /// Time when the leader accepted or refused the request.
    pub accepted_at: WallClock,
    /// Why the request was refused; `None` if it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
    /// Information about the request for the operator, such as requested machines that no longer exist.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
    /// Number of machines in the drain.
    #[serde(rename = "total")]
    pub machine_count: u32,
    /// Number of machines in the drain that no longer exist.
    #[serde(rename = "emptied")]
    pub drained: u32,
    /// Number of machines that are being drained.
    #[serde(rename = "emptying")]
    pub draining: u32,
    /// Conditions that the drain is waiting for, such as a budget that is used up: the first five in the order in which
    /// a reconciliation finds them. They are not ranked by importance.
    #[serde(rename = "waits_for", default, skip_serializing_if = "Vec::is_empty")]
    pub wait_reasons: Vec<String>,
}

impl DrainStatus {
    /// Creates the status of a drain that is accepted at `now`, before any of its machines is drained.
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

    /// Marks the request as refused for this reason.
    pub fn refuse(&mut self, reason: String) {
        self.phase = DrainPhase::Refused;
        self.refusal = Some(reason);
    }
}

/// Some or all of a drain's machines in one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Machine type, zone and purchase model.
    #[serde(rename = "place")]
    pub pool: InstancePool,
    /// The machines, all in this pool.
    pub machines: Vec<MemberMachine>,
}

/// A machine of a drain. Stored as a pair of ID and time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(MachineId, WallClock)", into = "(MachineId, WallClock)")]
pub struct MemberMachine {
    /// ID of the machine.
    pub id: MachineId,
    /// Time when the machine was provisioned.
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

/// The state of a machine that is being drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineDrainRecord {
    /// Name of the drain; `None` for a consolidation, which drains a machine whose services fit on other machines.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub drain: Option<String>,
    /// Time when the drain of the machine started and the machine stopped accepting new tasks.
    #[serde(rename = "s")]
    pub started_at: WallClock,
    /// Evictions that are charged to budgets and have not been released.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub charges: Vec<BudgetCharge>,
}

/// The charge of one eviction to the budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetCharge {
    /// Job of the task or gang.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Index of the task in its job; `None` for all tasks of a gang.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub index: Option<u32>,
    /// The attempt that is evicted. The charge is released once another attempt is running or the task has ended.
    #[serde(rename = "a")]
    pub attempt: AttemptNumber,
    /// Number of tasks that are charged.
    #[serde(rename = "n")]
    pub task_count: u32,
}

/// Maximum size of a charge in its record: `{"j":…,"i":…,"a":…,"n":…},` with the largest possible numbers.
pub const MAX_CHARGE_BYTES: usize = 84;
/// Maximum size of a machine's record without its charges, with the longest possible name of a drain.
pub const MAX_MACHINE_RECORD_OVERHEAD_BYTES: usize = 128;
/// Maximum size of a machine in a member record: `[123456789012345,1234567890123],`.
pub const MAX_MEMBER_BYTES: usize = 32;
/// Allowance for the size of a member record without its machines. It is generous, since names of machine types and
/// zones are short.
pub const MAX_MEMBER_RECORD_OVERHEAD_BYTES: usize = 256;
