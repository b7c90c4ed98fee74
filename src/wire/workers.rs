//! Workers: heartbeats with the status of all tasks, and commands.

use crate::types::TaskId;
use serde::{Deserialize, Serialize};

/// A worker's report, also the body of its answers to direct commands.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "Host")]
    pub machine: String,
    /// Where the worker takes direct commands.
    #[serde(rename = "Endpoint")]
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    /// Session.
    #[serde(rename = "Shift")]
    pub epoch: u64,
    /// Order of messages within the session.
    #[serde(rename = "Tally")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "Baton", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine back.
    #[serde(rename = "RecallS", default)]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "Pieces", default)]
    pub tasks: Option<Vec<TaskStatus>>,
}

/// One task in a report.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task; `None` if its name has another form. Read in place: a leader reads some thousand names a second.
    #[serde(rename = "Piece", with = "task_name")]
    pub task: Option<TaskId>,
    /// Attempt.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why it exited.
    #[serde(rename = "Cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether a stopped task's progress was saved.
    #[serde(rename = "Kept", default)]
    pub checkpoint_saved: Option<bool>,
}

/// A task's name as an id, without a string of its own in between.
mod task_name {
    use crate::types::TaskId;
    use serde::{Deserializer, Serializer, de};
    use std::fmt;

    pub fn serialize<S: Serializer>(task: &Option<TaskId>, to: S) -> Result<S::Ok, S::Error> {
        match task {
            Some(task) => to.collect_str(task),
            None => to.serialize_str(""),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<TaskId>, D::Error> {
        from.deserialize_str(Name)
    }

    struct Name;

    impl de::Visitor<'_> for Name {
        type Value = Option<TaskId>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("the name of a task")
        }

        fn visit_str<E: de::Error>(self, name: &str) -> Result<Option<TaskId>, E> {
            Ok(name.parse().ok())
        }
    }
}

/// A task's state on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// A task of a gang that waits for the other tasks of its attempt.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// Running.
    Running,
    /// Told to stop and saving.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Ended.
    Exited,
    /// A word of a later protocol: a report with it must still be taken.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Failed.
    Error,
    /// Refused: no room.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Refused: another attempt of the task is there.
    #[serde(rename = "in_use")]
    DuplicateTask,
    /// Refused: the worker could not learn about the job.
    #[serde(rename = "unknown")]
    UnknownJob,
    /// Another task of the gang is gone.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The gang was not complete in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// A word of a later protocol.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Start an attempt.
    #[serde(rename = "run")]
    Start {
        /// Task id.
        #[serde(rename = "Piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
    /// Stop an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// Task id.
        #[serde(rename = "Piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "Try")]
        attempt: u64,
        /// Time given for saving.
        #[serde(rename = "WindDownS")]
        grace_s: f64,
    },
    /// Remove an exited attempt from the reports.
    #[serde(rename = "reap")]
    Forget {
        /// Task id.
        #[serde(rename = "Piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's token.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Commands, executed in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Body of `POST /commands`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's token.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// The session that the commands are for.
    #[serde(rename = "Shift")]
    pub epoch: u64,
    /// Commands, executed in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Answer to a heartbeat at a node that does not lead: the node that does.
#[derive(Debug, Clone, Serialize)]
pub struct LeaderRedirect<'a> {
    /// The leader's name.
    #[serde(rename = "Steward")]
    pub leader: &'a str,
}
