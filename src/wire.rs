//! The messages that PROTOCOL specifies, with one module for each counterpart of a controller.
//!
//! The protocol's own names appear only here, as serde renames and string constants; all other code uses the usual
//! terms of the field. In every message unknown fields are ignored, and null is equivalent to an omitted field.

mod cloud;
mod store;
mod submission;
mod users;
mod workers;

pub use cloud::{ListedMachine, MachineNames, MachinePage, MachineType, MachineTypes, ScaleOutRequest};
pub use store::{
    CompareAndSwap, CompareAndSwapResponse, GrantLeaseRequest, GrantLeaseResponse, KeyPage, KeyValue,
    RevisionCondition, StoreWrite,
};
pub use submission::{
    Amount, MalformedSubmission, NameList, Submission, SubmissionProblem, SubmissionRequest, abbreviate_name,
};
pub use users::{
    ErrorResponse, JOB_SHAPES, JobShape, JobStatus, JobStatusResponse, PRIORITIES, SubmissionResponse, submission_field,
};
pub use workers::{
    CommandBatch, ExitReason, Heartbeat, HeartbeatResponse, LeaderRedirect, TaskState, TaskStatus, WorkerCommand,
};

#[cfg(test)]
mod tests;
