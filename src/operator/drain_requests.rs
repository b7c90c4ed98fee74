//! Drain requests in the state service: reading them, writing them with compare-and-swap, and waiting for the leader's
//! response.

use super::error::{CommandError, Refusal, Uncertainty};
use super::state_client::{POLL_INTERVAL, StateClient, Versioned};
use crate::store::{StoreRequest, condition};
use crate::types::Revision;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, StoreWrite};
use caperstile_disruption::record_keys::{REQUEST_PREFIX, STATUS_PREFIX, request_key, status_key};
use caperstile_disruption::records::{DrainRequest, DrainStatus};
use std::time::{Duration, Instant};

/// Access to the requests and statuses of drains in the state service.
pub(super) struct DrainRequests<'a> {
    client: &'a StateClient,
}

/// A drain as shown to operators.
pub(super) struct DrainSummary {
    pub(super) name: String,
    /// `None` if the request has been deleted.
    pub(super) request: Option<DrainRequest>,
    /// `None` until a leader has accepted or refused the request.
    pub(super) status: Option<DrainStatus>,
}

impl<'a> DrainRequests<'a> {
    /// Creates an accessor that uses `client`.
    pub(super) fn new(client: &'a StateClient) -> DrainRequests<'a> {
        DrainRequests { client }
    }

    /// Reads the request with this name; `None` if there is none.
    pub(super) fn request(&self, name: &str) -> Result<Option<Versioned<DrainRequest>>, CommandError> {
        self.client.get(&request_key(name))
    }

    fn status(&self, name: &str) -> Result<Option<DrainStatus>, CommandError> {
        Ok(self.client.get(&status_key(name))?.map(|found| found.value))
    }

    /// Writes a request if its key has this revision; 0 requires that the key does not exist. Returns the new revision,
    /// or `None` if another operator has changed the request in the meantime.
    pub(super) fn write(&self, name: &str, request: &DrainRequest, revision: u64) -> Result<Option<u64>, CommandError> {
        let key = request_key(name);
        let value = serde_json::to_value(request).map_err(|error| CommandError::Refused(error.into()))?;
        let conditions = vec![condition(&key, Revision(revision))];
        let write = CompareAndSwap { conditions, writes: vec![StoreWrite::Put { key, value, lease: None }] };
        let response = self.client.send(&StoreRequest::CompareAndSwap(write))?;
        match response.status {
            200 => Ok(response.parse::<CompareAndSwapResponse>().map(|response| response.revision)),
            409 => Ok(None),
            0 => self.resolve_unanswered_write(name, request, revision),
            status => Err(CommandError::Refused(Refusal::StoreStatus(status))),
        }
    }

    /// Determines from the key whether a write without a response was carried out. An unchanged key leaves that
    /// unknown, since the write may still be applied.
    fn resolve_unanswered_write(
        &self,
        name: &str,
        request: &DrainRequest,
        previous_revision: u64,
    ) -> Result<Option<u64>, CommandError> {
        match self.request(name) {
            Ok(Some(found)) if found.revision > previous_revision && found.value == *request => {
                Ok(Some(found.revision))
            }
            Ok(Some(found)) if found.revision > previous_revision => Ok(None),
            _ => Err(CommandError::InDoubt(Uncertainty::WriteWithoutResponse(name.to_string()))),
        }
    }

    /// Polls the status until a leader has responded to the request with this revision or a later one.
    pub(super) fn await_status(
        &self,
        name: &str,
        revision: u64,
        timeout: Duration,
    ) -> Result<DrainStatus, CommandError> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.status(name)?.filter(|status| status.request_revision >= revision) {
                return Ok(status);
            }
            if start.elapsed() >= timeout {
                let uncertainty = Uncertainty::NotAccepted { name: name.to_string(), waited_s: timeout.as_secs() };
                return Err(CommandError::InDoubt(uncertainty));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Reads one drain; fails if it has neither a request nor a status.
    pub(super) fn show(&self, name: &str) -> Result<DrainSummary, CommandError> {
        let request = self.request(name)?.map(|found| found.value);
        let status = self.status(name)?;
        if request.is_none() && status.is_none() {
            return Err(CommandError::Refused(Refusal::NoSuchDrain(name.to_string())));
        }
        Ok(DrainSummary { name: name.to_string(), request, status })
    }

    /// Reads all drains, in the order in which they were requested.
    pub(super) fn show_all(&self) -> Result<Vec<DrainSummary>, CommandError> {
        let mut requests = self.client.scan::<DrainRequest>(REQUEST_PREFIX)?;
        let statuses = self.client.scan::<DrainStatus>(STATUS_PREFIX)?;
        let mut summaries = Vec::new();
        for (name, status) in statuses {
            let request = requests.remove(&name).map(|found| found.value);
            let created = status.value.created_revision;
            summaries.push((created, DrainSummary { name, request, status: Some(status.value) }));
        }
        for (name, request) in requests {
            summaries.push((request.revision, DrainSummary { name, request: Some(request.value), status: None }));
        }
        summaries.sort_by_key(|(created, _)| *created);
        Ok(summaries.into_iter().map(|(_, summary)| summary).collect())
    }
}
