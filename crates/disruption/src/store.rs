//! Keeps the durable records in step with what the coordinator wants, and follows operators' requests.
//!
//! One call is under way at a time. Every write is conditional on the revision at which this leader read or wrote the key last, so
//! that a transaction which is carried out late, after newer ones, changes nothing. After an answer that was lost or a condition
//! that failed all keys are read again, and what differs is written anew.

use crate::records::{PREFIX, REQUESTS, Request, request_key};
use caperstile_types::{Duration, Timestamp, TokenBucket};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Without an answer for so long a call is given up; it may still be carried out.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a call that was not carried out.
const RETRY_AFTER: Duration = Duration::from_millis(700);
/// How often operators' requests are read.
const FOLLOW_EVERY: Duration = Duration::from_secs(2);

/// A call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Read keys in order.
    Scan {
        /// With this prefix.
        prefix: String,
        /// After this key.
        after: Option<String>,
    },
    /// Change keys, on condition that this node still leads.
    Write(Write),
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Write {
    /// Keys and the revisions that they must have; 0: must not exist.
    pub conditions: Vec<(String, u64)>,
    /// What is put.
    pub puts: Vec<(String, Value)>,
    /// What is removed.
    pub removals: Vec<String>,
}

/// A key as it is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of its last change.
    pub revision: u64,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A page of keys.
    Page {
        /// The keys.
        entries: Vec<Entry>,
        /// Whether there are more.
        more: bool,
    },
    /// The transaction was carried out at this revision.
    Written {
        /// Revision.
        revision: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict,
    /// Nothing was done.
    Refused,
    /// No answer: it may have been carried out, or may yet be.
    Lost,
}

#[derive(Debug)]
enum Pending {
    /// All keys, or those of the operators' requests.
    Read {
        prefix: &'static str,
        found: Vec<Entry>,
    },
    Write(Write),
}

#[derive(Debug)]
struct InFlight {
    id: u64,
    pending: Pending,
    sent: Timestamp,
}

/// A request as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Asked {
    /// The request; none if it cannot be read.
    pub request: Option<Request>,
    /// Revision of its key.
    pub revision: u64,
}

/// State of the store's follower.
#[derive(Debug)]
pub struct Store {
    loaded: bool,
    reload: bool,
    stored: BTreeMap<String, (u64, Value)>,
    wanted: BTreeMap<String, Value>,
    /// Keys whose stored value may differ, in the order in which they are to be written.
    dirty: VecDeque<String>,
    /// The same keys, to find them.
    marked: BTreeSet<String>,
    requests: BTreeMap<String, Asked>,
    in_flight: Option<InFlight>,
    calls: u64,
    next_call: Timestamp,
    next_follow: Timestamp,
    ops: usize,
    /// Writes that may be made now.
    write_budget: TokenBucket,
}

impl Store {
    /// A store of which nothing is known yet; so many changes fit into a transaction, and so many may be made a second.
    pub fn new(now: Timestamp, ops: usize, rate: f64) -> Store {
        Store {
            loaded: false,
            reload: false,
            stored: BTreeMap::new(),
            wanted: BTreeMap::new(),
            dirty: VecDeque::new(),
            marked: BTreeSet::new(),
            requests: BTreeMap::new(),
            in_flight: None,
            calls: 0,
            next_call: now,
            next_follow: now,
            ops,
            write_budget: TokenBucket::new(now, rate, rate.max(1.0), rate.max(1.0)),
        }
    }

