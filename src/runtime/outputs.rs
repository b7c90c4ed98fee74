//! Executes the core's effects: responses, requests to other services, and frames to other nodes.

use super::Message;
use super::clients::Clients;
use crate::api::ApiResponse;
use crate::effects::{Effect, Input, RequestOrigin};
use crate::peers::Frame;
use caperstile_admission::{AdmissionTable, RequestClass, ShedReason};
use log::debug;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// `Retry-After` in seconds for a submission that was shed. All other shed requests get one second.
const SUBMISSION_RETRY_AFTER_S: u16 = 5;

/// Executor of effects: holds the clients, the links to other nodes and the HTTP requests without a response.
pub struct Outputs {
    node: String,
    clients: Clients,
    /// Links that this node opened, by the name of the other node.
    outgoing_links: HashMap<String, mpsc::Sender<Frame>>,
    /// Links that other nodes opened, by their number.
    incoming_links: HashMap<u64, mpsc::Sender<Frame>>,
    /// The incoming links whose nodes accept admission tables.
    table_links: HashSet<u64>,
    /// HTTP requests that have no response yet, by their number.
    pending_requests: HashMap<u64, oneshot::Sender<ApiResponse>>,
    messages: mpsc::Sender<Message>,
}

impl Outputs {
    /// Creates the outputs of `node` with these clients and outgoing links. Inputs that arise from failed effects are
    /// sent to `messages`.
    pub fn new(
        node: String,
        clients: Clients,
        outgoing_links: HashMap<String, mpsc::Sender<Frame>>,
        messages: mpsc::Sender<Message>,
    ) -> Outputs {
        let (incoming_links, table_links, pending_requests) = (HashMap::new(), HashSet::new(), HashMap::new());
        Outputs { node, clients, outgoing_links, incoming_links, table_links, pending_requests, messages }
    }

    /// Registers an HTTP request whose response is to be sent to `response_sender`.
    pub fn add_pending_request(&mut self, id: u64, sender: oneshot::Sender<ApiResponse>) {
        self.pending_requests.insert(id, sender);
    }

    /// Registers a link that another node has opened.
    pub fn add_incoming_link(&mut self, link: u64, sender: mpsc::Sender<Frame>) {
        self.incoming_links.insert(link, sender);
    }

    /// Records that the node on this link accepts admission tables.
    pub fn enable_admission_tables(&mut self, link: u64) {
        self.table_links.insert(link);
    }

    /// Removes a link that another node had opened and that was closed.
    pub fn remove_incoming_link(&mut self, link: u64) {
        self.incoming_links.remove(&link);
        self.table_links.remove(&link);
    }

    /// Rejects a request that was shed, without passing it to the core.
    pub fn refuse(&mut self, message: Message, shed: ShedReason) {
        let is_submission = super::inbox::request_class(&message) == RequestClass::Submission;
        let retry_after = if is_submission { SUBMISSION_RETRY_AFTER_S } else { 1 };
        let reason = match shed {
            ShedReason::Abandoned => "the request has waited too long",
            ShedReason::Overload => "too busy",
        };
        let response = ApiResponse::unavailable_for(reason, retry_after);
        match message {
            // Sending fails only if the client has disconnected; the response is then not needed.
            Message::Request(_, sender) => {
                let _ = sender.send(response);
            }
            Message::Input(Input::User(origin, _)) => self.respond(origin, response),
            Message::Input(_)
            | Message::PeerLinkOpened(..)
            | Message::PeerAcceptsAdmissionTables(_)
            | Message::PeerLinkClosed(_) => {}
        }
    }

    fn respond(&mut self, origin: RequestOrigin, response: ApiResponse) {
        match origin {
            RequestOrigin::Http(id) => {
                if let Some(sender) = self.pending_requests.remove(&id) {
                    // Sending fails only if the client has disconnected; the response is then not needed.
                    let _ = sender.send(response);
                }
            }
            RequestOrigin::Peer(link, id) => {
                if let Some(sender) = self.incoming_links.get(&link)
                    && sender.try_send(Frame::Response(id, response)).is_err()
                {
                    // A peer that does not read its frames loses its link, and with it all responses that are queued
                    // there.
                    self.remove_incoming_link(link);
                }
            }
        }
    }

    /// Executes an effect.
    pub fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Respond(origin, response) => self.respond(origin, response),
            Effect::CallStore(caller, id, request) => self.clients.call_store(caller, id, request),
            Effect::CallCloud(token, id, request) => self.clients.call_cloud(token, id, request),
            Effect::SendCommands { token, machine, endpoint, id, body } => {
                self.clients.send_commands(token, machine, &endpoint, id, &body);
            }
            Effect::AnnounceLeadership(token) => {
                for sender in self.outgoing_links.values() {
                    // A link that is down or has a full queue gets the next periodic announcement.
                    let _ = sender.try_send(Frame::LeaderAnnouncement(token.0, self.node.clone()));
                }
            }
            Effect::PublishAdmissionTable(table) => self.publish_admission_table(&table),
            Effect::ReportRefusedDemand(leader, report) => {
                if let Some(sender) = self.outgoing_links.get(&leader) {
                    // If the link's queue is full the report is lost, and demand is underestimated for a second.
                    let _ = sender.try_send(Frame::RefusedDemand(report.encode()));
                }
            }
            Effect::Forward(node, id, request) => {
                let sent = self
                    .outgoing_links
                    .get(&node)
                    .is_some_and(|sender| sender.try_send(Frame::Request(id, request)).is_ok());
                if !sent {
                    debug!("request not forwarded: the link to {node} is down or its queue is full");
                    let response = ApiResponse { retry_after: 1, ..ApiResponse::empty(503) };
                    let _ = self.messages.try_send(Message::Input(Input::ForwardResponse(id, response)));
                }
            }
        }
    }

    fn publish_admission_table(&self, table: &AdmissionTable) {
        let bytes: Arc<[u8]> = table.encode().into();
        for link in &self.table_links {
            if let Some(sender) = self.incoming_links.get(link) {
                // A link with a full queue gets the next table.
                let _ = sender.try_send(Frame::AdmissionTable(bytes.clone()));
            }
        }
    }
}
