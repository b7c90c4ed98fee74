//! What the core takes in and what it asks for: the boundary between the state machine and the runtime.

use crate::api::{ApiResponse, UserRequest};
use crate::cloud::CloudRequest;
use crate::store::{ServiceResponse, StoreRequest};
use crate::types::{Duration, FencingToken, MachineId};
use crate::wire::{CommandBatch, Heartbeat};
use caperstile_admission::{AdmissionPolicy, AdmissionTable, DemandReport, Utilization};
use caperstile_disruption::Policy;

/// Who waits for a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOrigin {
    /// A request over HTTP, by its number in this process.
    Http(u64),
    /// A user's request that another node forwarded: its link and its number there.
    Peer(u64, u64),
}

/// Which part of the core sent a request to the key-value store, and so gets the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCaller {
    /// Leader election.
    Leadership,
    /// The write-ahead log of the leader with this fencing token.
    WriteAheadLog(u64),
    /// The rolling upgrade.
    Upgrade,
    /// The drains of the leader with this fencing token.
    Drains(u64),
    /// The admission status that operators read; nobody waits for the response.
    AdmissionStatus,
}

/// An event that the core reacts to.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// How long inputs wait before they are taken; told when it changes.
    InputDelay(Duration),
    /// How long the input before this one took; told of slow ones only.
    SlowInput(Duration),
    /// A user's request, sent to this node or forwarded by another one.
    User(RequestOrigin, UserRequest),
    /// A worker's heartbeat.
    Heartbeat(RequestOrigin, Box<Heartbeat>),
    /// A probe of the load balancer.
    HealthCheck(RequestOrigin),
    /// The response of the key-value store to the request with this number, or that none came.
    StoreResponse(StoreCaller, u64, ServiceResponse),
    /// The response of the cloud: the leader's fencing token and the request's number.
    CloudResponse(u64, u64, ServiceResponse),
    /// A worker's response to a direct command: the leader's fencing token, the machine and the command's number.
    CommandResponse(u64, MachineId, u64, ServiceResponse),
    /// The leader's response to the forwarded request with this number.
    ForwardResponse(u64, ApiResponse),
    /// The link to another node is up or down.
    PeerLinkChanged(String, bool),
    /// Another node announces that it leads, under this fencing token.
    LeaderAnnounced(String, FencingToken),
    /// The operators have changed the disruption budgets.
    DisruptionPolicyChanged(Box<Policy>),
    /// The operators have changed the settings of admission.
    AdmissionPolicyChanged(Box<AdmissionPolicy>),
    /// How busy this node was in the last second.
    Utilization(Utilization),
    /// The leader has published an admission table.
    AdmissionTableReceived(Box<AdmissionTable>),
    /// What another node has refused by this leader's admission tables.
    RefusedDemandReceived(Box<DemandReport>),
}

/// What the core asks the runtime to do.
#[derive(Debug)]
pub enum Effect {
    /// Respond to a request.
    Respond(RequestOrigin, ApiResponse),
    /// Send a request to the key-value store, under this number.
    CallStore(StoreCaller, u64, StoreRequest),
    /// Send a request to the cloud: the leader's fencing token and the request's number.
    CallCloud(u64, u64, CloudRequest),
    /// Send commands directly to a worker.
    SendCommands {
        /// The leader's fencing token.
        token: u64,
        /// The machine.
        machine: MachineId,
        /// The address of its worker.
        endpoint: String,
        /// The command's number.
        id: u64,
        /// The commands.
        body: CommandBatch,
    },
    /// Forward a user's request to the node of this name, under this number.
    Forward(String, u64, UserRequest),
    /// Announce to the other nodes that this one leads, under this fencing token.
    AnnounceLeadership(FencingToken),
    /// Send an admission table to the nodes that take such tables.
    PublishAdmissionTable(Box<AdmissionTable>),
    /// Tell the leader of this name what this node has refused by its tables.
    ReportRefusedDemand(String, Box<DemandReport>),
}
