//! Inputs and effects of the controller's state machine: its interface to the runtime, which performs all I/O.

use crate::api::{ApiResponse, UserRequest};
use crate::cloud::CloudRequest;
use crate::store::{ServiceResponse, StoreRequest};
use crate::types::{Duration, FencingToken, MachineId};
use crate::wire::{CommandBatch, Heartbeat};
use caperstile_admission::{AdmissionPolicy, AdmissionTable, DemandReport, Utilization};
use caperstile_disruption::Policy;

/// Identifies the request that a response belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOrigin {
    /// An HTTP request to this node, by its number in this process.
    Http(u64),
    /// A user's request that another node forwarded, by the number of the link and the request's number on that link.
    Peer(u64, u64),
}

/// The component that sent a request to the state service, and that the response is passed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCaller {
    /// Leader election.
    Leadership,
    /// The write-ahead log of the leader with this fencing token.
    WriteAheadLog(u64),
    /// The rolling upgrade.
    Upgrade,
    /// The drain coordinator of the leader with this fencing token.
    Drains(u64),
    /// The publication of the admission status for operators; its response is ignored.
    AdmissionStatus,
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Input {
    /// Sent periodically, so that timers can fire.
    Tick,
    /// How long inputs are queued before they are processed; sent when it changes.
    InputDelay(Duration),
    /// How long the processing of the previous input took; sent only if it was slow.
    SlowInput(Duration),
    /// A user's request, received from the user or forwarded by another node.
    User(RequestOrigin, UserRequest),
    /// A worker's heartbeat.
    Heartbeat(RequestOrigin, Box<Heartbeat>),
    /// A health check of the load balancer.
    HealthCheck(RequestOrigin),
    /// The state service's response to the request with this number, or the absence of one.
    StoreResponse(StoreCaller, u64, ServiceResponse),
    /// The cloud's response, or the absence of one, with the fencing token of the leader that sent the request and the
    /// request's number.
    CloudResponse(u64, u64, ServiceResponse),
    /// A worker's response to a direct command, or the absence of one, with the fencing token of the leader that sent
    /// the command, the machine and the command's number.
    CommandResponse(u64, MachineId, u64, ServiceResponse),
    /// The leader's response to the forwarded request with this number.
    ForwardResponse(u64, ApiResponse),
    /// The link to the node of this name was established (`true`) or lost (`false`).
    PeerLinkChanged(String, bool),
    /// The node of this name has announced that it is the leader under this fencing token.
    LeaderAnnounced(String, FencingToken),
    /// The operators have changed the disruption budgets.
    DisruptionPolicyChanged(Box<Policy>),
    /// The operators have changed the admission settings.
    AdmissionPolicyChanged(Box<AdmissionPolicy>),
    /// The load of this node in the last second.
    Utilization(Utilization),
    /// An admission table that the leader has published.
    AdmissionTableReceived(Box<AdmissionTable>),
    /// The demand that another node has refused according to this leader's admission tables.
    RefusedDemandReceived(Box<DemandReport>),
}

/// An action that the state machine requests from the runtime.
#[derive(Debug)]
pub enum Effect {
    /// Send a response to the request with this origin.
    Respond(RequestOrigin, ApiResponse),
    /// Send a request to the state service; its response becomes an `Input::StoreResponse` with the same number.
    CallStore(StoreCaller, u64, StoreRequest),
    /// Send a request to the cloud; its response becomes an `Input::CloudResponse` with the same fencing token and
    /// number.
    CallCloud(u64, u64, CloudRequest),
    /// Send commands directly to a worker; its response becomes an `Input::CommandResponse`.
    SendCommands {
        /// Fencing token of the leader that sends the commands.
        token: u64,
        /// The machine that the worker runs on.
        machine: MachineId,
        /// Address of the worker.
        endpoint: String,
        /// Number of the message, returned with the response.
        id: u64,
        /// The message; its list of commands may be empty to probe the worker.
        body: CommandBatch,
    },
    /// Forward a user's request to the node of this name; its response becomes an `Input::ForwardResponse` with the
    /// same number.
    Forward(String, u64, UserRequest),
    /// Announce to the other nodes that this node is the leader under this fencing token.
    AnnounceLeadership(FencingToken),
    /// Send an admission table to the nodes that accept such tables.
    PublishAdmissionTable(Box<AdmissionTable>),
    /// Report the demand that this node has refused according to admission tables to the leader of this name.
    ReportRefusedDemand(String, Box<DemandReport>),
}
