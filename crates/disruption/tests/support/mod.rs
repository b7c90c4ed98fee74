//! Stand-ins for the tests of this package.
#![allow(dead_code)] // Each test uses some of them.

use caperstile_disruption::store::{Answer, Call, Entry, Write};
use serde_json::Value;
use std::collections::BTreeMap;

/// A state service that keeps revisions.
#[derive(Default)]
pub struct Service {
    pub keys: BTreeMap<String, (u64, Value)>,
    pub revision: u64,
}

impl Service {
    pub fn apply(&mut self, write: &Write) -> Answer {
        let stamp = |key: &String| self.keys.get(key).map_or(0, |(revision, _)| *revision);
        if write.conditions.iter().any(|(key, revision)| stamp(key) != *revision) {
            return Answer::Conflict;
        }
        self.revision += 1;
        for (key, value) in &write.puts {
            self.keys.insert(key.clone(), (self.revision, value.clone()));
        }
        for key in &write.removals {
            self.keys.remove(key);
        }
        Answer::Written { revision: self.revision }
    }

    fn scan(&self, prefix: &str) -> Answer {
        let found = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let entry = |(key, (revision, value)): (&String, &(u64, Value))| Entry {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        Answer::Page { entries: found.map(entry).collect(), more: false }
    }

    pub fn answer(&mut self, call: &Call) -> Answer {
        match call {
            Call::Scan { prefix, .. } => self.scan(prefix),
            Call::Write(write) => self.apply(write),
        }
    }
}
