//! The coordinator against a fleet that does just what a test says: what it charges, when it stops, what the next leader takes over.

mod support;

use caperstile_disruption::policy::{Section, parse};
use caperstile_disruption::records::{Charge, Phase, Selector, request_key};
use caperstile_disruption::records::{Filter, Mode, Request, Wanted};
use caperstile_disruption::store::Call;
use caperstile_disruption::{
    ChargeState, Coordinator, Demand, Effect, Fleet, InstancePool, MachineView, Rooms, Stop, Supply, TaskClass,
    TaskKind, TaskView,
};
use caperstile_types::{AttemptId, AttemptNumber, Duration, JobId, MachineId, TaskId, Timestamp, WallClock};
use std::collections::{BTreeMap, BTreeSet};
use support::Service;

const START: u64 = 1_700_000_000_000;

fn class(name: &str) -> TaskClass {
    TaskClass { team: "crew".into(), class: name.into() }
}

/// A fleet of machines with tasks; what is missing besides is set by the test.
#[derive(Clone)]
struct Machines {
    machines: BTreeMap<MachineId, MachineView>,
    wanted: u32,
    /// Replicas that are lost for other reasons.
    lost: u32,
    settled: bool,
    lost_zone: Option<String>,
    room: bool,
}

impl Machines {
    /// Machines with so many replicas of `web` each.
    fn with_replicas(machines: u64, replicas: u32) -> Machines {
        let mut fleet = Machines {
            machines: BTreeMap::new(),
            wanted: machines as u32 * replicas,
            lost: 0,
            settled: true,
            lost_zone: None,
            room: true,
        };
        for id in 1..=machines {
            let tasks = (0..replicas).map(|n| fleet.task(id, n, "web", TaskKind::Replica, None)).collect();
            fleet.add(id, tasks);
        }
        fleet
    }

    fn task(&self, machine: u64, index: u32, name: &str, kind: TaskKind, ends_in: Option<Duration>) -> TaskView {
        let task = TaskId { job: JobId(machine), index };
        let key = AttemptId { attempt: AttemptNumber(machine * 1000 + u64::from(index)), task };
        TaskView { key, class: class(name), kind, stopping: false, counted: false, ends_in }
    }

    fn add(&mut self, id: u64, tasks: Vec<TaskView>) {
        let place = InstancePool { kind: "g8".into(), zone: "a".into(), spot: false };
        let view = MachineView {
            place,
            rented_at: WallClock::from_millis(START - 1000),
            reachable: true,
            leaving: false,
            tasks,
        };
        self.machines.insert(MachineId(id), view);
    }

    /// Carries a round's stops out: the tasks are told to stop.
    fn stop(&mut self, effects: &[Effect]) {
        for effect in effects {
            if let Effect::Stop(Stop::Task { machine, key }) = effect {
                let view = self.machines.get_mut(machine).expect("a machine");
                view.tasks.iter_mut().filter(|task| task.key == *key).for_each(|task| task.stopping = true);
            }
        }
    }

    fn find(&self, charge: &Charge) -> Option<&TaskView> {
        let tasks = self.machines.values().flat_map(|view| &view.tasks);
        let index = |task: &&TaskView| charge.index.is_none_or(|index| index == task.key.task.index);
        tasks.filter(index).find(|task| task.key.task.job == charge.job && task.key.attempt == charge.attempt)
    }
}

struct AnyRoom(bool);

impl Rooms for AnyRoom {
    fn take(&mut self, _: MachineId, _: &[AttemptId]) -> bool {
        self.0
    }
}

impl Fleet for Machines {
    fn settled(&self) -> bool {
        self.settled
    }
    fn lost_zone(&self) -> Option<String> {
        self.lost_zone.clone()
    }
    fn machine_ids(&self) -> Vec<MachineId> {
        self.machines.keys().copied().collect()
    }
    fn exists(&self, id: MachineId) -> bool {
        self.machines.contains_key(&id)
    }
    fn machine(&self, id: MachineId) -> Option<MachineView> {
        self.machines.get(&id).cloned()
    }
    fn demand(&self) -> BTreeMap<TaskClass, Demand> {
        let tasks = self.machines.values().flat_map(|view| &view.tasks);
        let runs = tasks.filter(|task| task.kind == TaskKind::Replica && !task.stopping).count() as u32;
        let web = Demand { wanted: self.wanted, unavailable: self.wanted - runs + self.lost };
        BTreeMap::from([(class("web"), web), (class("render"), Demand { wanted: 100, unavailable: 0 })])
    }
    fn charge_state(&self, charge: &Charge) -> ChargeState {
        // Jobs from 900 on are batch work.
        let replica = charge.job.0 < 900;
        let class = class(if replica { "web" } else { "render" });
        match self.find(charge) {
            Some(task) if !task.stopping => ChargeState::Standing { class, counted: false },
            // A replica that left its machine runs elsewhere at once.
            None if replica => ChargeState::Returned,
            _ => ChargeState::Out { class, counted: replica },
        }
    }
    fn rooms<'a>(&'a self, _: &BTreeSet<MachineId>) -> Box<dyn Rooms + 'a> {
        Box::new(AnyRoom(self.room))
    }
    fn supply(&self, _: &InstancePool, _: WallClock, _: &BTreeSet<MachineId>) -> Supply {
        Supply::default()
    }
}

