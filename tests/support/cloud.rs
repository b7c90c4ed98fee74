//! The cloud's stand-in: machine types, rentals, releases and the list of machines.
//!
//! A request for machines of the same name is answered with the same machines. A machine boots for `boot_ms`, and its worker reports
//! from then on.

use super::*;

/// Machines in one page of the cloud's list.
const LIST_PAGE: usize = 500;

/// The cloud's state.
#[derive(Debug, Default)]
pub struct FakeCloud {
    /// Machines that were rented so far; the last one has this number.
    rented_count: u64,
    /// Machines by the name of the request that rented them.
    rentals: HashMap<String, Vec<u64>>,
    /// Machines that are left, by zone and whether they are spot machines.
    pub capacity: BTreeMap<(String, bool), u32>,
    /// It answers nothing but 503.
    pub unavailable: bool,
    /// Machines that were released, and when.
    pub(super) released_at: BTreeMap<u64, u64>,
}

impl FakeCloud {
    /// A cloud that has as many machines of each zone and kind as this deployment may rent.
    pub(super) fn with_capacity(site: &Site) -> FakeCloud {
        let of_zone =
            |zone: &&str| [((zone.to_string(), false), site.machines), ((zone.to_string(), true), site.machines)];
        FakeCloud { capacity: site.zones.iter().flat_map(of_zone).collect(), ..FakeCloud::default() }
    }
}

/// An answer that names machines.
fn machine_names(ids: &[u64]) -> Value {
    json!({"Hosts": ids.iter().map(|id| MachineId(*id).to_string()).collect::<Vec<_>>()})
}

impl Simulation {
    /// Status and body of the cloud's answer.
    pub(super) fn handle_cloud_request(&mut self, request: &CloudRequest) -> (u16, Value) {
        if self.cloud.unavailable {
            return (503, json!({"error": "trouble"}));
        }
        match request {
            CloudRequest::MachineTypes => (200, self.machine_types()),
            CloudRequest::ScaleOut(request) => {
                self.rent_machines(&request.request_name, &request.zone, request.spot, request.count)
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

    fn rent_machines(&mut self, request_name: &str, zone: &str, spot: bool, wanted: u32) -> (u16, Value) {
        if let Some(ids) = self.cloud.rentals.get(request_name) {
            return (200, machine_names(ids));
        }
        let left = self.cloud.capacity.entry((zone.to_string(), spot)).or_insert(0);
        let count = wanted.min(*left);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        *left -= count;
        let mut ids = Vec::new();
        for _ in 0..count {
            self.cloud.rented_count += 1;
            let id = self.cloud.rented_count;
            ids.push(id);
            let is_partitioned = self.faults.partitioned_zones.contains(zone);
            self.workers.insert(id, Worker::booting(zone, spot, is_partitioned));
            self.schedule(self.site.boot_ms, Event::MachineBooted(id));
        }
        let answer = machine_names(&ids);
        self.cloud.rentals.insert(request_name.to_string(), ids);
        (200, answer)
    }

    fn release_machine(&mut self, id: u64) {
        self.note_return_of_machine(id);
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
