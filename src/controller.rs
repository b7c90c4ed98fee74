//! A node as one state machine: inputs in, what to send, write and answer out.
//!
//! No I/O and no clocks here: `now` and `wall` come with every input.

use crate::intake::JobRecord;
use crate::inventory::CloudCall;
use crate::leadership::{self, Leadership};
use crate::peers::{Answer, UserCall};
use crate::settings::{Seed, Settings};
use crate::store::{Reply, StateCall};
use crate::term::{Over, Term, too_many};
use crate::types::{Duration, FencingToken, MachineId, Timestamp, WallClock};
use crate::upgrade::{self, Format, Upgrade};
use crate::wire::{Commands, Report, SubmissionHead};
use caperstile_admission::{
    AdmissionPolicy, AdmissionTable, Decision, DemandReport, Submission, TableView, Utilization,
};
use caperstile_disruption::Policy;
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A request over HTTP.
    Http(u64),
    /// A user's request that another node forwarded: its link and number.
    Peer(u64, u64),
}

/// Which slice made a call to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// Leadership.
    Leadership,
    /// Records, of the term with this token.
    Records(u64),
    /// The upgrade.
    Upgrade,
    /// Drains, of the term with this token.
    Drains(u64),
    /// What operators can read of admission; nobody waits for the answer.
    Admission,
}

/// What happens to a node.
#[derive(Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// So long inputs wait before they are taken; said when it changes.
    Behind(Duration),
    /// The input before this one took so long; said of slow ones only.
    Spent(Duration),
    /// A user asks, here or through another node.
    User(Origin, UserCall),
    /// A worker reports.
    Report(Origin, Box<Report>),
    /// The load balancer probes.
    Up(Origin),
    /// The state service answered, or did not.
    State(Slot, u64, Reply),
    /// The cloud answered, or did not; with the term's token.
    Cloud(u64, u64, Reply),
    /// A worker answered a direct command, or did not; with the term's token.
    Command(u64, MachineId, u64, Reply),
    /// The leader answered a forwarded request.
    Forwarded(u64, Answer),
    /// The link to a node is up or down.
    Link(String, bool),
    /// A node says that it leads, under this token.
    Leads(String, FencingToken),
    /// The operators have changed the disruption budgets.
    Policy(Box<Policy>),
    /// The operators have changed the settings of admission.
    AdmissionPolicy(Box<AdmissionPolicy>),
    /// How busy this node was in the last second.
    Utilization(Utilization),
    /// A leader has published an admission table.
    AdmissionTable(Box<AdmissionTable>),
    /// Another node has refused these submissions by this one's tables.
    RefusedElsewhere(Box<DemandReport>),
}

/// What a node wants done.
#[derive(Debug)]
pub enum Effect {
    /// Answer a request.
    Answer(Origin, Answer),
    /// Ask the state service.
    State(Slot, u64, StateCall),
    /// Ask the cloud.
    Cloud(u64, u64, CloudCall),
    /// Send commands to a worker.
    Command {
        /// The term's token.
        token: u64,
        /// Machine.
        machine: MachineId,
        /// Its worker's address.
        endpoint: String,
        /// Number of the command.
        id: u64,
        /// The commands.
        body: Commands,
    },
    /// Forward a user's request to the leader.
    Forward(String, u64, UserCall),
    /// Tell the other nodes that this one leads, under this token.
    Announce(FencingToken),
    /// Send the nodes that take admission tables this one.
    Publish(Box<AdmissionTable>),
    /// Tell the leader what this node refused by its tables.
    ReportRefused(String, Box<DemandReport>),
}

#[derive(Debug)]
struct Parked {
    origin: Origin,
    call: UserCall,
    until: Timestamp,
}

#[derive(Debug)]
struct Forward {
    origin: Origin,
    call: UserCall,
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
    term: Option<Term>,
    parked: VecDeque<Parked>,
    forwards: BTreeMap<u64, Forward>,
    forward_ids: u64,
    /// What the leader refuses, as far as this node was told.
    admission: TableView,
    /// What this node refused since it told the leader last, and when that was.
    refused: DemandReport,
    refused_told: Timestamp,
    links: HashSet<String>,
    ready: bool,
    reachable: Timestamp,
    announced: Timestamp,
    /// When each node was known to lead last.
    last_led: HashMap<String, Timestamp>,
    /// When this node left the leadership to others last, because it reached no worker.
    made_room: Option<Timestamp>,
}