/// A leader with its store.
struct Leader {
    coordinator: Coordinator,
    now: u64,
}

impl Leader {
    fn new(budget: &[(&str, &str)], now: u64) -> Leader {
        let section = |name: &str, entries: &[(&str, &str)]| Section {
            name: name.into(),
            entries: entries.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect(),
        };
        let drains = section("drains", &[("enabled", "yes"), ("max_machines", "100%")]);
        let sections = [drains, section("budget crew/web", budget), section("budget crew/render", budget)];
        let policy = parse(&sections, &BTreeSet::from(["crew".to_string()]), Duration::ZERO).expect("valid");
        Leader { coordinator: Coordinator::new(policy, Timestamp::from_millis(now), 8000, 16, 1000.0), now }
    }

    /// Lets the store do what it wants, then comes a round.
    fn round(&mut self, service: &mut Service, fleet: &Machines) -> Vec<Effect> {
        self.now += 2500;
        for _ in 0..4 {
            self.now += 50;
            let mut call = self.coordinator.store().tick(Timestamp::from_millis(self.now));
            while let Some((id, asked)) = call {
                let answer = service.answer(&asked);
                call = self.coordinator.store().reply(Timestamp::from_millis(self.now), id, answer);
            }
        }
        self.round_only(fleet)
    }

    fn round_only(&mut self, fleet: &Machines) -> Vec<Effect> {
        self.coordinator.round(Timestamp::from_millis(self.now), WallClock::from_millis(START + self.now), fleet)
    }
}

fn ask(service: &mut Service, name: &str) {
    let request = Request { selector: Selector::Matching(Filter::default()), mode: Mode::Remove, wanted: Wanted::Run };
    service.revision += 1;
    let value = serde_json::to_value(request).expect("JSON");
    service.keys.insert(request_key(name), (service.revision, value));
}

fn stops(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Stop(_))).count()
}

/// Rounds until the first charges are durable; the round in which their tasks would be told to stop has not come yet.
fn charged(budget: &[(&str, &str)], fleet: &Machines) -> (Leader, Service) {
    let (mut leader, mut service) = (Leader::new(budget, 0), Service::default());
    ask(&mut service, "all");
    for _ in 0..2 {
        assert_eq!(stops(&leader.round(&mut service, fleet)), 0);
    }
    (leader, service)
}

#[test]
fn nothing_is_told_to_stop_before_its_charge_is_durable() {
    let fleet = Machines::with_replicas(4, 1);
    let (mut leader, mut service) = charged(&[("max_unavailable", "2")], &fleet);
    // The write is under way: however often a round comes, nothing is stopped.
    let (id, call) = loop {
        leader.now += 50;
        match leader.coordinator.store().tick(Timestamp::from_millis(leader.now)) {
            Some((id, Call::Scan { prefix, .. })) => {
                let answer = service.answer(&Call::Scan { prefix, after: None });
                leader.coordinator.store().reply(Timestamp::from_millis(leader.now), id, answer);
            }
            Some(write) => break write,
            None => {}
        }
    };
    for _ in 0..3 {
        assert_eq!(stops(&leader.round_only(&fleet)), 0, "stopped before the charge is durable");
    }
    let answer = service.answer(&call);
    leader.coordinator.store().reply(Timestamp::from_millis(leader.now), id, answer);
    assert_eq!(stops(&leader.round_only(&fleet)), 2);
}

#[test]
fn a_loss_between_charge_and_stop_holds_the_stop_back() {
    let mut fleet = Machines::with_replicas(4, 1);
    let (mut leader, mut service) = charged(&[("max_unavailable", "2")], &fleet);
    fleet.lost = 1;
    for _ in 0..4 {
        let effects = leader.round(&mut service, &fleet);
        assert!(stops(&effects) <= 1, "more than the budget is out");
        fleet.stop(&effects);
        let demand = fleet.demand()[&class("web")];
        assert!(demand.unavailable <= 2, "{demand:?}");
    }
}

/// Batch work that was stopped and waits again looks like any that waits: only the charge tells the next leader that it is out.
#[test]
fn the_next_leader_takes_charges_of_batch_work_over() {
    let mut fleet = Machines::with_replicas(0, 0);
    for id in 901..905 {
        let task = fleet.task(id, 0, "render", TaskKind::Batch { saves: true }, Some(Duration::from_secs(3600)));
        fleet.add(id, vec![task]);
    }
    let budget = [("max_unavailable", "1"), ("batch_wait_s", "1")];
    let (mut leader, mut service) = (Leader::new(&budget, 0), Service::default());
    ask(&mut service, "all");
    let mut stopped = 0;
    for _ in 0..12 {
        let effects = leader.round(&mut service, &fleet);
        stopped += stops(&effects);
        fleet.stop(&effects);
    }
    assert_eq!(stopped, 1);
    // Its worker has shown the end; the task waits.
    fleet.machines.values_mut().for_each(|view| view.tasks.retain(|task| !task.stopping));
    let mut next = Leader::new(&budget, leader.now);
    for _ in 0..12 {
        assert_eq!(stops(&next.round(&mut service, &fleet)), 0, "a second one was stopped");
    }
    assert_eq!(next.coordinator.status("all").map(|status| status.phase), Some(Phase::Running));
}

