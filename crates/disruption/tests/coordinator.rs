//! The coordinator against a fleet that does just what a test says: what it charges, when it stops, what the next leader takes over.

mod support;

use caperstile_disruption::policy_parser::{Section, parse};
use caperstile_disruption::record_keys::request_key;
use caperstile_disruption::record_store::{OutgoingRequest, StoreRequest};
use caperstile_disruption::records::{
    DesiredState, DrainMode, DrainPhase, DrainRequest, MachineFilter, MachineSelector,
};
use caperstile_disruption::{Coordinator, Effect, Eviction, Fleet, StoreLimits, TaskKind};
use caperstile_types::{Duration, Timestamp, WallClock};
use std::collections::BTreeSet;
use support::fleet::{FakeFleet, class};
use support::{FakeStateService, START};

const STORE_LIMITS: StoreLimits = StoreLimits { max_value_bytes: 8000, max_operations: 16, writes_per_second: 1000.0 };

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
        Leader { coordinator: Coordinator::new(policy, Timestamp::from_millis(now), STORE_LIMITS), now }
    }

    /// Lets the store do its requests, then reconciles.
    fn reconcile(&mut self, service: &mut FakeStateService, fleet: &FakeFleet) -> Vec<Effect> {
        self.now += 2500;
        for _ in 0..4 {
            self.now += 50;
            service.serve(self.coordinator.record_store(), Timestamp::from_millis(self.now));
        }
        self.reconcile_only(fleet)
    }

    /// Lets time pass until the store writes; reads are answered.
    fn next_write(&mut self, service: &mut FakeStateService) -> OutgoingRequest {
        loop {
            self.now += 50;
            let now = Timestamp::from_millis(self.now);
            let Some(outgoing) = self.coordinator.record_store().tick(now) else { continue };
            match &outgoing.request {
                StoreRequest::Write(_) => return outgoing,
                StoreRequest::Scan { prefix, .. } => {
                    let response = service.respond(&StoreRequest::Scan { prefix: prefix.clone(), after: None });
                    self.coordinator.record_store().handle_response(now, outgoing.id, response);
                }
            }
        }
    }

    fn reconcile_only(&mut self, fleet: &FakeFleet) -> Vec<Effect> {
        self.coordinator.reconcile(Timestamp::from_millis(self.now), WallClock::from_millis(START + self.now), fleet)
    }
}

fn request_drain(service: &mut FakeStateService, name: &str) {
    let request = DrainRequest {
        selector: MachineSelector::Matching(MachineFilter::default()),
        mode: DrainMode::Remove,
        desired_state: DesiredState::Run,
    };
    service.revision += 1;
    let value = serde_json::to_value(request).expect("JSON");
    service.keys.insert(request_key(name), (service.revision, value));
}

fn evictions(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Evict(_))).count()
}

/// Reconciles until the first charges are durable; their tasks were not told to stop yet.
fn leader_with_charges(budget: &[(&str, &str)], fleet: &FakeFleet) -> (Leader, FakeStateService) {
    let (mut leader, mut service) = (Leader::new(budget, 0), FakeStateService::default());
    request_drain(&mut service, "all");
    for _ in 0..2 {
        assert_eq!(evictions(&leader.reconcile(&mut service, fleet)), 0);
    }
    (leader, service)
}

#[test]
fn nothing_is_told_to_stop_before_its_charge_is_durable() {
    let fleet = FakeFleet::with_replicas(4, 1);
    let (mut leader, mut service) = leader_with_charges(&[("max_unavailable", "2")], &fleet);
    // The write is in flight: however often drains are reconciled, nothing is evicted.
    let write = leader.next_write(&mut service);
    for _ in 0..3 {
        assert_eq!(evictions(&leader.reconcile_only(&fleet)), 0, "stopped before the charge is durable");
    }
    let response = service.respond(&write.request);
    leader.coordinator.record_store().handle_response(Timestamp::from_millis(leader.now), write.id, response);
    assert_eq!(evictions(&leader.reconcile_only(&fleet)), 2);
}

#[test]
fn a_loss_between_charge_and_stop_holds_the_stop_back() {
    let mut fleet = FakeFleet::with_replicas(4, 1);
    let (mut leader, mut service) = leader_with_charges(&[("max_unavailable", "2")], &fleet);
    fleet.lost = 1;
    for _ in 0..4 {
        let effects = leader.reconcile(&mut service, &fleet);
        assert!(evictions(&effects) <= 1, "more than the budget is out");
        fleet.evict(&effects);
        let demand = fleet.availability()[&class("web")];
        assert!(demand.unavailable <= 2, "{demand:?}");
    }
}

/// Batch work that was stopped and waits again looks like any that waits: only the charge tells the next leader that it is out.
#[test]
fn the_next_leader_takes_charges_of_batch_work_over() {
    let mut fleet = FakeFleet::with_replicas(0, 0);
    for id in 901..905 {
        let task = fleet.task(id, 0, "render", TaskKind::Batch { checkpoints: true }, Some(Duration::from_secs(3600)));
        fleet.add(id, vec![task]);
    }
    let budget = [("max_unavailable", "1"), ("batch_wait_s", "1")];
    let (mut leader, mut service) = (Leader::new(&budget, 0), FakeStateService::default());
    request_drain(&mut service, "all");
    let mut stopped = 0;
    for _ in 0..12 {
        let effects = leader.reconcile(&mut service, &fleet);
        stopped += evictions(&effects);
        fleet.evict(&effects);
    }
    assert_eq!(stopped, 1);
    // Its worker has shown the end; the task waits.
    fleet.machines.values_mut().for_each(|view| view.tasks.retain(|task| !task.stopping));
    let mut next = Leader::new(&budget, leader.now);
    for _ in 0..12 {
        assert_eq!(evictions(&next.reconcile(&mut service, &fleet)), 0, "a second one was stopped");
    }
    assert_eq!(next.coordinator.drain_status("all").map(|status| status.phase), Some(DrainPhase::Running));
}

