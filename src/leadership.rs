//! Leader election through one key of the state service that is bound to a lease.
//!
//! The node that creates the key is the leader, and its fencing token is the revision of that write: tokens increase
//! with every election and are never reused. During its term the leader may issue further tokens, see [`TermTokens`]. The key's value holds the node's name and a random incarnation. With these
//! a node whose campaign got no response finds out by reading the key whether it was elected, and a restarted node
//! recognizes the key of its own previous process and replaces it without waiting for the lease to expire.

mod election;
mod keys;
mod relocation;
mod step_down;
mod term_tokens;

use crate::store::{ServiceResponse, StoreRequest};
use crate::types::{Duration, FencingToken, LeaseId, Revision, Timestamp};
use crate::upgrade::Format;
pub use keys::LeaderRecord;
use log::info;
use rand::{Rng, rngs::SmallRng};
pub use step_down::StepDownReason;
pub use term_tokens::TermTokens;

/// Time after which a request without a response is considered failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a failed lease renewal or key relocation is retried. It is shorter than that of other requests, because
/// the lease expires in the meantime.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long a node that yielded leadership does not campaign, so that another node is elected.
const ABSTENTION_PERIOD: Duration = Duration::from_secs(10);
/// Delay between the loss of the link to the leader and the next read of the leader key.
const VACANCY_READ_DELAY: Duration = Duration::from_millis(20);
/// After the link to the leader is lost, the leader key is expected to expire within one lease duration plus this
/// margin.
const VACANCY_MARGIN: Duration = Duration::from_millis(500);

/// An action that leader election requests from its owner, or a change that it reports.
#[derive(Debug, PartialEq)]
pub enum LeadershipEvent {
    /// Send a request to the state service; the response must be passed to `handle_response` under the same number.
    Request(u64, StoreRequest),
    /// This node has become the leader under this fencing token and holds the leader key of this format.
    Elected(FencingToken, Format),
    /// This node has stopped being the leader.
    SteppedDown(StepDownReason),
    /// The leader known to this node has changed: the name of another node, or `None` if no leader is known.
    LeaderChanged(Option<String>),
}

/// The purpose of the request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    ReadKey,
    GrantLease,
    Campaign,
    RenewLease,
    /// Moves the leader key to the name that the next format uses.
    RelocateKey,
}

#[derive(Debug, Clone, Copy)]
struct InFlightRequest {
    id: u64,
    kind: RequestKind,
    sent_at: Timestamp,
}

/// The lease that the leader key is bound to, or will be bound to by the next campaign.
#[derive(Debug, Clone, Copy)]
struct LeadershipLease {
    id: LeaseId,
    /// When the lease was requested. The state service starts its expiry timer no earlier than this.
    granted_at: Timestamp,
}

/// The leader election state of one node.
#[derive(Debug)]
pub struct Leadership {
    identity: LeaderRecord,
    lease_duration: Duration,
    rng: SmallRng,
    request_counter: u64,
    in_flight: Option<InFlightRequest>,
    /// When the next request is due.
    next_action_at: Timestamp,
    lease: Option<LeadershipLease>,
    /// The format whose leader key this node reads and campaigns for. It changes to `Format::Two` once the key is seen
    /// relocated.
    format: Format,
    /// Whether the leader key is to be relocated after the next successful lease renewal.
    relocation_pending: bool,
    /// The revision of the leader key that a campaign replaces; 0 if the key must not exist.
    replaced_revision: Revision,
    /// Set after a campaign without a response, once a read has shown that the leader key holds this node's identity at
    /// this revision. The election takes effect when a renewal confirms that the lease still exists.
    unconfirmed_revision: Option<Revision>,
    /// The fencing token; `None` unless this node is the leader.
    token: Option<FencingToken>,
    /// Time before which the lease cannot have expired, and so no other node can have been elected.
    lease_valid_until: Timestamp,
    /// The last known leader, if it is another node.
    known_leader: Option<String>,
    /// The highest fencing token of another node that this node has read or received.
    highest_observed_token: FencingToken,
    /// Time until which the leader key is expected to expire soon and is therefore read more often.
    vacancy_expected_until: Timestamp,
    /// Time until which this node does not campaign.
    abstain_until: Timestamp,
    last_store_response_at: Option<Timestamp>,
}

impl Leadership {
    /// Creates the election state of a process that has just started. `incarnation` identifies the process among all
    /// processes of this node and must be random.
    pub fn new(node: &str, incarnation: u64, lease_duration: Duration, rng: SmallRng) -> Self {
        Leadership {
            identity: LeaderRecord { node: node.to_string(), incarnation },
            lease_duration,
            rng,
            request_counter: 0,
            in_flight: None,
            next_action_at: Timestamp::ZERO,
            lease: None,
            format: Format::One,
            relocation_pending: false,
            replaced_revision: Revision(0),
            unconfirmed_revision: None,
            token: None,
            lease_valid_until: Timestamp::ZERO,
            known_leader: None,
            highest_observed_token: FencingToken(0),
            vacancy_expected_until: Timestamp::ZERO,
            abstain_until: Timestamp::ZERO,
            last_store_response_at: None,
        }
    }

    /// Returns the fencing token while this node is the leader, even if its lease may have expired (see
    /// `holds_valid_lease`).
    pub fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// Whether this node is the leader and its lease cannot have expired yet by the local clock, so that no other node
    /// can have been elected.
    pub fn holds_valid_lease(&self, now: Timestamp) -> bool {
        self.token.is_some() && now < self.lease_valid_until
    }

    /// The format of the leader key that this node reads and campaigns for.
    pub fn format(&self) -> Format {
        self.format
    }