#[test]
fn a_leader_that_does_not_know_all_machines_or_has_lost_a_zone_stops_nothing() {
    let mut fleet = Machines::with_replicas(4, 1);
    fleet.settled = false;
    let (mut leader, mut service) = (Leader::new(&[("max_unavailable", "2")], 0), Service::default());
    ask(&mut service, "all");
    for _ in 0..6 {
        assert_eq!(stops(&leader.round(&mut service, &fleet)), 0);
    }
    assert!(leader.coordinator.status("all").is_none(), "taken without knowing the machines");
    (fleet.settled, fleet.lost_zone) = (true, Some("b".into()));
    for _ in 0..6 {
        assert_eq!(stops(&leader.round(&mut service, &fleet)), 0);
    }
    let waits = leader.coordinator.status("all").map(|status| status.waits_for.clone());
    assert_eq!(waits, Some(vec!["zone b is out of reach".to_string()]));
    fleet.lost_zone = None;
    let effects: Vec<Effect> = (0..4).flat_map(|_| leader.round(&mut service, &fleet)).collect();
    assert_eq!(stops(&effects), 2);
}

#[test]
fn replicas_without_room_elsewhere_are_not_stopped() {
    let mut fleet = Machines::with_replicas(4, 1);
    fleet.room = false;
    let (mut leader, mut service) = (Leader::new(&[("max_unavailable", "2")], 0), Service::default());
    ask(&mut service, "all");
    for _ in 0..6 {
        assert_eq!(stops(&leader.round(&mut service, &fleet)), 0);
    }
    assert!(!leader.coordinator.without_room().is_empty(), "nothing is rented for them");
    fleet.room = true;
    let effects: Vec<Effect> = (0..4).flat_map(|_| leader.round(&mut service, &fleet)).collect();
    assert_eq!(stops(&effects), 2);
}

/// What a paused drain has charged and not stopped is for others.
#[test]
fn a_paused_drain_keeps_no_budget() {
    let fleet = Machines::with_replicas(4, 1);
    let (mut leader, mut service) = charged(&[("max_unavailable", "2")], &fleet);
    let (_, value) = service.keys[&request_key("all")].clone();
    let mut request: Request = serde_json::from_value(value).expect("a request");
    request.wanted = Wanted::Pause;
    service.revision += 1;
    service.keys.insert(request_key("all"), (service.revision, serde_json::to_value(request).expect("JSON")));
    // The pause is read before the charge is durable.
    let mut stopped = 0;
    for _ in 0..6 {
        stopped += stops(&leader.round(&mut service, &fleet));
    }
    let charges = |service: &Service| {
        let machines = service.keys.iter().filter(|(key, _)| key.starts_with("drain/machine/"));
        machines.filter_map(|(_, (_, value))| value["c"].as_array().map(Vec::len)).sum::<usize>()
    };
    assert_eq!((stopped, charges(&service)), (0, 0));
}

/// Two drains of the same class: the one of which less is done goes first, whichever was asked for first.
#[test]
fn drains_take_turns() {
    let mut fleet = Machines::with_replicas(8, 1);
    for (id, view) in &mut fleet.machines {
        view.place.zone = if id.0 <= 6 { "a".into() } else { "b".into() };
    }
    let (mut leader, mut service) = (Leader::new(&[("max_unavailable", "1")], 0), Service::default());
    for (name, zone) in [("large", "a"), ("small", "b")] {
        let filter = Filter { zone: Some(zone.into()), ..Filter::default() };
        let request = Request { selector: Selector::Matching(filter), mode: Mode::Remove, wanted: Wanted::Run };
        service.revision += 1;
        service.keys.insert(request_key(name), (service.revision, serde_json::to_value(request).expect("JSON")));
    }
    let mut order = Vec::new();
    for _ in 0..60 {
        let effects = leader.round(&mut service, &fleet);
        for effect in &effects {
            if let Effect::Stop(Stop::Task { machine, .. }) = effect {
                order.push(machine.0);
                // It runs elsewhere at once, and the empty machine is returned.
                fleet.machines.remove(machine);
                fleet.wanted -= 1;
            }
        }
    }
    assert_eq!(order.len(), 8, "{order:?}");
    let first_small = order.iter().position(|id| *id > 6).expect("one of the small drain");
    let last_small = order.iter().rposition(|id| *id > 6).expect("one of the small drain");
    assert!(first_small <= 1 && last_small < 7, "the small drain starves: {order:?}");
}
