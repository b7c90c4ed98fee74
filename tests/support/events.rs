//! Simulated time: a queue of events ordered by time, and by the order of scheduling where times are equal.

use super::*;

/// The sender of a request to the cloud: the controller, its epoch and fencing token, and the number of the request.
#[derive(Debug, Clone, Copy)]
pub(super) struct CloudRequestSender {
    pub(super) node: usize,
    pub(super) epoch: u64,
    pub(super) token: u64,
    pub(super) id: u64,
}

/// Something that happens at a point of simulated time.
///
/// Controllers and machines are identified by number. An event for a controller carries the epoch of the process that
/// it is addressed to, and is dropped if that process has been terminated since.
#[derive(Debug)]
pub(super) enum Event {
    ControllerTick(usize, u64),
    ControllerInput(usize, u64, Box<Input>),
    /// A request reaches the state service: controller, its epoch, the calling component, number of the request.
    StoreRequest(usize, u64, StoreCaller, u64, Box<StoreRequest>),
    /// A request to the state service that was already applied, or got no response, is applied late; its response is
    /// discarded.
    DuplicateStoreRequest(Box<StoreRequest>),
    /// A request reaches the cloud.
    CloudRequest(CloudRequestSender, Box<CloudRequest>),
    /// The cloud executes a request late, and responds if the last field is true.
    LateCloudRequest(CloudRequestSender, Box<CloudRequest>, bool),
    Command {
        node: usize,
        epoch: u64,
        token: u64,
        machine: u64,
        id: u64,
        body: Box<CommandBatch>,
    },
    DuplicateCommand(u64, Box<CommandBatch>),
    CommandTimeout {
        node: usize,
        epoch: u64,
        token: u64,
        machine: u64,
        id: u64,
    },
    /// A heartbeat of a machine reaches a controller: machine and number of the request, which identifies the
    /// controller.
    Heartbeat(u64, u64, Box<Heartbeat>),
    HeartbeatDue(u64),
    HeartbeatResponded {
        machine: u64,
        number: u64,
        worker_epoch: u64,
        sent_at: u64,
        response: Box<ApiResponse>,
    },
    /// A task's image is available on its machine. Events of tasks carry the machine, the epoch of its worker and the
    /// attempt.
    ImageFetched(u64, u64, AttemptKey),
    TaskEnded(u64, u64, AttemptKey),
    GangWaitTimeout(u64, u64, AttemptKey),
    GangRuntimeElapsed(String, u64),
    GangCheckpointWritten(u64, u64, AttemptKey),
    MachineBooted(u64),
    LeaseCheck(u64),
    UserPoll(String),
    UserRequest(String, UserRequest),
    /// A user sends a request to this controller, if it is running.
    UserRequestAt(usize, String, UserRequest),
    StartController(usize),
    HealMachine(u64),
    ResumeMachine(u64),
    ProductionVersionTick(usize, u64),
}

impl Event {
    /// Returns the machine that processes this event; None if the event does not depend on a running machine.
    fn executed_by(&self) -> Option<u64> {
        match self {
            Event::Command { machine, .. }
            | Event::DuplicateCommand(machine, _)
            | Event::HeartbeatDue(machine)
            | Event::HeartbeatResponded { machine, .. }
            | Event::ImageFetched(machine, ..)
            | Event::GangWaitTimeout(machine, ..)
            | Event::GangCheckpointWritten(machine, ..)
            | Event::TaskEnded(machine, ..) => Some(*machine),
            _ => None,
        }
    }
}

/// Pending events, by time in milliseconds and by the order in which they were scheduled.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    scheduled: u64,
    events: BTreeMap<(u64, u64), Event>,
}

impl EventQueue {
    fn push(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Removes and returns the earliest event that is due no later than `until`, with its time.
    fn pop_until(&mut self, until: u64) -> Option<(u64, Event)> {
        let next = self.events.first_entry().filter(|entry| entry.key().0 <= until)?;
        let ((at, _), event) = next.remove_entry();
        Some((at, event))
    }
}

/// A xorshift pseudorandom generator: the same seed gives the same sequence on every platform.
#[derive(Debug)]
pub(super) struct SeededRandom(u64);

impl SeededRandom {
    pub(super) fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

impl Simulation {
    /// Returns a random number from 0 to `bound` - 1.
    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// Schedules an event `delay` milliseconds from now.
    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push(self.now + delay, event);
    }

