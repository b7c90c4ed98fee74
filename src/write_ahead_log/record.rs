//! The records of the write-ahead log. Their stored names are single letters, since the log is written often and the
//! size of values is limited.

use super::fragments::RecordFragment;
use crate::job_spec::JobSpec;
use crate::types::{JobId, MachineId, TaskIndexSet, WallClock};
use serde::{Deserialize, Serialize};

/// Maximum number of task ranges in one record, so that it fits into a value of 2 KiB.
pub const MAX_TASK_RANGES: usize = 60;
/// Maximum number of ended jobs in one record, so that it fits into a value of 2 KiB.
pub const MAX_ENDED_JOBS: usize = 60;

/// The durable state of a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Id of the machine, by which the cloud and its worker name it.
    #[serde(rename = "i")]
    pub id: MachineId,
    /// Address at which its worker accepts direct commands; empty until the first heartbeat.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Name of the machine type.
    #[serde(rename = "k")]
    pub machine_type: String,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot instance; otherwise it is an on-demand instance.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When its instance was requested from the cloud, or when its first heartbeat arrived if the request is not known.
    #[serde(rename = "a", default)]
    pub provisioned_at: WallClock,
}

/// A log record. Applying a record is idempotent: a second application has no further effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A job was accepted, and stays accepted under every later leader.
    #[serde(rename = "j")]
    JobAccepted(JobSpec),
    /// These tasks of a job finished successfully.
    #[serde(rename = "d")]
    TasksDone(JobId, TaskIndexSet),
    /// A job was cancelled by a user.
    #[serde(rename = "c")]
    JobCancelled(JobId),
    /// A machine was registered. Tasks are started on it only once this record is durable, so that every later leader
    /// fences it.
    #[serde(rename = "m")]
    MachineRegistered(MachineRecord),
    /// A machine was provisioned and has not sent a heartbeat yet. Nothing waits for this record to be durable; it
    /// keeps the next leader from provisioning the same capacity again before the instance appears in the cloud's list,
    /// which lags behind.
    #[serde(rename = "r")]
    MachineProvisioned(MachineRecord),
    /// A machine has an image in its cache.
    #[serde(rename = "i")]
    ImageCached(MachineId, String),
    /// The state of the run time correction (CorrecFAST): its value in percent and the number of executions that it is
    /// based on.
    #[serde(rename = "l")]
    CorrectionUpdated(f64, u64),
    /// A machine does not exist any more and will never send a heartbeat again.
    #[serde(rename = "g")]
    MachineGone(MachineId),
    /// Jobs that have ended, in snapshots only: finished jobs with their number of tasks, and cancelled jobs. Ids are
    /// delta-encoded: each is stored as the difference from the previous one.
    #[serde(rename = "f")]
    EndedJobs(Vec<(u64, u32)>, Vec<u64>),
    /// A fragment of a record that is too large for one value, in snapshots of `Format::Two` only.
    #[serde(rename = "p")]
    Fragment(RecordFragment),
}
