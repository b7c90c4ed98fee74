//! A stand-in for a controller of the version in production (fab6b36), with its real formats: how it contends for the leader key, what
//! it writes into the log, and what it does on something that it does not know. It answers no workers and no users.

use super::FakeStore;
use caperstile::store::StoreRequest;
use caperstile::types::{Duration, LeaseId};
use caperstile::wire::{CompareAndSwap, KeyPage, RevisionCondition, StoreWrite};
use serde::Deserialize;
use serde_json::{Value, json};

const LEASE_MS: u64 = 1500;
const LOOK_EVERY_MS: u64 = 250;
const RENEW_EVERY_MS: u64 = 375;
const WRITE_EVERY_MS: u64 = 1000;

/// The facts that the version in production knows. It drops a log entry with any other.
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
    Enrolled(OldMachine),
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

/// The fields of a job that the version in production cannot do without. It passes others over.
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
    /// Set for gangs: this version would run one as an ordinary array.
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
struct OldHolder {
    node: String,
    incarnation: u64,
}

/// What the version in production would misread or lose of a value of the log or a snapshot.
pub fn incompatibility(key: &str, value: &Value) -> Option<String> {
    if !(key.starts_with("log/") || key.starts_with("snap/")) || key == "snap/manifest" {
        return None;
    }
    match serde_json::from_value::<Vec<OldRecord>>(value.clone()) {
        Err(e) => Some(format!("{key} would be dropped: {e}")),
        Ok(facts) => {
            let gang = |fact: &OldRecord| matches!(fact, OldRecord::Job(job) if job.y == Some(true));
            facts.iter().any(gang).then(|| format!("a gang in {key} would run as an array"))
        }
    }
}

/// The stand-in.
#[derive(Debug)]
pub struct OldNode {
    name: String,
    incarnation: u64,
    lease: Option<u64>,
    /// The revision at which it won the key.
    pub token: Option<u64>,
    next: u64,
    next_write: u64,
    jobs: u64,
    /// Jobs that it accepted since they were taken from here.
    pub accepted: Vec<u64>,
    /// How often it was elected.
    pub elections: u32,
    /// What it could not read when it was elected.
    pub incompatible_entries: Vec<String>,
    /// Whether its last look at the key found something that it cannot read.
    pub leader_key_unreadable: bool,
}

impl OldNode {
    pub fn new(node: usize, incarnation: u64) -> OldNode {
        OldNode {
            name: super::name(node),
            incarnation,
            lease: None,
            token: None,
            next: 0,
            next_write: 0,
            jobs: 0,
            accepted: Vec::new(),
            elections: 0,
            incompatible_entries: Vec::new(),
            leader_key_unreadable: false,
        }
    }

    pub fn tick(&mut self, now: u64, node: usize, store: &mut FakeStore) {
        if now >= self.next {
            match self.token {
                Some(_) => self.renew(now, node, store),
                None => self.look(now, node, store),
            }
        }
        if self.token.is_some() && now >= self.next_write {
            self.next_write = now + WRITE_EVERY_MS;
            self.accept(now, node, store);
        }
    }

    fn look(&mut self, now: u64, node: usize, store: &mut FakeStore) {
        self.next = now + LOOK_EVERY_MS;
        let (status, body) = store.handle(now, node, &StoreRequest::Get("leader".into()));
        self.leader_key_unreadable = status == 200 && serde_json::from_value::<OldHolder>(body["V"].clone()).is_err();
        let replaces = match status {
            404 => 0,
            200 if body["V"]["node"] == self.name.as_str() => body["Stamp"].as_u64().expect("a revision"),
            _ => return,
        };
        let (status, body) = store.handle(now, node, &StoreRequest::GrantLease(Duration::from_millis(LEASE_MS)));
        let Some(lease) = body["Permit"].as_u64().filter(|_| status == 200) else { return };
        let me = json!({"node": self.name, "incarnation": self.incarnation});
        let txn = CompareAndSwap {
            conditions: vec![RevisionCondition { key: "leader".into(), revision: replaces }],
            writes: vec![StoreWrite::Put { key: "leader".into(), value: me, lease: Some(lease) }],
        };
        let (status, body) = store.handle(now, node, &StoreRequest::CompareAndSwap(txn));
        if status == 200 {
            self.lease = Some(lease);
            self.token = body["Ledger"].as_u64();
            self.elections += 1;
            self.next = now + RENEW_EVERY_MS;
            self.next_write = now + WRITE_EVERY_MS;
            self.incompatible_entries
                .extend(store.keys.iter().filter_map(|(key, value)| incompatibility(key, &value.0)));
        }
    }

    fn renew(&mut self, now: u64, node: usize, store: &mut FakeStore) {
        self.next = now + RENEW_EVERY_MS;
        let lease = LeaseId(self.lease.unwrap_or_default());
        let (status, _) = store.handle(now, node, &StoreRequest::RenewLease(lease));
        if status == 404 {
            (self.token, self.lease) = (None, None);
        }
    }

    /// Accepts a job, as a leader does: the next entry of the log, on condition that it leads.
    fn accept(&mut self, now: u64, node: usize, store: &mut FakeStore) {
        let Some(token) = self.token else { return };
        let page = store.handle(now, node, &StoreRequest::Scan { prefix: "log/".into(), after: None }).1;
        let Ok(_) = serde_json::from_value::<KeyPage>(page) else { return };
        let numbers = store.keys.keys().filter_map(|key| key.strip_prefix("log/")?.parse::<u64>().ok());
        let manifest = store.keys.get("snap/manifest").and_then(|m| m.0["covers"].as_u64()).unwrap_or(0);
        let next = numbers.max().unwrap_or(0).max(manifest) + 1;
        self.jobs += 1;
        let id = 900_000 + self.incarnation % 1000 * 100 + self.jobs;
        let job = json!({"j": {"i": id, "l": "render", "t": "crew", "k": false, "r": 2, "n": 1,
            "c": {"cpus": 1000, "gpus": 0, "memory": 1000}, "m": "img-1", "g": 1000, "e": 2000, "a": 1_700_000_000_000_u64 + now}});
        let key = format!("log/{next:012}");
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