    /// Processes all events up to this time. Events that a hung machine has to process are held until it resumes.
    pub fn run_until(&mut self, until: u64) {
        while let Some((at, event)) = self.events.pop_until(until) {
            self.now = at;
            match event.executed_by().filter(|machine| self.workers.get(machine).is_some_and(|w| w.is_hung)) {
                Some(machine) => self.faults.hung_events.entry(machine).or_default().push(event),
                None => self.dispatch(event),
            }
            self.check_invariants();
        }
        self.now = until;
    }

    /// Passes an event to the simulated component that handles it.
    fn dispatch(&mut self, event: Event) {
        match event {
            Event::ControllerTick(node, epoch) => self.controller_tick(node, epoch),
            Event::ControllerInput(node, epoch, input) => {
                if self.controllers.epochs[node] == epoch {
                    self.handle_input(node, *input);
                }
            }
            Event::StartController(node) => self.start_controller(node),
            Event::ProductionVersionTick(node, epoch) => self.production_version_tick(node, epoch),
            Event::StoreRequest(node, epoch, caller, id, request) => {
                self.store_request_arrives(node, epoch, caller, id, request);
            }
            Event::DuplicateStoreRequest(request) => self.duplicate_store_request_arrives(&request),
            Event::CloudRequest(sender, request) => self.cloud_request_arrives(sender, request),
            Event::LateCloudRequest(sender, request, answered) => {
                self.execute_cloud_request(sender, &request, answered);
            }
            Event::Command { node, epoch, token, machine, id, body } => {
                self.command_arrives(node, epoch, token, machine, id, body);
            }
            Event::DuplicateCommand(machine, body) => {
                if self.workers.get(&machine).is_some_and(|w| w.is_alive && w.is_booted && !w.is_partitioned) {
                    self.handle_command(machine, &body);
                }
            }
            Event::CommandTimeout { node, epoch, token, machine, id } => {
                if self.requests.completed_commands.insert((node, epoch, id)) {
                    let input = Input::CommandResponse(token, MachineId(machine), id, ServiceResponse::none());
                    self.schedule(0, Event::ControllerInput(node, epoch, Box::new(input)));
                }
            }
            Event::Heartbeat(machine, number, heartbeat) => self.heartbeat_arrives(machine, number, heartbeat),
            Event::HeartbeatDue(machine) => self.heartbeat_due(machine),
            Event::HeartbeatResponded { machine, number, worker_epoch, sent_at, response } => {
                self.heartbeat_response_arrives(machine, number, worker_epoch, sent_at, &response);
            }
            Event::ImageFetched(machine, worker_epoch, key) => self.start_task(machine, worker_epoch, key),
            Event::TaskEnded(machine, worker_epoch, key) => self.end_task(machine, worker_epoch, &key),
            Event::GangWaitTimeout(machine, worker_epoch, key) => self.gang_wait_expired(machine, worker_epoch, &key),
            Event::GangRuntimeElapsed(job, attempt) => self.gang_runtime_elapsed(&job, attempt),
            Event::GangCheckpointWritten(machine, worker_epoch, key) => {
                self.gang_checkpoint_written(machine, worker_epoch, &key)
            }
            Event::LeaseCheck(machine) => self.check_lease(machine),
            Event::MachineBooted(machine) => self.machine_booted(machine),
            Event::HealMachine(machine) => self.heal_machine(machine),
            Event::ResumeMachine(machine) => self.resume_machine(machine),
            Event::UserPoll(id) => self.poll(&id),
            Event::UserRequest(id, request) => self.send_user_request_to_any(id, request),
            Event::UserRequestAt(node, id, request) => {
                if self.controllers.processes[node].is_some() {
                    self.send_user_request(node, id, request);
                }
            }
        }
    }
}
