//! Elections: reading the leader key, campaigning for it, and what the responses mean.

use super::keys::{LeaderRecord, RelocatedKey};
use super::{Leadership, LeadershipEvent, LeadershipLease, RequestKind, StepDownReason};
use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{Duration, FencingToken, LeaseId, Revision, Timestamp};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, GrantLeaseResponse, KeyValue, StoreWrite};
use log::info;

/// Clocks differ by 0.05 %, and a process may be late; this much of the lease is not relied on.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// A lease is renewed this many times in its life.
const RENEWALS_PER_LEASE: u64 = 4;

impl Leadership {
    /// The response to a read of the leader key.
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

    /// Nobody holds the leader key.
    fn handle_vacancy(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        self.set_known_leader(None, out);
        if now < self.abstain_until {
            self.next_action_at = now + self.jitter(200, 300);
        } else {
            self.campaign(now, Revision(0), out);
        }
    }

    /// The key exists: it is this node's, its predecessor's, or another node's.
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

    /// An election whose response was lost. Only the lease that this node still holds counts: a late copy of an older campaign
    /// hangs on a lease that nobody renews, and ends by itself.
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
        // What the key said may be older than what its next holder announced.
        if token >= self.highest_observed_token {
            self.highest_observed_token = token;
            self.set_known_leader(Some(node), out);
        }
        // With its link gone the leader is likely dead: its lease ends soon.
        let vacancy_expected = self.vacancy_expected_until > now;
        self.next_action_at = now + if vacancy_expected { self.jitter(50, 100) } else { self.jitter(200, 300) };
    }

    /// Campaigns for the key, which must have this revision; 0: it must not exist.
    fn campaign(&mut self, now: Timestamp, replaced_revision: Revision, out: &mut Vec<LeadershipEvent>) {
        self.replaced_revision = replaced_revision;
        // The lease must live until the campaign is carried out. With a quarter of its life as the limit nobody was elected for as
        // long as the store took 0.4 s over a response: each lease was old when it was granted.
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

    /// The response to the request for a lease; `sent_at`: when it was sent.
    pub(super) fn handle_lease_grant(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match (response.status, response.parse::<GrantLeaseResponse>()) {
            (200, Some(answer)) => {
                self.lease = Some(LeadershipLease { id: LeaseId(answer.lease), granted_at: sent_at });
                self.campaign(now, self.replaced_revision, out);
            }
            _ => self.schedule_retry(now, RequestKind::GrantLease),
        }
    }

    /// The response to a campaign.
    pub(super) fn handle_campaign(
        &mut self,
        now: Timestamp,
        response: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        match (response.status, response.parse::<CompareAndSwapResponse>(), self.lease) {
            (200, Some(answer), Some(lease)) => {
                self.lease_valid_until = lease.granted_at + self.usable_lease();
                self.elected(now, Revision(answer.revision), out);
            }
            (409, ..) => self.next_action_at = now,
            (400, ..) => {
                self.lease = None;
                self.next_action_at = now + self.jitter(20, 80);
            }
            _ => self.schedule_retry(now, RequestKind::Campaign),
        }
    }

    /// Renews the lease.
    pub(super) fn renew(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        match self.lease {
            Some(lease) => self.send_request(now, RequestKind::RenewLease, StoreRequest::RenewLease(lease.id), out),
            None => self.step_down(now, StepDownReason::NoLease, out),
        }
    }

    /// The response to a renewal; `sent_at`: when it was sent.
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
                    Some(revision) => self.elected(now, revision, out),
                    None if self.relocation_pending => self.relocate_key(now, out),
                    // Counted from the sending, so that slow responses do not leave a leader in doubt in between.
                    None => self.next_action_at = sent_at + self.lease_duration / RENEWALS_PER_LEASE,
                }
            }
            404 => self.step_down(now, StepDownReason::LeaseLost, out),
            _ => self.schedule_retry(now, RequestKind::RenewLease),
        }
    }

    /// How long a lease is relied on.
    fn usable_lease(&self) -> Duration {
        self.lease_duration.saturating_sub(LEASE_MARGIN)
    }

    /// The write by which this node holds the leader key of a format.
    pub(super) fn leader_key_write(&self, format: Format, lease: LeaseId) -> StoreWrite {
        StoreWrite::Put {
            key: format.leader_key().into(),
            value: serde_json::to_value(&self.identity).unwrap_or_default(),
            lease: Some(lease.0),
        }
    }

    /// This node leads: the revision at which it won the key is its fencing token.
    pub(super) fn elected(&mut self, now: Timestamp, revision: Revision, out: &mut Vec<LeadershipEvent>) {
        let token = FencingToken(revision.0);
        self.token = Some(token);
        self.unconfirmed_revision = None;
        self.known_leader = None;
        self.next_action_at = now;
        info!("leader elected node={} token={token} key={}", self.identity.node, self.format.leader_key());
        out.push(LeadershipEvent::Elected(token, self.format));
    }
}
