//! The state service, as PROTOCOL describes it.

use crate::http::Request;
use crate::json::{Json, object};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

struct Entry {
    value: Json,
    stamp: u64,
    permit: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

#[derive(Default)]
pub struct State {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    ledger: u64,
    last_permit: u64,
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    path.split_once('?')?.1.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

impl State {
    pub fn value(&mut self, key: &str) -> Option<&Json> {
        self.expire();
        self.keys.get(key).map(|entry| &entry.value)
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let before = self.keys.len();
        self.keys.retain(|_, entry| entry.permit != Some(id));
        if self.keys.len() < before {
            self.ledger += 1;
        }
    }

    fn item(key: &str, entry: &Entry) -> Json {
        let permit = entry.permit.map_or(Json::Null, Json::from);
        object([("K", key.into()), ("V", entry.value.clone()), ("Stamp", entry.stamp.into()), ("Permit", permit)])
    }

    pub fn handle(&mut self, request: &Request) -> (u16, Json) {
        self.expire();
        let path = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/keys") => self.scan(&request.path),
            ("GET", _) if path.starts_with("/keys/") => {
                let key = &path["/keys/".len()..];
                match self.keys.get(key) {
                    Some(entry) => (200, State::item(key, entry)),
                    None => (404, object([("Ledger", self.ledger.into())])),
                }
            }
            ("POST", "/txn") => self.transaction(&request.body),
            ("POST", "/leases") => {
                let life_ms = Json::parse(&request.body).and_then(|body| body.get("LifeMs").integer()).unwrap_or(0);
                if !(100..=600_000).contains(&life_ms) {
                    return (400, object([]));
                }
                let life = Duration::from_millis(life_ms);
                self.last_permit += 1;
                self.leases.insert(self.last_permit, Lease { life, ends: Instant::now() + life });
                (200, object([("Permit", self.last_permit.into())]))
            }
            (method, _) if path.starts_with("/leases/") => self.lease(method, &path["/leases/".len()..]),
            _ => (400, object([])),
        }
    }

    fn lease(&mut self, method: &str, rest: &str) -> (u16, Json) {
        let id: u64 = rest.split('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let Some(lease) = self.leases.get_mut(&id) else { return (404, object([])) };
        if method == "DELETE" {
            self.end_lease(id);
        } else {
            lease.ends = Instant::now() + lease.life;
        }
        (200, object([]))
    }

    fn scan(&self, path: &str) -> (u16, Json) {
        let prefix = query(path, "Under").unwrap_or_default();
        let since = query(path, "Since").unwrap_or_default();
        let limit: usize = query(path, "Limit").and_then(|limit| limit.parse().ok()).unwrap_or(1000).min(1000);
        let mut pairs = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, entry) in self.keys.range(prefix.to_string()..).take_while(|(key, _)| key.starts_with(prefix)) {
            if key.as_str() <= since {
                continue;
            }
            let item = State::item(key, entry);
            bytes += item.to_string().len();
            if pairs.len() >= limit || (bytes > 500 * 1024 && !pairs.is_empty()) {
                more = true;
                break;
            }
            pairs.push(item);
        }
        (200, object([("Pairs", pairs.into()), ("More", more.into()), ("Ledger", self.ledger.into())]))
    }

    fn transaction(&mut self, body: &str) -> (u16, Json) {
        let Some(body) = Json::parse(body) else { return (400, object([])) };
        let writes = body.get("Writes").list();
        for write in writes {
            if let Some(permit) = write.get("Permit").integer()
                && !self.leases.contains_key(&permit)
            {
                return (400, object([("error", "no such lease".into())]));
            }
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |entry| entry.stamp);
        let holds = |condition: &Json| Some(stamp(condition.get("K").text())) == condition.get("Stamp").integer();
        let failed: Vec<Json> =
            body.get("When").list().iter().filter(|c| !holds(c)).map(|c| c.get("K").clone()).collect();
        if !failed.is_empty() {
            return (409, object([("failed", failed.into()), ("Ledger", self.ledger.into())]));
        }
        if !writes.is_empty() {
            self.ledger += 1;
        }
        for write in writes {
            if let Json::Text(key) = write.get("Write") {
                let entry =
                    Entry { value: write.get("V").clone(), stamp: self.ledger, permit: write.get("Permit").integer() };
                self.keys.insert(key.clone(), entry);
            } else {
                self.keys.remove(write.get("Remove").text());
            }
        }
        (200, object([("Ledger", self.ledger.into())]))
    }
}
