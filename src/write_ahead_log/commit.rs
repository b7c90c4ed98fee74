//! Commits: queued records are written as log entries, several entries in one compare-and-swap transaction.

use super::requests::RequestPurpose;
use super::{LogEvent, LogRecord, MAX_REQUEST_BYTES, WriteAheadLog, log_key};
use crate::store::{StoreRequest, condition};
use crate::types::{LogIndex, Revision, Timestamp};
use crate::wire::{CompareAndSwap, StoreWrite};
use serde_json::Value;

/// Bytes of a value in addition to its records: the brackets of the JSON array.
pub(super) const LIST_OVERHEAD_BYTES: usize = 2;
/// Bytes that separate two records of a value: the comma of the JSON array.
pub(super) const SEPARATOR_BYTES: usize = 1;

impl WriteAheadLog {
    /// Begins a commit if records are queued, no commit is in flight, the commit interval has passed and the write
    /// budget allows it.
    pub(super) fn commit_if_due(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        let has_queued_records = !self.urgent_queue.is_empty() || !self.background_queue.is_empty();
        if has_queued_records
            && !self.in_flight.has(RequestPurpose::Commit)
            && now.since(self.last_commit_at) >= self.commit_interval
            && self.write_budget.available() >= 1.0
        {
            self.commit(now, out);
        }
    }

    /// Commits queued records, urgent ones first: fills each entry up to the size limit of a value and writes as many
    /// entries as one request may contain.
    fn commit(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        let mut swap = self.conditional_on_leadership(Vec::new());
        let max_entries = self.max_entries_per_commit();
        let mut entry: Vec<Value> = Vec::new();
        let mut entry_bytes = LIST_OVERHEAD_BYTES;
        while let Some(record) = self.peek_queued() {
            let value = serde_json::to_value(record).unwrap_or_default();
            let bytes = value.to_string().len() + SEPARATOR_BYTES;
            if !entry.is_empty() && entry_bytes + bytes > self.max_value_bytes {
                self.add_entry(&mut swap, std::mem::take(&mut entry));
                entry_bytes = LIST_OVERHEAD_BYTES;
                if swap.writes.len() >= max_entries {
                    break;
                }
            }
            entry_bytes += bytes;
            entry.push(value);
            let record = self.pop_queued();
            self.committing.extend(record);
        }
        if !entry.is_empty() {
            self.add_entry(&mut swap, entry);
        }
        self.last_commit_at = now;
        self.write_budget.take(swap.writes.len() as f64);
        self.in_flight.send(now, RequestPurpose::Commit, StoreRequest::CompareAndSwap(swap), out);
    }

    /// Returns how many entries a commit may write: limited by the writes per request, the request size and the write
    /// budget, but at least one.
    fn max_entries_per_commit(&self) -> usize {
        let by_size = MAX_REQUEST_BYTES / self.max_value_bytes;
        let by_budget = self.write_budget.available() as usize;
        self.max_writes.min(by_size).min(by_budget).max(1)
    }

    fn peek_queued(&self) -> Option<&LogRecord> {
        self.urgent_queue.front().or(self.background_queue.front())
    }

    fn pop_queued(&mut self) -> Option<LogRecord> {
        self.urgent_queue.pop_front().or_else(|| self.background_queue.pop_front())
    }

    /// Adds the write of the next log entry, on condition that its key does not exist.
    fn add_entry(&mut self, swap: &mut CompareAndSwap, records: Vec<Value>) {
        let key = log_key(self.next_index);
        self.next_index = LogIndex(self.next_index.0 + 1);
        self.entries_since_snapshot += 1;
        swap.conditions.push(condition(&key, Revision(0)));
        swap.writes.push(StoreWrite::Put { key, value: records.into(), lease: None });
    }

    /// Creates a transaction that executes these writes only if the leader key still has the revision at which this
    /// node was elected.
    pub(super) fn conditional_on_leadership(&self, writes: Vec<StoreWrite>) -> CompareAndSwap {
        let holds_leader_key = condition(self.format.leader_key(), Revision(self.token.0));
        CompareAndSwap { conditions: vec![holds_leader_key], writes }
    }
}
