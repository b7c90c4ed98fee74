//! The core of a node as a deterministic state machine: inputs go in, effects come out.
//!
//! It performs no I/O and reads no clock: the monotonic time `now` and the wall-clock time `wall` come with every
//! input. While the node leads, its [`Leader`] handles most inputs; while it follows, users' requests are forwarded to
//! the leader.

mod health;
mod leadership_events;
mod user_requests;

use crate::api::ApiResponse;
use crate::effects::{Effect, Input, RequestOrigin, StoreCaller};
use crate::leader::{InputContext, Leader};
use crate::leadership::Leadership;
use crate::settings::Settings;
use crate::store::ServiceResponse;
use crate::types::{Duration, Timestamp, WallClock};
use crate::upgrade::{Format, Upgrade};
use crate::wire::{Heartbeat, LeaderRedirect};
use caperstile_admission::{AdmissionTable, DemandReport, TableView};
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{HashMap, HashSet};
use user_requests::{ForwardedRequests, QueuedRequests};

/// Interval at which a leader announces itself to the other nodes.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two reports of refused submissions from a follower to the leader.
const REFUSED_DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// The state of a node: leader election, request forwarding and, while the node leads, the leader's state.
pub struct Controller {
    settings: Settings,
    leadership: Leadership,
    upgrade: Upgrade,
    /// The leader's state; `None` while this node follows.
    leader: Option<Leader>,
    /// Users' requests that are queued until a leader is known and its state is loaded.
    queued_requests: QueuedRequests,
    /// Users' requests that were forwarded to the leader and have no response yet.
    forwarded_requests: ForwardedRequests,
    /// The admission tables that this node has received from leaders.
    admission_view: TableView,
    /// The submissions that this node has refused since its last report to the leader, and the time of that report.
    refused_demand: DemandReport,
    refused_reported_at: Timestamp,
    /// The other nodes to which a link is established.
    connected_peers: HashSet<String>,
    /// Whether this node has known a leader at any time since the process started.
    has_seen_leader: bool,
    /// The last time at which the leader counted as reachable, see `record_leader_reachability`.
    leader_reachable_at: Timestamp,
    announced_at: Timestamp,
    /// For each node, the last time at which this node knew it as the leader.
    last_led_at: HashMap<String, Timestamp>,
    /// The last time at which this node gave up the leadership because it reached no worker.
    yielded_at: Option<Timestamp>,
}

impl Controller {
    /// Creates a node that has just started. `incarnation` must be random: it distinguishes this process from earlier
    /// ones of the same node.
    pub fn new(settings: Settings, incarnation: u64) -> Controller {
        let rng = SmallRng::seed_from_u64(incarnation);
        let leadership = Leadership::new(&settings.node, incarnation, settings.tuning.leader_lease, rng);
        let upgrade = Upgrade::new(&settings.node, settings.seeds.iter().map(|seed| seed.node.clone()));
        Controller {
            settings,
            leadership,
            upgrade,
            leader: None,
            queued_requests: QueuedRequests::default(),
            forwarded_requests: ForwardedRequests::default(),
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

    /// The leader's state; `None` while this node follows.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The admission table by which this node decides: its own while it leads, otherwise the leader's table that is in
    /// force.
    pub fn admission_table(&self, now: Timestamp) -> Option<&AdmissionTable> {
        match &self.leader {
            Some(leader) => Some(leader.current_admission_table()),
            None => self.admission_view.in_force(now, self.leadership.highest_observed_token()),
        }
    }

    /// Processes one input and returns the effects to execute.
    pub fn handle(&mut self, now: Timestamp, wall: WallClock, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, wall, &mut out),
            Input::User(origin, request) => self.accept_user_request(now, wall, origin, request, &mut out),
            Input::Heartbeat(origin, heartbeat) => self.handle_heartbeat(now, wall, origin, &heartbeat, &mut out),
            Input::HealthCheck(origin) => out.push(Effect::Respond(origin, self.health(now))),
            Input::StoreResponse(caller, id, response) => {
                self.handle_store_response(now, wall, caller, id, &response, &mut out);
            }
            Input::CloudResponse(token, id, response) => {
                self.with_leader(now, wall, token, &mut out, |leader, context, out| {
                    leader.handle_cloud_response(context, id, &response, out);
                });
            }
            Input::CommandResponse(token, machine, id, response) => {
                self.with_leader(now, wall, token, &mut out, |leader, context, out| {
                    leader.handle_command_response(context, machine, id, &response, out);
                });
            }
            Input::ForwardResponse(id, response) => self.handle_forward_response(id, response, &mut out),
            Input::LeaderAnnounced(node, token) => {
                let mut events = Vec::new();
                self.leadership.observe_announcement(now, node, token, &mut events);
                self.apply_leadership_events(now, wall, events, &mut out);
            }
            Input::PeerLinkChanged(node, true) => self.peer_connected(now, wall, node, &mut out),
            Input::PeerLinkChanged(node, false) => self.peer_disconnected(now, wall, &node, &mut out),
            Input::AdmissionTableReceived(table) => {
                self.admission_view.receive(now, *table);
            }
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
            Input::InputDelay(_) | Input::SlowInput(_) | Input::Utilization(_) | Input::RefusedDemandReceived(_) => {
                self.record_load(now, input);
            }
        }
        out
    }

