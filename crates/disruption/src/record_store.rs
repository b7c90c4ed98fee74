//! Writes the records that the coordinator desires to the state service, and polls the requests of operators.
//!
//! At most one request is in flight. Every write is conditional on the revision at which this leader last read or
//! wrote each key, so that a transaction that is executed late, after newer ones, fails and changes nothing. If the
//! outcome of a write is unknown or one of its conditions failed, the store reads all keys again and writes those that
//! differ from the desired records.

mod messages;

use crate::record_keys::{PREFIX, REQUEST_PREFIX, request_key};
use crate::records::DrainRequest;
use caperstile_types::{Duration, Timestamp, TokenBucket};
pub use messages::{
    ConditionalWrite, OutgoingRequest, RevisionCondition, StoreEntry, StorePut, StoreRequest, StoreResponse,
};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A request without a response times out after this time. The state service may still execute it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next request after one that failed, was rejected or timed out.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Interval at which operators' requests are read.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The operation that the request in flight performs.
#[derive(Debug)]
enum InFlightOperation {
    /// Reads all keys, or only the operators' requests, page by page.
    Read {
        prefix: &'static str,
        found: Vec<StoreEntry>,
    },
    Write(ConditionalWrite),
}

#[derive(Debug)]
struct InFlightRequest {
    id: u64,
    operation: InFlightOperation,
    sent_at: Timestamp,
}

impl InFlightRequest {
    fn is_write(&self) -> bool {
        matches!(self.operation, InFlightOperation::Write(_))
    }
}

/// The value and revision of a key when it was last read or written.
#[derive(Debug)]
struct ObservedValue {
    revision: u64,
    value: Value,
}

/// An operator's request when it was last read.
#[derive(Debug, Clone, PartialEq)]
pub struct ObservedRequest {
    /// The request, or `None` if the value cannot be parsed.
    pub request: Option<DrainRequest>,
    /// Revision at which the request was last changed.
    pub revision: u64,
}

/// The observed records, last seen in the state service, and the desired records, which are to be written there.
#[derive(Debug)]
pub struct RecordStore {
    is_loaded: bool,
    reload_needed: bool,
    observed: BTreeMap<String, ObservedValue>,
    desired: BTreeMap<String, Value>,
    /// Keys whose observed value may differ from the desired one, in the order in which they will be written.
    pending_writes: VecDeque<String>,
    /// The keys in `pending_writes`, as a set for lookups.
    pending_keys: BTreeSet<String>,
    requests: BTreeMap<String, ObservedRequest>,
    in_flight: Option<InFlightRequest>,
    request_counter: u64,
    next_request_at: Timestamp,
    next_poll_at: Timestamp,
    max_operations: usize,
    /// Limits the rate of changed keys.
    write_budget: TokenBucket,
}

impl RecordStore {
    /// Creates a store that has not read any records yet. One transaction changes at most `max_operations` keys, and at
    /// most `writes_per_second` keys are changed per second on average.
    pub fn new(now: Timestamp, max_operations: usize, writes_per_second: f64) -> RecordStore {
        let burst = writes_per_second.max(1.0);
        RecordStore {
            is_loaded: false,
            reload_needed: false,
            observed: BTreeMap::new(),
            desired: BTreeMap::new(),
            pending_writes: VecDeque::new(),
            pending_keys: BTreeSet::new(),
            requests: BTreeMap::new(),
            in_flight: None,
            request_counter: 0,
            next_request_at: now,
            next_poll_at: now,
            max_operations,
            write_budget: TokenBucket::new(now, writes_per_second, burst, burst),
        }
    }

