//! Newtypes for identifiers, version numbers, resource amounts and times, so that the compiler rejects mixing them up.
//!
//! Every package of the workspace uses this one, which depends on none of the others. Each newtype is serialised as the
//! plain number or list that it holds; the serialised form is part of the stored data and must not change.
#![forbid(unsafe_code)]

mod ids;
mod resources;
mod task_index_set;
mod time;
mod token_bucket;

pub use ids::{
    AgentEpoch, AttemptId, AttemptNumber, FencingToken, JobId, LeaseId, LogIndex, MachineId, MessageSequence,
    ParseIdError, Revision, TaskId,
};
pub use resources::Resources;
pub use task_index_set::TaskIndexSet;
pub use time::{Duration, Timestamp, WallClock};
pub use token_bucket::TokenBucket;
