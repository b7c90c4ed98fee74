//! A node as one state machine: inputs in, effects out.
//!
//! No I/O and no clocks here: `now` and `wall` come with every input. While the node leads, a [`Leader`] takes most inputs; while it
//! follows, users' requests are forwarded to the leader.

mod health;
mod leadership_events;
mod user_requests;

use crate::api::ApiResponse;
use crate::effects::{Effect, Input, RequestOrigin, StoreCaller};
use crate::leader::Leader;
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

/// How often a leader announces itself to the other nodes.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// How often a follower tells the leader what it refused.
const REFUSED_DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// A node.
pub struct Controller {
    settings: Settings,
    leadership: Leadership,
    upgrade: Upgrade,
    /// The leader's state, while this node leads.
    leader: Option<Leader>,
    /// Users' requests that wait for a leader.
    queued_requests: QueuedRequests,
    /// Users' requests that were forwarded to the leader.
    forwarded_requests: ForwardedRequests,
    /// The leader's admission tables, as far as they have reached this node.
    admission_view: TableView,
    /// What this node refused since it told the leader last, and when that was.
    refused_demand: DemandReport,
    refused_reported_at: Timestamp,
    /// Other nodes to which a link is up.
    connected_peers: HashSet<String>,
    /// Whether any leader was known since the process began.
    has_seen_leader: bool,
    /// When the leader could be reached last.
    leader_reachable_at: Timestamp,
    announced_at: Timestamp,
    /// When each node was known to lead last.
    last_led_at: HashMap<String, Timestamp>,
    /// When this node yielded the leadership last, because it reached no worker.
    yielded_at: Option<Timestamp>,
}

impl Controller {
    /// A node that has just started; `incarnation` must be random.
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

    /// The leader's state, while this node leads.
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
            Input::User(origin, request) => self.accept_user_request(now, wall, origin, request, &mut out),
            Input::Heartbeat(origin, heartbeat) => self.handle_heartbeat(now, wall, origin, &heartbeat, &mut out),
            Input::HealthCheck(origin) => out.push(Effect::Respond(origin, self.health(now))),
            Input::StoreResponse(caller, id, response) => {
                self.handle_store_response(now, wall, caller, id, &response, &mut out);
            }
            Input::CloudResponse(token, id, response) => {
                self.with_leader(now, token, &mut out, |leader, lease_valid, out| {
                    leader.handle_cloud_response(now, wall, lease_valid, id, &response, out);
                });
            }
            Input::CommandResponse(token, machine, id, response) => {
                self.with_leader(now, token, &mut out, |leader, lease_valid, out| {
                    leader.handle_command_response(now, wall, lease_valid, machine, id, &response, out);
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
                self.note_load(now, input);
            }
        }
        out
    }

    /// Inputs that tell a leader how busy it is and what is refused; a follower needs none of them.
    fn note_load(&mut self, now: Timestamp, input: Input) {
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
            StoreCaller::WriteAheadLog(token) => self.with_leader(now, token, out, |leader, lease_valid, out| {
                leader.handle_store_response(now, wall, lease_valid, id, response, out);
            }),
            StoreCaller::Drains(token) => self.with_leader(now, token, out, |leader, lease_valid, out| {
                leader.handle_drain_store_response(now, wall, lease_valid, id, response, out);
            }),
            StoreCaller::AdmissionStatus => {}
        }
    }

    /// Lets the leader's state act, if it is still the one with this fencing token.
    fn with_leader(
        &mut self,
        now: Timestamp,
        token: u64,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Leader, bool, &mut Vec<Effect>),
    ) {
        let lease_valid = self.leadership.holds_valid_lease(now);
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.token().0 == token) {
            act(leader, lease_valid, out);
        }
        self.step_down_if_required(now, out);
    }

    fn tick(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.leadership.tick(now, &mut events);
        self.apply_leadership_events(now, wall, events, out);
        let lease_valid = self.leadership.holds_valid_lease(now);
        self.tick_upgrade(now, lease_valid, out);
        self.tick_leader(now, wall, lease_valid, out);
        self.step_down_if_required(now, out);
        if lease_valid {
            self.announce(now, out);
            self.publish_admission(now, wall, out);
        }
        self.tick_user_requests(now, wall, out);
        self.report_refused_demand(now, out);
        self.note_leader_reachability(now);
    }

    fn tick_upgrade(&mut self, now: Timestamp, lease_valid: bool, out: &mut Vec<Effect>) {
        let leads_old_format = lease_valid && self.leadership.format() == Format::One;
        let mut events = Vec::new();
        self.upgrade.tick(now, leads_old_format, &mut events);
        self.apply_upgrade_events(events, out);
    }

    fn tick_leader(&mut self, now: Timestamp, wall: WallClock, lease_valid: bool, out: &mut Vec<Effect>) {
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
        leader.tick(now, wall, lease_valid, out);
        if may_yield {
            leader.detect_isolation();
        }
    }

    /// Publishes a new admission table if one is due, and the status that operators read.
    fn publish_admission(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.is_loaded()) else { return };
        if let Some(table) = leader.refresh_admission_table(now) {
            out.push(Effect::PublishAdmissionTable(Box::new(table.clone())));
        }
        leader.write_admission_status(now, wall, out);
    }

    /// Tells the leader from time to time what was refused by its tables.
    fn report_refused_demand(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.refused_demand.is_empty() || now.since(self.refused_reported_at) < REFUSED_DEMAND_INTERVAL {
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

    /// A heartbeat is taken by the leader; other nodes redirect the worker to it.
    fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        origin: RequestOrigin,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let lease_valid = self.leadership.holds_valid_lease(now);
        let response = match (&mut self.leader, self.leadership.leader()) {
            (Some(leader), _) if leader.is_loaded() => {
                leader.handle_heartbeat(now, wall, lease_valid, origin, heartbeat, out);
                return self.step_down_if_required(now, out);
            }
            (Some(_), _) => ApiResponse::unavailable("loading"),
            (None, Some(leader)) => ApiResponse::json(421, &LeaderRedirect { leader }),
            (None, None) => ApiResponse::unavailable("no leader"),
        };
        out.push(Effect::Respond(origin, response));
    }
}
