//! A drain that an operator requested: its request, status and machines.

use crate::budget::Scope;
use crate::instance_pool::InstancePool;
use crate::records::{
    DesiredState, DrainMode, DrainPhase, DrainRequest, DrainStatus, MAX_MEMBER_BYTES, MAX_MEMBER_RECORD_OVERHEAD_BYTES,
    MachineSelector, MemberMachine, MemberRecord,
};
use caperstile_types::{MachineId, WallClock};
use std::collections::BTreeMap;

/// Properties of a machine in a drain, recorded when the drain was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    pub pool: InstancePool,
    pub provisioned_at: WallClock,
}

/// A drain that an operator requested.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Drain {
    pub request: DrainRequest,
    pub status: DrainStatus,
    /// All machines of the drain, including those that no longer exist.
    pub members: BTreeMap<MachineId, Member>,
    /// Whether the status, and thus the machines written before it, is durable. The next leader can then continue the
    /// drain.
    pub is_durable: bool,
}

/// Why a request is refused. The message is shown to operators in the status of the drain.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DrainRefusal {
    #[error("the request cannot be read: it is of another version, or damaged")]
    Unreadable,
    #[error("`{0}` is no name for a drain: up to 40 of a to z, 0 to 9 and -")]
    InvalidName(String),
    #[error("no machine matches")]
    NoMachineMatches,
    #[error("none of these machines is there: {0}")]
    AllMachinesGone(String),
    #[error("machine {machine} holds {scope}, whose budget of {limit} is none of {desired} at any time")]
    ZeroBudget { machine: MachineId, scope: Scope, limit: String, desired: u32 },
}

impl Drain {
    /// Creates the refused drain for a request that cannot be parsed.
    pub fn unreadable(revision: u64, wall: WallClock) -> Drain {
        let request = DrainRequest {
            selector: MachineSelector::Machines(Vec::new()),
            mode: DrainMode::Remove,
            desired_state: DesiredState::Run,
        };
        let mut status = DrainStatus::requested(revision, wall);
        status.refuse(DrainRefusal::Unreadable.to_string());
        Drain { request, status, members: BTreeMap::new(), is_durable: false }
    }

    /// Applies a changed request. Only the desired state can change; selector and mode remain as accepted.
    pub fn apply_request(&mut self, request: &DrainRequest, revision: u64) {
        self.status.request_revision = revision;
        self.request.desired_state = request.desired_state;
        if self.status.phase.is_open() {
            self.status.phase = match request.desired_state {
                DesiredState::Run => DrainPhase::Running,
                DesiredState::Pause => DrainPhase::Paused,
                DesiredState::Cancel => DrainPhase::Cancelled,
            };
        }
    }

    /// Whether machines may be drained now: the drain is durable and neither paused nor ended.
    pub fn is_running(&self) -> bool {
        self.is_durable && self.status.phase == DrainPhase::Running
    }

    /// Whether each machine is drained only after a replacement in its pool has been provisioned.
    pub fn replaces_machines(&self) -> bool {
        self.request.mode == DrainMode::Replace
    }

    /// Returns the machines as records of at most `max_value_bytes` each, unless a single machine exceeds that size.
    /// Each record holds machines of one pool.
    pub fn member_records(&self, max_value_bytes: usize) -> Vec<MemberRecord> {
        let max_machines_per_record =
            (max_value_bytes.saturating_sub(MAX_MEMBER_RECORD_OVERHEAD_BYTES) / MAX_MEMBER_BYTES).max(1);
        let mut by_pool: BTreeMap<&InstancePool, Vec<MemberMachine>> = BTreeMap::new();
        for (id, member) in &self.members {
            by_pool
                .entry(&member.pool)
                .or_default()
                .push(MemberMachine { id: *id, provisioned_at: member.provisioned_at });
        }
        let mut records = Vec::new();
        for (pool, machines) in by_pool {
            let parts = machines.chunks(max_machines_per_record).map(<[_]>::to_vec);
            records.extend(parts.map(|machines| MemberRecord { pool: pool.clone(), machines }));
        }
        records
    }
}
