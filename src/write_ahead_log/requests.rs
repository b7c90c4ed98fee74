//! Requests of the log to the key-value store that have not been answered yet.

use super::LogEvent;
use super::snapshot::MANIFEST_KEY;
use crate::store::StoreRequest;
use crate::types::{Duration, Timestamp};
use crate::wire::StoreWrite;

/// Without a response for so long, a request is repeated.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    /// Reads a page of the snapshot.
    LoadSnapshot,
    /// Reads a page of the log's entries.
    LoadEntries,
    /// Writes entries.
    Commit,
    /// Makes a step of a snapshot.
    Snapshot,
    /// Reads the manifest's revision after a write of it got no response.
    ReadManifestRevision,
}

/// A request that has not been answered.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    id: u64,
    pub(super) purpose: RequestPurpose,
    request: StoreRequest,
    sent_at: Timestamp,
    /// When it is repeated after a response that asks for that.
    retry_at: Option<Timestamp>,
}

impl InFlightRequest {
    /// Whether it writes the manifest.
    pub(super) fn writes_manifest(&self) -> bool {
        matches!(&self.request, StoreRequest::CompareAndSwap(swap) if writes_manifest(&swap.writes))
    }

    fn is_due(&self, now: Timestamp) -> bool {
        match self.retry_at {
            Some(retry_at) => now >= retry_at,
            None => now.since(self.sent_at) >= REQUEST_TIMEOUT,
        }
    }
}

/// Whether the manifest is among these writes.
pub(super) fn writes_manifest(writes: &[StoreWrite]) -> bool {
    writes.iter().any(|write| matches!(write, StoreWrite::Put { key, .. } if key == MANIFEST_KEY))
}

/// All requests that have not been answered. Each gets a new number whenever it is sent.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    requests: Vec<InFlightRequest>,
    /// Numbers that were given to requests so far.
    counter: u64,
}

impl InFlightRequests {
    /// Sends a request.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        purpose: RequestPurpose,
        request: StoreRequest,
        out: &mut Vec<LogEvent>,
    ) {
        self.counter += 1;
        let id = self.counter;
        self.requests.push(InFlightRequest { id, purpose, request: request.clone(), sent_at: now, retry_at: None });
        out.push(LogEvent::Request(id, request));
    }

    /// Repeats, as they were, the requests that got no response or are due for a retry.
    pub(super) fn repeat_due(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        for in_flight in self.requests.iter_mut().filter(|in_flight| in_flight.is_due(now)) {
            self.counter += 1;
            in_flight.id = self.counter;
            in_flight.sent_at = now;
            in_flight.retry_at = None;
            out.push(LogEvent::Request(self.counter, in_flight.request.clone()));
        }
    }

    /// What the request with this number is for, if it waits for a response.
    pub(super) fn purpose(&self, id: u64) -> Option<RequestPurpose> {
        self.requests.iter().find(|in_flight| in_flight.id == id).map(|in_flight| in_flight.purpose)
    }

    /// Takes an answered request out.
    pub(super) fn take(&mut self, id: u64) -> Option<InFlightRequest> {
        let position = self.requests.iter().position(|in_flight| in_flight.id == id)?;
        Some(self.requests.remove(position))
    }

    /// Repeats a request at this time.
    pub(super) fn retry_at(&mut self, id: u64, at: Timestamp) {
        if let Some(in_flight) = self.requests.iter_mut().find(|in_flight| in_flight.id == id) {
            in_flight.retry_at = Some(at);
        }
    }

    /// Whether a request for this purpose waits for a response.
    pub(super) fn has(&self, purpose: RequestPurpose) -> bool {
        self.requests.iter().any(|in_flight| in_flight.purpose == purpose)
    }
}
