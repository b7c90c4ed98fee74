//! Reads of the leader key, campaigns for it, lease renewals, and the handling of their responses.

use super::keys::{LeaderRecord, RelocatedKey};
use super::{Leadership, LeadershipEvent, LeadershipLease, RequestKind, StepDownReason};
use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{Duration, FencingToken, LeaseId, Revision, Timestamp};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, GrantLeaseResponse, KeyValue, StoreWrite};
use log::info;

/// Safety margin subtracted from the lease duration: clock rates differ by 0.05 %, and a process may be scheduled late.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// Number of renewals per lease duration.
const RENEWALS_PER_LEASE: u64 = 4;

impl Leadership {
    /// Handles the response to a read of the leader key.
    pub(super) fn handle_key_read(
        &mut self,
        now: Timestamp,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match (response.status, response.parse::<KeyValue>()) {
            (404, _) => self.handle_vacancy(now, out),
            (200, Some(item)) => self.handle_leader_key(now, item, out),
            _ => self.schedule_retry(now, RequestKind::ReadKey),
        }
    }

    /// Campaigns for a leader key that does not exist, unless this node is abstaining.
    fn handle_vacancy(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        self.set_known_leader(None, out);
        if now < self.abstain_until {
            self.next_action_at = now + self.jitter(200, 300);
        } else {
            self.campaign(now, Revision(0), out);
        }
    }

    /// Handles an existing leader key, which belongs to this process, to an earlier process of this node, or to another
    /// node, or which has been relocated to the name that the next format uses.
    fn handle_leader_key(&mut self, now: Timestamp, item: KeyValue, out: &mut Vec<LeadershipEvent>) {
        if RelocatedKey::points_to(&item.value, Format::Two) {
            self.format = Format::Two;
            self.next_action_at = now;
            return;
        }
        let Ok(holder) = serde_json::from_value::<LeaderRecord>(item.value) else {
            return self.schedule_retry(now, RequestKind::ReadKey);
        };
        if holder == self.identity {
            self.handle_own_key(now, Revision(item.revision), item.lease, out);
        } else if holder.node == self.identity.node {
            info!("predecessor key replaced node={} revision={}", self.identity.node, item.revision);
            self.campaign(now, Revision(item.revision), out);
        } else {
            self.handle_other_leader(now, holder.node, FencingToken(item.revision), out);
        }
    }

    /// Confirms an election whose response was lost, by renewing the lease that the key is bound to. A key that is
    /// bound to another lease was written by a delayed duplicate of an earlier campaign; nobody renews that lease, so
    /// the key expires without intervention.
    fn handle_own_key(
        &mut self,
        now: Timestamp,
        revision: Revision,
        key_lease: Option<u64>,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match self.lease {
            Some(lease) if key_lease == Some(lease.id.0) => {
                self.unconfirmed_revision = Some(revision);
                self.renew(now, out);
            }
            _ => self.next_action_at = now + self.jitter(100, 200),
        }
    }

    fn handle_other_leader(
        &mut self,
        now: Timestamp,
        node: String,
        token: FencingToken,
        out: &mut Vec<LeadershipEvent>,
    ) {
        // The value that was read may be older than an announcement received since from the next leader.
        if token >= self.highest_observed_token {
            self.highest_observed_token = token;
            self.set_known_leader(Some(node), out);
        }
        // After the link to the leader is lost, the leader has probably failed and its lease will expire soon, so this
        // node reads the key more often until `vacancy_expected_until`.
        let vacancy_expected = self.vacancy_expected_until > now;
        self.next_action_at = now + if vacancy_expected { self.jitter(50, 100) } else { self.jitter(200, 300) };
    }