    /// Returns the name of the last known leader, which may be this node; `None` if no leader is known.
    pub fn leader(&self) -> Option<&str> {
        if self.token.is_some() { Some(&self.identity.node) } else { self.known_leader.as_deref() }
    }

    /// Returns the highest fencing token of another node that this node has read or received; 0 if there was none.
    pub fn highest_observed_token(&self) -> FencingToken {
        self.highest_observed_token
    }

    /// Whether the state service has responded to a request of leader election within the last `span`.
    pub fn store_responded_within(&self, now: Timestamp, span: Duration) -> bool {
        self.last_store_response_at.is_some_and(|at| now.since(at) < span)
    }

    /// Schedules an early read of the leader key and more frequent reads after it. Called when the link to the leader
    /// is lost, because the leader has then probably failed and its key will expire.
    pub fn expect_vacancy(&mut self, now: Timestamp) {
        if self.token.is_none() {
            self.next_action_at = self.next_action_at.min(now + VACANCY_READ_DELAY);
            self.vacancy_expected_until = now + self.lease_duration + VACANCY_MARGIN;
        }
    }

    /// Handles another node's announcement that it has been elected, unless the token is stale. The announcement may
    /// arrive before this node reads the leader key, or while this node cannot reach the state service at all.
    pub fn observe_announcement(
        &mut self,
        now: Timestamp,
        node: String,
        token: FencingToken,
        out: &mut Vec<LeadershipEvent>,
    ) {
        let is_stale = token <= self.highest_observed_token || self.token.is_some_and(|own| own > token);
        if is_stale || node == self.identity.node {
            return;
        }
        self.highest_observed_token = token;
        if self.token.is_some() {
            self.step_down(now, StepDownReason::AnotherNodeLeads, out);
        }
        self.set_known_leader(Some(node), out);
    }

    /// Times out the request in flight and sends the next request when it is due. Called periodically.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        if let Some(request) = self.in_flight {
            if now.since(request.sent_at) < REQUEST_TIMEOUT {
                return;
            }
            self.in_flight = None;
            self.schedule_retry(now, request.kind);
        }
        if now < self.next_action_at {
            return;
        }
        if self.token.is_some() || self.unconfirmed_revision.is_some() {
            self.renew(now, out);
        } else {
            let read = StoreRequest::Get(self.format.leader_key().into());
            self.send_request(now, RequestKind::ReadKey, read, out);
        }
    }

    /// Handles the state service's response to the request with this number. A response to a request that has timed out
    /// is ignored.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        id: u64,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        let Some(request) = self.in_flight.take_if(|request| request.id == id) else { return };
        if matches!(response.status, 200 | 404 | 409) {
            self.last_store_response_at = Some(now);
        }
        match request.kind {
            RequestKind::ReadKey => self.handle_key_read(now, response, out),
            RequestKind::GrantLease => self.handle_lease_grant(now, request.sent_at, response, out),
            RequestKind::Campaign => self.handle_campaign(now, response, out),
            RequestKind::RenewLease => self.handle_renewal(now, request.sent_at, response, out),
            RequestKind::RelocateKey => self.handle_relocation(now, response, out),
        }
    }

    fn send_request(
        &mut self,
        now: Timestamp,
        kind: RequestKind,
        request: StoreRequest,
        out: &mut Vec<LeadershipEvent>,
    ) {
        self.request_counter += 1;
        self.in_flight = Some(InFlightRequest { id: self.request_counter, kind, sent_at: now });
        out.push(LeadershipEvent::Request(self.request_counter, request));
    }

    /// Returns a random duration between two bounds in milliseconds, so that nodes do not send their requests at the
    /// same time.
    fn jitter(&mut self, min_ms: u64, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(min_ms..=max_ms))
    }

    /// Schedules the next request after one of this kind has failed.
    fn schedule_retry(&mut self, now: Timestamp, failed: RequestKind) {
        let urgent = matches!(failed, RequestKind::RenewLease | RequestKind::RelocateKey);
        let delay = if urgent { RENEWAL_RETRY_DELAY } else { self.jitter(200, 500) };
        self.next_action_at = now + delay;
    }

    /// Steps down without revoking the lease: the leader key expires together with it.
    pub fn step_down(&mut self, now: Timestamp, reason: StepDownReason, out: &mut Vec<LeadershipEvent>) {
        self.unconfirmed_revision = None;
        self.lease = None;
        self.in_flight = None;
        self.end_leadership(reason, out);
        self.next_action_at = now + self.jitter(50, 150);
    }

    /// Steps down in favour of another node, which probably reaches the workers that this node cannot reach. The lease
    /// is revoked, so that the other nodes can elect a leader without waiting for it to expire.
    pub fn yield_leadership(&mut self, now: Timestamp, reason: StepDownReason, out: &mut Vec<LeadershipEvent>) {
        self.abstain_until = now + ABSTENTION_PERIOD;
        if let Some(lease) = self.lease {
            self.request_counter += 1;
            out.push(LeadershipEvent::Request(self.request_counter, StoreRequest::RevokeLease(lease.id)));
        }
        self.step_down(now, reason, out);
    }

    fn end_leadership(&mut self, reason: StepDownReason, out: &mut Vec<LeadershipEvent>) {
        self.relocation_pending = false;
        if let Some(token) = self.token.take() {
            info!("leader stepped down token={token} reason=\"{reason}\"");
            out.push(LeadershipEvent::SteppedDown(reason));
        }
    }

    fn set_known_leader(&mut self, leader: Option<String>, out: &mut Vec<LeadershipEvent>) {
        if self.known_leader != leader {
            self.known_leader.clone_from(&leader);
            out.push(LeadershipEvent::LeaderChanged(leader));
        }
    }
}

#[cfg(test)]
mod tests;
