//! Requests to the cloud: sends and retries them within the rate limit, and handles the responses.

use super::{CloudEvent, CloudInstances, InstancePool, PendingInstance};
use crate::store::ServiceResponse;
use crate::types::{Duration, MachineId, Timestamp};
use crate::wire::{MachineNames, MachinePage, MachineTypes, ScaleOutRequest};
use log::info;

/// A request without a response is retried after this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A request that failed is retried after this time.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Interval at which machine types and prices are fetched.
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which all machines are listed.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Number of requests within the rate limit that scale-out and listing leave for more urgent requests.
const RESERVED_REQUESTS: f64 = 2.0;
/// Maximum number of machines that one request releases.
const MAX_RELEASES_PER_REQUEST: usize = 100;
/// Text in the body of a 503 response when the pool has no capacity. Other 503 responses are failures of the cloud
/// itself.
const NO_CAPACITY: &[u8] = b"no capacity";

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Fetch machine types and prices.
    MachineTypes,
    /// Provision machines.
    ScaleOut(ScaleOutRequest),
    /// Release machines.
    ScaleIn(Vec<MachineId>),
    /// List machines, starting after the one of this name, or with the first for `None`.
    ListMachines(Option<String>),
}

/// A request without a response yet, or one that failed and is to be retried.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    request: CloudRequest,
    sent_at: Timestamp,
    /// When the request is retried, if it failed.
    retry_at: Option<Timestamp>,
}

impl InFlightRequest {
    /// Whether it is time to retry the request.
    fn is_due(&self, now: Timestamp) -> bool {
        match self.retry_at {
            Some(retry_at) => now >= retry_at,
            None => now.since(self.sent_at) >= REQUEST_TIMEOUT,
        }
    }
}

/// What is done with a request after its response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestOutcome {
    Complete,
    Retry,
}

impl CloudInstances {
    /// Returns how many requests may be sent now in addition to the reserved ones, at least one.
    #[must_use]
    pub fn available_requests(&self) -> usize {
        (self.rate_limit.available() - RESERVED_REQUESTS).max(1.0) as usize
    }

    /// Whether a scale-out request has no response yet or is to be retried.
    #[must_use]
    pub fn scale_out_in_flight(&self) -> bool {
        self.any_in_flight(|request| matches!(request, CloudRequest::ScaleOut(_)))
    }

    fn any_in_flight(&self, matches_kind: fn(&CloudRequest) -> bool) -> bool {
        self.in_flight.values().any(|in_flight| matches_kind(&in_flight.request))
    }

    /// Whether the rate limit allows another request now.
    fn may_send(&self) -> bool {
        self.rate_limit.available() >= 1.0
    }

    pub(super) fn send_request(&mut self, now: Timestamp, request: CloudRequest, out: &mut Vec<CloudEvent>) {
        self.request_counter += 1;
        self.rate_limit.take(1.0);
        let in_flight = InFlightRequest { request: request.clone(), sent_at: now, retry_at: None };
        self.in_flight.insert(self.request_counter, in_flight);
        out.push(CloudEvent::Request(self.request_counter, request));
    }

