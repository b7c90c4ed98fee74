//! The state service as operators' commands use it: reads that are retried, and compare-and-swap.

use super::error::{CommandError, Refusal, Unreached};
use crate::runtime::StoreClient;
use crate::store::{ServiceResponse, StoreRequest};
use crate::wire::{KeyPage, KeyValue};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause between two attempts, and between two reads of a status that is waited for.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Attempts at a request to the state service that was not carried out.
const MAX_ATTEMPTS: u32 = 4;

/// A value with the revision of its key.
pub(super) struct Versioned<T> {
    pub(super) value: T,
    pub(super) revision: u64,
}

/// A client of the state service.
pub(crate) struct StateClient {
    client: StoreClient,
}

impl StateClient {
    /// A client that is not connected yet.
    pub(super) fn new(client: StoreClient) -> StateClient {
        StateClient { client }
    }

    /// Sends a request, and again as long as nothing was done.
    pub(super) fn send(&self, request: &StoreRequest) -> Result<ServiceResponse, CommandError> {
        let mut last = ServiceResponse::none();
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                std::thread::sleep(POLL_INTERVAL);
            }
            last = self.client.ask(request.clone());
            let answered = matches!(last.status, 200 | 400 | 404 | 409);
            // A write without an answer may have been carried out: it is not repeated blindly.
            if answered || (last.status == 0 && matches!(request, StoreRequest::CompareAndSwap(_))) {
                return Ok(last);
            }
        }
        let failure = if last.status == 0 { Unreached::NoAnswer } else { Unreached::Status(last.status) };
        Err(CommandError::NotReached(failure))
    }

    /// The value of a key, if there is one.
    pub(super) fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<Versioned<T>>, CommandError> {
        let response = self.send(&StoreRequest::Get(key.to_string()))?;
        if response.status == 404 {
            return Ok(None);
        }
        let unreadable = || CommandError::Refused(Refusal::UnreadableValue(key.to_string()));
        let found: KeyValue = response.parse().ok_or_else(unreadable)?;
        let value = serde_json::from_value(found.value).map_err(|_| unreadable())?;
        Ok(Some(Versioned { value, revision: found.revision }))
    }

    /// All readable values under a prefix, by the rest of their key.
    pub(super) fn scan<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<BTreeMap<String, Versioned<T>>, CommandError> {
        let mut found = BTreeMap::new();
        let mut after = None;
        loop {
            let page = self.scan_page(prefix, after.take())?;
            after = page.items.last().filter(|_| page.more).map(|item| item.key.clone());
            for item in page.items {
                let value = serde_json::from_value(item.value).ok();
                if let Some((name, value)) = item.key.strip_prefix(prefix).zip(value) {
                    found.insert(name.to_string(), Versioned { value, revision: item.revision });
                }
            }
            if after.is_none() {
                return Ok(found);
            }
        }
    }

    fn scan_page(&self, prefix: &str, after: Option<String>) -> Result<KeyPage, CommandError> {
        let response = self.send(&StoreRequest::Scan { prefix: prefix.to_string(), after })?;
        response.parse().ok_or(CommandError::NotReached(Unreached::UnreadableAnswer))
    }
}
