//! Identifiers, versions, amounts and times as types of their own, so that none is mistaken for another.
//!
//! Every package of the workspace uses them; this one depends on none of the others. All of them are serialised as the plain
//! number or list that they hold: their stored form must not change.
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
