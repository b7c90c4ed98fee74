//! The controllers under test: starts and stops their processes, passes inputs to them, and applies their effects to
//! the fakes and simulated workers.

use super::*;

/// Interval between two ticks of a controller, in milliseconds.
const TICK_MS: u64 = 50;
/// Time after which a controller gives up on a request to the state service that gets no response, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 950;
const COMMAND_TIMEOUT_MS: u64 = 1500;
/// Wall-clock time at the start of simulated time, in milliseconds since the Unix epoch.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;

/// The controllers' processes, indexed by node number.
#[derive(Default)]
pub struct Controllers {
    /// The running processes; None for a controller that is down.
    pub processes: Vec<Option<Controller>>,
    /// Number of times that each controller was started. Inputs addressed to an earlier process are dropped.
    pub(super) epochs: Vec<u64>,
    /// Simulated time of each controller's last start, in milliseconds.
    started_at: Vec<u64>,
    /// Simulated controllers of the version in production, by node number.
    pub production_version: BTreeMap<usize, old_node::ProductionVersionNode>,
    /// Whether the controllers' load measurements report full utilization and queued inputs.
    pub overloaded: bool,
    /// Real time spent in the controllers' state machines: the total, and the maximum for a single input.
    pub processing_time: (std::time::Duration, std::time::Duration),
    /// The highest fencing token of any leader so far.
    pub highest_token: u64,
    /// Simulated time at which the leader with `highest_token` was elected, in milliseconds.
    pub(super) highest_token_since: u64,
}

impl Controllers {
    /// Returns `count` controllers, none of which is running.
    pub(super) fn down(count: usize) -> Controllers {
        Controllers {
            processes: (0..count).map(|_| None).collect(),
            epochs: vec![0; count],
            started_at: vec![0; count],
            ..Controllers::default()
        }
    }
}

/// Processes.
impl Simulation {
    pub(super) fn controller_count(&self) -> u64 {
        self.site.nodes as u64
    }

    /// Starts a controller unless it is already running.
    pub fn start_controller(&mut self, node: usize) {
        if self.controllers.processes[node].is_some() {
            return;
        }
        self.controllers.epochs[node] += 1;
        self.controllers.started_at[node] = self.now;
        let incarnation = self.controllers.epochs[node] * 10 + node as u64 + self.random_below(1000) * 100;
        self.controllers.processes[node] = Some(Controller::new(settings(&self.site, node), incarnation));
        let epoch = self.controllers.epochs[node];
        self.schedule(1 + node as u64 * 7, Event::ControllerTick(node, epoch));
        self.change_links(node, true, 30);
    }

    /// Terminates a controller's process. Clients with a pending request to it see their connection break.
    pub fn crash_controller(&mut self, node: usize) {
        if self.controllers.processes[node].take().is_none() {
            return;
        }
        for other in (0..self.site.nodes).filter(|o| *o != node) {
            self.send_input(other, Input::PeerLinkChanged(node_name(node), false), 5);
        }
        let pending: Vec<(u64, Requester)> =
            self.requests.pending.iter().map(|(id, requester)| (*id, requester.clone())).collect();
        for (id, requester) in pending {
            if id % self.controller_count() == node as u64 {
                self.requests.pending.remove(&id);
                self.request_failed(requester);
            }
        }
    }

    /// Terminates a controller's process and starts it again after `after_ms`.
    pub fn restart_controller(&mut self, node: usize, after_ms: u64) {
        self.crash_controller(node);
        self.start_controller_after(node, after_ms);
    }

    /// Starts a terminated controller after `after_ms`.
    pub fn start_controller_after(&mut self, node: usize, after_ms: u64) {
        self.schedule(after_ms, Event::StartController(node));
    }

    /// Starts a controller of the version in production on this node, which must not be running.
    pub fn start_production_version(&mut self, node: usize) {
        assert!(self.controllers.processes[node].is_none(), "controller {node} is already running");
        self.controllers.epochs[node] += 1;
        let incarnation = self.controllers.epochs[node] * 10 + node as u64;
        self.controllers.production_version.insert(node, old_node::ProductionVersionNode::new(node, incarnation));
        self.schedule(1, Event::ProductionVersionTick(node, self.controllers.epochs[node]));
    }

    /// Replaces a controller of the version in production by one of the version under test, which starts after
    /// `after_ms`.
    pub fn upgrade_controller(&mut self, node: usize, after_ms: u64) {
        self.controllers.production_version.remove(&node);
        self.controllers.epochs[node] += 1;
        self.schedule(after_ms, Event::StartController(node));
    }

