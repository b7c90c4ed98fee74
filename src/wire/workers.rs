//! Messages between workers and the leader: heartbeats with the status of all tasks, and commands.
//!
//! The names in `serde` attributes are those of PROTOCOL and must not change.

use crate::types::TaskId;
use serde::{Deserialize, Serialize};

/// A worker's heartbeat; it is also the body of the worker's answers to direct commands.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "Host")]
    pub machine: String,
    /// The address at which the worker takes direct commands.
    #[serde(rename = "Endpoint")]
    pub endpoint: String,
    /// The machine's type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    /// The agent's epoch: it grows whenever the worker's lease expires and all its tasks are killed.
    #[serde(rename = "Shift")]
    pub epoch: u64,
    /// Number of the message within the epoch.
    #[serde(rename = "Tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen; 0 if none.
    #[serde(rename = "Baton", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine, if it has told so.
    #[serde(rename = "RecallS", default)]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, ended ones that the worker was not told to forget among them.
    #[serde(rename = "Pieces", default)]
    pub tasks: Option<Vec<TaskStatus>>,
}

/// The status of one task in a heartbeat.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task; `None` if its name has another form. Read in place: a leader reads some thousand names a second.
    #[serde(rename = "Piece", with = "task_name")]
    pub task: Option<TaskId>,
    /// The number of the attempt.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// How far the task is.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why the task ended, if it did.
    #[serde(rename = "Cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether the checkpoint of a stopped task was saved.
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
    /// Waiting for the other tasks of its gang's attempt.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// Running.
    Running,
    /// Saving a checkpoint after it was told to stop.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Ended.
    Exited,
    /// A state of a later protocol: a heartbeat with it must still be taken.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// It finished.
    Done,
    /// It was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    Error,
    /// The worker refused it: the machine has too few free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The worker refused it: it holds another attempt of the task.
    #[serde(rename = "in_use")]
    DuplicateTask,
    /// The worker refused it: it could not get the job's specification.
    #[serde(rename = "unknown")]
    UnknownJob,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// Its gang was not complete in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// A reason of a later protocol.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Start an attempt; without effect if the worker holds it already.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// The number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
    /// Stop an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// The number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
        /// Seconds that the task has for its checkpoint.
        #[serde(rename = "WindDownS")]
        grace_s: f64,
    },
    /// Forget an ended attempt: heartbeats do not list it any more.
    #[serde(rename = "reap")]
    Forget {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// The number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
}

/// The answer to a heartbeat; it renews the worker's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Commands, executed in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Direct commands to a worker: the body of `POST /commands`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// The agent's epoch that the commands are for; they are refused in another one.
    #[serde(rename = "Shift")]
    pub epoch: u64,
    /// Commands, executed in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The answer of a node that does not lead to a heartbeat: the node that does.
#[derive(Debug, Clone, Serialize)]
pub struct LeaderRedirect<'a> {
    /// The leader's name.
    #[serde(rename = "Steward")]
    pub leader: &'a str,
}
