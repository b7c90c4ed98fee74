//! Carries the core's effects out: answers, calls to other services, frames to other nodes.

use super::Message;
use super::clients::Clients;
use crate::api::ApiResponse;
use crate::effects::{Effect, Input, RequestOrigin};
use crate::peers::Frame;
use caperstile_admission::{AdmissionTable, RequestClass, Shed};
use log::debug;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// When a user whose submission was shed may come back, in seconds; all others come back after one.
const SUBMISSION_RETRY_AFTER_S: u16 = 5;

/// Where effects go.
pub struct Outputs {
    node: String,
    clients: Clients,
    /// Links that this node opened, by the other node.
    links: HashMap<String, mpsc::Sender<Frame>>,
    /// Links that other nodes opened.
    incoming: HashMap<u64, mpsc::Sender<Frame>>,
    /// Those of them whose nodes take admission tables.
    take_tables: HashSet<u64>,
    /// Requests over HTTP that wait for an answer.
    waiting: HashMap<u64, oneshot::Sender<ApiResponse>>,
    tell: mpsc::Sender<Message>,
}

impl Outputs {
    /// Outputs of a node with these clients and links.
    pub fn new(
        node: String,
        clients: Clients,
        links: HashMap<String, mpsc::Sender<Frame>>,
        tell: mpsc::Sender<Message>,
    ) -> Outputs {
        let (incoming, take_tables, waiting) = (HashMap::new(), HashSet::new(), HashMap::new());
        Outputs { node, clients, links, incoming, take_tables, waiting, tell }
    }

    /// A request over HTTP waits for an answer.
    pub fn expect_answer(&mut self, request: u64, to: oneshot::Sender<ApiResponse>) {
        self.waiting.insert(request, to);
    }

    /// Another node has opened a link.
    pub fn linked(&mut self, link: u64, to: mpsc::Sender<Frame>) {
        self.incoming.insert(link, to);
    }

    /// The node on this link takes admission tables.
    pub fn takes_tables(&mut self, link: u64) {
        self.take_tables.insert(link);
    }

    /// A link that another node opened was closed.
    pub fn unlinked(&mut self, link: u64) {
        self.incoming.remove(&link);
        self.take_tables.remove(&link);
    }

    /// Refuses a request that waited too long, without asking the core.
    pub fn refuse(&mut self, message: Message, why: Shed) {
        let submission = super::inbox::class_of(&message) == RequestClass::Submission;
        let retry_after = if submission { SUBMISSION_RETRY_AFTER_S } else { 1 };
        let reason = match why {
            Shed::Abandoned => "the request has waited too long",
            Shed::Overload => "too busy",
        };
        let answer = ApiResponse::unavailable_for(reason, retry_after);
        match message {
            // Whoever has hung up wants no answer.
            Message::Request(_, to) => {
                let _ = to.send(answer);
            }
            Message::Input(Input::User(origin, _)) => self.answer(origin, answer),
            Message::Input(_)
            | Message::PeerLinkOpened(..)
            | Message::PeerTakesTables(_)
            | Message::PeerLinkClosed(_) => {}
        }
    }

    fn answer(&mut self, origin: RequestOrigin, answer: ApiResponse) {
        match origin {
            RequestOrigin::Http(id) => {
                if let Some(to) = self.waiting.remove(&id) {
                    // Whoever has hung up wants no answer.
                    let _ = to.send(answer);
                }
            }
            RequestOrigin::Peer(link, id) => {
                if let Some(to) = self.incoming.get(&link)
                    && to.try_send(Frame::Response(id, answer)).is_err()
                {
                    // A peer that does not read loses its link, and with it all that waits there.
                    self.unlinked(link);
                }
            }
        }
    }

    /// Carries an effect out.
    pub fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Respond(origin, answer) => self.answer(origin, answer),
            Effect::CallStore(slot, id, call) => self.clients.state(slot, id, call),
            Effect::CallCloud(token, id, call) => self.clients.cloud(token, id, call),
            Effect::SendCommands { token, machine, endpoint, id, body } => {
                self.clients.command(token, machine, &endpoint, id, &body);
            }
            Effect::AnnounceLeadership(token) => {
                for to in self.links.values() {
                    // A link that is full or down hears of it another time.
                    let _ = to.try_send(Frame::LeaderAnnouncement(token.0, self.node.clone()));
                }
            }
            Effect::PublishAdmissionTable(table) => self.publish(&table),
            Effect::ReportRefusedDemand(leader, report) => {
                if let Some(to) = self.links.get(&leader) {
                    // What a full link loses is estimated too low for a second.
                    let _ = to.try_send(Frame::RefusedDemand(report.encode()));
                }
            }
            Effect::Forward(node, id, call) => {
                let sent = self.links.get(&node).is_some_and(|to| to.try_send(Frame::Request(id, call)).is_ok());
                if !sent {
                    debug!("cannot forward to {node}");
                    let answer = ApiResponse { retry_after: 1, ..ApiResponse::empty(503) };
                    let _ = self.tell.try_send(Message::Input(Input::ForwardResponse(id, answer)));
                }
            }
        }
    }

    fn publish(&self, table: &AdmissionTable) {
        let bytes: Arc<[u8]> = table.encode().into();
        for link in &self.take_tables {
            if let Some(to) = self.incoming.get(link) {
                // A link that is full gets the next one.
                let _ = to.try_send(Frame::AdmissionTable(bytes.clone()));
            }
        }
    }
}
