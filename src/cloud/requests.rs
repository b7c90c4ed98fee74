//! Requests to the cloud: when they are sent and repeated, and what their responses change.

use super::{CloudEvent, CloudInstances, InstancePool, PendingInstance};
use crate::store::ServiceResponse;
use crate::types::{Duration, MachineId, Timestamp};
use crate::wire::{MachineNames, MachinePage, MachineTypes, ScaleOutRequest};
use log::info;

/// A request without a response is repeated after this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A request that failed is repeated after this time.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// How old the machine types and prices may become.
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two listings of all machines.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Requests of the rate limit that are kept for what is urgent.
const RESERVED_REQUESTS: f64 = 2.0;
/// Most machines that one request gives back.
const MAX_RETURNS_PER_REQUEST: usize = 100;
/// What the body of a 503 contains when the pool has no capacity; other 503s are troubles of the cloud itself.
const NO_CAPACITY: &[u8] = b"no capacity";

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Machine types and prices.
    MachineTypes,
    /// Rent machines.
    ScaleOut(ScaleOutRequest),
    /// Give machines back.
    ScaleIn(Vec<MachineId>),
    /// List machines after this one, or from the first.
    ListMachines(Option<String>),
}

/// A request whose response has not come.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    request: CloudRequest,
    sent_at: Timestamp,
    /// When it is repeated, if it failed.
    retry_at: Option<Timestamp>,
}

impl InFlightRequest {
    /// Whether it is time to repeat the request.
    fn is_due(&self, now: Timestamp) -> bool {
        match self.retry_at {
            Some(retry_at) => now >= retry_at,
            None => now.since(self.sent_at) >= REQUEST_TIMEOUT,
        }
    }
}

/// What becomes of a request after its response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestOutcome {
    Complete,
    Retry,
}

impl CloudInstances {
    /// How many requests may be sent now beside those that are kept for what is urgent, at least one.
    #[must_use]
    pub fn available_requests(&self) -> usize {
        (self.rate_limit.available() - RESERVED_REQUESTS).max(1.0) as usize
    }

    /// Whether a request to scale out has no response yet.
    #[must_use]
    pub fn scale_out_in_flight(&self) -> bool {
        self.any_in_flight(|request| matches!(request, CloudRequest::ScaleOut(_)))
    }

    fn any_in_flight(&self, kind: fn(&CloudRequest) -> bool) -> bool {
        self.in_flight.values().any(|in_flight| kind(&in_flight.request))
    }

    /// Whether the rate limit allows one more request.
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

    /// Sends what is due, as far as the rate limit allows: repeats first, then machine types, returns and the list.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        self.rate_limit.refill(now);
        self.repeat_due_requests(now, out);
        self.refresh_machine_types(now, out);
        self.return_released(now, out);
        self.refresh_list(now, out);
    }

    fn repeat_due_requests(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        let due = self.in_flight.iter().filter(|(_, in_flight)| in_flight.is_due(now));
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            if !self.may_send() {
                return;
            }
            if let Some(in_flight) = self.in_flight.remove(&id) {
                // A request to scale out is repeated under its name, so that nothing is rented twice.
                self.send_request(now, in_flight.request, out);
            }
        }
    }

    fn refresh_machine_types(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        let outdated = self.machine_types.is_none() || now.since(self.machine_types_at) >= MACHINE_TYPES_INTERVAL;
        let in_flight = self.any_in_flight(|request| matches!(request, CloudRequest::MachineTypes));
        if outdated && !in_flight && self.may_send() {
            self.send_request(now, CloudRequest::MachineTypes, out);
        }
    }

    fn return_released(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        let in_flight = self.any_in_flight(|request| matches!(request, CloudRequest::ScaleIn(_)));
        if !self.releasing.is_empty() && !in_flight && self.may_send() {
            let ids = self.releasing.iter().take(MAX_RETURNS_PER_REQUEST).copied().collect();
            self.send_request(now, CloudRequest::ScaleIn(ids), out);
        }
    }

    fn refresh_list(&mut self, now: Timestamp, out: &mut Vec<CloudEvent>) {
        let never_listed = self.listed_at == Timestamp::ZERO;
        let outdated = never_listed || now.since(self.listed_at) >= LIST_INTERVAL;
        let in_flight = self.any_in_flight(|request| matches!(request, CloudRequest::ListMachines(_)));
        if outdated && !in_flight && self.rate_limit.available() >= RESERVED_REQUESTS {
            self.listed_at = now;
            self.send_request(now, CloudRequest::ListMachines(None), out);
        }
    }

    /// Takes a response of the cloud; one to a request that was repeated meanwhile, or is complete, changes nothing.
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
        let Some(answer) = response.parse::<MachineTypes>() else { return RequestOutcome::Retry };
        self.machine_types = Some(answer.machine_types);
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
                self.machines_rented(now, request, sent_at, response, is_known, out);
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

    fn machines_rented(
        &mut self,
        now: Timestamp,
        request: &ScaleOutRequest,
        sent_at: Timestamp,
        response: &ServiceResponse,
        is_known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) {
        let names = response.parse::<MachineNames>().map(|answer| answer.machines).unwrap_or_default();
        info!("scale out completed request={} machines={}", request.request_name, names.join(","));
        let pool = InstancePool::from(request);
        if names.len() < request.count as usize {
            self.refusals.note_refusal(now, pool);
        } else {
            self.refusals.note_success(&pool);
        }
        let mut rented = Vec::new();
        for id in names.iter().filter_map(|name| name.parse::<MachineId>().ok()) {
            if !is_known(id) && !self.is_released(id) {
                self.adopt_pending(id, PendingInstance::requested(request, sent_at));
                rented.push(id);
            }
        }
        out.push(CloudEvent::MachinesProvisioned(rented));
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

    /// A list that failed is not repeated: the next one is due soon.
    fn list_response(
        &mut self,
        now: Timestamp,
        response: &ServiceResponse,
        is_known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) -> RequestOutcome {
        let page = if response.status == 200 { response.parse::<MachinePage>() } else { None };
        let Some(page) = page else { return RequestOutcome::Complete };
        let last_listed = page.machines.last().filter(|_| page.more).map(|listed| listed.machine.clone());
        self.reconcile_list(now, page, is_known, out);
        if last_listed.is_some() {
            self.send_request(now, CloudRequest::ListMachines(last_listed), out);
        }
        RequestOutcome::Complete
    }
}

fn lacks_capacity(response: &ServiceResponse) -> bool {
    response.body.windows(NO_CAPACITY.len()).any(|part| part == NO_CAPACITY)
}
