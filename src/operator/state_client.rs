//! Client of the state service for operators' commands: reads with retries, and compare-and-swap transactions.

use super::error::{CommandError, Refusal, UnreachableReason};
use crate::runtime::StoreClient;
use crate::store::{ServiceResponse, StoreRequest};
use crate::wire::{KeyPage, KeyValue};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause between two attempts at a request, and between two reads while polling a status.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of attempts at a request that the state service has not carried out.
const MAX_ATTEMPTS: u32 = 4;

/// A decoded value with the revision of its key.
pub(super) struct Versioned<T> {
    pub(super) value: T,
    pub(super) revision: u64,
}

/// Client of the state service that retries requests and decodes values.
pub(crate) struct StateClient {
    client: StoreClient,
}

impl StateClient {
    /// Creates a client; connections are opened with the first request.
    pub(super) fn new(client: StoreClient) -> StateClient {
        StateClient { client }
    }

    /// Sends a request and retries it as long as it certainly had no effect.
    pub(super) fn send(&self, request: &StoreRequest) -> Result<ServiceResponse, CommandError> {
        let mut last_response = ServiceResponse::none();
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                std::thread::sleep(POLL_INTERVAL);
            }
            last_response = self.client.send(request.clone());
            let is_conclusive = matches!(last_response.status, 200 | 400 | 404 | 409);
            // A write without a response may have been carried out, so that repeating it blindly is not safe.
            if is_conclusive || (last_response.status == 0 && matches!(request, StoreRequest::CompareAndSwap(_))) {
                return Ok(last_response);
            }
        }
        let failure = if last_response.status == 0 {
            UnreachableReason::NoResponse
        } else {
            UnreachableReason::Status(last_response.status)
        };
        Err(CommandError::Unreachable(failure))
    }

    /// Reads and decodes the value of a key; `None` if the key does not exist.
    pub(super) fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<Versioned<T>>, CommandError> {
        let response = self.send(&StoreRequest::Get(key.to_string()))?;
        if response.status == 404 {
            return Ok(None);
        }
        let undecodable = || CommandError::Refused(Refusal::UndecodableValue(key.to_string()));
        let found: KeyValue = response.parse().ok_or_else(undecodable)?;
        let value = serde_json::from_value(found.value).map_err(|_| undecodable())?;
        Ok(Some(Versioned { value, revision: found.revision }))
    }

    /// Reads all values under a prefix, by the rest of their key. Values that cannot be decoded are left out.
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
        response.parse().ok_or(CommandError::Unreachable(UnreachableReason::UndecodableResponse))
    }
}