#[test]
fn a_leader_that_does_not_know_all_machines_or_has_lost_a_zone_stops_nothing() {
    let mut fleet = FakeFleet::with_replicas(4, 1);
    fleet.is_complete = false;
    let (mut leader, mut service) = (Leader::new(&[("max_unavailable", "2")], 0), FakeStateService::default());
    request_drain(&mut service, "all");
    for _ in 0..6 {
        assert_eq!(evictions(&leader.reconcile(&mut service, &fleet)), 0);
    }
    assert!(leader.coordinator.drain_status("all").is_none(), "taken without knowing the machines");
    (fleet.is_complete, fleet.unreachable_zone) = (true, Some("b".into()));
    for _ in 0..6 {
        assert_eq!(evictions(&leader.reconcile(&mut service, &fleet)), 0);
    }
    let waits = leader.coordinator.drain_status("all").map(|status| status.wait_reasons.clone());
    assert_eq!(waits, Some(vec!["zone b is out of reach".to_string()]));
    fleet.unreachable_zone = None;
    let effects: Vec<Effect> = (0..4).flat_map(|_| leader.reconcile(&mut service, &fleet)).collect();
    assert_eq!(evictions(&effects), 2);
}

#[test]
fn replicas_without_room_elsewhere_are_not_stopped() {
    let mut fleet = FakeFleet::with_replicas(4, 1);
    fleet.has_capacity = false;
    let (mut leader, mut service) = (Leader::new(&[("max_unavailable", "2")], 0), FakeStateService::default());
    request_drain(&mut service, "all");
    for _ in 0..6 {
        assert_eq!(evictions(&leader.reconcile(&mut service, &fleet)), 0);
    }
    assert!(!leader.coordinator.unplaceable_replicas().is_empty(), "nothing is rented for them");
    fleet.has_capacity = true;
    let effects: Vec<Effect> = (0..4).flat_map(|_| leader.reconcile(&mut service, &fleet)).collect();
    assert_eq!(evictions(&effects), 2);
}

/// What a paused drain has charged and not stopped is for others.
#[test]
fn a_paused_drain_keeps_no_budget() {
    let fleet = FakeFleet::with_replicas(4, 1);
    let (mut leader, mut service) = leader_with_charges(&[("max_unavailable", "2")], &fleet);
    let (_, value) = service.keys[&request_key("all")].clone();
    let mut request: DrainRequest = serde_json::from_value(value).expect("a request");
    request.desired_state = DesiredState::Pause;
    service.revision += 1;
    service.keys.insert(request_key("all"), (service.revision, serde_json::to_value(request).expect("JSON")));
    // The pause is read before the charge is durable.
    let mut stopped = 0;
    for _ in 0..6 {
        stopped += evictions(&leader.reconcile(&mut service, &fleet));
    }
    let charges = |service: &FakeStateService| {
        let machines = service.keys.iter().filter(|(key, _)| key.starts_with("drain/machine/"));
        machines.filter_map(|(_, (_, value))| value["c"].as_array().map(Vec::len)).sum::<usize>()
    };
    assert_eq!((stopped, charges(&service)), (0, 0));
}

/// Two drains of the same class: the one of which less is done goes first, whichever was asked for first.
#[test]
fn drains_take_turns() {
    let mut fleet = FakeFleet::with_replicas(8, 1);
    for (id, view) in &mut fleet.machines {
        view.pool.zone = if id.0 <= 6 { "a".into() } else { "b".into() };
    }
    let (mut leader, mut service) = (Leader::new(&[("max_unavailable", "1")], 0), FakeStateService::default());
    for (name, zone) in [("large", "a"), ("small", "b")] {
        let filter = MachineFilter { zone: Some(zone.into()), ..MachineFilter::default() };
        let request = DrainRequest {
            selector: MachineSelector::Matching(filter),
            mode: DrainMode::Remove,
            desired_state: DesiredState::Run,
        };
        service.revision += 1;
        service.keys.insert(request_key(name), (service.revision, serde_json::to_value(request).expect("JSON")));
    }
    let mut order = Vec::new();
    for _ in 0..60 {
        let effects = leader.reconcile(&mut service, &fleet);
        for effect in &effects {
            if let Effect::Evict(Eviction::Task { machine, .. }) = effect {
                order.push(machine.0);
                // It runs elsewhere at once, and the empty machine is returned.
                fleet.machines.remove(machine);
                fleet.desired -= 1;
            }
        }
    }
    assert_eq!(order.len(), 8, "{order:?}");
    let first_small = order.iter().position(|id| *id > 6).expect("one of the small drain");
    let last_small = order.iter().rposition(|id| *id > 6).expect("one of the small drain");
    assert!(first_small <= 1 && last_small < 7, "the small drain starves: {order:?}");
}
