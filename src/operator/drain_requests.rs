//! Requests for drains in the state service: read, written on condition, and followed until the leader has answered.

use super::error::{CommandError, Doubt, Refusal};
use super::state_client::{POLL_INTERVAL, StateClient, Versioned};
use crate::store::{StoreRequest, condition};
use crate::types::Revision;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, StoreWrite};
use caperstile_disruption::record_keys::{REQUEST_PREFIX, STATUS_PREFIX, request_key, status_key};
use caperstile_disruption::records::{DrainRequest, DrainStatus};
use std::time::{Duration, Instant};

/// Drains as the state service has them.
pub(super) struct DrainRequests<'a> {
    client: &'a StateClient,
}

/// A drain as operators see it.
pub(super) struct DrainSummary {
    pub(super) name: String,
    /// None for one whose request is gone.
    pub(super) request: Option<DrainRequest>,
    /// None as long as no leader has accepted it.
    pub(super) status: Option<DrainStatus>,
}

impl<'a> DrainRequests<'a> {
    /// The drains in the state service of this client.
    pub(super) fn new(client: &'a StateClient) -> DrainRequests<'a> {
        DrainRequests { client }
    }

    /// A request, if there is one of this name.
    pub(super) fn request(&self, name: &str) -> Result<Option<Versioned<DrainRequest>>, CommandError> {
        self.client.get(&request_key(name))
    }

    fn status(&self, name: &str) -> Result<Option<DrainStatus>, CommandError> {
        Ok(self.client.get(&status_key(name))?.map(|found| found.value))
    }

    /// Writes a request on condition that it has this revision, 0: that there is none. Returns its new revision; `None`: another
    /// operator was faster.
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

    /// After a write without an answer: the key tells whether it was carried out.
    fn resolve_unanswered_write(
        &self,
        name: &str,
        request: &DrainRequest,
        before: u64,
    ) -> Result<Option<u64>, CommandError> {
        match self.request(name) {
            Ok(Some(found)) if found.revision > before && found.value == *request => Ok(Some(found.revision)),
            Ok(Some(found)) if found.revision > before => Ok(None),
            _ => Err(CommandError::InDoubt(Doubt::WriteUnanswered(name.to_string()))),
        }
    }

    /// Waits until a leader has answered the request of this revision or a later one.
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
                let doubt = Doubt::NotAccepted { name: name.to_string(), waited_s: timeout.as_secs() };
                return Err(CommandError::InDoubt(doubt));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// One drain.
    pub(super) fn show(&self, name: &str) -> Result<DrainSummary, CommandError> {
        let request = self.request(name)?.map(|found| found.value);
        let status = self.status(name)?;
        if request.is_none() && status.is_none() {
            return Err(CommandError::Refused(Refusal::NoSuchDrain(name.to_string())));
        }
        Ok(DrainSummary { name: name.to_string(), request, status })
    }

    /// All drains, in the order in which they were requested.
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
