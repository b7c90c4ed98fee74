//! Fault injection: crashes and hangs of machines and controllers, network partitions, and lost, delayed or duplicate
//! messages.

use super::*;

/// The faults in force, and the events that they hold back.
#[derive(Debug, Default)]
pub struct Faults {
    /// Machines whose direct commands are held back until the machine is healed.
    pub commands_held: BTreeSet<u64>,
    /// Machines whose heartbeats reach the controllers while responses and commands to them are lost.
    pub inbound_lost: BTreeSet<u64>,
    /// Machines whose heartbeats are lost while direct commands reach them.
    pub outbound_lost: BTreeSet<u64>,
    /// Messages from and to partitioned machines, which are delivered in order once the machine is healed.
    pub(super) held_events: BTreeMap<u64, Vec<Event>>,
    /// Events that hung machines process once they resume.
    pub(super) hung_events: BTreeMap<u64, Vec<Event>>,
    /// Percentage of transactions that get no response, and whether these are applied immediately. Otherwise they are
    /// applied 2 to 12 s later, possibly after newer transactions.
    pub writes_without_response: (u64, bool),
    /// Latency that the state service adds to each request, and again to each response, in milliseconds.
    pub store_delay_ms: u64,
    /// Percentage of heartbeats that are recorded and replayed to every controller as soon as the next leader is
    /// elected.
    pub replayed_heartbeats_percent: u64,
    pub(super) heartbeats_to_replay: Vec<(u64, Box<Heartbeat>)>,
    /// Controllers that are partitioned from the state service and the other controllers, while their workers and users
    /// still reach them.
    pub(super) isolated: BTreeSet<usize>,
    /// Controllers that are partitioned from all workers.
    pub partitioned_from_workers: BTreeSet<usize>,
    /// A partitioned zone and the one controller in it: the zone's workers and this controller reach each other and
    /// nobody else.
    pub(super) isolated_zone: Option<(String, usize)>,
    /// Percentage of heartbeats that are delivered a second time, and the maximum additional delay in milliseconds.
    pub duplicate_heartbeats: (u64, u64),
    /// Percentage of transactions and direct commands that are delivered a second time although they got a response,
    /// and the maximum additional delay in milliseconds.
    pub duplicate_requests: (u64, u64),
    /// Whether direct commands are recorded, for `repeat_recorded_commands`.
    pub record_commands: bool,
    pub(super) recorded_commands: Vec<(u64, Box<CommandBatch>)>,
    /// Zones that are partitioned, including all machines that are provisioned there later.
    pub(super) partitioned_zones: BTreeSet<String>,
}

impl Faults {
    /// Whether two controllers can reach each other.
    pub(super) fn connects(&self, node: usize, other: usize) -> bool {
        !self.isolated.contains(&node) && !self.isolated.contains(&other)
    }
}

/// Machines.
impl Simulation {
    /// Terminates a machine permanently, with all its tasks.
    pub fn kill_machine(&mut self, machine: u64) {
        if let Some(w) = self.workers.get_mut(&machine) {
            w.is_alive = false;
            w.tasks.clear();
        }
    }

    /// Partitions a machine from the network: messages from and to it are held back until it is healed.
    pub fn partition_machine(&mut self, machine: u64) {
        if let Some(w) = self.workers.get_mut(&machine) {
            w.is_partitioned = true;
        }
    }

    /// Partitions a machine from the network for `ms` milliseconds.
    pub fn partition_machine_for(&mut self, machine: u64, ms: u64) {
        self.partition_machine(machine);
        self.schedule(ms, Event::HealMachine(machine));
    }

    /// Ends a machine's partition or one-way message loss. Messages that were held back are delivered in order.
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

    /// Notifies a machine that the cloud reclaims it in `seconds`.
    pub fn send_reclaim_notice(&mut self, machine: u64, seconds: u64) {
        let reclaim_at = self.now + seconds * 1000;
        if let Some(w) = self.workers.get_mut(&machine) {
            w.reclaim_at = Some(reclaim_at);
        }
        self.send_heartbeat_soon(machine);
    }

    /// Makes a machine hang for `ms` milliseconds. Its lease keeps running meanwhile: if it expires, all tasks on the
    /// machine end.
    pub fn hang_machine(&mut self, machine: u64, ms: u64) {
        if let Some(w) = self.workers.get_mut(&machine)
            && !std::mem::replace(&mut w.is_hung, true)
        {
            self.schedule(ms, Event::ResumeMachine(machine));
        }
    }

    /// Resumes a hung machine, which then processes the events that were held for it.
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
    /// Partitions a zone from the network, including all machines that are provisioned there later.
    pub fn partition_zone(&mut self, zone: &str) {
        self.faults.partitioned_zones.insert(zone.to_string());
        self.workers.values_mut().filter(|w| w.zone == zone).for_each(|w| w.is_partitioned = true);
    }

    /// Ends a zone's partition.
    pub fn heal_zone(&mut self, zone: &str) {
        self.faults.partitioned_zones.remove(zone);
        let machines: Vec<u64> = self.workers.iter().filter(|(_, w)| w.zone == zone).map(|(id, _)| *id).collect();
        machines.into_iter().for_each(|id| self.heal_machine(id));
    }

    /// Partitions a controller from the state service and the other controllers. Its workers and users still reach it.
    pub fn isolate_controller(&mut self, node: usize) {
        if self.faults.isolated.insert(node) {
            self.store.unavailable_to_nodes.insert(node);
            self.change_links(node, false, 5);
        }
    }

    /// Partitions a zone together with this controller from the rest of the network. Has no effect while another
    /// controller is isolated.
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

    /// Whether a controller and a worker can reach each other.
    pub(super) fn reaches(&self, node: usize, machine: u64) -> bool {
        let same_side = |(zone, node_inside): &(String, usize)| {
            let in_zone = self.workers.get(&machine).is_some_and(|w| w.zone == *zone);
            in_zone == (*node_inside == node)
        };
        !self.faults.partitioned_from_workers.contains(&node)
            && self.faults.isolated_zone.as_ref().is_none_or(same_side)
    }

    /// Decides at random whether a request is delivered a second time; returns the additional delay in milliseconds if
    /// it is.
    pub(super) fn duplicate_delay(&mut self) -> Option<u64> {
        let (percent, max_delay_ms) = self.faults.duplicate_requests;
        (percent > 0 && self.random_below(100) < percent).then(|| 20 + self.random_below(max_delay_ms.max(1)))
    }

    /// Delivers every recorded direct command to its machine once more, at random times within the next second.
    pub fn repeat_recorded_commands(&mut self) {
        for (machine, body) in self.faults.recorded_commands.clone() {
            let delay = self.random_below(1000);
            self.schedule(delay, Event::DuplicateCommand(machine, body));
        }
    }

    /// Whether a recorded direct command contained a start of this task.
    pub fn was_started_directly(&self, task: &str) -> bool {
        let is_start =
            |command: &WorkerCommand| matches!(command, WorkerCommand::Start { task: started, .. } if started == task);
        self.faults.recorded_commands.iter().any(|(_, body)| body.commands.iter().any(is_start))
    }

    /// Ends all faults and starts all controllers that are down.
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
