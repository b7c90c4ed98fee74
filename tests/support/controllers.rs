//! The controllers under test: started, ended, fed with inputs, and their effects carried out against the stand-ins.

use super::*;

/// Milliseconds between two ticks of a controller.
const TICK_MS: u64 = 50;
/// A request that gets no answer is given up by its controller after so many milliseconds.
const NO_ANSWER_MS: u64 = 950;
const COMMAND_TIMEOUT_MS: u64 = 1500;
/// What the wall clock says when simulated time begins.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;

/// The controllers' processes, by number.
#[derive(Default)]
pub struct Controllers {
    /// Those that are up.
    pub processes: Vec<Option<Controller>>,
    /// How often each was started: what was meant for an earlier process does not reach a later one.
    pub(super) epochs: Vec<u64>,
    /// When each was started last.
    started_at: Vec<u64>,
    /// Stand-ins for controllers of the version in production.
    pub production_version: BTreeMap<usize, old_node::OldNode>,
    /// Controllers are told that they are busy all the time and that their inputs wait.
    pub overloaded: bool,
    /// Real time that their state machines took, all together, and the longest that one input took.
    pub processing_time: (std::time::Duration, std::time::Duration),
    /// The highest fencing token under which one has led.
    pub(super) highest_token: u64,
    /// When it began to lead.
    pub(super) highest_token_since: u64,
}

impl Controllers {
    /// So many controllers, none of which is up.
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

    /// Starts a controller, if it is down.
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

