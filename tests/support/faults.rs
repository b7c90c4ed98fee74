//! Fault injection: machines, controllers and zones that end, hang or are cut off, and messages that are lost, late or repeated.

use super::*;

/// Faults in force, and what they hold back.
#[derive(Debug, Default)]
pub struct Faults {
    /// Machines whose direct commands wait on their way.
    pub commands_held: BTreeSet<u64>,
    /// Machines whose heartbeats arrive while answers and commands do not reach them.
    pub inbound_lost: BTreeSet<u64>,
    /// Machines that reach no controller, while direct commands reach them.
    pub outbound_lost: BTreeSet<u64>,
    /// Messages of machines that are cut off, or to them: delivered in order once they are healed.
    pub(super) held_events: BTreeMap<u64, Vec<Event>>,
    /// What waits for machines that hang.
    pub(super) hung_events: BTreeMap<u64, Vec<Event>>,
    /// Of a hundred transactions so many get no answer; carried out at once, or 2 to 12 s later, after newer ones.
    pub writes_without_response: (u64, bool),
    /// The state service takes so many milliseconds over each request, and as many again until the answer is there.
    pub store_delay_ms: u64,
    /// Of a hundred heartbeats so many are kept, and arrive at every controller as soon as the next leader begins.
    pub replayed_heartbeats_percent: u64,
    pub(super) heartbeats_to_replay: Vec<(u64, Box<Heartbeat>)>,
    /// Controllers without state service and other controllers, but with their workers and users.
    pub(super) isolated: BTreeSet<usize>,
    /// Controllers that no worker reaches, nor they any worker.
    pub partitioned_from_workers: BTreeSet<usize>,
    /// A zone that is cut off with this controller in it: they reach each other and nobody else.
    pub(super) isolated_zone: Option<(String, usize)>,
    /// Of a hundred heartbeats so many come once more, up to so many milliseconds late.
    pub duplicate_heartbeats: (u64, u64),
    /// Of a hundred transactions and direct commands so many are carried out once more, up to so many milliseconds late, although
    /// they were answered.
    pub duplicate_requests: (u64, u64),
    /// Zones that are cut off, whatever is rented there.
    pub(super) partitioned_zones: BTreeSet<String>,
}

impl Faults {
    /// Whether two controllers reach each other.
    pub(super) fn connects(&self, node: usize, other: usize) -> bool {
        !self.isolated.contains(&node) && !self.isolated.contains(&other)
    }
}

/// Machines.
impl Simulation {
    /// Ends a machine for good, with all its tasks.
    pub fn kill_machine(&mut self, machine: u64) {
        if let Some(w) = self.workers.get_mut(&machine) {
            w.is_alive = false;
            w.tasks.clear();
        }
    }

    /// Cuts a machine off: what it sends and what is sent to it waits until it is healed.
    pub fn partition_machine(&mut self, machine: u64) {
        if let Some(w) = self.workers.get_mut(&machine) {
            w.is_partitioned = true;
        }
    }

    /// Cuts a machine off for so many milliseconds.
    pub fn partition_machine_for(&mut self, machine: u64, ms: u64) {
        self.partition_machine(machine);
        self.schedule(ms, Event::HealMachine(machine));
    }

    /// Ends a cut or a loss of one direction: what was held back is delivered, in order.
    pub fn heal_machine(&mut self, machine: u64) {
        self.faults.inbound_lost.remove(&machine);
        self.faults.outbound_lost.remove(&machine);
        self.faults.commands_held.remove(&machine);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.is_partitioned = false;
        }
        for event in self.faults.held_events.remove(&machine).unwrap_or_default() {
            self.schedule(1, event);
        }
    }

    /// Tells a machine that the cloud takes it back in so many seconds.
    pub fn send_reclaim_notice(&mut self, machine: u64, seconds: u64) {
        let reclaim_at = self.now + seconds * 1000;
        if let Some(w) = self.workers.get_mut(&machine) {
            w.reclaim_at = Some(reclaim_at);
        }
        self.send_heartbeat_soon(machine);
    }

    /// A machine that hangs for so long. It may go on within its lease; if that is over, so are its tasks.
    pub fn hang_machine(&mut self, machine: u64, ms: u64) {
        if let Some(w) = self.workers.get_mut(&machine)
            && !std::mem::replace(&mut w.is_hung, true)
        {
            self.schedule(ms, Event::ResumeMachine(machine));
        }
    }

    /// A machine that hung goes on: what waits is executed.
    pub(super) fn resume_machine(&mut self, machine: u64) {
        if let Some(w) = self.workers.get_mut(&machine) {
            w.is_hung = false;
            for event in self.faults.hung_events.remove(&machine).unwrap_or_default() {
                self.schedule(1, event);
            }
        }
    }
}

