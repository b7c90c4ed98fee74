//! The state service's stand-in: keys with revisions, leases, transactions and limits.

use caperstile::store::StoreRequest;
use caperstile::types::{Duration, LeaseId};
use caperstile::wire::{CompareAndSwap, GrantLeaseRequest, StoreWrite};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The state service's stand-in.
pub struct State {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub(super) leases: BTreeMap<u64, (u64, u64)>,
    pub(super) ledger: u64,
    pub down: bool,
    pub refused_nodes: BTreeSet<usize>,
    /// Answers still to be lost although the request is carried out.
    pub lost_answers: u32,
    /// Requests after which only 503 comes: cuts a snapshot off at a step.
    pub writes_left: Option<u32>,
    pub page: usize,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

impl Default for State {
    fn default() -> State {
        State {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            ledger: 0,
            down: false,
            refused_nodes: BTreeSet::new(),
            lost_answers: 0,
            writes_left: None,
            page: 5,
            value_bytes: 1024,
            txn_ops: 16,
        }
    }
}

/// What a request over HTTP asks of the state service.
pub fn state_call(path: &str, query: &str, body: &[u8]) -> StoreRequest {
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

impl State {
    fn expire(&mut self, now: u64) {
        let over: Vec<u64> = self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let gone: Vec<String> = self.keys.iter().filter(|(_, v)| v.2 == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in gone {
                self.keys.remove(&key);
                self.ledger += 1;
            }
        }
    }

    /// Whether this node gets nothing but 503.
    pub(super) fn refuses(&self, node: usize) -> bool {
        self.down || self.refused_nodes.contains(&node)
    }

    pub fn handle(&mut self, now: u64, node: usize, call: &StoreRequest) -> (u16, Value) {
        if self.refuses(node) {
            return (503, json!({}));
        }
        self.expire(now);
        match call {
            StoreRequest::Get(key) => match self.keys.get(key) {
                Some((v, stamp, lease)) => (200, json!({"K": key, "V": v, "Stamp": stamp, "Permit": lease})),
                None => (404, json!({"Ledger": self.ledger})),
            },
            StoreRequest::Scan { prefix, after } => {
                let found: Vec<Value> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix.as_str()) && after.as_ref().is_none_or(|a| *k > a))
                    .map(|(k, v)| json!({"K": k, "V": v.0, "Stamp": v.1}))
                    .collect();
                let more = found.len() > self.page;
                (200, json!({"Pairs": found[..found.len().min(self.page)], "More": more, "Ledger": self.ledger}))
            }
            StoreRequest::GrantLease(ttl) => {
                self.ledger += 1;
                self.leases.insert(self.ledger, (ttl.as_millis(), now + ttl.as_millis()));
                (200, json!({"Permit": self.ledger}))
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
            StoreRequest::CompareAndSwap(txn) => self.txn(txn),
        }
    }

    /// Keys with their revisions, as another run left them.
    pub fn restore(&mut self, keys: impl Iterator<Item = (String, Value, u64)>) {
        for (key, value, stamp) in keys {
            self.ledger = self.ledger.max(stamp);
            self.keys.insert(key, (value, stamp, None));
        }
    }

    fn txn(&mut self, txn: &CompareAndSwap) -> (u16, Value) {
        if let Some(left) = &mut self.writes_left {
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
        let stamp = |key: &str, keys: &BTreeMap<String, (Value, u64, Option<u64>)>| keys.get(key).map_or(0, |v| v.1);
        let failed: Vec<&String> =
            txn.conditions.iter().filter(|c| stamp(&c.key, &self.keys) != c.revision).map(|c| &c.key).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "Ledger": self.ledger}));
        }
        self.ledger += 1;
        for change in &txn.writes {
            match change {
                StoreWrite::Put { key, value, lease } => {
                    if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
                        return (400, json!({"error": "no such lease"}));
                    }
                    self.keys.insert(key.clone(), (value.clone(), self.ledger, *lease));
                }
                StoreWrite::Delete { key } => {
                    self.keys.remove(key);
                }
            }
        }
        (200, json!({"Ledger": self.ledger}))
    }
}
