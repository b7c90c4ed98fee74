//! A node as one state machine: inputs in, what to send, write and answer out.
//!
//! No I/O and no clocks here: `now` and `wall` come with every input.

use crate::api::{ApiResponse, UserRequest};
use crate::effects::{Effect, Input, RequestOrigin, StoreCaller};
use crate::leader::{Leader, StepDownReason};
use crate::leadership::{self, Leadership};
use crate::settings::{Seed, Settings};
use crate::types::{Duration, Timestamp, WallClock};
use crate::upgrade::{self, Format, Upgrade};
use crate::wire::{Heartbeat, LeaderRedirect, SubmissionHead};
use caperstile_admission::{AdmissionTable, Decision, DemandReport, Submission, TableView};
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

#[derive(Debug)]
struct QueuedRequest {
    origin: RequestOrigin,
    call: UserRequest,
    until: Timestamp,
}

#[derive(Debug)]
struct Forward {
    origin: RequestOrigin,
    call: UserRequest,
    until: Timestamp,
    node: String,
}

/// How long a user's request waits for a leader before it is told to come back.
const PATIENCE: Duration = Duration::from_millis(1200);
/// How long the leader may take over a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(3500);
const PARKED_LIMIT: usize = 400;
/// A follower that cannot reach the leader for so long cannot take requests.
const CUT_OFF: Duration = Duration::from_millis(2500);
/// Without an answer of the state service for so long, it is down or out of reach.
const NO_STATE: Duration = Duration::from_millis(1500);
/// How often a leader tells the other nodes so.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);
/// How often a follower tells the leader what it refused.
const REPORT_REFUSED_EVERY: Duration = Duration::from_secs(1);
/// A node that led so lately may still answer the workers of a zone that is cut off.
const LED_LATELY: Duration = Duration::from_secs(90);
/// A node makes room for others no more often: if no node reaches the workers, they are gone.
const MAKES_ROOM_EVERY: Duration = Duration::from_secs(60);

/// A node.
pub struct Controller {
    settings: Settings,
    leadership: Leadership,
    upgrade: Upgrade,
    leader: Option<Leader>,
    queued_requests: VecDeque<QueuedRequest>,
    forwarded_requests: BTreeMap<u64, Forward>,
    forward_counter: u64,
    /// What the leader refuses, as far as this node was told.
    admission_view: TableView,
    /// What this node refused since it told the leader last, and when that was.
    refused_demand: DemandReport,
    refused_reported_at: Timestamp,
    connected_peers: HashSet<String>,
    has_seen_leader: bool,
    leader_reachable_at: Timestamp,
    announced_at: Timestamp,
    /// When each node was known to lead last.
    last_led_at: HashMap<String, Timestamp>,
    /// When this node left the leadership to others last, because it reached no worker.
    yielded_at: Option<Timestamp>,
}

impl Controller {
    /// A node that has just started; `incarnation` must be random.
    pub fn new(settings: Settings, incarnation: u64) -> Controller {
        let rng = SmallRng::seed_from_u64(incarnation);
        let leadership = Leadership::new(&settings.node, incarnation, settings.tuning.leader_lease, rng);
        let upgrade = Upgrade::new(&settings.node, settings.seeds.iter().map(|s| s.node.clone()));
        Controller {
            settings,
            leadership,
            upgrade,
            leader: None,
            queued_requests: VecDeque::new(),
            forwarded_requests: BTreeMap::new(),
            forward_counter: 0,
            admission_view: TableView::default(),
            refused_demand: DemandReport::default(),
            refused_reported_at: Timestamp::ZERO,
            connected_peers: HashSet::new(),
            has_seen_leader: false,
            leader_reachable_at: Timestamp::ZERO,
            announced_at: Timestamp::ZERO,
            last_led_at: HashMap::new(),
            yielded_at: None,
        }
    }

    /// The leader, while this node leads.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The admission table that this node decides by: its own if it leads, else the one in force.
    pub fn admission_table(&self, now: Timestamp) -> Option<&AdmissionTable> {
        match &self.leader {
            Some(leader) => Some(leader.current_admission_table()),
            None => self.admission_view.in_force(now, self.leadership.highest_observed_token()),
        }
    }

