//! The state service's stand-in: keys with revisions, leases, compare-and-swap and limits.
//!
//! A write is carried out whole or not at all, under the next revision; a key that is bound to a lease goes with it. Writes above the
//! limits that the settings announce fail the test.

use caperstile::store::StoreRequest;
use caperstile::types::{Duration, LeaseId};
use caperstile::wire::{CompareAndSwap, GrantLeaseRequest, StoreWrite};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The state service's keys and leases, and the faults that it has.
pub struct FakeStore {
    /// Value, revision and lease of each key.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Milliseconds for which each lease is granted, and when it ends.
    leases: BTreeMap<u64, (u64, u64)>,
    /// The revision of the last write.
    revision: u64,
    /// It answers nothing but 503.
    pub down: bool,
    /// Controllers that get nothing but 503.
    pub unavailable_to_nodes: BTreeSet<usize>,
    /// Answers still to be lost although the request is carried out.
    pub lost_responses: u32,
    /// Requests after which only 503 comes: cuts a snapshot off at a step.
    pub transactions_until_outage: Option<u32>,
    /// Keys in one page of a scan.
    pub page: usize,
    /// The largest value that may be written.
    pub value_bytes: usize,
    /// The most writes of one transaction.
    pub txn_ops: usize,
}

impl Default for FakeStore {
    fn default() -> FakeStore {
        FakeStore {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 0,
            down: false,
            unavailable_to_nodes: BTreeSet::new(),
            lost_responses: 0,
            transactions_until_outage: None,
            page: 5,
            value_bytes: 1024,
            txn_ops: 16,
        }
    }
}

/// What a request over HTTP asks of the state service.
pub fn store_request(path: &str, query: &str, body: &[u8]) -> StoreRequest {
    if path == "/txn" {
        StoreRequest::CompareAndSwap(serde_json::from_slice(body).expect("a transaction"))
    } else if path == "/leases" {
        StoreRequest::GrantLease(Duration::from_millis(
            serde_json::from_slice::<GrantLeaseRequest>(body).expect("a lease request").ttl_ms,
        ))
    } else if let Some(rest) = path.strip_prefix("/leases/") {
        let lease = |id: &str| LeaseId(id.parse().expect("a lease"));
        rest.strip_suffix("/extend")
            .map_or_else(|| StoreRequest::RevokeLease(lease(rest)), |id| StoreRequest::RenewLease(lease(id)))
    } else if let Some(key) = path.strip_prefix("/keys/") {
        StoreRequest::Get(key.to_string())
    } else {
        let field = |name: &str| query.split('&').find_map(|p| p.strip_prefix(name)).map(str::to_string);
        StoreRequest::Scan { prefix: field("Under=").unwrap_or_default(), after: field("Since=") }
    }
}

impl FakeStore {
    /// An empty one with these limits: keys in a page, bytes of a value.
    pub fn with_limits(page: usize, value_bytes: usize) -> FakeStore {
        FakeStore { page, value_bytes, ..FakeStore::default() }
    }

    /// Ends the leases that are over, and removes their keys.
    fn expire(&mut self, now: u64) {
        let over: Vec<u64> = self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let gone: Vec<String> = self.keys.iter().filter(|(_, v)| v.2 == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in gone {
                self.keys.remove(&key);
                self.revision += 1;
            }
        }
    }

    /// Whether this node gets nothing but 503.
    pub(super) fn refuses(&self, node: usize) -> bool {
        self.down || self.unavailable_to_nodes.contains(&node)
    }

    fn get(&self, key: &str) -> (u16, Value) {
        match self.keys.get(key) {
            Some((value, revision, lease)) => (200, json!({"K": key, "V": value, "Stamp": revision, "Permit": lease})),
            None => (404, json!({"Ledger": self.revision})),
        }
    }

    fn scan(&self, prefix: &str, after: Option<&String>) -> (u16, Value) {
        let wanted = |key: &String| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let found: Vec<Value> = (self.keys.iter().filter(|(key, _)| wanted(key)))
            .map(|(key, (value, revision, _))| json!({"K": key, "V": value, "Stamp": revision}))
            .collect();
        let more = found.len() > self.page;
        (200, json!({"Pairs": found[..found.len().min(self.page)], "More": more, "Ledger": self.revision}))
    }

    /// Status and body of the answer to a controller, at this time in milliseconds.
    pub fn handle(&mut self, now: u64, node: usize, request: &StoreRequest) -> (u16, Value) {
        if self.refuses(node) {
            return (503, json!({}));
        }
        self.expire(now);
        match request {
            StoreRequest::Get(key) => self.get(key),
            StoreRequest::Scan { prefix, after } => self.scan(prefix, after.as_ref()),
            StoreRequest::GrantLease(ttl) => {
                self.revision += 1;
                self.leases.insert(self.revision, (ttl.as_millis(), now + ttl.as_millis()));
                (200, json!({"Permit": self.revision}))
            }
            StoreRequest::RenewLease(lease) => match self.leases.get_mut(&lease.0) {
                Some((ttl, end)) => {
                    *end = now + *ttl;
                    (200, json!({}))
                }
                None => (404, json!({})),
            },
            StoreRequest::RevokeLease(lease) => {
                if let Some((_, end)) = self.leases.get_mut(&lease.0) {
                    *end = now;
                }
                self.expire(now);
                (200, json!({}))
            }
            StoreRequest::CompareAndSwap(txn) => self.compare_and_swap(txn),
        }
    }

    /// Keys with their revisions, as another run left them.
    pub fn restore(&mut self, keys: impl Iterator<Item = (String, Value, u64)>) {
        for (key, value, revision) in keys {
            self.revision = self.revision.max(revision);
            self.keys.insert(key, (value, revision, None));
        }
    }

    fn compare_and_swap(&mut self, txn: &CompareAndSwap) -> (u16, Value) {
        if let Some(left) = &mut self.transactions_until_outage {
            if *left == 0 {
                return (503, json!({}));
            }
            *left -= 1;
        }
        let sizes =
            txn.writes.iter().map(|c| if let StoreWrite::Put { value, .. } = c { value.to_string().len() } else { 0 });
        let large = sizes.max().unwrap_or(0);
        assert!(large <= self.value_bytes, "a value of {large} bytes is larger than the settings allow");
        assert!(txn.writes.len() <= self.txn_ops, "{} changes are more than the settings allow", txn.writes.len());
        assert!(txn.conditions.len() <= 4 * self.txn_ops, "{} conditions", txn.conditions.len());
        let revision = |key: &str, keys: &BTreeMap<String, (Value, u64, Option<u64>)>| keys.get(key).map_or(0, |v| v.1);
        let failed: Vec<&String> =
            txn.conditions.iter().filter(|c| revision(&c.key, &self.keys) != c.revision).map(|c| &c.key).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "Ledger": self.revision}));
        }
        self.revision += 1;
        for change in &txn.writes {
            match change {
                StoreWrite::Put { key, value, lease } => {
                    if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
                        return (400, json!({"error": "no such lease"}));
                    }
                    self.keys.insert(key.clone(), (value.clone(), self.revision, *lease));
                }
                StoreWrite::Delete { key } => {
                    self.keys.remove(key);
                }
            }
        }
        (200, json!({"Ledger": self.revision}))
    }
}