    /// Sends the requests that are due, as far as the rate limit allows: retries first, then the requests for machine
    /// types, for releases and for the list of machines.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        self.rate_limit.refill(now);
        self.retry_due_requests(now, out);
        self.refresh_machine_types(now, out);
        self.request_releases(now, out);
        self.refresh_machine_list(now, out);
    }

    fn retry_due_requests(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        let due = self.in_flight.iter().filter(|(_, in_flight)| in_flight.is_due(now));
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            if !self.may_send() {
                return;
            }
            if let Some(in_flight) = self.in_flight.remove(&id) {
                // A scale-out request is retried under the same name, so that the cloud does not provision it twice.
                self.send_request(now, in_flight.request, out);
            }
        }
    }

    fn refresh_machine_types(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        let is_outdated = self.machine_types.is_none() || now.since(self.machine_types_at) >= MACHINE_TYPES_INTERVAL;
        let in_flight = self.any_in_flight(|request| matches!(request, CloudRequest::MachineTypes));
        if is_outdated && !in_flight && self.may_send() {
            self.send_request(now, CloudRequest::MachineTypes, out);
        }
    }

    fn request_releases(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        let in_flight = self.any_in_flight(|request| matches!(request, CloudRequest::ScaleIn(_)));
        if !self.releasing.is_empty() && !in_flight && self.may_send() {
            let ids = self.releasing.iter().take(MAX_RELEASES_PER_REQUEST).copied().collect();
            self.send_request(now, CloudRequest::ScaleIn(ids), out);
        }
    }

    fn refresh_machine_list(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        let never_listed = self.listed_at == Timestamp::ZERO;
        let is_outdated = never_listed || now.since(self.listed_at) >= LIST_INTERVAL;
        let in_flight = self.any_in_flight(|request| matches!(request, CloudRequest::ListMachines(_)));
        if is_outdated && !in_flight && self.rate_limit.available() >= RESERVED_REQUESTS {
            self.listed_at = now;
            self.send_request(now, CloudRequest::ListMachines(None), out);
        }
    }

    /// Handles a response of the cloud to the request with this number. A response is ignored if the request has been
    /// retried in the meantime or is complete.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        id: u64,
        response: &ServiceResponse,
        is_known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) {
        let Some(mut in_flight) = self.in_flight.remove(&id) else { return };
        let outcome = match &in_flight.request {
            CloudRequest::MachineTypes => self.machine_types_response(now, response),
            CloudRequest::ScaleOut(request) => {
                self.scale_out_response(now, request, in_flight.sent_at, response, is_known, out)
            }
            CloudRequest::ScaleIn(ids) => self.scale_in_response(ids, response, out),
            CloudRequest::ListMachines(_) => self.list_response(now, response, is_known, out),
        };
        if outcome == RequestOutcome::Retry {
            in_flight.retry_at = Some(now + RETRY_DELAY);
            self.in_flight.insert(id, in_flight);
        }
    }

    fn machine_types_response(&mut self, now: Timestamp, response: &ServiceResponse) -> RequestOutcome {
        if response.status != 200 {
            return RequestOutcome::Retry;
        }
        let Some(parsed) = response.parse::<MachineTypes>() else { return RequestOutcome::Retry };
        self.machine_types = Some(parsed.machine_types);
        self.machine_types_at = now;
        RequestOutcome::Complete
    }

    fn scale_out_response(
        &mut self,
        now: Timestamp,
        request: &ScaleOutRequest,
        sent_at: Timestamp,
        response: &ServiceResponse,
        is_known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) -> RequestOutcome {
        match response.status {
            200 => {
                self.handle_provisioned(now, request, sent_at, response, is_known, out);
                RequestOutcome::Complete
            }
            503 if lacks_capacity(response) => {
                let pool = InstancePool::from(request);
                info!("scale out refused request={} {pool} reason=\"no capacity\"", request.request_name);
                self.refusals.note_refusal(now, pool);
                RequestOutcome::Complete
            }
            400 => RequestOutcome::Complete,
            _ => RequestOutcome::Retry,
        }
    }

    fn handle_provisioned(
        &mut self,
        now: Timestamp,
        request: &ScaleOutRequest,
        sent_at: Timestamp,
        response: &ServiceResponse,
        is_known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) {
        let names = response.parse::<MachineNames>().map(|parsed| parsed.machines).unwrap_or_default();
        info!("scale out completed request={} machines={}", request.request_name, names.join(","));
        let pool = InstancePool::from(request);
        if names.len() < request.count as usize {
            self.refusals.note_refusal(now, pool);
        } else {
            self.refusals.note_success(&pool);
        }
        let mut provisioned = Vec::new();
        for id in names.iter().filter_map(|name| name.parse::<MachineId>().ok()) {
            if !is_known(id) && !self.is_released(id) {
                self.adopt_pending(id, PendingInstance::requested(request, sent_at));
                provisioned.push(id);
            }
        }
        out.push(CloudEvent::MachinesProvisioned(provisioned));
    }

    fn scale_in_response(
        &mut self,
        ids: &[MachineId],
        response: &ServiceResponse,
        out: &mut Vec<CloudEvent>,
    ) -> RequestOutcome {
        if response.status != 200 {
            return RequestOutcome::Retry;
        }
        for id in ids {
            self.instance_released(*id);
        }
        out.push(CloudEvent::MachinesReleased(ids.to_vec()));
        RequestOutcome::Complete
    }

    /// Handles a page of the machine list and requests the next page. A failed listing is not retried, since the next
    /// one is due within `LIST_INTERVAL`.
    fn list_response(
        &mut self,
        now: Timestamp,
        response: &ServiceResponse,
        is_known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) -> RequestOutcome {
        let page = if response.status == 200 { response.parse::<MachinePage>() } else { None };
        let Some(page) = page else { return RequestOutcome::Complete };
        let cursor = page.machines.last().filter(|_| page.more).map(|listed| listed.machine.clone());
        self.reconcile_list(now, page, is_known, out);
        if cursor.is_some() {
            self.send_request(now, CloudRequest::ListMachines(cursor), out);
        }
        RequestOutcome::Complete
    }
}

fn lacks_capacity(response: &ServiceResponse) -> bool {
    response.body.windows(NO_CAPACITY.len()).any(|part| part == NO_CAPACITY)
}