    /// Takes one input and says what is to be done.
    pub fn handle(&mut self, now: Timestamp, wall: WallClock, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, wall, &mut out),
            Input::InputDelay(by) => {
                if let Some(leader) = &mut self.leader {
                    leader.set_input_delay(by);
                }
            }
            Input::SlowInput(took) => {
                if let Some(leader) = &mut self.leader {
                    leader.note_slow_input(took);
                }
            }
            Input::User(origin, call) => self.handle_user_request(now, wall, origin, call, now + PATIENCE, &mut out),
            Input::Heartbeat(origin, report) => self.handle_heartbeat(now, wall, origin, &report, &mut out),
            Input::HealthCheck(origin) => out.push(Effect::Respond(origin, self.health(now))),
            Input::StoreResponse(StoreCaller::Leadership, id, reply) => {
                let mut events = Vec::new();
                self.leadership.handle_response(now, id, &reply, &mut events);
                self.apply_leadership_events(now, wall, events, &mut out);
            }
            Input::StoreResponse(StoreCaller::Upgrade, id, reply) => {
                let mut events = Vec::new();
                self.upgrade.handle_response(now, id, &reply, &mut events);
                self.apply_upgrade_events(events, &mut out);
            }
            Input::StoreResponse(StoreCaller::WriteAheadLog(token), id, reply) => {
                self.with_leader(now, token, &mut out, |leader, lease_valid, out| {
                    leader.handle_store_response(now, wall, lease_valid, id, &reply, out)
                });
            }
            Input::StoreResponse(StoreCaller::Drains(token), id, reply) => {
                self.with_leader(now, token, &mut out, |leader, lease_valid, out| {
                    leader.handle_drain_store_response(now, wall, lease_valid, id, &reply, out)
                });
            }
            Input::StoreResponse(StoreCaller::AdmissionStatus, ..) => {}
            Input::DisruptionPolicyChanged(policy) => {
                if let Some(leader) = &mut self.leader {
                    leader.set_policy(now, (*policy).clone());
                }
                self.settings.policy = *policy;
            }
            Input::AdmissionPolicyChanged(policy) => {
                if let Some(leader) = &mut self.leader {
                    leader.set_admission_policy((*policy).clone());
                }
                self.settings.admission = *policy;
            }
            Input::Utilization(utilization) => {
                if let Some(leader) = &mut self.leader {
                    leader.observe_utilization(now, utilization);
                }
            }
            Input::RefusedDemandReceived(report) => {
                if let Some(leader) = &mut self.leader {
                    leader.note_refused_elsewhere(now, &report);
                }
            }
            Input::AdmissionTableReceived(table) => {
                self.admission_view.receive(now, *table);
            }
            Input::CloudResponse(token, id, reply) => {
                self.with_leader(now, token, &mut out, |leader, lease_valid, out| {
                    leader.handle_cloud_response(now, wall, lease_valid, id, &reply, out)
                });
            }
            Input::CommandResponse(token, machine, id, reply) => {
                self.with_leader(now, token, &mut out, |leader, lease_valid, out| {
                    leader.handle_command_response(now, wall, lease_valid, machine, id, &reply, out)
                });
            }
            Input::ForwardResponse(id, answer) => {
                if let Some(forward) = self.forwarded_requests.remove(&id) {
                    out.push(Effect::Respond(forward.origin, answer));
                }
            }
            Input::LeaderAnnounced(node, token) => {
                let mut events = Vec::new();
                self.leadership.observe_announcement(now, node, token, &mut events);
                self.apply_leadership_events(now, wall, events, &mut out);
            }
            Input::PeerLinkChanged(node, true) => {
                self.connected_peers.insert(node);
                self.announced_at = Timestamp::ZERO;
                self.retry_queued_requests(now, wall, &mut out);
            }
            Input::PeerLinkChanged(node, false) => {
                self.connected_peers.remove(&node);
                if self.leadership.leader() == Some(node.as_str()) {
                    self.leadership.campaign_soon(now);
                }
                // All of the users' requests may be repeated, so they are asked again.
                let ids: Vec<u64> =
                    self.forwarded_requests.iter().filter(|(_, f)| f.node == node).map(|(id, _)| *id).collect();
                for id in ids {
                    if let Some(f) = self.forwarded_requests.remove(&id) {
                        let until = f.until.min(now + PATIENCE);
                        self.handle_user_request(now, wall, f.origin, f.call, until, &mut out);
                    }
                }
            }
        }
        out
    }

    fn with_leader(
        &mut self,
        now: Timestamp,
        token: u64,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Leader, bool, &mut Vec<Effect>),
    ) {
        let lease_valid = self.leadership.holds_valid_lease(now);
        if let Some(leader) = self.leader.as_mut().filter(|r| r.token().0 == token) {
            act(leader, lease_valid, out);
        }
        self.check_step_down(now, out);
    }

    /// Ends the leader if it has learnt of a higher token or a lost key.
    fn check_step_down(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if let Some(why) = self.leader.as_ref().and_then(Leader::step_down_reason) {
            let mut events = Vec::new();
            if why == StepDownReason::NoWorkerReachable {
                self.yielded_at = Some(now);
                self.leadership.yield_leadership(now, why.reason(), &mut events);
            } else {
                self.leadership.step_down(now, why.reason(), &mut events);
            }
            self.apply_leadership_events(now, WallClock::default(), events, out);
        }
    }

    fn apply_leadership_events(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        events: Vec<leadership::LeadershipEvent>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                leadership::LeadershipEvent::Request(id, call) => {
                    out.push(Effect::QueryStore(StoreCaller::Leadership, id, call))
                }
                leadership::LeadershipEvent::Elected(token, format) => {
                    self.has_seen_leader = true;
                    self.announced_at = Timestamp::ZERO;
                    let mut leader = Leader::new(token, format, now, &self.settings);
                    if let Some(table) = self.admission_view.inherited(now) {
                        leader.inherit_admission_table(now, table);
                    }
                    leader.start(now, wall, out);
                    self.leader = Some(leader);
                    self.retry_queued_requests(now, wall, out);
                }
                leadership::LeadershipEvent::SteppedDown(_) => {
                    if let Some(leader) = self.leader.take() {
                        leader.refuse_pending_requests(out);
                    }
                }
                leadership::LeadershipEvent::LeaderChanged(leader) => {
                    if leader.is_some() {
                        self.has_seen_leader = true;
                        self.retry_queued_requests(now, wall, out);
                    }
                }
            }
        }
    }

    fn apply_upgrade_events(&mut self, events: Vec<upgrade::UpgradeEvent>, out: &mut Vec<Effect>) {
        for event in events {
            match event {
                upgrade::UpgradeEvent::Request(id, call) => {
                    out.push(Effect::QueryStore(StoreCaller::Upgrade, id, call))
                }
                upgrade::UpgradeEvent::AllUpgraded => self.leadership.request_key_relocation(),
            }
        }
    }

    fn tick(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.leadership.tick(now, &mut events);
        self.apply_leadership_events(now, wall, events, out);
        let lease_valid = self.leadership.holds_valid_lease(now);
        let leads_old_format = lease_valid && self.leadership.format() == Format::One;
        let mut events = Vec::new();
        self.upgrade.tick(now, leads_old_format, &mut events);
        self.apply_upgrade_events(events, out);
        let may_make_room = lease_valid
            && !self.connected_peers.is_empty()
            && self.yielded_at.is_none_or(|at| now.since(at) >= MAKES_ROOM_EVERY);
        if let Some(leader) = self.leadership.leader() {
            self.last_led_at.insert(leader.to_string(), now);
        }
        if let Some(leader) = &mut self.leader {
            let lately = |s: &&Seed| self.last_led_at.get(&s.node).is_some_and(|at| now.since(*at) < LED_LATELY);
            leader.set_recent_leader_zones(self.settings.seeds.iter().filter(lately).map(|s| s.area.clone()).collect());
            leader.tick(now, wall, lease_valid, out);
            if may_make_room {
                leader.detect_isolation();
            }
        }
        self.check_step_down(now, out);
        if let Some(leader) =
            self.leader.as_ref().filter(|_| lease_valid && now.since(self.announced_at) >= ANNOUNCE_EVERY)
        {
            self.announced_at = now;
            out.push(Effect::AnnounceLeadership(leader.token()));
        }
        if lease_valid
            && let Some(table) =
                self.leader.as_mut().filter(|leader| leader.is_loaded()).and_then(|leader| leader.admission_table(now))
        {
            out.push(Effect::PublishAdmissionTable(Box::new(table.clone())));
        }
        if let Some(leader) = self.leader.as_mut().filter(|leader| lease_valid && leader.is_loaded()) {
            leader.write_admission_status(now, wall, out);
        }
        if self.leader.as_ref().is_some_and(Leader::is_loaded) && !self.queued_requests.is_empty() {
            self.retry_queued_requests(now, wall, out);
        }
        while self.queued_requests.front().is_some_and(|p| p.until <= now) {
            if let Some(p) = self.queued_requests.pop_front() {
                out.push(Effect::Respond(p.origin, ApiResponse::unavailable("no leader")));
            }
        }
        let late: Vec<u64> =
            self.forwarded_requests.iter().filter(|(_, f)| f.until <= now).map(|(id, _)| *id).collect();
        for id in late {
            if let Some(f) = self.forwarded_requests.remove(&id) {
                out.push(Effect::Respond(f.origin, ApiResponse::unavailable("the leader does not answer")));
            }
        }
        self.report_refused(now, out);
        // Cut off from a leader that others can reach. In an outage of the state service nothing
        // is known of the leader, and being marked healthy again is slow: the node stays up.
        let linked = match self.leadership.leader() {
            Some(leader) => leader == self.settings.node || self.connected_peers.contains(leader),
            None => true,
        };
        if linked || !self.state_answers(now) {
            self.leader_reachable_at = now;
        }
    }

    /// Tells the leader from time to time what was refused by its tables.
    fn report_refused(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.refused_demand.is_empty() || now.since(self.refused_reported_at) < REPORT_REFUSED_EVERY {
            return;
        }
        self.refused_reported_at = now;
        let report = std::mem::take(&mut self.refused_demand);
        // Only a leader whose table this node has is known to read it.
        let table = self.admission_view.in_force(now, self.leadership.highest_observed_token());
        if let Some(leader) = self.leadership.leader().filter(|_| table.is_some() && self.leader.is_none()) {
            out.push(Effect::ReportRefusedDemand(leader.to_string(), Box::new(report)));
        }
    }

    fn state_answers(&self, now: Timestamp) -> bool {
        self.leadership.last_store_answer_at.is_some_and(|at| now.since(at) < NO_STATE)
    }

    /// Whether this node has neither the state service nor any other node: unlike in an outage, others
    /// most likely go on without it, and what it knows may be outdated.
    fn isolated(&self, now: Timestamp) -> bool {
        !self.settings.seeds.is_empty() && self.connected_peers.is_empty() && !self.state_answers(now)
    }

    fn health(&self, now: Timestamp) -> ApiResponse {
        if self.has_seen_leader && !self.isolated(now) && now.since(self.leader_reachable_at) < CUT_OFF {
            ApiResponse::empty(200)
        } else {
            ApiResponse::unavailable("not ready")
        }
    }

    fn handle_user_request(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        origin: RequestOrigin,
        call: UserRequest,
        until: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        let lease_valid = self.leadership.holds_valid_lease(now);
        if let Some(leader) = &mut self.leader {
            if leader.is_loaded() {
                leader.handle_user_request(now, wall, lease_valid, origin, &call, out);
                return;
            }
        } else if let Some(leader) = self.leadership.leader().map(str::to_string)
            && self.connected_peers.contains(&leader)
            && matches!(origin, RequestOrigin::Http(_))
        {
            if let Decision::Refuse { retry_after_s } = self.admission_decision(now, &call) {
                out.push(Effect::Respond(origin, ApiResponse::too_many_submissions(retry_after_s)));
                return;
            }
            self.forward_counter += 1;
            let id = self.forward_counter;
            out.push(Effect::Forward(leader.clone(), id, call.clone()));
            self.forwarded_requests.insert(id, Forward { origin, call, until: now + FORWARD_TIMEOUT, node: leader });
            return;
        }
        if now >= until || self.queued_requests.len() >= PARKED_LIMIT || !self.has_seen_leader || self.isolated(now) {
            out.push(Effect::Respond(origin, ApiResponse::unavailable("no leader")));
        } else {
            self.queued_requests.push_back(QueuedRequest { origin, call, until });
        }
    }

    /// Decides by the leader's admission table whether a request is worth forwarding. What cannot be read is the leader's to refuse.
    fn admission_decision(&mut self, now: Timestamp, call: &UserRequest) -> Decision {
        let UserRequest::Submit(body) = call else { return Decision::Admit };
        let Some(table) = self.admission_table(now).filter(|table| !table.is_open()) else {
            return Decision::Admit;
        };
        let Ok(head) = serde_json::from_slice::<SubmissionHead>(body) else { return Decision::Admit };
        let Ok(job) = head.job.parse() else { return Decision::Admit };
        let decision = table.decide(&Submission { job, team: &head.team, class: &head.class });
        if decision != Decision::Admit {
            self.refused_demand.refused(&head.team, &head.class, head.tasks);
        }
        decision
    }

    /// Requests that waited for a leader try again.
    fn retry_queued_requests(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        for p in std::mem::take(&mut self.queued_requests) {
            self.handle_user_request(now, wall, p.origin, p.call, p.until, out);
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        origin: RequestOrigin,
        report: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let lease_valid = self.leadership.holds_valid_lease(now);
        match &mut self.leader {
            Some(leader) if leader.is_loaded() => {
                leader.handle_heartbeat(now, wall, lease_valid, origin, report, out);
                self.check_step_down(now, out);
            }
            Some(_) => out.push(Effect::Respond(origin, ApiResponse::unavailable("loading"))),
            None => {
                let answer = match self.leadership.leader() {
                    Some(leader) => ApiResponse::json(421, &LeaderRedirect { leader }),
                    None => ApiResponse::unavailable("no leader"),
                };
                out.push(Effect::Respond(origin, answer));
            }
        }
    }
}