    /// Passes measurements of load and of refused submissions to the leader; a follower ignores them.
    fn record_load(&mut self, now: Timestamp, input: Input) {
        let Some(leader) = &mut self.leader else { return };
        match input {
            Input::InputDelay(delay) => leader.set_input_delay(delay),
            Input::SlowInput(took) => leader.note_slow_input(took),
            Input::Utilization(utilization) => leader.observe_utilization(now, utilization),
            Input::RefusedDemandReceived(report) => leader.apply_demand_report(now, &report),
            _ => {}
        }
    }

    fn handle_store_response(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        caller: StoreCaller,
        id: u64,
        response: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        match caller {
            StoreCaller::Leadership => {
                let mut events = Vec::new();
                self.leadership.handle_response(now, id, response, &mut events);
                self.apply_leadership_events(now, wall, events, out);
            }
            StoreCaller::Upgrade => {
                let mut events = Vec::new();
                self.upgrade.handle_response(now, id, response, &mut events);
                self.apply_upgrade_events(events, out);
            }
            StoreCaller::WriteAheadLog(token) => self.with_leader(now, wall, token, out, |leader, context, out| {
                leader.handle_store_response(context, id, response, out);
            }),
            StoreCaller::Drains(token) => self.with_leader(now, wall, token, out, |leader, context, out| {
                leader.handle_drain_store_response(context, id, response, out);
            }),
            StoreCaller::AdmissionStatus => {}
        }
    }

    /// Runs `act` on the leader's state if it still has this fencing token; the response to a request of an earlier
    /// term is dropped.
    fn with_leader(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        token: u64,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Leader, InputContext, &mut Vec<Effect>),
    ) {
        let context = self.input_context(now, wall);
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.token().0 == token) {
            act(leader, context, out);
        }
        self.step_down_if_required(now, out);
    }

    fn input_context(&self, now: Timestamp, wall: WallClock) -> InputContext {
        InputContext { now, wall, lease_valid: self.leadership.holds_valid_lease(now) }
    }

    fn tick(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.leadership.tick(now, &mut events);
        self.apply_leadership_events(now, wall, events, out);
        let context = self.input_context(now, wall);
        let lease_valid = context.lease_valid;
        self.tick_upgrade(now, lease_valid, out);
        self.tick_leader(context, out);
        self.step_down_if_required(now, out);
        if lease_valid {
            self.announce(now, out);
            self.publish_admission(now, wall, out);
        }
        self.tick_user_requests(now, wall, out);
        self.report_refused_demand(now, out);
        self.record_leader_reachability(now);
    }

    fn tick_upgrade(&mut self, now: Timestamp, lease_valid: bool, out: &mut Vec<Effect>) {
        let leads_old_format = lease_valid && self.leadership.format() == Format::One;
        let mut events = Vec::new();
        self.upgrade.tick(now, leads_old_format, &mut events);
        self.apply_upgrade_events(events, out);
    }

    fn tick_leader(&mut self, context: InputContext, out: &mut Vec<Effect>) {
        let InputContext { now, lease_valid, .. } = context;
        let may_yield = lease_valid && self.may_yield(now);
        if let Some(leader) = self.leadership.leader() {
            self.last_led_at.insert(leader.to_string(), now);
        }
        if self.leader.is_none() {
            return;
        }
        let recent_leader_zones = self.recent_leader_zones(now);
        let Some(leader) = &mut self.leader else { return };
        leader.set_recent_leader_zones(recent_leader_zones);
        leader.tick(context, out);
        if may_yield {
            leader.detect_isolation();
        }
    }

    /// Publishes a new admission table when one is due, and writes the status that operators read.
    fn publish_admission(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.is_loaded()) else { return };
        if let Some(table) = leader.refresh_admission_table(now) {
            out.push(Effect::PublishAdmissionTable(Box::new(table.clone())));
        }
        leader.write_admission_status(now, wall, out);
    }

    /// Reports the submissions that this node has refused to the leader, at most once per `REFUSED_DEMAND_INTERVAL`.
    fn report_refused_demand(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.refused_demand.is_empty() || now.since(self.refused_reported_at) < REFUSED_DEMAND_INTERVAL {
            return;
        }
        self.refused_reported_at = now;
        let report = std::mem::take(&mut self.refused_demand);
        // A leader of an older version cannot decode the report; one whose admission table this node holds can.
        let table = self.admission_view.in_force(now, self.leadership.highest_observed_token());
        if let Some(leader) = self.leadership.leader().filter(|_| table.is_some() && self.leader.is_none()) {
            out.push(Effect::ReportRefusedDemand(leader.to_string(), Box::new(report)));
        }
    }

    /// Passes a heartbeat to the leader's state. A follower redirects the worker to the leader.
    fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        origin: RequestOrigin,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let context = self.input_context(now, wall);
        let response = match (&mut self.leader, self.leadership.leader()) {
            (Some(leader), _) if leader.is_loaded() => {
                leader.handle_heartbeat(context, origin, heartbeat, out);
                return self.step_down_if_required(now, out);
            }
            (Some(_), _) => ApiResponse::unavailable("loading"),
            (None, Some(leader)) => ApiResponse::json(421, &LeaderRedirect { leader }),
            (None, None) => ApiResponse::unavailable("no leader"),
        };
        out.push(Effect::Respond(origin, response));
    }
}
