//! The messages of PROTOCOL, with its names at the edge and the field's usual terms inside.
//!
//! Unknown fields are ignored everywhere and null equals omitted.

use crate::types::TaskId;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::borrow::Cow;

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

/// A worker's report, also the body of its answers to direct commands.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Report {
    /// The machine's name.
    #[serde(rename = "Host")]
    pub machine: String,
    /// Where the worker takes direct commands.
    #[serde(rename = "Endpoint")]
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "Build")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    /// Session.
    #[serde(rename = "Shift")]
    pub session: u64,
    /// Order of messages within the session.
    #[serde(rename = "Tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "Baton", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine back.
    #[serde(rename = "RecallS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "Pieces", default)]
    pub tasks: Option<Vec<ReportedTask>>,
}

/// One task in a report.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReportedTask {
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
    pub cause: Option<Cause>,
    /// Whether a stopped task's progress was saved.
    #[serde(rename = "Kept", default)]
    pub saved: Option<bool>,
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
    Gathering,
    /// Running.
    Running,
    /// Told to stop and saving.
    Flushing,
    /// Ended.
    Exited,
    /// A word of a later protocol: a report with it must still be taken.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Completed.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed.
    Error,
    /// Refused: no room.
    Full,
    /// Refused: another attempt of the task is there.
    InUse,
    /// Refused: the worker could not learn about the job.
    Unknown,
    /// Another task of the gang is gone.
    Peers,
    /// The gang was not complete in time.
    Incomplete,
    /// A word of a later protocol.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum Order {
    /// Start an attempt.
    Run {
        /// Task id.
        #[serde(rename = "Piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
    /// Stop an attempt.
    Kill {
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
    Reap {
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
pub struct ReportAnswer {
    /// The leader's token.
    #[serde(rename = "Baton")]
    pub token: u64,
    /// Commands, executed in order.
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

/// Body of `POST /commands`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Commands {
    /// The leader's token.
    #[serde(rename = "Baton")]
    pub token: u64,
    /// The session that the commands are for.
    #[serde(rename = "Shift")]
    pub session: u64,
    /// Commands, executed in order.
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

/// A machine type as the cloud lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Flavor {
    /// Name.
    #[serde(rename = "Label")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "Cards", default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Image cache.
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "Hourly", default)]
    pub price: f64,
    /// Price per hour as a spot machine.
    #[serde(rename = "MarketPrice", default)]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "BootS", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "Yards", default)]
    pub zones: Vec<String>,
}

/// Answer of `GET /flavors`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Flavors {
    /// The types.
    #[serde(rename = "Builds")]
    pub types: Vec<Flavor>,
}

/// Body of `POST /hosts`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    /// Request name, never used again.
    #[serde(rename = "Hire")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "Build")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// How many, 50 at most.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// Answer of `POST /hosts` and body of `POST /hosts/return`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Machine names.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "Ref")]
    pub machine: String,
    /// Where its worker takes direct commands.
    #[serde(rename = "Endpoint", default)]
    pub endpoint: Option<String>,
    /// Type.
    #[serde(rename = "Build")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "Status")]
    pub state: String,
    /// Age since the rental request.
    #[serde(rename = "AgeS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in order of creation.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(rename = "More", default)]
    pub more: bool,
}

/// A key as the state service returns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "K", default)]
    pub key: String,
    /// Value.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "Stamp")]
    pub version: u64,
    /// Lease that holds it.
    #[serde(rename = "Permit", default)]
    pub lease: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyPage {
    /// Keys in order.
    #[serde(rename = "Pairs")]
    pub items: Vec<KeyValue>,
    /// Whether there are more.
    #[serde(rename = "More", default)]
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    #[serde(rename = "K")]
    pub key: String,
    /// Version it must have, 0: it must not exist.
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Put a value.
    Put {
        /// Key.
        #[serde(rename = "Write")]
        key: String,
        /// Value.
        #[serde(rename = "V")]
        value: Value,
        /// Lease to attach it to.
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// Key.
        #[serde(rename = "Remove")]
        key: String,
    },
}

/// Body of `POST /txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Txn {
    /// All must hold.
    #[serde(rename = "When")]
    pub conditions: Vec<Condition>,
    /// Done together.
    #[serde(rename = "Writes", default)]
    pub changes: Vec<Change>,
}

/// Answer of `POST /txn`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// The store's revision.
    #[serde(rename = "Ledger", default)]
    pub revision: u64,
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Body of `POST /leases`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Life without renewal.
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// Answer of `POST /leases`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The lease.
    #[serde(rename = "Permit")]
    pub lease: u64,
}

#[cfg(test)]
mod tests;
