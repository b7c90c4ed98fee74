//! Who leads: one key of the state service, held by a lease.
//!
//! The token is the revision at which the key was won, so it grows and never repeats. The key's
//! value names the node and a random incarnation: a node whose election got no answer settles it
//! by reading the key, and a restarted node replaces its own dead predecessor's key at once.

use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{Duration, FencingToken, LeaseId, Revision, Timestamp};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, GrantLeaseResponse, KeyValue, StoreWrite};
use log::info;
use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// What the leader's key says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Node.
    pub node: String,
    /// One run of that node's process.
    pub incarnation: u64,
}

/// What stands under a leader key that has moved. It has no lease, so that it stays for ever; a version that does not know it cannot
/// read it as a `LeaderRecord`, looks again and again, and never campaigns while it is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RelocatedKey {
    /// The key that leaders hold from now on.
    moved_to: String,
}

/// What the slice wants done or made known.
#[derive(Debug, PartialEq)]
pub enum LeadershipEvent {
    /// Ask the state service; the number comes back with the reply.
    Request(u64, StoreRequest),
    /// This node leads from now on, holding the key of this format.
    Elected(FencingToken, Format),
    /// This node no longer leads.
    SteppedDown(&'static str),
    /// Another node leads, as far as is known; `None`: nobody.
    LeaderChanged(Option<String>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Look,
    Grant,
    Campaign,
    Renew,
    /// Moves the leader key to the next format's name.
    Move,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    id: u64,
    kind: RequestKind,
    sent: Timestamp,
}

/// State of the slice.
#[derive(Debug)]
pub struct Leadership {
    identity: LeaderRecord,
    ttl: Duration,
    rng: SmallRng,
    request_counter: u64,
    in_flight: Option<InFlight>,
    next_action_at: Timestamp,
    lease: Option<(LeaseId, Timestamp)>,
    /// Whose key leaders hold, as far as is known.
    format: Format,
    /// The key is to be moved after the next renewal.
    relocation_pending: bool,
    /// The key's version to replace when campaigning; 0: the key must not exist.
    replaced_revision: u64,
    /// Set while an election without answer is settled: the key names us at this revision.
    unconfirmed_revision: Option<Revision>,
    token: Option<FencingToken>,
    valid_until: Timestamp,
    known_leader: Option<String>,
    /// The highest token of another node that was heard of.
    highest_observed_token: FencingToken,
    eager_until: Timestamp,
    /// Until then the key is left to the other nodes.
    abstain_until: Timestamp,
    /// When the state service answered last.
    pub last_store_answer_at: Option<Timestamp>,
}

/// Clocks differ by 0.05 %, and a process may be late; this much of the lease is not relied on.
const MARGIN: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Why a term ends when its leader moves the key.
const MOVED: &str = "the leader key has moved: all controllers are upgraded";
/// How long a node that made room leaves the key to the others.
const ABSTAIN: Duration = Duration::from_secs(10);

impl Leadership {
    /// A node that has just started.
    pub fn new(node: &str, incarnation: u64, ttl: Duration, rng: SmallRng) -> Self {
        Leadership {
            identity: LeaderRecord { node: node.to_string(), incarnation },
            ttl,
            rng,
            request_counter: 0,
            in_flight: None,
            next_action_at: Timestamp::ZERO,
            lease: None,
            format: Format::One,
            relocation_pending: false,
            replaced_revision: 0,
            unconfirmed_revision: None,
            token: None,
            valid_until: Timestamp::ZERO,
            known_leader: None,
            highest_observed_token: FencingToken(0),
            eager_until: Timestamp::ZERO,
            abstain_until: Timestamp::ZERO,
            last_store_answer_at: None,
        }
    }

    /// The token, while this node leads (perhaps in doubt).
    pub fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// Whether no other node can have been elected yet, by this node's own clock.
    pub fn holds_valid_lease(&self, now: Timestamp) -> bool {
        self.token.is_some() && now < self.valid_until
    }

    /// The format whose leader key is in force, as far as is known.
    pub fn format(&self) -> Format {
        self.format
    }

    /// Moves the leader key, so that only nodes that read the new format can lead from then on.
    ///
    /// It is done right after a renewal, whose lease holds the new key. This node leads on, in a new term.
    pub fn request_key_relocation(&mut self) {
        self.relocation_pending = self.token.is_some() && self.format == Format::One;
    }

    /// The leader's name as far as is known.
    pub fn leader(&self) -> Option<&str> {
        if self.token.is_some() { Some(&self.identity.node) } else { self.known_leader.as_deref() }
    }

    /// The highest token of another node that was heard of.
    pub fn highest_observed_token(&self) -> FencingToken {
        self.highest_observed_token
    }

    /// Look at the key soon, because the leader's link broke.
    pub fn campaign_soon(&mut self, now: Timestamp) {
        if self.token.is_none() {
            self.next_action_at = self.next_action_at.min(now + Duration::from_millis(20));
            self.eager_until = now + self.ttl + Duration::from_millis(500);
        }
    }

    /// Another node says that it leads. It may know sooner than the state service tells, or this node
    /// may have no answer from there at all.
    pub fn observe_announcement(
        &mut self,
        now: Timestamp,
        node: String,
        token: FencingToken,
        out: &mut Vec<LeadershipEvent>,
    ) {
        if token <= self.highest_observed_token
            || node == self.identity.node
            || self.token.is_some_and(|mine| mine > token)
        {
            return;
        }
        self.highest_observed_token = token;
        if self.token.is_some() {
            self.step_down(now, "another node leads", out);
        }
        self.set_known_leader(Some(node), out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        if let Some(call) = self.in_flight {
            if now.since(call.sent) < CALL_TIMEOUT {
                return;
            }
            self.in_flight = None;
            self.schedule_retry(now, call.kind);
        }
        if now < self.next_action_at {
            return;
        }
        if self.token.is_some() || self.unconfirmed_revision.is_some() {
            self.renew(now, out);
        } else {
            self.send_request(now, RequestKind::Look, StoreRequest::Get(self.format.leader_key().into()), out);
        }
    }

    fn renew(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        match self.lease {
            Some((lease, _)) => self.send_request(now, RequestKind::Renew, StoreRequest::RenewLease(lease), out),
            None => self.step_down(now, "no lease", out),
        }
    }

    fn send_request(&mut self, now: Timestamp, kind: RequestKind, call: StoreRequest, out: &mut Vec<LeadershipEvent>) {
        self.request_counter += 1;
        self.in_flight = Some(InFlight { id: self.request_counter, kind, sent: now });
        out.push(LeadershipEvent::Request(self.request_counter, call));
    }

    fn jitter(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(low..=high))
    }

    fn schedule_retry(&mut self, now: Timestamp, kind: RequestKind) {
        // A renewal is urgent; everything else waits with jitter, so that nodes do not march in step.
        let pause = if matches!(kind, RequestKind::Renew | RequestKind::Move) {
            Duration::from_millis(150)
        } else {
            self.jitter(200, 500)
        };
        self.next_action_at = now + pause;
    }

    /// Gives the leadership up.
    pub fn step_down(&mut self, now: Timestamp, why: &'static str, out: &mut Vec<LeadershipEvent>) {
        self.unconfirmed_revision = None;
        self.lease = None;
        self.in_flight = None;
        self.end_term(why, out);
        self.next_action_at = now + self.jitter(50, 150);
    }

    fn end_term(&mut self, why: &'static str, out: &mut Vec<LeadershipEvent>) {
        self.relocation_pending = false;
        if let Some(token) = self.token.take() {
            info!("stepped down token={token} reason=\"{why}\"");
            out.push(LeadershipEvent::SteppedDown(why));
        }
    }

    /// Makes room for another node, which most likely reaches what this one does not: the lease is ended, so
    /// that nobody has to wait for it.
    pub fn yield_leadership(&mut self, now: Timestamp, why: &'static str, out: &mut Vec<LeadershipEvent>) {
        self.abstain_until = now + ABSTAIN;
        if let Some((lease, _)) = self.lease {
            self.request_counter += 1;
            out.push(LeadershipEvent::Request(self.request_counter, StoreRequest::RevokeLease(lease)));
        }
        self.step_down(now, why, out);
    }

    /// Takes an answer of the state service.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        id: u64,
        reply: &ServiceResponse,
        out: &mut Vec<LeadershipEvent>,
    ) {
        let Some(call) = self.in_flight.filter(|c| c.id == id) else { return };
        self.in_flight = None;
        if matches!(reply.status, 200 | 404 | 409) {
            self.last_store_answer_at = Some(now);
        }
        match (call.kind, reply.status) {
            (RequestKind::Look, 200) => match reply.parse::<KeyValue>() {
                Some(kv) => self.handle_leader_key(now, kv, out),
                None => self.schedule_retry(now, call.kind),
            },
            (RequestKind::Look, 404) => {
                self.set_known_leader(None, out);
                if now < self.abstain_until {
                    self.next_action_at = now + self.jitter(200, 300);
                } else {
                    self.campaign(now, 0, out);
                }
            }
            (RequestKind::Grant, 200) => match reply.parse::<GrantLeaseResponse>() {
                Some(answer) => {
                    self.lease = Some((LeaseId(answer.lease), call.sent));
                    self.campaign(now, self.replaced_revision, out);
                }
                None => self.schedule_retry(now, call.kind),
            },
            (RequestKind::Campaign, 200) => match (reply.parse::<CompareAndSwapResponse>(), self.lease) {
                (Some(answer), Some((_, granted))) => {
                    self.valid_until = granted + self.ttl.saturating_sub(MARGIN);
                    self.elected(now, Revision(answer.revision), out);
                }
                _ => self.schedule_retry(now, call.kind),
            },
            (RequestKind::Campaign, 409) => self.next_action_at = now,
            (RequestKind::Campaign, 400) => {
                self.lease = None;
                self.next_action_at = now + self.jitter(20, 80);
            }
            (RequestKind::Renew, 200) => {
                self.valid_until = call.sent + self.ttl.saturating_sub(MARGIN);
                match self.unconfirmed_revision.take() {
                    Some(revision) => self.elected(now, revision, out),
                    None if self.relocation_pending => self.relocate_key(now, out),
                    // Counted from the sending, so that slow answers don't leave a leader in doubt in between.
                    None => self.next_action_at = call.sent + self.ttl / 4,
                }
            }
            (RequestKind::Renew, 404) => self.step_down(now, "lease lost", out),
            (RequestKind::Move, 200) => match reply.parse::<CompareAndSwapResponse>() {
                Some(answer) => {
                    self.end_term(MOVED, out);
                    self.format = Format::Two;
                    self.elected(now, Revision(answer.revision), out);
                }
                None => self.schedule_retry(now, call.kind),
            },
            (RequestKind::Move, 409) => {
                // Another node leads, or an earlier try was carried out and its answer lost. Reading the key tells; the lease is
                // kept, since the moved key may hang on it.
                self.end_term("the leader key has changed", out);
                self.next_action_at = now;
            }
            (RequestKind::Move, 400) => self.step_down(now, "lease lost", out),
            _ => self.schedule_retry(now, call.kind),
        }
    }

    /// The key exists: it is ours, our predecessor's, or another node's.
    fn handle_leader_key(&mut self, now: Timestamp, kv: KeyValue, out: &mut Vec<LeadershipEvent>) {
        if serde_json::from_value::<RelocatedKey>(kv.value.clone())
            .is_ok_and(|m| m.moved_to == Format::Two.leader_key())
        {
            self.format = Format::Two;
            self.next_action_at = now;
            return;
        }
        let Ok(holder) = serde_json::from_value::<LeaderRecord>(kv.value) else {
            return self.schedule_retry(now, RequestKind::Look);
        };
        if holder == self.identity {
            // An election whose answer was lost. Only the lease that we still hold counts: a late
            // copy of an older attempt hangs on a lease that nobody renews, and ends by itself.
            if let Some((lease, _)) = self.lease
                && kv.lease == Some(lease.0)
            {
                self.unconfirmed_revision = Some(Revision(kv.revision));
                return self.renew(now, out);
            }
            self.next_action_at = now + self.jitter(100, 200);
        } else if holder.node == self.identity.node {
            info!("replacing the key of this node's earlier incarnation revision={}", kv.revision);
            self.campaign(now, kv.revision, out);
        } else {
            // What the key said may be older than what its next holder told.
            if kv.revision >= self.highest_observed_token.0 {
                self.highest_observed_token = FencingToken(kv.revision);
                self.set_known_leader(Some(holder.node), out);
            }
            // With its link gone the leader is likely dead: its lease ends soon.
            let eager = self.eager_until > now;
            self.next_action_at = now + if eager { self.jitter(50, 100) } else { self.jitter(200, 300) };
        }
    }

    fn set_known_leader(&mut self, known: Option<String>, out: &mut Vec<LeadershipEvent>) {
        if self.known_leader != known {
            self.known_leader.clone_from(&known);
            out.push(LeadershipEvent::LeaderChanged(known));
        }
    }

    fn campaign(&mut self, now: Timestamp, replace: u64, out: &mut Vec<LeadershipEvent>) {
        self.replaced_revision = replace;
        // It must live until the campaign is carried out. With a quarter of its life as the limit nobody was elected for as long
        // as the state service took 0.4 s over an answer: each lease was old when it was granted.
        let fresh = self.lease.filter(|(_, granted)| now.since(*granted).as_millis() < self.ttl.as_millis() / 2);
        let Some((lease, _)) = fresh else {
            self.lease = None;
            return self.send_request(now, RequestKind::Grant, StoreRequest::GrantLease(self.ttl), out);
        };
        let key = self.format.leader_key();
        let txn = CompareAndSwap {
            conditions: vec![condition(key, Revision(replace))],
            writes: vec![self.leader_key_write(self.format, lease)],
        };
        self.send_request(now, RequestKind::Campaign, StoreRequest::CompareAndSwap(txn), out);
    }

    /// The change by which this node holds the leader key of a format.
    fn leader_key_write(&self, format: Format, lease: LeaseId) -> StoreWrite {
        StoreWrite::Put {
            key: format.leader_key().into(),
            value: serde_json::to_value(&self.identity).unwrap_or_default(),
            lease: Some(lease.0),
        }
    }

    /// Moves the key on condition that this node still holds it and that nobody has moved it.
    ///
    /// Carried out late it changes nothing, or it is this node's own move: the conditions name this term's revision, and the new key
    /// hangs on this term's lease.
    fn relocate_key(&mut self, now: Timestamp, out: &mut Vec<LeadershipEvent>) {
        let (Some(token), Some((lease, _))) = (self.token, self.lease) else { return };
        let (old, new) = (Format::One.leader_key(), Format::Two.leader_key());
        let moved = serde_json::to_value(RelocatedKey { moved_to: new.into() }).unwrap_or_default();
        let txn = CompareAndSwap {
            conditions: vec![condition(old, Revision(token.0)), condition(new, Revision(0))],
            writes: vec![
                StoreWrite::Put { key: old.into(), value: moved, lease: None },
                self.leader_key_write(Format::Two, lease),
            ],
        };
        self.send_request(now, RequestKind::Move, StoreRequest::CompareAndSwap(txn), out);
    }

    fn elected(&mut self, now: Timestamp, revision: Revision, out: &mut Vec<LeadershipEvent>) {
        let token = FencingToken(revision.0);
        self.token = Some(token);
        self.unconfirmed_revision = None;
        self.known_leader = None;
        self.next_action_at = now;
        info!("elected node={} token={token} key={}", self.identity.node, self.format.leader_key());
        out.push(LeadershipEvent::Elected(token, self.format));
    }
}

#[cfg(test)]
mod tests;