/// Zones and controllers.
impl Simulation {
    /// Cuts a zone off, with all that is rented there later.
    pub fn partition_zone(&mut self, zone: &str) {
        self.faults.partitioned_zones.insert(zone.to_string());
        self.workers.values_mut().filter(|w| w.zone == zone).for_each(|w| w.is_partitioned = true);
    }

    /// Ends a zone's cut.
    pub fn heal_zone(&mut self, zone: &str) {
        self.faults.partitioned_zones.remove(zone);
        let within: Vec<u64> = self.workers.iter().filter(|(_, w)| w.zone == zone).map(|(id, _)| *id).collect();
        within.into_iter().for_each(|id| self.heal_machine(id));
    }

    /// Cuts a controller off from the state service and the other controllers; its workers and users reach it.
    pub fn isolate_controller(&mut self, node: usize) {
        if self.faults.isolated.insert(node) {
            self.store.unavailable_to_nodes.insert(node);
            self.change_links(node, false, 5);
        }
    }

    /// Cuts a zone off, with this controller in it.
    pub fn isolate_zone(&mut self, zone: &str, node: usize) {
        if self.faults.isolated.is_empty() {
            self.isolate_controller(node);
            self.faults.isolated_zone = Some((zone.to_string(), node));
        }
    }

    /// Ends the isolation of all controllers and zones.
    pub fn end_isolation(&mut self) {
        self.faults.isolated_zone = None;
        for node in std::mem::take(&mut self.faults.isolated) {
            self.store.unavailable_to_nodes.remove(&node);
            self.change_links(node, true, 30);
        }
    }

    /// Whether a controller and a worker reach each other.
    pub(super) fn reaches(&self, node: usize, machine: u64) -> bool {
        let same_side = |(zone, inside): &(String, usize)| {
            let in_zone = self.workers.get(&machine).is_some_and(|w| w.zone == *zone);
            in_zone == (*inside == node)
        };
        !self.faults.partitioned_from_workers.contains(&node)
            && self.faults.isolated_zone.as_ref().is_none_or(same_side)
    }

    /// How much later a request is carried out once more, if it is.
    pub(super) fn duplicate_delay(&mut self) -> Option<u64> {
        let (share, late) = self.faults.duplicate_requests;
        (share > 0 && self.random_below(100) < share).then(|| 20 + self.random_below(late.max(1)))
    }

    /// Ends every fault, whatever it is, and starts the controllers that are down.
    pub fn end_all_faults(&mut self) {
        self.store.down = false;
        self.store.lost_responses = 0;
        self.store.transactions_until_outage = None;
        self.store.unavailable_to_nodes.clear();
        self.cloud.unavailable = false;
        self.faults.outbound_lost.clear();
        self.faults.writes_without_response = (0, false);
        self.faults.store_delay_ms = 0;
        self.faults.replayed_heartbeats_percent = 0;
        self.faults.duplicate_heartbeats = (0, 0);
        self.faults.duplicate_requests = (0, 0);
        self.faults.partitioned_from_workers.clear();
        self.end_isolation();
        (0..self.site.nodes).for_each(|n| self.start_controller(n));
        let machines: Vec<u64> = self.workers.keys().copied().collect();
        for machine in machines {
            self.heal_machine(machine);
            self.resume_machine(machine);
        }
        self.invariants.faults_ended_at = Some(self.now);
    }
}
