//! Leader election: one key of the key-value store, held by a lease.
//!
//! The fencing token is the revision at which the key was won, so it grows and never repeats. The key's value names the node and a
//! random incarnation: a node whose campaign got no response settles it by reading the key, and a restarted node replaces its own dead
//! predecessor's key at once.

mod election;
mod keys;
mod relocation;
mod step_down;

use crate::store::{ServiceResponse, StoreRequest};
use crate::types::{Duration, FencingToken, LeaseId, Revision, Timestamp};
use crate::upgrade::Format;
pub use keys::LeaderRecord;
use log::info;
use rand::{Rng, rngs::SmallRng};
pub use step_down::StepDownReason;

/// Without a response for so long, a request counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a renewal is repeated: it is urgent.
const RENEWAL_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long a node that yielded the leadership leaves the key to the others.
const ABSTENTION: Duration = Duration::from_secs(10);
/// Pause before the key is read after the leader's link broke.
const VACANCY_READ_PAUSE: Duration = Duration::from_millis(20);
/// For so much longer than a lease lives, a vacancy is expected after the leader's link broke.
const VACANCY_MARGIN: Duration = Duration::from_millis(500);

/// What leader election wants done or made known.
#[derive(Debug, PartialEq)]
pub enum LeadershipEvent {
    /// Send a request to the store; the number comes back with the response.
    Request(u64, StoreRequest),
    /// This node leads from now on, holding the key of this format.
    Elected(FencingToken, Format),
    /// This node no longer leads.
    SteppedDown(StepDownReason),
    /// Another node leads, as far as is known; `None`: nobody.
    LeaderChanged(Option<String>),
}

/// What the request in flight is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    ReadKey,
    GrantLease,
    Campaign,
    RenewLease,
    /// Relocates the leader key to the next format's name.
    RelocateKey,
}

#[derive(Debug, Clone, Copy)]
struct InFlightRequest {
    id: u64,
    kind: RequestKind,
    sent_at: Timestamp,
}

/// The lease that holds, or is to hold, the leader key.
#[derive(Debug, Clone, Copy)]
struct LeadershipLease {
    id: LeaseId,
    /// When it was asked for: its life counts from then at the earliest.
    granted_at: Timestamp,
}

/// A node's part in leader elections.
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
    /// The format whose key leaders hold, as far as is known.
    format: Format,
    /// The key is to be relocated after the next renewal.
    relocation_pending: bool,
    /// The key's revision to replace when campaigning; 0: the key must not exist.
    replaced_revision: Revision,
    /// Set while a campaign without response is settled: the key names this node at this revision.
    unconfirmed_revision: Option<Revision>,
    /// The fencing token, while this node leads.
    token: Option<FencingToken>,
    /// Until then no other node can have been elected.
    lease_valid_until: Timestamp,
    /// Another node that leads, as far as is known.
    known_leader: Option<String>,
    /// The highest fencing token of another node that was observed.
    highest_observed_token: FencingToken,
    /// Until then a vacancy is expected, and the key is read more often.
    vacancy_expected_until: Timestamp,
    /// Until then the key is left to the other nodes.
    abstain_until: Timestamp,
    last_store_response_at: Option<Timestamp>,
}

impl Leadership {
    /// A node that has just started; `incarnation` must be random.
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

    /// The fencing token, while this node leads (perhaps in doubt).
    pub fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// Whether no other node can have been elected yet, by this node's own clock.
    pub fn holds_valid_lease(&self, now: Timestamp) -> bool {
        self.token.is_some() && now < self.lease_valid_until
    }

    /// The format whose leader key is in force, as far as is known.
    pub fn format(&self) -> Format {
        self.format
    }

    /// The leader's name as far as is known.
    pub fn leader(&self) -> Option<&str> {
        if self.token.is_some() { Some(&self.identity.node) } else { self.known_leader.as_deref() }
    }

    /// The highest fencing token of another node that was observed.
    pub fn highest_observed_token(&self) -> FencingToken {
        self.highest_observed_token
    }

    /// Whether the store has answered within this time.
    pub fn store_responded_within(&self, now: Timestamp, span: Duration) -> bool {
        self.last_store_response_at.is_some_and(|at| now.since(at) < span)
    }

    /// Reads the key soon, because the leader's link broke.
    pub fn expect_vacancy(&mut self, now: Timestamp) {
        if self.token.is_none() {
            self.next_action_at = self.next_action_at.min(now + VACANCY_READ_PAUSE);
            self.vacancy_expected_until = now + self.lease_duration + VACANCY_MARGIN;
        }
    }

    /// Another node announces that it leads. It may know sooner than the store tells, or this node may have no answer from there at
    /// all.
    pub fn observe_announcement(
        &mut self,
        now: Timestamp,
        node: String,
        token: FencingToken,
        out: &mut Vec<LeadershipEvent>,
    ) {
        let outdated = token <= self.highest_observed_token || self.token.is_some_and(|own| own > token);
        if outdated || node == self.identity.node {
            return;
        }
        self.highest_observed_token = token;
        if self.token.is_some() {
            self.step_down(now, StepDownReason::AnotherNodeLeads, out);
        }
        self.set_known_leader(Some(node), out);
    }

    /// Lets time pass.
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

    /// Takes the store's response to the request with this number.
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

    /// A random pause between two bounds in milliseconds, so that nodes do not act in step.
    fn jitter(&mut self, least_ms: u64, most_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(least_ms..=most_ms))
    }

    /// A request failed: the next one is sent after a pause.
    fn schedule_retry(&mut self, now: Timestamp, failed: RequestKind) {
        let urgent = matches!(failed, RequestKind::RenewLease | RequestKind::RelocateKey);
        let pause = if urgent { RENEWAL_RETRY_PAUSE } else { self.jitter(200, 500) };
        self.next_action_at = now + pause;
    }

    /// Gives the leadership up.
    pub fn step_down(&mut self, now: Timestamp, reason: StepDownReason, out: &mut Vec<LeadershipEvent>) {
        self.unconfirmed_revision = None;
        self.lease = None;
        self.in_flight = None;
        self.end_leadership(reason, out);
        self.next_action_at = now + self.jitter(50, 150);
    }

    /// Yields the leadership to another node, which most likely reaches what this one does not: the lease is revoked, so that nobody
    /// has to wait until it expires.
    pub fn yield_leadership(&mut self, now: Timestamp, reason: StepDownReason, out: &mut Vec<LeadershipEvent>) {
        self.abstain_until = now + ABSTENTION;
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