    pub(super) fn production_version_tick(&mut self, node: usize, epoch: u64) {
        if self.controllers.epochs[node] != epoch {
            return;
        }
        if let Some(process) = self.controllers.production_version.get_mut(&node) {
            process.tick(self.now, node, &mut self.store);
            for id in std::mem::take(&mut process.accepted) {
                self.add_job_accepted_by_production_version(&format!("job-{id:06}"));
            }
            self.schedule(TICK_MS, Event::ProductionVersionTick(node, epoch));
        }
    }

    /// Returns the controller that leads under the highest fencing token.
    pub fn leader(&self) -> Option<usize> {
        let token = |n: &usize| self.controllers.processes[*n].as_ref().and_then(|c| c.leader()).map(|r| r.token());
        (0..self.site.nodes).filter(|n| token(n).is_some()).max_by_key(token)
    }

    /// Whether there is a leader that has loaded the log and fenced all machines, so that it no longer holds back jobs
    /// of earlier terms.
    pub fn all_machines_fenced(&self) -> bool {
        let leading = |n: usize| self.controllers.processes[n].as_ref().and_then(|c| c.leader());
        self.leader().and_then(leading).is_some_and(|r| r.is_loaded() && r.all_machines_fenced())
    }

    /// Returns a controller's own monotonic time, which starts with its process.
    pub fn clock(&self, node: usize) -> Timestamp {
        Timestamp::START + Duration::from_millis(self.now - self.controllers.started_at[node])
    }
}

/// Inputs.
impl Simulation {
    /// Notifies a controller and all running controllers that can reach it that the links between them went up or down.
    pub(super) fn change_links(&mut self, node: usize, up: bool, delay: u64) {
        for other in (0..self.site.nodes).filter(|o| *o != node) {
            let connected = self.faults.connects(node, other);
            if self.controllers.processes[other].is_some() && (!up || connected) {
                self.send_input(node, Input::PeerLinkChanged(node_name(other), up), delay);
                self.send_input(other, Input::PeerLinkChanged(node_name(node), up), delay);
            }
        }
    }

    /// Delivers an input after `delay` milliseconds, provided that the controller's current process is still running
    /// then.
    pub(super) fn send_input(&mut self, node: usize, input: Input, delay: u64) {
        let epoch = self.controllers.epochs[node];
        self.schedule(delay, Event::ControllerInput(node, epoch, Box::new(input)));
    }

    pub(super) fn controller_tick(&mut self, node: usize, epoch: u64) {
        if self.controllers.epochs[node] == epoch && self.controllers.processes[node].is_some() {
            self.handle_input(node, Input::Tick);
            self.report_load(node);
            self.schedule(TICK_MS, Event::ControllerTick(node, epoch));
        }
    }

    /// Passes an input to a controller, if it is running, and applies the resulting effects.
    pub(super) fn handle_input(&mut self, node: usize, input: Input) {
        let now = self.clock(node);
        let wall = WallClock::from_millis(WALL_CLOCK_START_MS + self.now);
        let Some(controller) = &mut self.controllers.processes[node] else { return };
        let table_number = controller.admission_table(now).map(|table| table.number);
        let submission = admission::submission_of(controller, &input);
        let started = std::time::Instant::now();
        let mut effects = controller.handle(now, wall, input);
        let elapsed = started.elapsed();
        let token = controller.leader().map_or(0, |r| r.token().0);
        if let Some(log) = &mut self.effect_log {
            log.record(self.now, node, &mut effects);
        }
        self.decisions.record_decision(node, table_number, submission, &effects);
        let (total, longest) = self.controllers.processing_time;
        self.controllers.processing_time = (total + elapsed, longest.max(elapsed));
        self.observe_token(token);
        for effect in effects {
            let delay = 1 + self.random_below(4);
            self.carry_out(node, effect, delay);
        }
    }

    /// Tracks the highest fencing token. When a new leader appears, delivers the heartbeats that were recorded for
    /// replay to every controller.
    fn observe_token(&mut self, token: u64) {
        if token <= self.controllers.highest_token {
            return;
        }
        (self.controllers.highest_token, self.controllers.highest_token_since) = (token, self.now);
        for (machine, heartbeat) in std::mem::take(&mut self.faults.heartbeats_to_replay) {
            for to in 0..self.site.nodes {
                let delay = self.random_below(400);
                self.send_duplicate_heartbeat(machine, to as u64, delay, &heartbeat);
            }
        }
    }
}

