//! The cloud's stand-in: machine types, rentals, returns and the list.

use super::*;

/// Machines in one page of the cloud's list.
const LIST_PAGE: usize = 500;

impl Sim {
    pub(super) fn cloud(&mut self, call: &CloudRequest) -> (u16, Value) {
        if self.cloud_down {
            return (503, json!({"error": "trouble"}));
        }
        match call {
            CloudRequest::MachineTypes => (
                200,
                json!({"Builds": [{"Label": "small", "Cores": self.site.cores, "MemoryGb": self.site.memory_gb,
                    "LocalGb": 70.0, "FetchGbPerS": 1.0, "Hourly": 0.26, "MarketPrice": 0.1,
                    "BootS": self.site.boot_ms as f64 / 1000.0, "Yards": self.site.zones}]}),
            ),
            CloudRequest::ScaleOut(request) => {
                if let Some(ids) = self.hires.get(&request.request_name) {
                    return (200, json!({"Hosts": ids.iter().map(|i| MachineId(*i).to_string()).collect::<Vec<_>>()}));
                }
                let room = self.capacity.entry((request.zone.clone(), request.spot)).or_insert(0);
                let count = request.count.min(*room);
                if count == 0 {
                    return (503, json!({"error": "no capacity"}));
                }
                *room -= count;
                let mut ids = Vec::new();
                for _ in 0..count {
                    self.machines += 1;
                    let id = self.machines;
                    ids.push(id);
                    self.workers.insert(
                        id,
                        Worker {
                            zone: request.zone.clone(),
                            spot: request.spot,
                            session: 1,
                            seq: 0,
                            token: 0,
                            tasks: BTreeMap::new(),
                            images: BTreeSet::new(),
                            done: BTreeSet::new(),
                            node: 0,
                            waiting: None,
                            last_sent: 0,
                            renewed: 0,
                            gap_at: 0,
                            notice_until: None,
                            sick: false,
                            hung: false,
                            cut: self.cut_zones.contains(&request.zone),
                            alive: true,
                            up: false,
                        },
                    );
                    self.after(self.site.boot_ms, Event::Boot(id));
                }
                self.hires.insert(request.request_name.clone(), ids.clone());
                (200, json!({"Hosts": ids.iter().map(|i| MachineId(*i).to_string()).collect::<Vec<_>>()}))
            }
            CloudRequest::ScaleIn(ids) => {
                for id in ids {
                    self.note_return_of_machine(id.0);
                    self.returned.entry(id.0).or_insert(self.now);
                    if let Some(w) = self.workers.remove(&id.0) {
                        *self.capacity.entry((w.zone, w.spot)).or_insert(0) += 1;
                    }
                    self.held.remove(&id.0);
                    self.inbound_lost.remove(&id.0);
                    self.frozen.remove(&id.0);
                }
                (200, json!({}))
            }
            CloudRequest::ListMachines(after) => {
                let after = after.as_ref().and_then(|name| name.parse::<MachineId>().ok()).map_or(0, |id| id.0);
                let mut listed = self.workers.range(after + 1..);
                let hosts: Vec<Value> = listed
                    .by_ref()
                    .take(LIST_PAGE)
                    .map(|(id, w)| {
                        json!({"Ref": MachineId(*id).to_string(), "Endpoint": "10.0.0.1:1", "Build": "small", "Yard": w.zone,
                            "Loaners": w.spot, "Status": if w.up { "running" } else { "starting" }, "AgeS": 1.0})
                    })
                    .collect();
                (200, json!({"Hosts": hosts, "More": listed.next().is_some()}))
            }
        }
    }
}
