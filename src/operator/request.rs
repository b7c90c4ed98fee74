//! Requests for drains in the state service: read, written on condition, and followed until the leader has answered.

use crate::runtime::StoreClient;
use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::Revision;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, KeyPage, KeyValue, StoreWrite};
use caperstile_disruption::record_keys::{REQUEST_PREFIX, STATUS_PREFIX, request_key, status_key};
use caperstile_disruption::records::{DrainRequest, DrainStatus};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How often an answer is looked for.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// Tries at a request to the state service that was not carried out.
const TRIES: u32 = 4;

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("refused: {0}")]
    Refused(String),
    #[error("not reached: {0}; nothing was changed")]
    NotReached(String),
    #[error("in doubt: {0}")]
    InDoubt(String),
}

/// Drains as the state service has them.
pub(crate) struct Requests {
    client: StoreClient,
}

/// A drain as operators see it.
pub(crate) struct Shown {
    pub name: String,
    /// None for one whose request is gone.
    pub request: Option<DrainRequest>,
    /// None as long as no leader has taken it.
    pub status: Option<DrainStatus>,
}

impl Requests {
    pub(crate) fn new(client: StoreClient) -> Requests {
        Requests { client }
    }

    /// Asks again as long as nothing was done.
    fn ask(&self, call: &StoreRequest) -> Result<ServiceResponse, CommandError> {
        let mut last = ServiceResponse::none();
        for attempt in 0..TRIES {
            if attempt > 0 {
                std::thread::sleep(LOOK_EVERY);
            }
            last = self.client.ask(call.clone());
            let done = matches!(last.status, 200 | 400 | 404 | 409);
            // A write without an answer may have been carried out: it is not repeated blindly.
            if done || (last.status == 0 && matches!(call, StoreRequest::CompareAndSwap(_))) {
                return Ok(last);
            }
        }
        let what = if last.status == 0 { "does not answer".into() } else { format!("answers {}", last.status) };
        Err(CommandError::NotReached(format!("the state service {what}")))
    }

    /// What stands under a key, and its revision.
    pub(crate) fn get<T: serde::de::DeserializeOwned>(&self, key: &str) -> Result<Option<(T, u64)>, CommandError> {
        let reply = self.ask(&StoreRequest::Get(key.to_string()))?;
        let unreadable = || CommandError::Refused(format!("what stands under {key} cannot be read"));
        match reply.status {
            404 => Ok(None),
            _ => {
                let found: KeyValue = reply.parse().ok_or_else(unreadable)?;
                let value = serde_json::from_value(found.value).map_err(|_| unreadable())?;
                Ok(Some((value, found.revision)))
            }
        }
    }

    /// A request and its revision.
    pub(crate) fn request(&self, name: &str) -> Result<Option<(DrainRequest, u64)>, CommandError> {
        self.get(&request_key(name))
    }

    /// Writes a request on condition that it has this revision, 0: that there is none. `None`: another operator was faster.
    pub(crate) fn write(&self, name: &str, request: &DrainRequest, revision: u64) -> Result<Option<u64>, CommandError> {
        let key = request_key(name);
        let value = serde_json::to_value(request).map_err(|e| CommandError::Refused(e.to_string()))?;
        let put = StoreWrite::Put { key: key.clone(), value, lease: None };
        let txn = CompareAndSwap { conditions: vec![condition(&key, Revision(revision))], writes: vec![put] };
        let reply = self.ask(&StoreRequest::CompareAndSwap(txn))?;
        match reply.status {
            200 => Ok(reply.parse::<CompareAndSwapResponse>().map(|answer| answer.revision)),
            409 => Ok(None),
            0 => self.settle(name, request, revision),
            _ => Err(CommandError::Refused(format!("the state service answers {} to the request", reply.status))),
        }
    }

    /// After a write without an answer: it is told from the key, if it was carried out.
    fn settle(&self, name: &str, request: &DrainRequest, before: u64) -> Result<Option<u64>, CommandError> {
        let doubt = "the state service did not answer: the request may have been carried out, or may yet be";
        match self.request(name) {
            Ok(Some((found, revision))) if revision > before && found == *request => Ok(Some(revision)),
            Ok(Some((_, revision))) if revision > before => Ok(None),
            _ => Err(CommandError::InDoubt(format!("{doubt}; `drain status {name}` will tell"))),
        }
    }

    /// Waits until a leader has answered what stands in the request since this revision.
    pub(crate) fn await_status(
        &self,
        name: &str,
        revision: u64,
        patience: Duration,
    ) -> Result<DrainStatus, CommandError> {
        let begin = Instant::now();
        loop {
            let status = self.get::<DrainStatus>(&status_key(name))?.map(|(status, _)| status);
            if let Some(status) = status.filter(|status| status.request_revision >= revision) {
                return Ok(status);
            }
            if begin.elapsed() >= patience {
                return Err(CommandError::InDoubt(format!(
                    "the request stands, but no leader has taken it up within {} s; it will as soon as one leads that has \
                     [drains] enabled = yes and has heard of all machines; `drain status {name}` will tell",
                    patience.as_secs()
                )));
            }
            std::thread::sleep(LOOK_EVERY);
        }
    }

    /// One drain.
    pub(crate) fn show(&self, name: &str) -> Result<Shown, CommandError> {
        let request = self.request(name)?.map(|(request, _)| request);
        let status = self.get(&status_key(name))?.map(|(status, _)| status);
        if request.is_none() && status.is_none() {
            return Err(CommandError::Refused(format!("there is no drain {name}")));
        }
        Ok(Shown { name: name.to_string(), request, status })
    }

    /// All drains, in the order in which they were asked for.
    pub(crate) fn show_all(&self) -> Result<Vec<Shown>, CommandError> {
        let mut requests: BTreeMap<String, (DrainRequest, u64)> = self.scan(REQUEST_PREFIX)?;
        let statuses: BTreeMap<String, (DrainStatus, u64)> = self.scan(STATUS_PREFIX)?;
        let mut shown = Vec::new();
        for (name, (status, _)) in statuses {
            let request = requests.remove(&name).map(|(request, _)| request);
            shown.push((status.created_revision, Shown { name, request, status: Some(status) }));
        }
        for (name, (request, revision)) in requests {
            shown.push((revision, Shown { name, request: Some(request), status: None }));
        }
        shown.sort_by_key(|(created, _)| *created);
        Ok(shown.into_iter().map(|(_, shown)| shown).collect())
    }

    fn scan<T: serde::de::DeserializeOwned>(&self, prefix: &str) -> Result<BTreeMap<String, (T, u64)>, CommandError> {
        let mut found = BTreeMap::new();
        let mut after = None;
        loop {
            let reply = self.ask(&StoreRequest::Scan { prefix: prefix.to_string(), after: after.take() })?;
            let Some(page) = reply.parse::<KeyPage>() else {
                return Err(CommandError::NotReached("the state service's answer cannot be read".into()));
            };
            after = page.items.last().filter(|_| page.more).map(|item| item.key.clone());
            for item in page.items {
                let value = serde_json::from_value(item.value).ok();
                if let Some((name, value)) = item.key.strip_prefix(prefix).zip(value) {
                    found.insert(name.to_string(), (value, item.revision));
                }
            }
            if after.is_none() {
                return Ok(found);
            }
        }
    }
}
