//! A simulated controller of the version in production (fab6b36) with its real formats: how it contends for the leader
//! key, what it writes to the log, and how it treats entries that it does not know. It serves neither workers nor
//! users.

use super::FakeStore;
use caperstile::store::StoreRequest;
use caperstile::types::{Duration, LeaseId};
use caperstile::wire::{CompareAndSwap, KeyPage, RevisionCondition, StoreWrite};
use serde::Deserialize;
use serde_json::{Value, json};

const LEASE_MS: u64 = 1500;
const KEY_CHECK_INTERVAL_MS: u64 = 250;
const RENEWAL_INTERVAL_MS: u64 = 375;
const WRITE_INTERVAL_MS: u64 = 1000;

/// The log records that the version in production knows. It drops a log entry with any other record.
#[derive(Debug, Deserialize)]
#[allow(dead_code)]
enum OldRecord {
    #[serde(rename = "j")]
    Job(OldJob),
    #[serde(rename = "d")]
    Done(u64, Vec<(u32, u32)>),
    #[serde(rename = "c")]
    Cancelled(u64),
    #[serde(rename = "m")]
    MachineRegistered(OldMachine),
    #[serde(rename = "r")]
    Rented(OldMachine),
    #[serde(rename = "i")]
    Image(u64, String),
    #[serde(rename = "l")]
    Learnt(f64, u64),
    #[serde(rename = "g")]
    Gone(u64),
    #[serde(rename = "f")]
    Finals(Vec<(u64, u32)>, Vec<u64>),
}

/// The fields of a job that the version in production requires. It ignores other fields.
#[derive(Debug, Deserialize)]
#[allow(dead_code)]
struct OldJob {
    i: u64,
    l: String,
    t: String,
    k: bool,
    r: u8,
    n: u32,
    c: Value,
    m: String,
    g: u64,
    e: u64,
    a: u64,
    /// Set for gangs, which this version would run as an ordinary array.
    y: Option<bool>,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code)]
struct OldMachine {
    i: u64,
    e: String,
    k: String,
    z: String,
    s: bool,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code)]
struct OldLeaderKey {
    node: String,
    incarnation: u64,
}

/// Describes what the version in production would drop or misinterpret in a value of the log or a snapshot; None if it
/// reads the value correctly.
pub fn incompatibility(key: &str, value: &Value) -> Option<String> {
    if !(key.starts_with("log/") || key.starts_with("snap/")) || key == "snap/manifest" {
        return None;
    }
    match serde_json::from_value::<Vec<OldRecord>>(value.clone()) {
        Err(e) => Some(format!("{key} would be dropped: {e}")),
        Ok(records) => {
            let gang = |record: &OldRecord| matches!(record, OldRecord::Job(job) if job.y == Some(true));
            records.iter().any(gang).then(|| format!("a gang in {key} would run as an array"))
        }
    }
}

/// The simulated controller.
#[derive(Debug)]
pub struct ProductionVersionNode {
    name: String,
    incarnation: u64,
    lease: Option<u64>,
    /// The revision at which it acquired the leader key; None while it does not lead.
    pub token: Option<u64>,
    next_step_at: u64,
    next_write_at: u64,
    job_count: u64,
    /// Jobs that it has accepted; the simulation takes them from here at each tick.
    pub accepted: Vec<u64>,
    /// Number of its elections.
    pub elections: u32,
    /// Log and snapshot entries that it could not read correctly when it was elected.
    pub incompatible_entries: Vec<String>,
    /// Whether its last read of the leader key returned a value that it cannot decode.
    pub leader_key_unreadable: bool,
}

impl ProductionVersionNode {
    pub fn new(node: usize, incarnation: u64) -> ProductionVersionNode {
        ProductionVersionNode {
            name: super::node_name(node),
            incarnation,
            lease: None,
            token: None,
            next_step_at: 0,
            next_write_at: 0,
            job_count: 0,
            accepted: Vec::new(),
            elections: 0,
            incompatible_entries: Vec::new(),
            leader_key_unreadable: false,
        }
    }

