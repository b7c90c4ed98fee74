//! The fake state service: keys with revisions, leases, compare-and-swap transactions and limits.
//!
//! A transaction is applied atomically under the next revision; a key that is attached to a lease is deleted when the
//! lease expires. Writes above the limits that the settings announce fail the test.

use caperstile::store::StoreRequest;
use caperstile::types::{Duration, LeaseId};
use caperstile::wire::{CompareAndSwap, GrantLeaseRequest, StoreWrite};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The fake state service's keys and leases, and the faults in force.
pub struct FakeStore {
    /// Value, revision and lease of each key.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Time to live and expiry time of each lease, in milliseconds.
    leases: BTreeMap<u64, (u64, u64)>,
    /// The revision of the last write.
    revision: u64,
    /// Whether it responds with 503 to every request.
    pub down: bool,
    /// Controllers that get only 503 responses.
    pub unavailable_to_nodes: BTreeSet<usize>,
    /// Number of responses still to be lost, although the requests are applied.
    pub lost_responses: u32,
    /// Number of transactions after which it responds with 503 only; interrupts a snapshot at a given step.
    pub transactions_until_outage: Option<u32>,
    /// Maximum number of keys in one page of a scan.
    pub page: usize,
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of writes in one transaction.
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

/// Decodes an HTTP request to the state service.
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
    /// Returns an empty store with these limits: keys in a page, bytes in a value.
    pub fn with_limits(page: usize, value_bytes: usize) -> FakeStore {
        FakeStore { page, value_bytes, ..FakeStore::default() }
    }

    /// Removes expired leases with their keys.
    fn expire(&mut self, now: u64) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (_, expires_at))| *expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let expired_keys: Vec<String> =
                self.keys.iter().filter(|(_, v)| v.2 == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in expired_keys {
                self.keys.remove(&key);
                self.revision += 1;
            }
        }
    }

    /// Whether requests of this node get only 503 responses.
    pub(super) fn is_unavailable_to(&self, node: usize) -> bool {
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

    /// Handles a controller's request at time `now` in milliseconds; returns the status and body of the response.
    pub fn handle(&mut self, now: u64, node: usize, request: &StoreRequest) -> (u16, Value) {
        if self.is_unavailable_to(node) {
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
                Some((ttl, expires_at)) => {
                    *expires_at = now + *ttl;
                    (200, json!({}))
                }
                None => (404, json!({})),
            },
            StoreRequest::RevokeLease(lease) => {
                if let Some((_, expires_at)) = self.leases.get_mut(&lease.0) {
                    *expires_at = now;
                }
                self.expire(now);
                (200, json!({}))
            }
            StoreRequest::CompareAndSwap(txn) => self.compare_and_swap(txn),
        }
    }

    /// Loads keys with their revisions as an earlier run left them.
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
        let largest = sizes.max().unwrap_or(0);
        assert!(largest <= self.value_bytes, "a value of {largest} bytes exceeds the limit in the settings");
        assert!(txn.writes.len() <= self.txn_ops, "{} writes exceed the limit in the settings", txn.writes.len());
        assert!(
            txn.conditions.len() <= 4 * self.txn_ops,
            "{} conditions exceed four times the limit of writes",
            txn.conditions.len()
        );
        let revision = |key: &str, keys: &BTreeMap<String, (Value, u64, Option<u64>)>| keys.get(key).map_or(0, |v| v.1);
        let failed: Vec<&String> =
            txn.conditions.iter().filter(|c| revision(&c.key, &self.keys) != c.revision).map(|c| &c.key).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "Ledger": self.revision}));
        }
        self.revision += 1;
        for write in &txn.writes {
            match write {
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
