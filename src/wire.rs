//! The messages of PROTOCOL, one module for each counterpart.
//!
//! The protocol's own names stand here alone, as serde renames; everywhere else the field's usual terms are used. Unknown fields are
//! ignored everywhere, and null equals omitted.

mod cloud;
mod store;
mod users;
mod workers;

pub use cloud::{ListedMachine, MachineNames, MachinePage, MachineType, MachineTypes, ScaleOutRequest};
pub use store::{
    CompareAndSwap, CompareAndSwapResponse, GrantLeaseRequest, GrantLeaseResponse, KeyPage, KeyValue,
    RevisionCondition, StoreWrite,
};
pub use users::{
    ErrorResponse, JOB_SHAPES, JobShape, JobStatus, JobStatusResponse, PRIORITIES, SubmissionHead, SubmissionResponse,
    submission_field,
};
pub use workers::{
    CommandBatch, ExitReason, Heartbeat, HeartbeatResponse, LeaderRedirect, TaskState, TaskStatus, WorkerCommand,
};

#[cfg(test)]
mod tests;