    /// Campaigns for the leader key on condition that it has this revision, or does not exist if the revision is 0.
    /// Requests a lease first unless the current one is recent enough.
    fn campaign(&mut self, now: Timestamp, replaced_revision: Revision, out: &mut Vec<LeadershipEvent>) {
        self.replaced_revision = replaced_revision;
        // The lease must not expire before the campaign is executed. With a limit of a quarter of the lease duration no
        // node was elected while the state service took 0.4 s per response: each lease exceeded the limit by the time
        // it was granted.
        let fresh = self.lease.filter(|lease| now.since(lease.granted_at) < self.lease_duration / 2);
        let Some(lease) = fresh else {
            self.lease = None;
            let grant = StoreRequest::GrantLease(self.lease_duration);
            return self.send_request(now, RequestKind::GrantLease, grant, out);
        };
        let swap = CompareAndSwap {
            conditions: vec![condition(self.format.leader_key(), replaced_revision)],
            writes: vec![self.leader_key_write(self.format, lease.id)],
        };
        self.send_request(now, RequestKind::Campaign, StoreRequest::CompareAndSwap(swap), out);
    }

    /// Handles the response to a lease request that was sent at `sent_at`, and campaigns with the new lease.
    pub(super) fn handle_lease_grant(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match (response.status, response.parse::<GrantLeaseResponse>()) {
            (200, Some(granted)) => {
                self.lease = Some(LeadershipLease { id: LeaseId(granted.lease), granted_at: sent_at });
                self.campaign(now, self.replaced_revision, out);
            }
            _ => self.schedule_retry(now, RequestKind::GrantLease),
        }
    }

    /// Handles the response to a campaign. On a conflict (409) the key is read again; on a bad request (400) the lease
    /// has expired.
    pub(super) fn handle_campaign(
        &mut self,
        now: Timestamp,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match (response.status, response.parse::<CompareAndSwapResponse>(), self.lease) {
            (200, Some(committed), Some(lease)) => {
                self.lease_valid_until = lease.granted_at + self.usable_lease();
                self.become_leader(now, Revision(committed.revision), out);
            }
            (409, ..) => self.next_action_at = now,
            (400, ..) => {
                self.lease = None;
                self.next_action_at = now + self.jitter(20, 80);
            }
            _ => self.schedule_retry(now, RequestKind::Campaign),
        }
    }

    /// Renews the lease; steps down if there is none.
    pub(super) fn renew(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        match self.lease {
            Some(lease) => self.send_request(now, RequestKind::RenewLease, StoreRequest::RenewLease(lease.id), out),
            None => self.step_down(now, StepDownReason::NoLease, out),
        }
    }

    /// Handles the response to a lease renewal that was sent at `sent_at`.
    pub(super) fn handle_renewal(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match response.status {
            200 => {
                self.lease_valid_until = sent_at + self.usable_lease();
                match self.unconfirmed_revision.take() {
                    Some(revision) => self.become_leader(now, revision, out),
                    None if self.relocation_pending => self.relocate_key(now, out),
                    // The interval starts when the request was sent: otherwise slow responses would delay the next
                    // renewal until after the lease may have expired.
                    None => self.next_action_at = sent_at + self.lease_duration / RENEWALS_PER_LEASE,
                }
            }
            404 => self.step_down(now, StepDownReason::LeaseLost, out),
            _ => self.schedule_retry(now, RequestKind::RenewLease),
        }
    }

    /// The part of the lease duration during which this node considers the lease valid.
    fn usable_lease(&self) -> Duration {
        self.lease_duration.saturating_sub(LEASE_MARGIN)
    }

    /// Returns the write that creates or replaces the leader key of this format with this node's identity, bound to the
    /// lease.
    pub(super) fn leader_key_write(&self, format: Format, lease: LeaseId) -> StoreWrite {
        StoreWrite::Put {
            key: format.leader_key().into(),
            value: serde_json::to_value(&self.identity).unwrap_or_default(),
            lease: Some(lease.0),
        }
    }

    /// Becomes the leader; the revision at which the leader key was written is the fencing token.
    pub(super) fn become_leader(&mut self, now: Timestamp, revision: Revision, out: &mut Vec<LeadershipEvent>) {
        let token = FencingToken(revision.0);
        self.token = Some(token);
        self.unconfirmed_revision = None;
        self.known_leader = None;
        self.next_action_at = now;
        info!("leader elected node={} token={token} key={}", self.identity.node, self.format.leader_key());
        out.push(LeadershipEvent::Elected(token, self.format));
    }
}