    /// Whether everything was read.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// What is stored under keys with this prefix.
    pub fn stored_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        let from = self.stored.range(prefix.to_string()..);
        from.take_while(move |(key, _)| key.starts_with(prefix)).map(|(key, (_, value))| (key, value))
    }

    /// What is stored under a key.
    pub fn stored(&self, key: &str) -> Option<&Value> {
        self.stored.get(key).map(|(_, value)| value)
    }

    /// Operators' requests as they were read last.
    pub fn requests(&self) -> &BTreeMap<String, Asked> {
        &self.requests
    }

    /// Whether all that is wanted is stored.
    pub fn settled(&self) -> bool {
        self.loaded
            && self.dirty.is_empty()
            && !matches!(&self.in_flight, Some(f) if matches!(f.pending, Pending::Write(_)))
    }

    /// Wants a key to have this value.
    pub fn put(&mut self, key: String, value: Value) {
        if self.wanted.get(&key) != Some(&value) {
            self.wanted.insert(key.clone(), value);
            self.mark(key);
        }
    }

    /// Wants a key to be gone.
    pub fn remove(&mut self, key: String) {
        if self.wanted.remove(&key).is_some() || self.stored.contains_key(&key) {
            self.mark(key);
        }
    }

    /// Keys that are wanted to have a value.
    pub fn wanted_keys(&self) -> impl Iterator<Item = &String> {
        self.wanted.keys()
    }

    /// Removes an operator's request, unless it was changed since it was read. It is among the requests until that is done.
    pub fn remove_request(&mut self, name: &str) {
        let Some(asked) = self.requests.get(name) else { return };
        let key = request_key(name);
        self.stored.insert(key.clone(), (asked.revision, Value::Null));
        self.mark(key);
    }

    /// Drops what is stored and not wanted.
    pub fn drop_unwanted(&mut self) {
        let strays = self.stored.keys().filter(|key| !key.starts_with(REQUESTS) && !self.wanted.contains_key(*key));
        for key in strays.cloned().collect::<Vec<_>>() {
            self.mark(key);
        }
    }

    fn mark(&mut self, key: String) {
        if self.marked.insert(key.clone()) {
            self.dirty.push_back(key);
        }
    }

    /// Lets time pass: the next call, if one is due.
    pub fn tick(&mut self, now: Timestamp) -> Option<(u64, Call)> {
        self.write_budget.refill(now);
        if let Some(flight) = &self.in_flight {
            if now.since(flight.sent) < CALL_TIMEOUT {
                return None;
            }
            self.lost(now);
        }
        if now < self.next_call {
            return None;
        }
        if !self.loaded || self.reload {
            return Some(self.read(now, PREFIX, None, Vec::new()));
        }
        if now >= self.next_follow {
            self.next_follow = now + FOLLOW_EVERY;
            return Some(self.read(now, REQUESTS, None, Vec::new()));
        }
        self.write(now)
    }

    fn send(&mut self, now: Timestamp, pending: Pending, call: Call) -> (u64, Call) {
        self.calls += 1;
        self.in_flight = Some(InFlight { id: self.calls, pending, sent: now });
        (self.calls, call)
    }

    fn read(&mut self, now: Timestamp, prefix: &'static str, after: Option<String>, found: Vec<Entry>) -> (u64, Call) {
        let call = Call::Scan { prefix: prefix.to_string(), after };
        self.send(now, Pending::Read { prefix, found }, call)
    }

    fn write(&mut self, now: Timestamp) -> Option<(u64, Call)> {
        self.drop_clean();
        let most = self.ops.min(self.write_budget.available() as usize);
        let write = self.next_write(most)?;
        self.write_budget.take((write.puts.len() + write.removals.len()) as f64);
        Some(self.send(now, Pending::Write(write.clone()), Call::Write(write)))
    }

    /// Forgets what became as it is wanted in the meantime.
    fn drop_clean(&mut self) {
        let (stored, wanted) = (&self.stored, &self.wanted);
        let differs = |key: &String| stored.get(key).map(|(_, value)| value) != wanted.get(key);
        self.dirty.retain(differs);
        self.marked.retain(differs);
    }

    fn next_write(&self, most: usize) -> Option<Write> {
        let mut write = Write::default();
        for key in self.dirty.iter().take(most) {
            write.conditions.push((key.clone(), self.stored.get(key).map_or(0, |(revision, _)| *revision)));
            match self.wanted.get(key) {
                Some(value) => write.puts.push((key.clone(), value.clone())),
                None => write.removals.push(key.clone()),
            }
        }
        (!write.conditions.is_empty()).then_some(write)
    }

    /// Takes the answer to a call; the next call, if one follows at once.
    pub fn reply(&mut self, now: Timestamp, id: u64, answer: Answer) -> Option<(u64, Call)> {
        let flight = self.in_flight.take_if(|flight| flight.id == id)?;
        match (flight.pending, answer) {
            (Pending::Read { prefix, mut found }, Answer::Page { entries, more }) => {
                found.extend(entries);
                let after = found.last().filter(|_| more).map(|entry| entry.key.clone());
                if after.is_some() {
                    return Some(self.read(now, prefix, after, found));
                }
                if prefix == PREFIX {
                    self.read_all(found);
                    self.next_follow = now + FOLLOW_EVERY;
                } else {
                    self.read_requests(&found);
                }
            }
            (Pending::Write(write), Answer::Written { revision }) => self.written(write, revision),
            (Pending::Write(_), Answer::Conflict | Answer::Lost) => self.lost(now),
            _ => self.next_call = now + RETRY_AFTER,
        }
        None
    }

    /// What is stored is not known any more.
    fn lost(&mut self, now: Timestamp) {
        let wrote = self.in_flight.take().is_none_or(|flight| matches!(flight.pending, Pending::Write(_)));
        self.reload |= wrote;
        self.next_call = now + RETRY_AFTER;
    }

    fn read_all(&mut self, found: Vec<Entry>) {
        let (requests, kept): (Vec<Entry>, Vec<Entry>) =
            found.into_iter().partition(|entry| entry.key.starts_with(REQUESTS));
        self.read_requests(&requests);
        self.stored = kept.into_iter().map(|entry| (entry.key, (entry.revision, entry.value))).collect();
        if std::mem::replace(&mut self.loaded, true) {
            // What was wanted before still is; whatever differs is written anew.
            let keys: BTreeSet<String> = self.stored.keys().chain(self.wanted.keys()).cloned().collect();
            keys.into_iter().for_each(|key| self.mark(key));
        }
        self.reload = false;
    }

    fn read_requests(&mut self, found: &[Entry]) {
        let named = found.iter().filter_map(|entry| Some((entry.key.strip_prefix(REQUESTS)?, entry)));
        let asked = |entry: &Entry| Asked {
            request: serde_json::from_value(entry.value.clone()).ok(),
            revision: entry.revision,
        };
        self.requests = named.map(|(name, entry)| (name.to_string(), asked(entry))).collect();
    }

    fn written(&mut self, write: Write, revision: u64) {
        for (key, value) in write.puts {
            self.stored.insert(key, (revision, value));
        }
        for key in write.removals {
            self.stored.remove(&key);
            if let Some(name) = key.strip_prefix(REQUESTS) {
                self.requests.remove(name);
            }
        }
        self.drop_clean();
    }
}