    /// Whether all keys have been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns the observed values of all keys with this prefix, in order of the keys.
    pub fn observed_with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        let from = self.observed.range(prefix.to_string()..);
        from.take_while(move |(key, _)| key.starts_with(prefix)).map(|(key, observed)| (key, &observed.value))
    }

    /// Returns the observed value of a key, which is durable. `None` if the key is not known to exist.
    pub fn observed(&self, key: &str) -> Option<&Value> {
        self.observed.get(key).map(|observed| &observed.value)
    }

    /// Returns the operators' requests that were last read, by name of the drain.
    pub fn requests(&self) -> &BTreeMap<String, ObservedRequest> {
        &self.requests
    }

    /// Whether all observed records equal the desired ones and no write is in flight.
    pub fn is_reconciled(&self) -> bool {
        self.is_loaded
            && self.pending_writes.is_empty()
            && !self.in_flight.as_ref().is_some_and(InFlightRequest::is_write)
    }

    /// Sets the desired value of a key. The store writes it if it differs from the observed one.
    pub fn set_desired(&mut self, key: String, value: Value) {
        if self.desired.get(&key) != Some(&value) {
            self.desired.insert(key.clone(), value);
            self.enqueue(key);
        }
    }

    /// Clears the desired value of a key. The store removes the key from the state service.
    pub fn clear_desired(&mut self, key: String) {
        if self.desired.remove(&key).is_some() || self.observed.contains_key(&key) {
            self.enqueue(key);
        }
    }

    /// Returns all keys with a desired value.
    pub fn desired_keys(&self) -> impl Iterator<Item = &String> {
        self.desired.keys()
    }

    /// Removes an operator's request, unless it was changed since it was read. `requests` contains it until the
    /// removal is durable.
    pub fn remove_request(&mut self, name: &str) {
        let Some(request) = self.requests.get(name) else { return };
        let key = request_key(name);
        let observed = ObservedValue { revision: request.revision, value: Value::Null };
        self.observed.insert(key.clone(), observed);
        self.enqueue(key);
    }

    /// Removes all observed records without a desired value. Operators' requests are kept.
    pub fn remove_undesired(&mut self) {
        let is_undesired = |key: &&String| !key.starts_with(REQUEST_PREFIX) && !self.desired.contains_key(*key);
        let undesired: Vec<String> = self.observed.keys().filter(is_undesired).cloned().collect();
        undesired.into_iter().for_each(|key| self.enqueue(key));
    }

    fn enqueue(&mut self, key: String) {
        if self.pending_keys.insert(key.clone()) {
            self.pending_writes.push_back(key);
        }
    }

    /// Advances time to `now`. Returns the next request to send, if one is due. A request in flight that has timed out
    /// is given up.
    pub fn tick(&mut self, now: Timestamp) -> Option<OutgoingRequest> {
        self.write_budget.refill(now);
        if let Some(in_flight) = &self.in_flight {
            if now.since(in_flight.sent_at) < REQUEST_TIMEOUT {
                return None;
            }
            self.handle_unknown_outcome(now);
        }
        if now < self.next_request_at {
            return None;
        }
        if !self.is_loaded || self.reload_needed {
            return Some(self.start_read(now, PREFIX, None, Vec::new()));
        }
        if now >= self.next_poll_at {
            self.next_poll_at = now + REQUEST_POLL_INTERVAL;
            return Some(self.start_read(now, REQUEST_PREFIX, None, Vec::new()));
        }
        self.start_write(now)
    }

    fn send(&mut self, now: Timestamp, operation: InFlightOperation, request: StoreRequest) -> OutgoingRequest {
        self.request_counter += 1;
        let id = self.request_counter;
        self.in_flight = Some(InFlightRequest { id, operation, sent_at: now });
        OutgoingRequest { id, request }
    }

    fn start_read(
        &mut self,
        now: Timestamp,
        prefix: &'static str,
        after: Option<String>,
        found: Vec<StoreEntry>,
    ) -> OutgoingRequest {
        let request = StoreRequest::Scan { prefix: prefix.to_string(), after };
        self.send(now, InFlightOperation::Read { prefix, found }, request)
    }

    fn start_write(&mut self, now: Timestamp) -> Option<OutgoingRequest> {
        self.drop_reconciled_writes();
        let max_operations = self.max_operations.min(self.write_budget.available() as usize);
        let write = self.next_write(max_operations)?;
        self.write_budget.take(write.operation_count() as f64);
        Some(self.send(now, InFlightOperation::Write(write.clone()), StoreRequest::Write(write)))
    }

    /// Removes pending writes of keys whose observed value equals the desired one by now.
    fn drop_reconciled_writes(&mut self) {
        let (observed, desired) = (&self.observed, &self.desired);
        let differs = |key: &String| observed.get(key).map(|observed| &observed.value) != desired.get(key);
        self.pending_writes.retain(differs);
        self.pending_keys.retain(differs);
    }

    fn next_write(&self, max_operations: usize) -> Option<ConditionalWrite> {
        let mut write = ConditionalWrite::default();
        for key in self.pending_writes.iter().take(max_operations) {
            let revision = self.observed.get(key).map_or(0, |observed| observed.revision);
            write.conditions.push(RevisionCondition { key: key.clone(), revision });
            match self.desired.get(key) {
                Some(value) => write.puts.push(StorePut { key: key.clone(), value: value.clone() }),
                None => write.removals.push(key.clone()),
            }
        }
        (!write.conditions.is_empty()).then_some(write)
    }

    /// Processes the response to a request. Returns the request for the next page if a read is not complete. Responses
    /// to requests that are no longer in flight are ignored.
    pub fn handle_response(&mut self, now: Timestamp, id: u64, response: StoreResponse) -> Option<OutgoingRequest> {
        let in_flight = self.in_flight.take_if(|in_flight| in_flight.id == id)?;
        match (in_flight.operation, response) {
            (InFlightOperation::Read { prefix, found }, StoreResponse::Page { entries, more }) => {
                return self.handle_page(now, prefix, found, entries, more);
            }
            (InFlightOperation::Write(write), StoreResponse::Written { revision }) => self.apply_write(write, revision),
            (InFlightOperation::Write(_), StoreResponse::Conflict | StoreResponse::Unknown) => {
                self.handle_unknown_outcome(now);
            }
            _ => self.next_request_at = now + RETRY_DELAY,
        }
        None
    }

    fn handle_page(
        &mut self,
        now: Timestamp,
        prefix: &'static str,
        mut found: Vec<StoreEntry>,
        entries: Vec<StoreEntry>,
        more: bool,
    ) -> Option<OutgoingRequest> {
        found.extend(entries);
        let after = found.last().filter(|_| more).map(|entry| entry.key.clone());
        if after.is_some() {
            return Some(self.start_read(now, prefix, after, found));
        }
        if prefix == PREFIX {
            self.load_all(found);
            self.next_poll_at = now + REQUEST_POLL_INTERVAL;
        } else {
            self.load_requests(&found);
        }
        None
    }

    /// Gives up the request in flight without knowing whether it was executed. If it was a write, all keys are read
    /// again.
    fn handle_unknown_outcome(&mut self, now: Timestamp) {
        let was_write = self.in_flight.take().is_none_or(|in_flight| in_flight.is_write());
        self.reload_needed |= was_write;
        self.next_request_at = now + RETRY_DELAY;
    }

    fn load_all(&mut self, found: Vec<StoreEntry>) {
        let (requests, records): (Vec<StoreEntry>, Vec<StoreEntry>) =
            found.into_iter().partition(|entry| entry.key.starts_with(REQUEST_PREFIX));
        self.load_requests(&requests);
        let observed = |entry: StoreEntry| ObservedValue { revision: entry.revision, value: entry.value };
        self.observed = records.into_iter().map(|entry| (entry.key.clone(), observed(entry))).collect();
        if std::mem::replace(&mut self.is_loaded, true) {
            // The desired values have not changed. Every key is compared again, and those that differ are written.
            let keys: BTreeSet<String> = self.observed.keys().chain(self.desired.keys()).cloned().collect();
            keys.into_iter().for_each(|key| self.enqueue(key));
        }
        self.reload_needed = false;
    }

    fn load_requests(&mut self, found: &[StoreEntry]) {
        let named = found.iter().filter_map(|entry| Some((entry.key.strip_prefix(REQUEST_PREFIX)?, entry)));
        let observed = |entry: &StoreEntry| ObservedRequest {
            request: serde_json::from_value(entry.value.clone()).ok(),
            revision: entry.revision,
        };
        self.requests = named.map(|(name, entry)| (name.to_string(), observed(entry))).collect();
    }

    fn apply_write(&mut self, write: ConditionalWrite, revision: u64) {
        for put in write.puts {
            self.observed.insert(put.key, ObservedValue { revision, value: put.value });
        }
        for key in write.removals {
            self.observed.remove(&key);
            if let Some(name) = key.strip_prefix(REQUEST_PREFIX) {
                self.requests.remove(name);
            }
        }
        self.drop_reconciled_writes();
    }
}
