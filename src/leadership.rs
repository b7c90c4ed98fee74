//! Who leads: one key of the state service, held by a lease.
//!
//! The token is the revision at which the key was won, so it grows and never repeats. The key's
//! value names the node and a random incarnation: a node whose election got no answer settles it
//! by reading the key, and a restarted node replaces its own dead predecessor's key at once.

use crate::store::{Reply, StateCall, condition};
use crate::types::{Duration, FencingToken, LeaseId, Revision, Timestamp};
use crate::upgrade::Format;
use crate::wire::{Change, KeyValue, LeaseAnswer, Txn, TxnAnswer};
use log::info;
use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// What the leader's key says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Node.
    pub node: String,
    /// One run of that node's process.
    pub incarnation: u64,
}

/// What stands under a leader key that has moved. It has no lease, so that it stays for ever; a version that does not know it cannot
/// read it as a `Holder`, looks again and again, and never campaigns while it is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Moved {
    /// The key that leaders hold from now on.
    moved_to: String,
}

/// What the slice wants done or made known.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// Ask the state service; the number comes back with the reply.
    Call(u64, StateCall),
    /// This node leads from now on, holding the key of this format.
    Elected(FencingToken, Format),
    /// This node no longer leads.
    SteppedDown(&'static str),
    /// Another node leads, as far as is known; `None`: nobody.
    Leader(Option<String>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
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
    kind: Kind,
    sent: Timestamp,
}

/// State of the slice.
#[derive(Debug)]
pub struct Leadership {
    me: Holder,
    ttl: Duration,
    rng: SmallRng,
    calls: u64,
    in_flight: Option<InFlight>,
    next: Timestamp,
    lease: Option<(LeaseId, Timestamp)>,
    /// Whose key leaders hold, as far as is known.
    format: Format,
    /// The key is to be moved after the next renewal.
    moves: bool,
    /// The key's version to replace when campaigning; 0: the key must not exist.
    replace: u64,
    /// Set while an election without answer is settled: the key names us at this revision.
    claimed: Option<Revision>,
    token: Option<FencingToken>,
    valid_until: Timestamp,
    known: Option<String>,
    /// The highest token of another node that was heard of.
    heard: FencingToken,
    eager_until: Timestamp,
    /// Until then the key is left to the other nodes.
    abstains_until: Timestamp,
    /// When the state service answered last.
    pub answered: Option<Timestamp>,
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
            me: Holder { node: node.to_string(), incarnation },
            ttl,
            rng,
            calls: 0,
            in_flight: None,
            next: Timestamp::ZERO,
            lease: None,
            format: Format::One,
            moves: false,
            replace: 0,
            claimed: None,
            token: None,
            valid_until: Timestamp::ZERO,
            known: None,
            heard: FencingToken(0),
            eager_until: Timestamp::ZERO,
            abstains_until: Timestamp::ZERO,
            answered: None,
        }
    }

    /// The token, while this node leads (perhaps in doubt).
    pub fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// Whether no other node can have been elected yet, by this node's own clock.
    pub fn certain(&self, now: Timestamp) -> bool {
        self.token.is_some() && now < self.valid_until
    }

    /// The format whose leader key is in force, as far as is known.
    pub fn format(&self) -> Format {
        self.format
    }

    /// Moves the leader key, so that only nodes that read the new format can lead from then on.
    ///
    /// It is done right after a renewal, whose lease holds the new key. This node leads on, in a new term.
    pub fn move_key(&mut self) {
        self.moves = self.token.is_some() && self.format == Format::One;
    }

    /// The leader's name as far as is known.
    pub fn leader(&self) -> Option<&str> {
        if self.token.is_some() { Some(&self.me.node) } else { self.known.as_deref() }
    }

    /// The highest token of another node that was heard of.
    pub fn heard(&self) -> FencingToken {
        self.heard
    }

    /// Look at the key soon, because the leader's link broke.
    pub fn hurry(&mut self, now: Timestamp) {
        if self.token.is_none() {
            self.next = self.next.min(now + Duration::from_millis(20));
            self.eager_until = now + self.ttl + Duration::from_millis(500);
        }
    }

    /// Another node says that it leads. It may know sooner than the state service tells, or this node
    /// may have no answer from there at all.
    pub fn told(&mut self, now: Timestamp, node: String, token: FencingToken, out: &mut Vec<Event>) {
        if token <= self.heard || node == self.me.node || self.token.is_some_and(|mine| mine > token) {
            return;
        }
        self.heard = token;
        if self.token.is_some() {
            self.step_down(now, "another node leads", out);
        }
        self.set_known(Some(node), out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Event>) {
        if let Some(call) = self.in_flight {
            if now.since(call.sent) < CALL_TIMEOUT {
                return;
            }
            self.in_flight = None;
            self.failed(now, call.kind);
        }
        if now < self.next {
            return;
        }
        if self.token.is_some() || self.claimed.is_some() {
            self.renew(now, out);
        } else {
            self.call(now, Kind::Look, StateCall::Get(self.format.leader_key().into()), out);
        }
    }

    fn renew(&mut self, now: Timestamp, out: &mut Vec<Event>) {
        match self.lease {
            Some((lease, _)) => self.call(now, Kind::Renew, StateCall::Renew(lease), out),
            None => self.step_down(now, "no lease", out),
        }
    }

    fn call(&mut self, now: Timestamp, kind: Kind, call: StateCall, out: &mut Vec<Event>) {
        self.calls += 1;
        self.in_flight = Some(InFlight { id: self.calls, kind, sent: now });
        out.push(Event::Call(self.calls, call));
    }

    fn pause(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(low..=high))
    }

    fn failed(&mut self, now: Timestamp, kind: Kind) {
        // A renewal is urgent; everything else waits with jitter, so that nodes do not march in step.
        let pause =
            if matches!(kind, Kind::Renew | Kind::Move) { Duration::from_millis(150) } else { self.pause(200, 500) };
        self.next = now + pause;
    }

    /// Gives the leadership up.
    pub fn step_down(&mut self, now: Timestamp, why: &'static str, out: &mut Vec<Event>) {
        self.claimed = None;
        self.lease = None;
        self.in_flight = None;
        self.end_term(why, out);
        self.next = now + self.pause(50, 150);
    }

    fn end_term(&mut self, why: &'static str, out: &mut Vec<Event>) {
        self.moves = false;
        if let Some(token) = self.token.take() {
            info!("stepped down token={token} reason=\"{why}\"");
            out.push(Event::SteppedDown(why));
        }
    }

    /// Makes room for another node, which most likely reaches what this one does not: the lease is ended, so
    /// that nobody has to wait for it.
    pub fn make_room(&mut self, now: Timestamp, why: &'static str, out: &mut Vec<Event>) {
        self.abstains_until = now + ABSTAIN;
        if let Some((lease, _)) = self.lease {
            self.calls += 1;
            out.push(Event::Call(self.calls, StateCall::Revoke(lease)));
        }
        self.step_down(now, why, out);
    }

    /// Takes an answer of the state service.
    pub fn reply(&mut self, now: Timestamp, id: u64, reply: &Reply, out: &mut Vec<Event>) {
        let Some(call) = self.in_flight.filter(|c| c.id == id) else { return };
        self.in_flight = None;
        if matches!(reply.status, 200 | 404 | 409) {
            self.answered = Some(now);
        }
        match (call.kind, reply.status) {
            (Kind::Look, 200) => match reply.parse::<KeyValue>() {
                Some(kv) => self.saw(now, kv, out),
                None => self.failed(now, call.kind),
            },
            (Kind::Look, 404) => {
                self.set_known(None, out);
                if now < self.abstains_until {
                    self.next = now + self.pause(200, 300);
                } else {
                    self.campaign(now, 0, out);
                }
            }
            (Kind::Grant, 200) => match reply.parse::<LeaseAnswer>() {
                Some(answer) => {
                    self.lease = Some((LeaseId(answer.lease), call.sent));
                    self.campaign(now, self.replace, out);
                }
                None => self.failed(now, call.kind),
            },
            (Kind::Campaign, 200) => match (reply.parse::<TxnAnswer>(), self.lease) {
                (Some(answer), Some((_, granted))) => {
                    self.valid_until = granted + self.ttl.saturating_sub(MARGIN);
                    self.elected(now, Revision(answer.revision), out);
                }
                _ => self.failed(now, call.kind),
            },
            (Kind::Campaign, 409) => self.next = now,
            (Kind::Campaign, 400) => {
                self.lease = None;
                self.next = now + self.pause(20, 80);
            }
            (Kind::Renew, 200) => {
                self.valid_until = call.sent + self.ttl.saturating_sub(MARGIN);
                match self.claimed.take() {
                    Some(revision) => self.elected(now, revision, out),
                    None if self.moves => self.send_move(now, out),
                    // Counted from the sending, so that slow answers don't leave a leader in doubt in between.
                    None => self.next = call.sent + self.ttl / 4,
                }
            }
            (Kind::Renew, 404) => self.step_down(now, "lease lost", out),
            (Kind::Move, 200) => match reply.parse::<TxnAnswer>() {
                Some(answer) => {
                    self.end_term(MOVED, out);
                    self.format = Format::Two;
                    self.elected(now, Revision(answer.revision), out);
                }
                None => self.failed(now, call.kind),
            },
            (Kind::Move, 409) => {
                // Another node leads, or an earlier try was carried out and its answer lost. Reading the key tells; the lease is
                // kept, since the moved key may hang on it.
                self.end_term("the leader key has changed", out);
                self.next = now;
            }
            (Kind::Move, 400) => self.step_down(now, "lease lost", out),
            _ => self.failed(now, call.kind),
        }
    }

    /// The key exists: it is ours, our predecessor's, or another node's.
    fn saw(&mut self, now: Timestamp, kv: KeyValue, out: &mut Vec<Event>) {
        if serde_json::from_value::<Moved>(kv.value.clone()).is_ok_and(|m| m.moved_to == Format::Two.leader_key()) {
            self.format = Format::Two;
            self.next = now;
            return;
        }
        let Ok(holder) = serde_json::from_value::<Holder>(kv.value) else {
            return self.failed(now, Kind::Look);
        };
        if holder == self.me {
            // An election whose answer was lost. Only the lease that we still hold counts: a late
            // copy of an older attempt hangs on a lease that nobody renews, and ends by itself.
            if let Some((lease, _)) = self.lease
                && kv.lease == Some(lease.0)
            {
                self.claimed = Some(Revision(kv.version));
                return self.renew(now, out);
            }
            self.next = now + self.pause(100, 200);
        } else if holder.node == self.me.node {
            info!("replacing the key of this node's earlier incarnation revision={}", kv.version);
            self.campaign(now, kv.version, out);
        } else {
            // What the key said may be older than what its next holder told.
            if kv.version >= self.heard.0 {
                self.heard = FencingToken(kv.version);
                self.set_known(Some(holder.node), out);
            }
            // With its link gone the leader is likely dead: its lease ends soon.
            let eager = self.eager_until > now;
            self.next = now + if eager { self.pause(50, 100) } else { self.pause(200, 300) };
        }
    }

    fn set_known(&mut self, known: Option<String>, out: &mut Vec<Event>) {
        if self.known != known {
            self.known.clone_from(&known);
            out.push(Event::Leader(known));
        }
    }

    fn campaign(&mut self, now: Timestamp, replace: u64, out: &mut Vec<Event>) {
        self.replace = replace;
        // It must live until the campaign is carried out. With a quarter of its life as the limit nobody was elected for as long
        // as the state service took 0.4 s over an answer: each lease was old when it was granted.
        let fresh = self.lease.filter(|(_, granted)| now.since(*granted).as_millis() < self.ttl.as_millis() / 2);
        let Some((lease, _)) = fresh else {
            self.lease = None;
            return self.call(now, Kind::Grant, StateCall::Grant(self.ttl), out);
        };
        let key = self.format.leader_key();
        let txn = Txn {
            conditions: vec![condition(key, Revision(replace))],
            changes: vec![self.holding(self.format, lease)],
        };
        self.call(now, Kind::Campaign, StateCall::Txn(txn), out);
    }

    /// The change by which this node holds the leader key of a format.
    fn holding(&self, format: Format, lease: LeaseId) -> Change {
        Change::Put {
            key: format.leader_key().into(),
            value: serde_json::to_value(&self.me).unwrap_or_default(),
            lease: Some(lease.0),
        }
    }

    /// Moves the key on condition that this node still holds it and that nobody has moved it.
    ///
    /// Carried out late it changes nothing, or it is this node's own move: the conditions name this term's revision, and the new key
    /// hangs on this term's lease.
    fn send_move(&mut self, now: Timestamp, out: &mut Vec<Event>) {
        let (Some(token), Some((lease, _))) = (self.token, self.lease) else { return };
        let (old, new) = (Format::One.leader_key(), Format::Two.leader_key());
        let moved = serde_json::to_value(Moved { moved_to: new.into() }).unwrap_or_default();
        let txn = Txn {
            conditions: vec![condition(old, Revision(token.0)), condition(new, Revision(0))],
            changes: vec![Change::Put { key: old.into(), value: moved, lease: None }, self.holding(Format::Two, lease)],
        };
        self.call(now, Kind::Move, StateCall::Txn(txn), out);
    }

    fn elected(&mut self, now: Timestamp, revision: Revision, out: &mut Vec<Event>) {
        let token = FencingToken(revision.0);
        self.token = Some(token);
        self.claimed = None;
        self.known = None;
        self.next = now;
        info!("elected node={} token={token} key={}", self.me.node, self.format.leader_key());
        out.push(Event::Elected(token, self.format));
    }
}

#[cfg(test)]
mod tests;
