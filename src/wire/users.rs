//! Messages of users: submissions, job queries and their responses.

use crate::types::JobId;
use serde::Serialize;

/// The protocol's names of a submission's fields.
pub mod submission_field {
    /// Identifier of the job.
    pub const JOB: &str = "Ref";
    /// Job class.
    pub const CLASS: &str = "Lane";
    /// Team that submits the job.
    pub const TEAM: &str = "Crew";
    /// Whether the job is an array, a service or a gang: see [`JobShape`](super::JobShape).
    pub const SHAPE: &str = "Shape";
    /// Priority, one of [`PRIORITIES`](super::PRIORITIES).
    pub const PRIORITY: &str = "Rank";
    /// Number of tasks.
    pub const TASK_COUNT: &str = "Pieces";
    /// CPUs that each task requests.
    pub const CPUS: &str = "Cores";
    /// GPUs that each task requests.
    pub const GPUS: &str = "Cards";
    /// Memory that each task requests, in GB.
    pub const MEMORY: &str = "MemoryGb";
    /// Name of the image that the tasks run.
    pub const IMAGE: &str = "Reel";
    /// Size of the image in GB.
    pub const IMAGE_SIZE: &str = "ImageGb";
    /// Machine types on which the tasks may run.
    pub const MACHINE_TYPES: &str = "Builds";
    /// The only zone in which the tasks may run.
    pub const ZONE: &str = "Yard";
    /// Whether all tasks must run in the same zone.
    pub const COLOCATE_IN_ZONE: &str = "Together";
    /// Whether at most half of the tasks may run in one zone.
    pub const SPREAD_OVER_ZONES: &str = "Spread";
    /// Whether tasks may run on spot instances.
    pub const ALLOWS_SPOT: &str = "Loaners";
    /// Estimated run time of each task, in seconds.
    pub const ESTIMATED_DURATION: &str = "RuntimeS";
    /// Interval of a task's progress at which it saves a checkpoint, in seconds.
    pub const CHECKPOINT_INTERVAL: &str = "BookmarkS";
    /// Time that a task takes to save a checkpoint, in seconds.
    pub const CHECKPOINT_DURATION: &str = "StashS";
    /// Deadline, in seconds after the submission.
    pub const DEADLINE: &str = "DueS";
}

/// The kind of a job, which determines how its tasks relate to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobShape {
    /// A job array: independent tasks, each of which runs to completion.
    Array,
    /// A service: replicas that run until the job is cancelled.
    Service,
    /// A gang: its tasks run all at the same time or not at all.
    Gang,
}

/// All job shapes.
pub const JOB_SHAPES: [JobShape; 3] = [JobShape::Array, JobShape::Service, JobShape::Gang];

impl JobShape {
    /// The name of the shape in the protocol.
    pub fn protocol_name(self) -> &'static str {
        match self {
            JobShape::Array => "batch",
            JobShape::Service => "standing",
            JobShape::Gang => "group",
        }
    }
}

/// The protocol's names of the priorities, the highest priority first.
pub const PRIORITIES: [&str; 4] = ["prod", "urgent", "standard", "low"];

/// State of a job as reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum JobStatus {
    /// The job was accepted, and none of its tasks is running.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks have finished.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Response to an accepted submission.
#[derive(Debug, Clone, Serialize)]
pub struct SubmissionResponse {
    /// Identifier of the job.
    #[serde(rename = "Ref", serialize_with = "as_text")]
    pub job: JobId,
    /// State of the job.
    #[serde(rename = "Status")]
    pub status: JobStatus,
}

/// Response to a query of a job's state and to a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct JobStatusResponse {
    /// Identifier of the job.
    #[serde(rename = "Ref", serialize_with = "as_text")]
    pub job: JobId,
    /// State of the job.
    #[serde(rename = "Status")]
    pub status: JobStatus,
    /// Number of tasks that have finished.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
}

/// Body of every response that reports an error.
#[derive(Debug, Clone, Serialize)]
pub struct ErrorResponse<'a> {
    /// Description of the error.
    pub error: &'a str,
    /// The invalid field of the submission; `None` if the error does not concern one field.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<&'a str>,
}

fn as_text<S: serde::Serializer>(job: &JobId, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(job)
}
