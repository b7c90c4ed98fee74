//! Simulated time: one queue of events in the order of their time, then of their scheduling.

use super::*;

/// Something that happens at a moment of simulated time.
///
/// Controllers and machines are named by number. An event of a controller carries the epoch of the process that it is meant for:
/// a process that has ended since does not get it.
#[derive(Debug)]
pub(super) enum Event {
    ControllerTick(usize, u64),
    ControllerInput(usize, u64, Box<Input>),
    /// A request reaches the state service: controller, epoch, who asks within it, number of the request.
    StoreRequest(usize, u64, StoreCaller, u64, Box<StoreRequest>),
    /// A request to the state service that was carried out, or got no answer, is carried out again; nobody waits for the answer.
    DuplicateStoreRequest(Box<StoreRequest>),
    /// A request reaches the cloud: controller, epoch, fencing token, number of the request.
    CloudRequest(usize, u64, u64, u64, Box<CloudRequest>),
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
    /// A heartbeat of a machine reaches a controller; the request's number says which.
    Heartbeat(u64, u64, Box<Heartbeat>),
    HeartbeatDue(u64),
    HeartbeatAnswered {
        machine: u64,
        number: u64,
        session: u64,
        sent: u64,
        answer: Box<ApiResponse>,
    },
    /// Of a task: the machine, the machine's epoch and the attempt.
    ImageFetched(u64, u64, AttemptKey),
    TaskEnded(u64, u64, AttemptKey),
    GangWaitTimeout(u64, u64, AttemptKey),
    GangDone(String, u64),
    GangTaskSaved(u64, u64, AttemptKey),
    MachineBooted(u64),
    LeaseCheck(u64),
    UserPoll(String),
    UserRequest(String, UserRequest),
    /// A user asks this controller, if it is up.
    UserRequestAt(usize, String, UserRequest),
    StartController(usize),
    HealMachine(u64),
    ResumeMachine(u64),
    ProductionVersionTick(usize, u64),
}

impl Event {
    /// The machine that has to execute something for this.
    fn executed_by(&self) -> Option<u64> {
        match self {
            Event::Command { machine, .. }
            | Event::DuplicateCommand(machine, _)
            | Event::HeartbeatDue(machine)
            | Event::HeartbeatAnswered { machine, .. }
            | Event::ImageFetched(machine, ..)
            | Event::GangWaitTimeout(machine, ..)
            | Event::GangTaskSaved(machine, ..)
            | Event::TaskEnded(machine, ..) => Some(*machine),
            _ => None,
        }
    }
}

/// Events to come, by time in milliseconds and by the order in which they were scheduled.
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

    /// The next event that comes up to this time, and when.
    fn pop_until(&mut self, until: u64) -> Option<(u64, Event)> {
        let next = self.events.first_entry().filter(|entry| entry.key().0 <= until)?;
        let ((at, _), event) = next.remove_entry();
        Some((at, event))
    }
}

/// A xorshift generator: the same numbers for the same seed, on every machine.
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
    /// A random number below `bound`.
    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// Lets an event happen after `delay` milliseconds.
    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push(self.now + delay, event);
    }

    /// Plays everything that happens up to this time. What a machine that hangs has to execute waits until it goes on.
    pub fn run_until(&mut self, until: u64) {
        while let Some((at, event)) = self.events.pop_until(until) {
            self.now = at;
            match event.executed_by().filter(|machine| self.workers.get(machine).is_some_and(|w| w.is_hung)) {
                Some(machine) => self.faults.hung_events.entry(machine).or_default().push(event),
                None => self.dispatch(event),
            }
            self.check_rules();
        }
        self.now = until;
    }

    /// Hands an event to the stand-in that it concerns.
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
            Event::CloudRequest(node, epoch, token, id, request) => {
                let (status, body) = self.handle_cloud_request(&request);
                let response = ServiceResponse { status, body: body.to_string().into() };
                let input = Input::CloudResponse(token, id, response);
                self.schedule(50, Event::ControllerInput(node, epoch, Box::new(input)));
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
                if self.requests.answered_commands.insert((node, epoch, id)) {
                    let input = Input::CommandResponse(token, MachineId(machine), id, ServiceResponse::none());
                    self.schedule(0, Event::ControllerInput(node, epoch, Box::new(input)));
                }
            }
            Event::Heartbeat(machine, number, heartbeat) => self.heartbeat_arrives(machine, number, heartbeat),
            Event::HeartbeatDue(machine) => self.heartbeat_due(machine),
            Event::HeartbeatAnswered { machine, number, session, sent, answer } => {
                self.heartbeat_answered(machine, number, session, sent, &answer);
            }
            Event::ImageFetched(machine, session, key) => self.start_task(machine, session, key),
            Event::TaskEnded(machine, session, key) => self.end_task(machine, session, &key),
            Event::GangWaitTimeout(machine, session, key) => self.gather_timeout(machine, session, &key),
            Event::GangDone(job, attempt) => self.gang_done(&job, attempt),
            Event::GangTaskSaved(machine, session, key) => self.gang_task_saved(machine, session, &key),
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
