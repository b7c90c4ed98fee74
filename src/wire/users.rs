//! Users: submissions and what they are answered.

use crate::types::JobId;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The names of a submission's fields.
pub mod submission_field {
    /// The job's id.
    pub const JOB: &str = "Ref";
    /// Class of jobs.
    pub const CLASS: &str = "Lane";
    /// Team.
    pub const TEAM: &str = "Crew";
    /// Independent tasks, service or gang: see [`JobShape`](super::JobShape).
    pub const SHAPE: &str = "Shape";
    /// Priority: see [`PRIORITIES`](super::PRIORITIES).
    pub const PRIORITY: &str = "Rank";
    /// Number of tasks.
    pub const TASK_COUNT: &str = "Pieces";
    /// CPUs of each task.
    pub const CPUS: &str = "Cores";
    /// GPUs of each task.
    pub const GPUS: &str = "Cards";
    /// Memory of each task in GB.
    pub const MEMORY: &str = "MemoryGb";
    /// Image.
    pub const IMAGE: &str = "Reel";
    /// Size of the image in GB.
    pub const IMAGE_SIZE: &str = "ImageGb";
    /// Allowed machine types.
    pub const MACHINE_TYPES: &str = "Builds";
    /// The only allowed zone.
    pub const ZONE: &str = "Yard";
    /// Whether all tasks must be in the same zone.
    pub const COLOCATE_IN_ZONE: &str = "Together";
    /// Whether at most half of the tasks may be in one zone.
    pub const SPREAD_OVER_ZONES: &str = "Spread";
    /// Whether spot machines are allowed.
    pub const ALLOWS_SPOT: &str = "Loaners";
    /// Estimated run time of a task in seconds.
    pub const ESTIMATED_DURATION: &str = "RuntimeS";
    /// Progress after which a task saves a checkpoint, in seconds.
    pub const CHECKPOINT_INTERVAL: &str = "BookmarkS";
    /// Time that saving a checkpoint takes, in seconds.
    pub const CHECKPOINT_DURATION: &str = "StashS";
    /// Deadline in seconds after the submission.
    pub const DEADLINE: &str = "DueS";
}

/// How a job's tasks belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobShape {
    /// A job array: independent tasks, each runs to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that all run at the same time, or none does.
    Gang,
}

/// All shapes.
pub const JOB_SHAPES: [JobShape; 3] = [JobShape::Array, JobShape::Service, JobShape::Gang];

impl JobShape {
    /// The protocol's word.
    pub fn protocol_name(self) -> &'static str {
        match self {
            JobShape::Array => "batch",
            JobShape::Service => "standing",
            JobShape::Gang => "group",
        }
    }
}

/// The protocol's words for priorities, the most important first.
pub const PRIORITIES: [&str; 4] = ["prod", "urgent", "standard", "low"];

/// What admission looks at of a submission.
#[derive(Debug, Deserialize)]
pub struct SubmissionHead<'a> {
    /// The job's id.
    #[serde(rename = "Ref", borrow)]
    pub job: Cow<'a, str>,
    /// Class.
    #[serde(rename = "Lane", borrow)]
    pub class: Cow<'a, str>,
    /// Team.
    #[serde(rename = "Crew", borrow)]
    pub team: Cow<'a, str>,
    /// Number of tasks.
    #[serde(rename = "Pieces")]
    pub tasks: u32,
}

/// The state of a job, as its user is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum JobStatus {
    /// Accepted; no task runs.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// Cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Answer to an accepted submission.
#[derive(Debug, Clone, Serialize)]
pub struct SubmissionResponse {
    /// The job's id.
    #[serde(rename = "Ref", serialize_with = "as_text")]
    pub job: JobId,
    /// Its state.
    #[serde(rename = "Status")]
    pub status: JobStatus,
}

/// Answer to a question for a job, and to its cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct JobStatusResponse {
    /// The job's id.
    #[serde(rename = "Ref", serialize_with = "as_text")]
    pub job: JobId,
    /// Its state.
    #[serde(rename = "Status")]
    pub status: JobStatus,
    /// Tasks that have completed.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// Body of every answer that tells of an error.
#[derive(Debug, Clone, Serialize)]
pub struct ErrorResponse<'a> {
    /// What is wrong.
    pub error: &'a str,
    /// The field at fault, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<&'a str>,
}

fn as_text<S: serde::Serializer>(job: &JobId, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(job)
}