    pub fn tick(&mut self, now: u64, node: usize, store: &mut FakeStore) {
        if now >= self.next_step_at {
            match self.token {
                Some(_) => self.renew(now, node, store),
                None => self.check_leader_key(now, node, store),
            }
        }
        if self.token.is_some() && now >= self.next_write_at {
            self.next_write_at = now + WRITE_INTERVAL_MS;
            self.accept_job(now, node, store);
        }
    }

    fn check_leader_key(&mut self, now: u64, node: usize, store: &mut FakeStore) {
        self.next_step_at = now + KEY_CHECK_INTERVAL_MS;
        let (status, body) = store.handle(now, node, &StoreRequest::Get("leader".into()));
        self.leader_key_unreadable =
            status == 200 && serde_json::from_value::<OldLeaderKey>(body["V"].clone()).is_err();
        let replaces = match status {
            404 => 0,
            200 if body["V"]["node"] == self.name.as_str() => body["Stamp"].as_u64().expect("a revision"),
            _ => return,
        };
        let (status, body) = store.handle(now, node, &StoreRequest::GrantLease(Duration::from_millis(LEASE_MS)));
        let Some(lease) = body["Permit"].as_u64().filter(|_| status == 200) else { return };
        let holder = json!({"node": self.name, "incarnation": self.incarnation});
        let txn = CompareAndSwap {
            conditions: vec![RevisionCondition { key: "leader".into(), revision: replaces }],
            writes: vec![StoreWrite::Put { key: "leader".into(), value: holder, lease: Some(lease) }],
        };
        let (status, body) = store.handle(now, node, &StoreRequest::CompareAndSwap(txn));
        if status == 200 {
            self.lease = Some(lease);
            self.token = body["Ledger"].as_u64();
            self.elections += 1;
            self.next_step_at = now + RENEWAL_INTERVAL_MS;
            self.next_write_at = now + WRITE_INTERVAL_MS;
            self.incompatible_entries
                .extend(store.keys.iter().filter_map(|(key, value)| incompatibility(key, &value.0)));
        }
    }

    fn renew(&mut self, now: u64, node: usize, store: &mut FakeStore) {
        self.next_step_at = now + RENEWAL_INTERVAL_MS;
        let lease = LeaseId(self.lease.unwrap_or_default());
        let (status, _) = store.handle(now, node, &StoreRequest::RenewLease(lease));
        if status == 404 {
            (self.token, self.lease) = (None, None);
        }
    }

    /// Accepts a job like a leader: appends the next log entry, on condition that it still leads.
    fn accept_job(&mut self, now: u64, node: usize, store: &mut FakeStore) {
        let Some(token) = self.token else { return };
        let page = store.handle(now, node, &StoreRequest::Scan { prefix: "log/".into(), after: None }).1;
        let Ok(_) = serde_json::from_value::<KeyPage>(page) else { return };
        let numbers = store.keys.keys().filter_map(|key| key.strip_prefix("log/")?.parse::<u64>().ok());
        let manifest = store.keys.get("snap/manifest").and_then(|m| m.0["covers"].as_u64()).unwrap_or(0);
        let next_number = numbers.max().unwrap_or(0).max(manifest) + 1;
        self.job_count += 1;
        let id = 900_000 + self.incarnation % 1000 * 100 + self.job_count;
        let job = json!({"j": {"i": id, "l": "render", "t": "crew", "k": false, "r": 2, "n": 1,
            "c": {"cpus": 1000, "gpus": 0, "memory": 1000}, "m": "img-1", "g": 1000, "e": 2000, "a": 1_700_000_000_000_u64 + now}});
        let key = format!("log/{next_number:012}");
        let txn = CompareAndSwap {
            conditions: vec![
                RevisionCondition { key: "leader".into(), revision: token },
                RevisionCondition { key: key.clone(), revision: 0 },
            ],
            writes: vec![StoreWrite::Put { key, value: json!([job]), lease: None }],
        };
        let (status, _) = store.handle(now, node, &StoreRequest::CompareAndSwap(txn));
        match status {
            200 => self.accepted.push(id),
            409 => (self.token, self.lease) = (None, None),
            _ => {}
        }
    }
}
