//! Commits: what waits is written as entries of the log, several in one compare-and-swap.

use super::requests::RequestPurpose;
use super::{LogEvent, LogRecord, MAX_REQUEST_BYTES, WriteAheadLog, log_key};
use crate::store::{StoreRequest, condition};
use crate::types::{LogIndex, Revision, Timestamp};
use crate::wire::{CompareAndSwap, StoreWrite};
use serde_json::Value;

/// Bytes of a value around its records: the brackets of a list.
pub(super) const LIST_BYTES: usize = 2;
/// Bytes between two records of a list.
pub(super) const SEPARATOR_BYTES: usize = 1;

impl WriteAheadLog {
    /// Begins a commit if something waits and none is in flight, at most once per commit interval.
    pub(super) fn commit_if_due(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        let waits = !self.urgent_queue.is_empty() || !self.background_queue.is_empty();
        if waits
            && !self.in_flight.has(RequestPurpose::Commit)
            && now.since(self.last_commit_at) >= self.commit_interval
            && self.write_budget.available() >= 1.0
        {
            self.commit(now, out);
        }
    }

    /// Writes what waits: as many entries in one request as it may hold, each as full as a value may be.
    fn commit(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        let mut swap = self.while_leading(Vec::new());
        let max_entries = self.max_entries_per_commit();
        let mut entry: Vec<Value> = Vec::new();
        let mut entry_bytes = LIST_BYTES;
        while let Some(record) = self.next_waiting() {
            let value = serde_json::to_value(record).unwrap_or_default();
            let bytes = value.to_string().len() + SEPARATOR_BYTES;
            if !entry.is_empty() && entry_bytes + bytes > self.value_bytes {
                self.add_entry(&mut swap, std::mem::take(&mut entry));
                entry_bytes = LIST_BYTES;
                if swap.writes.len() >= max_entries {
                    break;
                }
            }
            entry_bytes += bytes;
            entry.push(value);
            let record = self.take_next_waiting();
            self.committing.extend(record);
        }
        if !entry.is_empty() {
            self.add_entry(&mut swap, entry);
        }
        self.last_commit_at = now;
        self.write_budget.take(swap.writes.len() as f64);
        self.in_flight.send(now, RequestPurpose::Commit, StoreRequest::CompareAndSwap(swap), out);
    }

    /// Limited by the store, by the size of a request and by the write budget; one at the least.
    fn max_entries_per_commit(&self) -> usize {
        let by_size = MAX_REQUEST_BYTES / self.value_bytes;
        let by_budget = self.write_budget.available() as usize;
        self.max_writes.min(by_size).min(by_budget).max(1)
    }

    fn next_waiting(&self) -> Option<&LogRecord> {
        self.urgent_queue.front().or(self.background_queue.front())
    }

    fn take_next_waiting(&mut self) -> Option<LogRecord> {
        self.urgent_queue.pop_front().or_else(|| self.background_queue.pop_front())
    }

    /// Adds the next entry of the log, on condition that it does not exist.
    fn add_entry(&mut self, swap: &mut CompareAndSwap, records: Vec<Value>) {
        let key = log_key(self.next_index);
        self.next_index = LogIndex(self.next_index.0 + 1);
        self.entries_since_snapshot += 1;
        swap.conditions.push(condition(&key, Revision(0)));
        swap.writes.push(StoreWrite::Put { key, value: records.into(), lease: None });
    }

    /// Writes on condition that this node still holds the leader key.
    pub(super) fn while_leading(&self, writes: Vec<StoreWrite>) -> CompareAndSwap {
        let leads = condition(self.format.leader_key(), Revision(self.token.0));
        CompareAndSwap { conditions: vec![leads], writes }
    }
}
