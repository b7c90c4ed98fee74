//! Rolling upgrades: detection that every controller runs this version, and the durable formats that depend on it.
//!
//! During an upgrade old and new processes share the state service, and either may become the leader. Records of gangs
//! must not be written while an old process can still lead, since it drops log entries that contain unknown records and
//! would run a gang as an array of independent tasks. Each new process writes a version key once. When the version keys
//! of all controllers exist, the leader relocates the leader key in one transaction
//! (`Leadership::request_key_relocation`); the value that remains under the old name prevents old processes from ever
//! being elected again.

use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{Duration, Revision, Timestamp};
use crate::wire::{CompareAndSwap, KeyPage, KeyValue, StoreWrite};
use serde_json::json;
use std::collections::BTreeSet;

/// Version of the durable formats. A leader writes the version that belongs to the leader key that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// The formats that the previous version reads and writes.
    One,
    /// The formats with records of gangs and fragments. Only processes of this version and later ones can lead.
    Two,
}

impl Format {
    /// Returns the name of the key that a leader under this format holds.
    pub fn leader_key(self) -> &'static str {
        match self {
            Format::One => "leader",
            Format::Two => "leader-2",
        }
    }

    /// Whether this format can represent gangs, so that they may be accepted.
    pub fn has_gangs(self) -> bool {
        self >= Format::Two
    }
}

/// Prefix of the version keys, in which controllers publish the newest format that they can read.
pub const VERSION_PREFIX: &str = "version/";
/// The newest format that this version can read, as published in its version key.
const NEWEST_READABLE_FORMAT: u64 = 2;
/// Time after which a request without a response is retried.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a failed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a leader under the old format scans the version keys.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// An action that the upgrade requests from its owner, or a change that it reports.
#[derive(Debug, PartialEq)]
pub enum UpgradeEvent {
    /// Send a request to the state service; the response must be passed to `handle_response` under the same number.
    Request(u64, StoreRequest),
    /// Every controller has published that it can read the newest format.
    AllUpgraded,
}

/// The purpose of the request in flight.
#[derive(Debug, Clone, PartialEq)]
enum RequestPurpose {
    /// Writes this node's version key.
    AnnounceVersion,
    /// Reads a page of version keys.
    ScanVersions {
        /// Nodes that the previous pages have shown to be upgraded.
        upgraded: BTreeSet<String>,
    },
}

#[derive(Debug)]
struct InFlightRequest {
    id: u64,
    purpose: RequestPurpose,
    sent_at: Timestamp,
}

/// The rolling upgrade state of one node.
#[derive(Debug)]
pub struct Upgrade {
    node: String,
    /// Names of all controllers of the deployment, including this node.
    controllers: BTreeSet<String>,
    /// Whether this node's version key is known to exist.
    announced: bool,
    request_counter: u64,
    in_flight: Option<InFlightRequest>,
    /// When the next request is due.
    next_action_at: Timestamp,
}

impl Upgrade {
    /// Creates the state of a process that has just started; `others` are the names of the other controllers of the
    /// deployment.
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

    /// Sends the next request when it is due: writes this node's version key until it is known to exist, and then, only
    /// while this node leads under the old format (`leads_old_format`), scans the version keys of all controllers.
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

    /// Handles the state service's response to the request with this number. A response to a request that has timed out
    /// is ignored.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        id: u64,
        response: &ServiceResponse,
        out: &mut Vec<UpgradeEvent>,
    ) {
        let Some(request) = self.in_flight.take_if(|request| request.id == id) else { return };
        match (request.purpose, response.status) {
            // On a conflict (409) the key exists already: only this node writes it, in this process or an earlier one.
            (RequestPurpose::AnnounceVersion, 200 | 409) => self.announced = true,
            (RequestPurpose::ScanVersions { upgraded }, 200) => match response.parse::<KeyPage>() {
                Some(page) => self.handle_page(now, upgraded, page, out),
                None => self.next_action_at = now + RETRY_DELAY,
            },
            _ => self.next_action_at = now + RETRY_DELAY,
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

/// Returns the name of the node that this version key belongs to if it can read the newest format.
fn upgraded_node(item: &KeyValue) -> Option<String> {
    let format = item.value.get("format")?.as_u64()?;
    let node = item.key.strip_prefix(VERSION_PREFIX)?;
    (format >= NEWEST_READABLE_FORMAT).then(|| node.to_string())
}

#[cfg(test)]
mod tests;
