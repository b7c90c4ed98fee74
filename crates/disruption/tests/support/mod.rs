//! Fakes of the fleet and the state service, for the tests of this package.
#![allow(dead_code)] // Each test file uses only some of the fakes.

pub mod fleet;

use caperstile_disruption::record_store::{ConditionalWrite, RecordStore, StoreEntry, StoreRequest, StoreResponse};
use caperstile_types::Timestamp;
use serde_json::Value;
use std::collections::BTreeMap;

/// Time of day at the start of a test, in milliseconds since 1970.
pub const START_MS: u64 = 1_700_000_000_000;

/// An in-memory state service with revisions.
#[derive(Default)]
pub struct FakeStateService {
    pub keys: BTreeMap<String, (u64, Value)>,
    pub revision: u64,
}

impl FakeStateService {
    pub fn apply(&mut self, write: &ConditionalWrite) -> StoreResponse {
        let revision_of = |key: &String| self.keys.get(key).map_or(0, |(revision, _)| *revision);
        if write.conditions.iter().any(|condition| revision_of(&condition.key) != condition.revision) {
            return StoreResponse::Conflict;
        }
        self.revision += 1;
        for put in &write.puts {
            self.keys.insert(put.key.clone(), (self.revision, put.value.clone()));
        }
        for key in &write.removals {
            self.keys.remove(key);
        }
        StoreResponse::Written { revision: self.revision }
    }

    fn scan(&self, prefix: &str) -> StoreResponse {
        let found = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let entry = |(key, (revision, value)): (&String, &(u64, Value))| StoreEntry {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        StoreResponse::Page { entries: found.map(entry).collect(), more: false }
    }

    pub fn respond(&mut self, request: &StoreRequest) -> StoreResponse {
        match request {
            StoreRequest::Scan { prefix, .. } => self.scan(prefix),
            StoreRequest::Write(write) => self.apply(write),
        }
    }

    /// Answers all requests that a record store sends at time `now`.
    pub fn serve(&mut self, store: &mut RecordStore, now: Timestamp) {
        let mut next = store.tick(now);
        while let Some(outgoing) = next {
            let response = self.respond(&outgoing.request);
            next = store.handle_response(now, outgoing.id, response);
        }
    }
}
