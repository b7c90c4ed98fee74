//! Upgrades: when every controller is known to run this version, and the durable formats that depend on it.
//!
//! During an upgrade old and new processes share the state service, and either may lead. Facts of gangs must not exist while an old
//! process can lead, since it drops log entries with facts that it does not know and would run a gang as an ordinary array. Each new
//! process writes a key of its own once. When the keys of all controllers are there, the leader moves the leader key in one
//! transaction (`Leadership::move_key`); what it leaves under the old name keeps old processes from ever leading again.

use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{Duration, Revision, Timestamp};
use crate::wire::{CompareAndSwap, KeyPage, StoreWrite};
use serde_json::json;
use std::collections::BTreeSet;

/// A generation of the durable formats; a leader writes those of the leader key that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// What the previous version reads and writes.
    One,
    /// With facts of gangs; only processes of this version and later ones can lead.
    Two,
}

impl Format {
    /// The key that a leader of this format holds.
    pub fn leader_key(self) -> &'static str {
        match self {
            Format::One => "leader",
            Format::Two => "leader-2",
        }
    }

    /// Whether facts of gangs may be written.
    pub fn has_gangs(self) -> bool {
        self >= Format::Two
    }
}

/// Prefix of the keys by which controllers say which format they can read.
pub const VERSION_PREFIX: &str = "version/";
/// The newest format that this version reads, as its key says it.
const READS_FORMAT: u64 = 2;
/// Without an answer for so long a request is repeated.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a request that failed.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// How often a leader looks for the keys of the other controllers.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// What the slice wants done or made known.
#[derive(Debug, PartialEq)]
pub enum UpgradeEvent {
    /// Ask the state service; the number comes back with the reply.
    Request(u64, StoreRequest),
    /// Every controller has said that it reads the newest format.
    AllUpgraded,
}

#[derive(Debug, Clone, PartialEq)]
enum Request {
    Announce,
    Look { found: BTreeSet<String> },
}

#[derive(Debug)]
struct InFlight {
    id: u64,
    request: Request,
    sent: Timestamp,
}

/// State of the slice.
#[derive(Debug)]
pub struct Upgrade {
    node: String,
    /// All controllers of the deployment.
    controllers: BTreeSet<String>,
    announced: bool,
    request_counter: u64,
    in_flight: Option<InFlight>,
    next_action_at: Timestamp,
}

impl Upgrade {
    /// A process that has just started; `others` are the other controllers of the deployment.
    pub fn new(node: &str, others: impl Iterator<Item = String>) -> Upgrade {
        Upgrade {
            node: node.to_string(),
            controllers: others.chain([node.to_string()]).collect(),
            announced: false,
            request_counter: 0,
            in_flight: None,
            next_action_at: Timestamp::ZERO,
        }
    }

    /// Lets time pass. `looks`: this node leads under the old format and asks whether all are upgraded.
    pub fn tick(&mut self, now: Timestamp, looks: bool, out: &mut Vec<UpgradeEvent>) {
        if self.in_flight.as_ref().is_some_and(|f| now.since(f.sent) >= CALL_TIMEOUT) {
            self.in_flight = None;
        }
        if self.in_flight.is_some() || now < self.next_action_at {
            return;
        }
        if !self.announced {
            self.announce_version(now, out);
        } else if looks {
            self.scan_versions(now, BTreeSet::new(), None, out);
        }
    }

    fn announce_version(&mut self, now: Timestamp, out: &mut Vec<UpgradeEvent>) {
        let key = format!("{VERSION_PREFIX}{}", self.node);
        let txn = CompareAndSwap {
            conditions: vec![condition(&key, Revision(0))],
            writes: vec![StoreWrite::Put { key, value: json!({"format": READS_FORMAT}), lease: None }],
        };
        self.send_request(now, Request::Announce, StoreRequest::CompareAndSwap(txn), out);
    }

    fn scan_versions(
        &mut self,
        now: Timestamp,
        found: BTreeSet<String>,
        after: Option<String>,
        out: &mut Vec<UpgradeEvent>,
    ) {
        let call = StoreRequest::Scan { prefix: VERSION_PREFIX.into(), after };
        self.send_request(now, Request::Look { found }, call, out);
    }

    fn send_request(&mut self, now: Timestamp, request: Request, call: StoreRequest, out: &mut Vec<UpgradeEvent>) {
        self.request_counter += 1;
        self.in_flight = Some(InFlight { id: self.request_counter, request, sent: now });
        out.push(UpgradeEvent::Request(self.request_counter, call));
    }

    /// Takes an answer of the state service.
    pub fn handle_response(&mut self, now: Timestamp, id: u64, reply: &ServiceResponse, out: &mut Vec<UpgradeEvent>) {
        let Some(flight) = self.in_flight.take_if(|f| f.id == id) else { return };
        match (flight.request, reply.status) {
            // A key that exists is this node's own, written by this process or an earlier one.
            (Request::Announce, 200 | 409) => self.announced = true,
            (Request::Look { found }, 200) => match reply.parse::<KeyPage>() {
                Some(page) => self.handle_page(now, found, page, out),
                None => self.next_action_at = now + RETRY_AFTER,
            },
            _ => self.next_action_at = now + RETRY_AFTER,
        }
    }

    fn handle_page(&mut self, now: Timestamp, mut found: BTreeSet<String>, page: KeyPage, out: &mut Vec<UpgradeEvent>) {
        let last = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            let upgraded = item.value.get("format").and_then(|f| f.as_u64()).is_some_and(|f| f >= READS_FORMAT);
            if let Some(node) = item.key.strip_prefix(VERSION_PREFIX).filter(|_| upgraded) {
                found.insert(node.to_string());
            }
        }
        if page.more && last.is_some() {
            return self.scan_versions(now, found, last, out);
        }
        self.next_action_at = now + LOOK_EVERY;
        if self.controllers.is_subset(&found) {
            out.push(UpgradeEvent::AllUpgraded);
        }
    }
}

#[cfg(test)]
mod tests;