    /// Ends a controller's process. Whoever waits for it sees the connection break.
    pub fn crash_controller(&mut self, node: usize) {
        if self.controllers.processes[node].take().is_none() {
            return;
        }
        for other in (0..self.site.nodes).filter(|o| *o != node) {
            self.send_input(other, Input::PeerLinkChanged(name(node), false), 5);
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

    /// Ends a controller's process; it is back after so many milliseconds.
    pub fn restart_controller(&mut self, node: usize, after_ms: u64) {
        self.crash_controller(node);
        self.start_controller_after(node, after_ms);
    }

    /// A controller that ended is back after so many milliseconds.
    pub fn start_controller_after(&mut self, node: usize, after_ms: u64) {
        self.schedule(after_ms, Event::StartController(node));
    }

    /// Starts the version in production as this controller, which must not run.
    pub fn start_production_version(&mut self, node: usize) {
        assert!(self.controllers.processes[node].is_none(), "it runs");
        self.controllers.epochs[node] += 1;
        let incarnation = self.controllers.epochs[node] * 10 + node as u64;
        self.controllers.production_version.insert(node, old_node::OldNode::new(node, incarnation));
        self.schedule(1, Event::ProductionVersionTick(node, self.controllers.epochs[node]));
    }

    /// Ends the version in production; it comes back as this version.
    pub fn upgrade_controller(&mut self, node: usize, after_ms: u64) {
        self.controllers.production_version.remove(&node);
        self.controllers.epochs[node] += 1;
        self.schedule(after_ms, Event::StartController(node));
    }

    pub(super) fn production_version_tick(&mut self, node: usize, epoch: u64) {
        if self.controllers.epochs[node] != epoch {
            return;
        }
        if let Some(old) = self.controllers.production_version.get_mut(&node) {
            old.tick(self.now, node, &mut self.store);
            for id in std::mem::take(&mut old.accepted) {
                self.accepted_by_production_version(&format!("job-{id:06}"));
            }
            self.schedule(TICK_MS, Event::ProductionVersionTick(node, epoch));
        }
    }

    /// The controller that leads under the highest token.
    pub fn leader(&self) -> Option<usize> {
        let token = |n: &usize| self.controllers.processes[*n].as_ref().and_then(|c| c.leader()).map(|r| r.token());
        (0..self.site.nodes).filter(|n| token(n).is_some()).max_by_key(token)
    }

    /// Whether there is a leader that holds no older jobs back.
    pub fn all_machines_fenced(&self) -> bool {
        let leading = |n: usize| self.controllers.processes[n].as_ref().and_then(|c| c.leader());
        self.leader().and_then(leading).is_some_and(|r| r.is_loaded() && r.all_machines_fenced())
    }

    /// What a controller's own clock says: it starts with the process.
    pub fn clock(&self, node: usize) -> Timestamp {
        Timestamp::START + Duration::from_millis(self.now - self.controllers.started_at[node])
    }
}

/// Inputs.
impl Simulation {
    /// Tells a controller and all others that can reach it that their links are up or down.
    pub(super) fn change_links(&mut self, node: usize, up: bool, delay: u64) {
        for other in (0..self.site.nodes).filter(|o| *o != node) {
            let connected = self.faults.connects(node, other);
            if self.controllers.processes[other].is_some() && (!up || connected) {
                self.send_input(node, Input::PeerLinkChanged(name(other), up), delay);
                self.send_input(other, Input::PeerLinkChanged(name(node), up), delay);
            }
        }
    }

    /// An input reaches the process that a controller has now, so many milliseconds later.
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

    /// Feeds a controller with an input, if it is up, and carries its effects out.
    pub(super) fn handle_input(&mut self, node: usize, input: Input) {
        let now = self.clock(node);
        let wall = WallClock::from_millis(WALL_CLOCK_START_MS + self.now);
        let Some(controller) = &mut self.controllers.processes[node] else { return };
        let number = controller.admission_table(now).map(|table| table.number);
        let asked = admission::submission_of(controller, &input);
        let begin = std::time::Instant::now();
        let mut effects = controller.handle(now, wall, input);
        let took = begin.elapsed();
        let token = controller.leader().map_or(0, |r| r.token().0);
        if let Some(log) = &mut self.effect_log {
            log.record(self.now, node, &mut effects);
        }
        self.decisions.note(node, number, asked, &effects);
        let (total, longest) = self.controllers.processing_time;
        self.controllers.processing_time = (total + took, longest.max(took));
        self.observe_token(token);
        for effect in effects {
            let delay = 1 + self.random_below(4);
            self.carry_out(node, effect, delay);
        }
    }

    /// A new leader has begun: heartbeats that were kept for this reach every controller now.
    fn observe_token(&mut self, token: u64) {
        if token <= self.controllers.highest_token {
            return;
        }
        (self.controllers.highest_token, self.controllers.highest_token_since) = (token, self.now);
        for (machine, heartbeat) in std::mem::take(&mut self.faults.heartbeats_to_replay) {
            for to in 0..self.site.nodes {
                let soon = self.random_below(400);
                self.send_duplicate_heartbeat(machine, to as u64, soon, &heartbeat);
            }
        }
    }
}

/// Effects.
impl Simulation {
    /// Carries out what a controller asks for; messages take `delay` milliseconds.
    fn carry_out(&mut self, node: usize, effect: Effect, delay: u64) {
        let epoch = self.controllers.epochs[node];
        match effect {
            Effect::Respond(RequestOrigin::Http(id), answer) => {
                if let Some(requester) = self.requests.pending.remove(&id) {
                    self.request_answered(requester, answer, delay);
                }
            }
            Effect::Respond(RequestOrigin::Peer(link, id), answer) => {
                let (to, its_epoch) = ((link % self.controller_count()) as usize, link / self.controller_count());
                if self.faults.connects(node, to) {
                    let input = Input::ForwardResponse(id, answer);
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
                self.schedule(50 + delay, Event::CloudRequest(node, epoch, token, id, Box::new(request)));
            }
            Effect::SendCommands { token, machine, id, body, .. } => {
                self.requests.direct_commands += 1;
                let machine = machine.0;
                if let Some(late) = self.duplicate_delay() {
                    self.schedule(late, Event::DuplicateCommand(machine, Box::new(body.clone())));
                }
                self.schedule(delay, Event::Command { node, epoch, token, machine, id, body: Box::new(body) });
                self.schedule(COMMAND_TIMEOUT_MS, Event::CommandTimeout { node, epoch, token, machine, id });
            }
            Effect::AnnounceLeadership(token) => {
                self.broadcast(node, delay, || Input::LeaderAnnounced(name(node), token));
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

    /// Sends an input to all other controllers that are up and can be reached.
    fn broadcast(&mut self, from: usize, delay: u64, input: impl Fn() -> Input) {
        for to in (0..self.site.nodes).filter(|n| *n != from) {
            if self.controllers.processes[to].is_some() && self.faults.connects(from, to) {
                self.send_input(to, input(), delay);
            }
        }
    }

    /// Sends an input to the controller of this name, if it can be reached.
    fn send_to_peer(&mut self, from: usize, to: &str, input: Input, delay: u64) {
        let target = (0..self.site.nodes).find(|n| name(*n) == to).expect("a known node");
        if self.faults.connects(from, target) {
            self.send_input(target, input, delay);
        }
    }

    /// A request has reached the state service.
    pub(super) fn store_request_arrives(
        &mut self,
        node: usize,
        epoch: u64,
        caller: StoreCaller,
        id: u64,
        request: Box<StoreRequest>,
    ) {
        self.check_registered(&request);
        self.check_drain_write(&request);
        let refused = self.store.refuses(node);
        let (share, at_once) = self.faults.writes_without_response;
        let is_write = matches!(*request, StoreRequest::CompareAndSwap(_));
        if is_write && !refused && share > 0 && self.random_below(100) < share {
            let late = if at_once { 0 } else { 2000 + self.random_below(10_000) };
            self.schedule(late, Event::DuplicateStoreRequest(request));
            let unanswered = Input::StoreResponse(caller, id, ServiceResponse::none());
            return self.schedule(NO_ANSWER_MS, Event::ControllerInput(node, epoch, Box::new(unanswered)));
        }
        let (status, body) = self.store.handle(self.now, node, &request);
        let response = if self.store.lost_responses > 0 && status != 503 {
            self.store.lost_responses -= 1;
            ServiceResponse::none()
        } else {
            ServiceResponse { status, body: body.to_string().into() }
        };
        let answer_ms = if response.status == 0 { NO_ANSWER_MS } else { 1 + self.random_below(4) };
        let input = Input::StoreResponse(caller, id, response);
        let delay = answer_ms + self.faults.store_delay_ms;
        self.schedule(delay, Event::ControllerInput(node, epoch, Box::new(input)));
    }

    /// A transaction is carried out once more, or late; nobody waits for its answer.
    pub(super) fn duplicate_store_request_arrives(&mut self, request: &StoreRequest) {
        if matches!(request, StoreRequest::CompareAndSwap(_)) {
            self.store.handle(self.now, usize::MAX, request);
        }
    }
}