/// Effects.
impl Simulation {
    /// Applies an effect of a controller; its messages arrive after `delay` milliseconds.
    fn carry_out(&mut self, node: usize, effect: Effect, delay: u64) {
        let epoch = self.controllers.epochs[node];
        match effect {
            Effect::Respond(RequestOrigin::Http(id), response) => {
                if let Some(requester) = self.requests.pending.remove(&id) {
                    self.response_arrives(requester, response, delay);
                }
            }
            Effect::Respond(RequestOrigin::Peer(link, id), response) => {
                let (to, its_epoch) = ((link % self.controller_count()) as usize, link / self.controller_count());
                if self.faults.connects(node, to) {
                    let input = Input::ForwardResponse(id, response);
                    self.schedule(delay, Event::ControllerInput(to, its_epoch, Box::new(input)));
                }
            }
            Effect::CallStore(caller, id, request) => {
                if let Some(late) = self.duplicate_delay() {
                    self.schedule(late, Event::DuplicateStoreRequest(Box::new(request.clone())));
                }
                let arrives = delay + self.faults.store_delay_ms;
                self.schedule(arrives, Event::StoreRequest(node, epoch, caller, id, Box::new(request)));
            }
            Effect::CallCloud(token, id, request) => {
                let sender = CloudRequestSender { node, epoch, token, id };
                self.schedule(50 + delay, Event::CloudRequest(sender, Box::new(request)));
            }
            Effect::SendCommands { token, machine, id, body, .. } => {
                self.requests.direct_commands += 1;
                let machine = machine.0;
                if self.faults.record_commands {
                    self.faults.recorded_commands.push((machine, Box::new(body.clone())));
                }
                if let Some(late) = self.duplicate_delay() {
                    self.schedule(late, Event::DuplicateCommand(machine, Box::new(body.clone())));
                }
                self.schedule(delay, Event::Command { node, epoch, token, machine, id, body: Box::new(body) });
                self.schedule(COMMAND_TIMEOUT_MS, Event::CommandTimeout { node, epoch, token, machine, id });
            }
            Effect::AnnounceLeadership(token) => {
                self.broadcast(node, delay, || Input::LeaderAnnounced(node_name(node), token));
            }
            Effect::PublishAdmissionTable(table) => {
                self.broadcast(node, delay, || Input::AdmissionTableReceived(table.clone()));
            }
            Effect::ReportRefusedDemand(to, report) => {
                self.send_to_peer(node, &to, Input::RefusedDemandReceived(report), delay);
            }
            Effect::Forward(to, id, request) => {
                let link = epoch * self.controller_count() + node as u64;
                self.send_to_peer(node, &to, Input::User(RequestOrigin::Peer(link, id), request), delay);
            }
        }
    }

    /// Sends an input to all other controllers that are running and reachable.
    fn broadcast(&mut self, from: usize, delay: u64, input: impl Fn() -> Input) {
        for to in (0..self.site.nodes).filter(|n| *n != from) {
            if self.controllers.processes[to].is_some() && self.faults.connects(from, to) {
                self.send_input(to, input(), delay);
            }
        }
    }

    /// Sends an input to the controller with this name, if it is reachable.
    fn send_to_peer(&mut self, from: usize, to: &str, input: Input, delay: u64) {
        let target = (0..self.site.nodes).find(|n| node_name(*n) == to).expect("the peer is a known node");
        if self.faults.connects(from, target) {
            self.send_input(target, input, delay);
        }
    }

    /// Handles the arrival of a request at the state service, subject to the faults in force.
    pub(super) fn store_request_arrives(
        &mut self,
        node: usize,
        epoch: u64,
        caller: StoreCaller,
        id: u64,
        request: Box<StoreRequest>,
    ) {
        self.check_machine_registrations(&request);
        self.check_drain_write(&request);
        let refused = self.store.is_unavailable_to(node);
        let (percent, immediately) = self.faults.writes_without_response;
        let is_write = matches!(*request, StoreRequest::CompareAndSwap(_));
        if is_write && !refused && percent > 0 && self.random_below(100) < percent {
            let late = if immediately { 0 } else { 2000 + self.random_below(10_000) };
            self.schedule(late, Event::DuplicateStoreRequest(request));
            let timeout = Input::StoreResponse(caller, id, ServiceResponse::none());
            return self.schedule(REQUEST_TIMEOUT_MS, Event::ControllerInput(node, epoch, Box::new(timeout)));
        }
        let (status, body) = self.store.handle(self.now, node, &request);
        let response = if self.store.lost_responses > 0 && status != 503 {
            self.store.lost_responses -= 1;
            ServiceResponse::none()
        } else {
            ServiceResponse { status, body: body.to_string().into() }
        };
        let response_ms = if response.status == 0 { REQUEST_TIMEOUT_MS } else { 1 + self.random_below(4) };
        let input = Input::StoreResponse(caller, id, response);
        let delay = response_ms + self.faults.store_delay_ms;
        self.schedule(delay, Event::ControllerInput(node, epoch, Box::new(input)));
    }

    /// Applies a duplicate or delayed transaction. Its response is discarded, since nobody waits for it.
    pub(super) fn duplicate_store_request_arrives(&mut self, request: &StoreRequest) {
        if matches!(request, StoreRequest::CompareAndSwap(_)) {
            self.store.handle(self.now, usize::MAX, request);
        }
    }
}
