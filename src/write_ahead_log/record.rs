//! The records of the log. Their stored names are short, since the log is written often and kept in small values.

use super::fragments::RecordFragment;
use crate::job_spec::JobSpec;
use crate::types::{JobId, MachineId, TaskIndexSet, WallClock};
use serde::{Deserialize, Serialize};

/// Most ranges of tasks in one record: it fits into a value of 2 KiB.
pub const MAX_TASK_RANGES: usize = 60;
/// Most ended jobs in one record, likewise.
pub const MAX_ENDED_JOBS: usize = 60;

/// A machine as it is remembered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Name.
    #[serde(rename = "i")]
    pub id: MachineId,
    /// Where its worker takes commands.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Type.
    #[serde(rename = "k")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When it was rented, or first heard of.
    #[serde(rename = "a", default)]
    pub provisioned_at: WallClock,
}

/// One record of the log. Applying a record twice is the same as applying it once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A job was accepted.
    #[serde(rename = "j")]
    JobAccepted(JobSpec),
    /// Tasks of a job finished.
    #[serde(rename = "d")]
    TasksDone(JobId, TaskIndexSet),
    /// A job was cancelled.
    #[serde(rename = "c")]
    JobCancelled(JobId),
    /// A machine may get tasks from now on.
    #[serde(rename = "m")]
    MachineRegistered(MachineRecord),
    /// A machine was rented and has not sent a heartbeat yet. Nothing waits for this record: without it the
    /// next leader would rent again what the cloud's list shows only later.
    #[serde(rename = "r")]
    MachineProvisioned(MachineRecord),
    /// A machine holds an image.
    #[serde(rename = "i")]
    ImageCached(MachineId, String),
    /// What CorrecFAST has learnt: its value in percent and how many executions it saw.
    #[serde(rename = "l")]
    CorrectionUpdated(f64, u64),
    /// A machine is gone for ever.
    #[serde(rename = "g")]
    MachineGone(MachineId),
    /// Jobs that have ended (snapshots only): those done with their number of tasks, those cancelled;
    /// ids as differences from the one before.
    #[serde(rename = "f")]
    EndedJobs(Vec<(u64, u32)>, Vec<u64>),
    /// A piece of a record that is too large for a value (snapshots of format two only).
    #[serde(rename = "p")]
    Fragment(RecordFragment),
}
