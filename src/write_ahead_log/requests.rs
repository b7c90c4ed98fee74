//! Requests of the write-ahead log to the state service that are in flight, and their retries.

use super::LogEvent;
use super::snapshot::MANIFEST_KEY;
use crate::store::StoreRequest;
use crate::types::{Duration, Timestamp};
use crate::wire::StoreWrite;

/// Time after which a request without a response is retried.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// The purpose of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    /// Reads a page of the snapshot.
    LoadSnapshot,
    /// Reads a page of log entries.
    LoadEntries,
    /// Writes log entries.
    Commit,
    /// Executes a step of a snapshot, or of the deletion of obsolete keys.
    Snapshot,
    /// Reads the manifest's revision when it is not known, after a write of it failed or its response could not be
    /// parsed.
    ReadManifestRevision,
    /// Writes a key that nobody reads, to obtain a higher revision.
    RaiseRevision,
}

/// A request without a response.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    id: u64,
    pub(super) purpose: RequestPurpose,
    request: StoreRequest,
    sent_at: Timestamp,
    /// When it is retried, if an attempt has failed; `None` while the response is pending.
    retry_at: Option<Timestamp>,
}

impl InFlightRequest {
    /// Whether it is a transaction that writes the manifest.
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

/// Whether these writes include the manifest.
pub(super) fn writes_manifest(writes: &[StoreWrite]) -> bool {
    writes.iter().any(|write| matches!(write, StoreWrite::Put { key, .. } if key == MANIFEST_KEY))
}

/// All requests in flight. A request gets a new number with each attempt, so that responses to earlier attempts are
/// ignored.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    requests: Vec<InFlightRequest>,
    /// The last number given to a request.
    counter: u64,
}

impl InFlightRequests {
    /// Sends a request and tracks it until its response is taken.
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

    /// Resends, unchanged, the requests that have timed out or are due for a retry.
    pub(super) fn resend_due(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        for in_flight in self.requests.iter_mut().filter(|in_flight| in_flight.is_due(now)) {
            self.counter += 1;
            in_flight.id = self.counter;
            in_flight.sent_at = now;
            in_flight.retry_at = None;
            out.push(LogEvent::Request(self.counter, in_flight.request.clone()));
        }
    }

    /// Returns the purpose of the request with this number; `None` if no such request is in flight.
    pub(super) fn purpose(&self, id: u64) -> Option<RequestPurpose> {
        self.requests.iter().find(|in_flight| in_flight.id == id).map(|in_flight| in_flight.purpose)
    }

    /// Removes the request with this number after its response was handled.
    pub(super) fn take(&mut self, id: u64) -> Option<InFlightRequest> {
        let position = self.requests.iter().position(|in_flight| in_flight.id == id)?;
        Some(self.requests.remove(position))
    }

    /// Schedules a retry of a request whose attempt has failed.
    pub(super) fn retry_at(&mut self, id: u64, at: Timestamp) {
        if let Some(in_flight) = self.requests.iter_mut().find(|in_flight| in_flight.id == id) {
            in_flight.retry_at = Some(at);
        }
    }

    /// Whether a request with this purpose is in flight.
    pub(super) fn has(&self, purpose: RequestPurpose) -> bool {
        self.requests.iter().any(|in_flight| in_flight.purpose == purpose)
    }
}
