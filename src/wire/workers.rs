//! Messages between workers and the leader: heartbeats with the status of all tasks, and commands.
//!
//! The names in `serde` attributes are defined by PROTOCOL and must not change.

use crate::types::TaskId;
use serde::{Deserialize, Serialize};

/// A worker's heartbeat. It is also the body of the worker's response to direct commands.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Identifier of the machine.
    #[serde(rename = "Host")]
    pub machine: String,
    /// Address at which the worker accepts direct commands.
    #[serde(rename = "Endpoint")]
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// Zone in which the machine runs.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether the machine is a spot instance; on-demand otherwise.
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    /// Epoch of the worker's agent: incremented whenever the worker's lease expires and all its tasks are killed.
    #[serde(rename = "Shift")]
    pub epoch: u64,
    /// Sequence number of the message within the epoch.
    #[serde(rename = "Tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen; 0 if it has seen none.
    #[serde(rename = "Baton", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine; `None` without an interruption notice.
    #[serde(rename = "RecallS", default)]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, including ended ones that the worker has not been commanded to forget.
    #[serde(rename = "Pieces", default)]
    pub tasks: Option<Vec<TaskStatus>>,
}

/// The status of one task in a heartbeat.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task; `None` if its name is not a valid task identifier. The name is parsed without an intermediate string,
    /// because a leader parses thousands of names per second.
    #[serde(rename = "Piece", with = "task_name")]
    pub task: Option<TaskId>,
    /// Attempt number.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// State of the task on the machine.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why the task ended; `None` while it has not ended.
    #[serde(rename = "Cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether a stopped task saved its checkpoint; `None` if that is not known.
    #[serde(rename = "Kept", default)]
    pub checkpoint_saved: Option<bool>,
}

/// Serialises a [`TaskId`] as its name, and parses the name without an intermediate string.
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
            f.write_str("a task name")
        }

        fn visit_str<E: de::Error>(self, name: &str) -> Result<Option<TaskId>, E> {
            Ok(name.parse().ok())
        }
    }
}

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The machine is fetching the task's image.
    Fetching,
    /// The task waits for the other tasks of its gang's attempt.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint after a stop command.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has ended, see [`ExitReason`].
    Exited,
    /// A state that a later protocol version defines: a heartbeat with it must still be accepted.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task finished.
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// The task failed.
    Error,
    /// The worker refused the task: the machine has too few free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The worker refused the task: it already has another attempt of the same task.
    #[serde(rename = "in_use")]
    DuplicateTask,
    /// The worker refused the task: it could not obtain the job's specification.
    #[serde(rename = "unknown")]
    UnknownJob,
    /// Another task of its gang was lost.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// Not all tasks of its gang were ready within the timeout.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// A reason that a later protocol version defines.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Starts an attempt. The worker ignores the command if it already has the attempt.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "Try")]
        attempt: u64,
    },
    /// Stops an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "Try")]
        attempt: u64,
        /// Grace period for saving a checkpoint, in seconds.
        #[serde(rename = "WindDownS")]
        grace_s: f64,
    },
    /// Forgets an ended attempt: heartbeats no longer list it.
    #[serde(rename = "reap")]
    Forget {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "Try")]
        attempt: u64,
    },
}

/// The response to a heartbeat. Receiving it renews the worker's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Commands, which the worker executes in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// A batch of direct commands to a worker: the body of `POST /commands`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Fencing token of the leader.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// The agent epoch for which the commands are intended; the worker refuses them in any other epoch.
    #[serde(rename = "Shift")]
    pub epoch: u64,
    /// Commands, which the worker executes in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The response of a follower to a heartbeat: it names the node that the worker is to contact.
#[derive(Debug, Clone, Serialize)]
pub struct LeaderRedirect<'a> {
    /// Name of the node that leads.
    #[serde(rename = "Steward")]
    pub leader: &'a str,
}
