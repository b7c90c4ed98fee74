//! The fake cloud: machine types, provisioning, releases and the list of machines.
//!
//! Provisioning is idempotent: a repeated request with the same name returns the same machines. A machine boots for
//! `boot_ms`; then its worker sends heartbeats.

use super::*;

/// Maximum number of machines in one page of the list.
const LIST_PAGE: usize = 500;

/// How requests to provision and release machines are executed late.
#[derive(Debug, Clone, Copy)]
pub struct LateRequests {
    pub delay_ms: u64,
    /// Whether the controller gets the response, after the delay.
    pub answered: bool,
}

/// The fake cloud's state.
#[derive(Debug, Default)]
pub struct FakeCloud {
    /// Number of machines provisioned so far, which is also the number of the last one.
    provisioned_count: u64,
    /// Machines by the name of the request that provisioned them.
    provisioned: HashMap<String, Vec<u64>>,
    /// Machines still available, by zone and whether they are spot instances.
    pub capacity: BTreeMap<(String, bool), u32>,
    /// Whether the cloud responds to every request with 503.
    pub unavailable: bool,
    /// How late requests to provision and release machines are executed; None: at once.
    pub late: Option<LateRequests>,
    /// Number of requests that were or will be executed late.
    pub late_requests: u64,
    /// Release time in milliseconds of each released machine.
    pub(super) released_at: BTreeMap<u64, u64>,
}

impl FakeCloud {
    /// Returns a cloud that has, in each zone and for each purchase model, the number of machines that the deployment
    /// may use.
    pub(super) fn with_capacity(site: &Site) -> FakeCloud {
        let of_zone =
            |zone: &&str| [((zone.to_string(), false), site.machines), ((zone.to_string(), true), site.machines)];
        FakeCloud { capacity: site.zones.iter().flat_map(of_zone).collect(), ..FakeCloud::default() }
    }
}

/// Returns the body of a response that lists machines by name.
fn machine_names(ids: &[u64]) -> Value {
    json!({"Hosts": ids.iter().map(|id| MachineId(*id).to_string()).collect::<Vec<_>>()})
}

impl Simulation {
    /// Executes a request that has arrived, or schedules its late execution.
    pub(super) fn cloud_request_arrives(&mut self, sender: CloudRequestSender, request: Box<CloudRequest>) {
        let changes_machines = matches!(*request, CloudRequest::ScaleOut(_) | CloudRequest::ScaleIn(_));
        match self.cloud.late.filter(|_| changes_machines) {
            Some(late) => {
                self.cloud.late_requests += 1;
                self.schedule(late.delay_ms, Event::LateCloudRequest(sender, request, late.answered));
            }
            None => self.execute_cloud_request(sender, &request, true),
        }
    }

    pub(super) fn execute_cloud_request(&mut self, sender: CloudRequestSender, request: &CloudRequest, answered: bool) {
        let CloudRequestSender { node, epoch, token, id } = sender;
        let (status, body) = self.handle_cloud_request(request);
        if answered {
            let response = ServiceResponse { status, body: body.to_string().into() };
            let input = Input::CloudResponse(token, id, response);
            self.schedule(50, Event::ControllerInput(node, epoch, Box::new(input)));
        }
    }

    /// Handles a request; returns the status and body of the response.
    fn handle_cloud_request(&mut self, request: &CloudRequest) -> (u16, Value) {
        if self.cloud.unavailable {
            return (503, json!({"error": "unavailable"}));
        }
        match request {
            CloudRequest::MachineTypes => (200, self.machine_types()),
            CloudRequest::ScaleOut(request) => {
                self.provision_machines(&request.request_name, &request.zone, request.spot, request.count)
            }
            CloudRequest::ScaleIn(ids) => {
                ids.iter().for_each(|id| self.release_machine(id.0));
                (200, json!({}))
            }
            CloudRequest::ListMachines(after) => (200, self.list_machines(after.as_deref())),
        }
    }

    fn machine_types(&self) -> Value {
        json!({"Builds": [{"Label": "small", "Cores": self.site.cores, "MemoryGb": self.site.memory_gb,
            "LocalGb": 70.0, "FetchGbPerS": 1.0, "Hourly": 0.26, "MarketPrice": 0.1,
            "BootS": self.site.boot_ms as f64 / 1000.0, "Yards": self.site.zones}]})
    }

    fn provision_machines(&mut self, request_name: &str, zone: &str, spot: bool, requested: u32) -> (u16, Value) {
        if let Some(ids) = self.cloud.provisioned.get(request_name) {
            return (200, machine_names(ids));
        }
        let available = self.cloud.capacity.entry((zone.to_string(), spot)).or_insert(0);
        let count = requested.min(*available);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        *available -= count;
        let mut ids = Vec::new();
        for _ in 0..count {
            self.cloud.provisioned_count += 1;
            let id = self.cloud.provisioned_count;
            ids.push(id);
            let is_partitioned = self.faults.partitioned_zones.contains(zone);
            self.workers.insert(id, Worker::booting(zone, spot, is_partitioned));
            self.schedule(self.site.boot_ms, Event::MachineBooted(id));
        }
        let response = machine_names(&ids);
        self.cloud.provisioned.insert(request_name.to_string(), ids);
        (200, response)
    }

    fn release_machine(&mut self, id: u64) {
        self.note_machine_release(id);
        self.cloud.released_at.entry(id).or_insert(self.now);
        if let Some(w) = self.workers.remove(&id) {
            *self.cloud.capacity.entry((w.zone, w.spot)).or_insert(0) += 1;
        }
        self.faults.held_events.remove(&id);
        self.faults.inbound_lost.remove(&id);
        self.faults.hung_events.remove(&id);
    }

    fn list_machines(&self, after: Option<&str>) -> Value {
        let after = after.and_then(|name| name.parse::<MachineId>().ok()).map_or(0, |id| id.0);
        let mut listed = self.workers.range(after + 1..);
        let describe = |(id, w): (&u64, &Worker)| {
            json!({"Ref": MachineId(*id).to_string(), "Endpoint": "10.0.0.1:1", "Build": "small", "Yard": w.zone,
                "Loaners": w.spot, "Status": if w.is_booted { "running" } else { "starting" }, "AgeS": 1.0})
        };
        let hosts: Vec<Value> = listed.by_ref().take(LIST_PAGE).map(describe).collect();
        json!({"Hosts": hosts, "More": listed.next().is_some()})
    }
}
