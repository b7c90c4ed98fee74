//! Upgrades: when every controller is known to run this version, and the durable formats that depend on it.
//!
//! During an upgrade old and new processes share the key-value store, and either may lead. Records of gangs must not exist while an old
//! process can lead, since it drops log entries with records that it does not know and would run a gang as an ordinary array. Each new
//! process writes a key of its own once. When the keys of all controllers are there, the leader relocates the leader key in one
//! transaction (`Leadership::request_key_relocation`); what it leaves under the old name keeps old processes from ever leading again.

use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{Duration, Revision, Timestamp};
use crate::wire::{CompareAndSwap, KeyPage, KeyValue, StoreWrite};
use serde_json::json;
use std::collections::BTreeSet;

/// A generation of the durable formats; a leader writes those of the leader key that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// What the previous version reads and writes.
    One,
    /// With records of gangs; only processes of this version and later ones can lead.
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

    /// Whether records of gangs may be written.
    pub fn has_gangs(self) -> bool {
        self >= Format::Two
    }
}

/// Prefix of the keys by which controllers say which format they can read.
pub const VERSION_PREFIX: &str = "version/";
/// The newest format that this version reads, as its key says it.
const NEWEST_READABLE_FORMAT: u64 = 2;
/// Without an answer for so long a request is repeated.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a request that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often a leader looks for the keys of the other controllers.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// What the upgrade wants done or made known.
#[derive(Debug, PartialEq)]
pub enum UpgradeEvent {
    /// Send a request to the store; the number comes back with the response.
    Request(u64, StoreRequest),
    /// Every controller has said that it reads the newest format.
    AllUpgraded,
}

/// What the request in flight is for.
#[derive(Debug, Clone, PartialEq)]
enum RequestPurpose {
    /// Writes this node's version key.
    AnnounceVersion,
    /// Reads the version keys.
    ScanVersions {
        /// Nodes that were found upgraded on the pages before.
        upgraded: BTreeSet<String>,
    },
}

#[derive(Debug)]
struct InFlightRequest {
    id: u64,
    purpose: RequestPurpose,
    sent_at: Timestamp,
}

/// A node's part in a rolling upgrade.
#[derive(Debug)]
pub struct Upgrade {
    node: String,
    /// All controllers of the deployment.
    controllers: BTreeSet<String>,
    /// Whether this node's version key is known to be written.
    announced: bool,
    request_counter: u64,
    in_flight: Option<InFlightRequest>,
    /// When the next request is due.
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

    /// Lets time pass. `leads_old_format`: this node leads under the old format, and so asks whether all are upgraded.
    pub fn tick(&mut self, now: Timestamp, leads_old_format: bool, out: &mut Vec<UpgradeEvent>) {
        self.in_flight.take_if(|request| now.since(request.sent_at) >= REQUEST_TIMEOUT);
        if self.in_flight.is_some() || now < self.next_action_at {
            return;
        }
        if !self.announced {
            self.announce_version(now, out);
        } else if leads_old_format {
            self.scan_versions(now, BTreeSet::new(), None, out);
        }
    }

    fn announce_version(&mut self, now: Timestamp, out: &mut Vec<UpgradeEvent>) {
        let key = format!("{VERSION_PREFIX}{}", self.node);
        let swap = CompareAndSwap {
            conditions: vec![condition(&key, Revision(0))],
            writes: vec![StoreWrite::Put { key, value: json!({"format": NEWEST_READABLE_FORMAT}), lease: None }],
        };
        self.send_request(now, RequestPurpose::AnnounceVersion, StoreRequest::CompareAndSwap(swap), out);
    }

    fn scan_versions(
        &mut self,
        now: Timestamp,
        upgraded: BTreeSet<String>,
        after: Option<String>,
        out: &mut Vec<UpgradeEvent>,
    ) {
        let scan = StoreRequest::Scan { prefix: VERSION_PREFIX.into(), after };
        self.send_request(now, RequestPurpose::ScanVersions { upgraded }, scan, out);
    }

    fn send_request(
        &mut self,
        now: Timestamp,
        purpose: RequestPurpose,
        request: StoreRequest,
        out: &mut Vec<UpgradeEvent>,
    ) {
        self.request_counter += 1;
        self.in_flight = Some(InFlightRequest { id: self.request_counter, purpose, sent_at: now });
        out.push(UpgradeEvent::Request(self.request_counter, request));
    }

    /// Takes the store's response to the request with this number.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        id: u64,
        response: &ServiceResponse,
        out: &mut Vec<UpgradeEvent>,
    ) {
        let Some(request) = self.in_flight.take_if(|request| request.id == id) else { return };
        match (request.purpose, response.status) {
            // A key that exists is this node's own, written by this process or an earlier one.
            (RequestPurpose::AnnounceVersion, 200 | 409) => self.announced = true,
            (RequestPurpose::ScanVersions { upgraded }, 200) => match response.parse::<KeyPage>() {
                Some(page) => self.handle_page(now, upgraded, page, out),
                None => self.next_action_at = now + RETRY_PAUSE,
            },
            _ => self.next_action_at = now + RETRY_PAUSE,
        }
    }

    fn handle_page(
        &mut self,
        now: Timestamp,
        mut upgraded: BTreeSet<String>,
        page: KeyPage,
        out: &mut Vec<UpgradeEvent>,
    ) {
        let last_key = page.items.last().map(|item| item.key.clone());
        upgraded.extend(page.items.iter().filter_map(upgraded_node));
        if page.more && last_key.is_some() {
            return self.scan_versions(now, upgraded, last_key, out);
        }
        self.next_action_at = now + SCAN_INTERVAL;
        if self.controllers.is_subset(&upgraded) {
            out.push(UpgradeEvent::AllUpgraded);
        }
    }
}

/// The node whose version key this is, if it reads the newest format.
fn upgraded_node(item: &KeyValue) -> Option<String> {
    let format = item.value.get("format")?.as_u64()?;
    let node = item.key.strip_prefix(VERSION_PREFIX)?;
    (format >= NEWEST_READABLE_FORMAT).then(|| node.to_string())
}

#[cfg(test)]
mod tests;