/// 503: come back after so many seconds.
pub(crate) fn unavailable(why: &str) -> Answer {
    Answer { status: 503, retry_after: 1, body: json!({"error": why}).to_string() }
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
            term: None,
            parked: VecDeque::new(),
            forwards: BTreeMap::new(),
            forward_ids: 0,
            admission: TableView::default(),
            refused: DemandReport::default(),
            refused_told: Timestamp::ZERO,
            links: HashSet::new(),
            ready: false,
            reachable: Timestamp::ZERO,
            announced: Timestamp::ZERO,
            last_led: HashMap::new(),
            made_room: None,
        }
    }

    /// The term, while this node leads.
    pub fn term(&self) -> Option<&Term> {
        self.term.as_ref()
    }

    /// The admission table that this node decides by: its own if it leads, else the one in force.
    pub fn admission_table(&self, now: Timestamp) -> Option<&AdmissionTable> {
        match &self.term {
            Some(term) => Some(term.admission.table()),
            None => self.admission.in_force(now, self.leadership.heard()),
        }
    }

    /// Takes one input and says what is to be done.
    pub fn handle(&mut self, now: Timestamp, wall: WallClock, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, wall, &mut out),
            Input::Behind(by) => {
                if let Some(term) = &mut self.term {
                    term.pacing.behind = by;
                }
            }
            Input::Spent(took) => {
                if let Some(term) = &mut self.term {
                    term.pacing.spent(took);
                }
            }
            Input::User(origin, call) => self.user(now, wall, origin, call, now + PATIENCE, &mut out),
            Input::Report(origin, report) => self.report(now, wall, origin, &report, &mut out),
            Input::Up(origin) => out.push(Effect::Answer(origin, self.up(now))),
            Input::State(Slot::Leadership, id, reply) => {
                let mut events = Vec::new();
                self.leadership.reply(now, id, &reply, &mut events);
                self.led(now, wall, events, &mut out);
            }
            Input::State(Slot::Upgrade, id, reply) => {
                let mut events = Vec::new();
                self.upgrade.reply(now, id, &reply, &mut events);
                self.upgraded(events, &mut out);
            }
            Input::State(Slot::Records(token), id, reply) => {
                self.with_term(now, token, &mut out, |term, certain, out| {
                    term.state(now, wall, certain, id, &reply, out)
                });
            }
            Input::State(Slot::Drains(token), id, reply) => {
                self.with_term(now, token, &mut out, |term, certain, out| {
                    term.drain_reply(now, wall, certain, id, &reply, out)
                });
            }
            Input::State(Slot::Admission, ..) => {}
            Input::Policy(policy) => {
                if let Some(term) = &mut self.term {
                    term.set_policy(now, (*policy).clone());
                }
                self.settings.policy = *policy;
            }
            Input::AdmissionPolicy(policy) => {
                if let Some(term) = &mut self.term {
                    term.admission.set_policy((*policy).clone());
                }
                self.settings.admission = *policy;
            }
            Input::Utilization(utilization) => {
                if let Some(term) = &mut self.term {
                    term.admission.observe(now, utilization, term.pacing.behind);
                }
            }
            Input::RefusedElsewhere(report) => {
                if let Some(term) = &mut self.term {
                    term.admission.refused_elsewhere(now, &report);
                }
            }
            Input::AdmissionTable(table) => {
                self.admission.receive(now, *table);
            }
            Input::Cloud(token, id, reply) => {
                self.with_term(now, token, &mut out, |term, certain, out| {
                    term.cloud(now, wall, certain, id, &reply, out)
                });
            }
            Input::Command(token, machine, id, reply) => {
                self.with_term(now, token, &mut out, |term, certain, out| {
                    term.command_answer(now, wall, certain, machine, id, &reply, out)
                });
            }
            Input::Forwarded(id, answer) => {
                if let Some(forward) = self.forwards.remove(&id) {
                    out.push(Effect::Answer(forward.origin, answer));
                }
            }
            Input::Leads(node, token) => {
                let mut events = Vec::new();
                self.leadership.told(now, node, token, &mut events);
                self.led(now, wall, events, &mut out);
            }
            Input::Link(node, true) => {
                self.links.insert(node);
                self.announced = Timestamp::ZERO;
                self.unpark(now, wall, &mut out);
            }
            Input::Link(node, false) => {
                self.links.remove(&node);
                if self.leadership.leader() == Some(node.as_str()) {
                    self.leadership.hurry(now);
                }
                // All of the users' requests may be repeated, so they are asked again.
                let ids: Vec<u64> = self.forwards.iter().filter(|(_, f)| f.node == node).map(|(id, _)| *id).collect();
                for id in ids {
                    if let Some(f) = self.forwards.remove(&id) {
                        let until = f.until.min(now + PATIENCE);
                        self.user(now, wall, f.origin, f.call, until, &mut out);
                    }
                }
            }
        }
        out
    }

    fn with_term(
        &mut self,
        now: Timestamp,
        token: u64,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Term, bool, &mut Vec<Effect>),
    ) {
        let certain = self.leadership.certain(now);
        if let Some(term) = self.term.as_mut().filter(|r| r.token().0 == token) {
            act(term, certain, out);
        }
        self.check_term(now, out);
    }

    /// Ends the term if it has learnt of a higher token or a lost key.
    fn check_term(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if let Some(why) = self.term.as_ref().and_then(Term::over) {
            let mut events = Vec::new();
            if why == Over::NoWorkers {
                self.made_room = Some(now);
                self.leadership.make_room(now, why.reason(), &mut events);
            } else {
                self.leadership.step_down(now, why.reason(), &mut events);
            }
            self.led(now, WallClock::from_millis(0), events, out);
        }
    }

    fn led(&mut self, now: Timestamp, wall: WallClock, events: Vec<leadership::Event>, out: &mut Vec<Effect>) {
        for event in events {
            match event {
                leadership::Event::Call(id, call) => out.push(Effect::State(Slot::Leadership, id, call)),
                leadership::Event::Elected(token, format) => {
                    self.ready = true;
                    self.announced = Timestamp::ZERO;
                    let mut term = Term::new(token, format, now, &self.settings);
                    if let Some(table) = self.admission.inherited(now) {
                        term.admission.inherit(now, table);
                    }
                    term.start(now, wall, out);
                    self.term = Some(term);
                    self.unpark(now, wall, out);
                }
                leadership::Event::SteppedDown(_) => {
                    if let Some(term) = self.term.take() {
                        term.abdicate(out);
                    }
                }
                leadership::Event::Leader(leader) => {
                    if leader.is_some() {
                        self.ready = true;
                        self.unpark(now, wall, out);
                    }
                }
            }
        }
    }

    fn upgraded(&mut self, events: Vec<upgrade::Event>, out: &mut Vec<Effect>) {
        for event in events {
            match event {
                upgrade::Event::Call(id, call) => out.push(Effect::State(Slot::Upgrade, id, call)),
                upgrade::Event::AllUpgraded => self.leadership.move_key(),
            }
        }
    }

    fn tick(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let mut events = Vec::new();
        self.leadership.tick(now, &mut events);
        self.led(now, wall, events, out);
        let certain = self.leadership.certain(now);
        let leads_old_format = certain && self.leadership.format() == Format::One;
        let mut events = Vec::new();
        self.upgrade.tick(now, leads_old_format, &mut events);
        self.upgraded(events, out);
        let may_make_room =
            certain && !self.links.is_empty() && self.made_room.is_none_or(|at| now.since(at) >= MAKES_ROOM_EVERY);
        if let Some(leader) = self.leadership.leader() {
            self.last_led.insert(leader.to_string(), now);
        }
        if let Some(term) = &mut self.term {
            let lately = |s: &&Seed| self.last_led.get(&s.node).is_some_and(|at| now.since(*at) < LED_LATELY);
            term.led_from_within = self.settings.seeds.iter().filter(lately).map(|s| s.area.clone()).collect();
            term.tick(now, wall, certain, out);
            if may_make_room {
                term.look_for_workers();
            }
        }
        self.check_term(now, out);
        if let Some(term) = self.term.as_ref().filter(|_| certain && now.since(self.announced) >= ANNOUNCE_EVERY) {
            self.announced = now;
            out.push(Effect::Announce(term.token()));
        }
        if certain
            && let Some(table) =
                self.term.as_mut().filter(|term| term.loaded()).and_then(|term| term.admission_table(now))
        {
            out.push(Effect::Publish(Box::new(table.clone())));
        }
        if let Some(term) = self.term.as_mut().filter(|term| certain && term.loaded()) {
            term.write_admission_status(now, wall, out);
        }
        if self.term.as_ref().is_some_and(Term::loaded) && !self.parked.is_empty() {
            self.unpark(now, wall, out);
        }
        while self.parked.front().is_some_and(|p| p.until <= now) {
            if let Some(p) = self.parked.pop_front() {
                out.push(Effect::Answer(p.origin, unavailable("no leader")));
            }
        }
        let late: Vec<u64> = self.forwards.iter().filter(|(_, f)| f.until <= now).map(|(id, _)| *id).collect();
        for id in late {
            if let Some(f) = self.forwards.remove(&id) {
                out.push(Effect::Answer(f.origin, unavailable("the leader does not answer")));
            }
        }
        self.report_refused(now, out);
        // Cut off from a leader that others can reach. In an outage of the state service nothing
        // is known of the leader, and being marked healthy again is slow: the node stays up.
        let linked = match self.leadership.leader() {
            Some(leader) => leader == self.settings.node || self.links.contains(leader),
            None => true,
        };
        if linked || !self.state_answers(now) {
            self.reachable = now;
        }
    }

    /// Tells the leader from time to time what was refused by its tables.
    fn report_refused(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.refused.is_empty() || now.since(self.refused_told) < REPORT_REFUSED_EVERY {
            return;
        }
        self.refused_told = now;
        let report = std::mem::take(&mut self.refused);
        // Only a leader whose table this node has is known to read it.
        let table = self.admission.in_force(now, self.leadership.heard());
        if let Some(leader) = self.leadership.leader().filter(|_| table.is_some() && self.term.is_none()) {
            out.push(Effect::ReportRefused(leader.to_string(), Box::new(report)));
        }
    }

    fn state_answers(&self, now: Timestamp) -> bool {
        self.leadership.answered.is_some_and(|at| now.since(at) < NO_STATE)
    }

    /// Whether this node has neither the state service nor any other node: unlike in an outage, others
    /// most likely go on without it, and what it knows may be outdated.
    fn isolated(&self, now: Timestamp) -> bool {
        !self.settings.seeds.is_empty() && self.links.is_empty() && !self.state_answers(now)
    }

    fn up(&self, now: Timestamp) -> Answer {
        if self.ready && !self.isolated(now) && now.since(self.reachable) < CUT_OFF {
            Answer { status: 200, retry_after: 0, body: "{}".into() }
        } else {
            unavailable("not ready")
        }
    }

    fn user(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        origin: Origin,
        call: UserCall,
        until: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        let certain = self.leadership.certain(now);
        if let Some(term) = &mut self.term {
            if term.loaded() {
                term.user(now, wall, certain, origin, &call, out);
                return;
            }
        } else if let Some(leader) = self.leadership.leader().map(str::to_string)
            && self.links.contains(&leader)
            && matches!(origin, Origin::Http(_))
        {
            if let Decision::Refuse { retry_after_s } = self.decide(now, &call) {
                out.push(Effect::Answer(origin, too_many(retry_after_s)));
                return;
            }
            self.forward_ids += 1;
            let id = self.forward_ids;
            out.push(Effect::Forward(leader.clone(), id, call.clone()));
            self.forwards.insert(id, Forward { origin, call, until: now + FORWARD_TIMEOUT, node: leader });
            return;
        }
        if now >= until || self.parked.len() >= PARKED_LIMIT || !self.ready || self.isolated(now) {
            out.push(Effect::Answer(origin, unavailable("no leader")));
        } else {
            self.parked.push_back(Parked { origin, call, until });
        }
    }

    /// Decides by the leader's admission table whether a request is worth forwarding. What cannot be read is the leader's to refuse.
    fn decide(&mut self, now: Timestamp, call: &UserCall) -> Decision {
        let UserCall::Submit(body) = call else { return Decision::Admit };
        let Some(table) = self.admission_table(now).filter(|table| !table.is_open()) else {
            return Decision::Admit;
        };
        let Ok(head) = serde_json::from_slice::<SubmissionHead>(body) else { return Decision::Admit };
        let Ok(job) = head.job.parse() else { return Decision::Admit };
        let decision = table.decide(&Submission { job, team: &head.team, class: &head.class });
        if decision != Decision::Admit {
            self.refused.refused(&head.team, &head.class, head.tasks);
        }
        decision
    }

    /// Requests that waited for a leader try again.
    fn unpark(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        for p in std::mem::take(&mut self.parked) {
            self.user(now, wall, p.origin, p.call, p.until, out);
        }
    }

    fn report(&mut self, now: Timestamp, wall: WallClock, origin: Origin, report: &Report, out: &mut Vec<Effect>) {
        let certain = self.leadership.certain(now);
        match &mut self.term {
            Some(term) if term.loaded() => {
                term.report(now, wall, certain, origin, report, out);
                self.check_term(now, out);
            }
            Some(_) => out.push(Effect::Answer(origin, unavailable("loading"))),
            None => {
                let answer = match self.leadership.leader() {
                    Some(leader) => {
                        Answer { status: 421, retry_after: 0, body: json!({"Steward": leader}).to_string() }
                    }
                    None => unavailable("no leader"),
                };
                out.push(Effect::Answer(origin, answer));
            }
        }
    }
}

/// What users are told of a job that is accepted.
pub(crate) fn accepted(record: &JobRecord) -> Answer {
    Answer { status: 201, retry_after: 0, body: json!({"Ref": record.id.to_string(), "Status": "queued"}).to_string() }
}
