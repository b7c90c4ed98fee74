//! Tests the coordinator with a fake fleet and a fake state service: which evictions it charges, when it evicts tasks,
//! and what the next leader restores after a failover.

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
use support::{FakeStateService, START_MS};

const STORE_LIMITS: StoreLimits = StoreLimits { max_value_bytes: 8000, max_operations: 16, writes_per_second: 1000.0 };

/// A leader's coordinator with its current time, in milliseconds.
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

    /// Advances time by 2.7 s, exchanges the store's requests with the state service, and reconciles once.
    fn reconcile(&mut self, service: &mut FakeStateService, fleet: &FakeFleet) -> Vec<Effect> {
        self.now += 2500;
        for _ in 0..4 {
            self.now += 50;
            service.serve(self.coordinator.record_store(), Timestamp::from_millis(self.now));
        }
        self.reconcile_only(fleet)
    }

    /// Advances time until the store sends a write, and returns it. Reads are answered by the state service.
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
        self.coordinator.reconcile(Timestamp::from_millis(self.now), WallClock::from_millis(START_MS + self.now), fleet)
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

fn count_evictions(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Evict(_))).count()
}

/// Returns a leader that has charged the first evictions in memory. The charges are not durable yet, and no task has
/// been stopped.
fn leader_with_undurable_charges(budget: &[(&str, &str)], fleet: &FakeFleet) -> (Leader, FakeStateService) {
    let (mut leader, mut service) = (Leader::new(budget, 0), FakeStateService::default());
    request_drain(&mut service, "all");
    for _ in 0..2 {
        assert_eq!(count_evictions(&leader.reconcile(&mut service, fleet)), 0);
    }
    (leader, service)
}

#[test]
fn nothing_is_told_to_stop_before_its_charge_is_durable() {
    let fleet = FakeFleet::with_replicas(4, 1);
    let (mut leader, mut service) = leader_with_undurable_charges(&[("max_unavailable", "2")], &fleet);
    // While the write is in flight, no reconciliation evicts a task.
    let write = leader.next_write(&mut service);
    for _ in 0..3 {
        assert_eq!(count_evictions(&leader.reconcile_only(&fleet)), 0, "evicted before the charge is durable");
    }
    let response = service.respond(&write.request);
    leader.coordinator.record_store().handle_response(Timestamp::from_millis(leader.now), write.id, response);
    assert_eq!(count_evictions(&leader.reconcile_only(&fleet)), 2);
}

#[test]
fn a_loss_between_charge_and_stop_holds_the_stop_back() {
    let mut fleet = FakeFleet::with_replicas(4, 1);
    let (mut leader, mut service) = leader_with_undurable_charges(&[("max_unavailable", "2")], &fleet);
    fleet.lost = 1;
    for _ in 0..4 {
        let effects = leader.reconcile(&mut service, &fleet);
        assert!(count_evictions(&effects) <= 1, "more tasks are unavailable than the budget allows");
        fleet.evict(&effects);
        let demand = fleet.availability()[&class("web")];
        assert!(demand.unavailable <= 2, "{demand:?}");
    }
}

/// A batch task that was evicted and is pending again looks like any other pending task. Only the durable charge tells
/// the next leader that the task uses up the budget.
#[test]
fn the_next_leader_counts_durable_charges_of_batch_tasks() {
    let mut fleet = FakeFleet::with_replicas(0, 0);
    for id in 901..905 {
        let task = fleet.task(id, 0, "render", TaskKind::Batch { checkpoints: true }, Some(Duration::from_secs(3600)));
        fleet.add(id, vec![task]);
    }
    let budget = [("max_unavailable", "1"), ("batch_wait_s", "1")];
    let (mut leader, mut service) = (Leader::new(&budget, 0), FakeStateService::default());
    request_drain(&mut service, "all");
    let mut evicted = 0;
    for _ in 0..12 {
        let effects = leader.reconcile(&mut service, &fleet);
        evicted += count_evictions(&effects);
        fleet.evict(&effects);
    }
    assert_eq!(evicted, 1);
    // The worker has reported that the attempt ended, and the task is pending again.
    fleet.machines.values_mut().for_each(|view| view.tasks.retain(|task| !task.stopping));
    let mut next = Leader::new(&budget, leader.now);
    for _ in 0..12 {
        assert_eq!(count_evictions(&next.reconcile(&mut service, &fleet)), 0, "a second task was evicted");
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
        assert_eq!(count_evictions(&leader.reconcile(&mut service, &fleet)), 0);
    }
    assert!(leader.coordinator.drain_status("all").is_none(), "the drain was accepted before all machines were known");
    (fleet.is_complete, fleet.unreachable_zone) = (true, Some("b".into()));
    for _ in 0..6 {
        assert_eq!(count_evictions(&leader.reconcile(&mut service, &fleet)), 0);
    }
    let waits = leader.coordinator.drain_status("all").map(|status| status.wait_reasons.clone());
    assert_eq!(waits, Some(vec!["zone b is out of reach".to_string()]));
    fleet.unreachable_zone = None;
    let effects: Vec<Effect> = (0..4).flat_map(|_| leader.reconcile(&mut service, &fleet)).collect();
    assert_eq!(count_evictions(&effects), 2);
}

#[test]
fn replicas_without_spare_capacity_elsewhere_are_not_evicted() {
    let mut fleet = FakeFleet::with_replicas(4, 1);
    fleet.has_capacity = false;
    let (mut leader, mut service) = (Leader::new(&[("max_unavailable", "2")], 0), FakeStateService::default());
    request_drain(&mut service, "all");
    for _ in 0..6 {
        assert_eq!(count_evictions(&leader.reconcile(&mut service, &fleet)), 0);
    }
    assert!(!leader.coordinator.unplaceable_replicas().is_empty(), "no machines would be provisioned for the replicas");
    fleet.has_capacity = true;
    let effects: Vec<Effect> = (0..4).flat_map(|_| leader.reconcile(&mut service, &fleet)).collect();
    assert_eq!(count_evictions(&effects), 2);
}

/// Guards against a paused drain that blocks other drains: it must release the charges of tasks that it has not
/// evicted.
#[test]
fn a_paused_drain_releases_charges_of_tasks_not_yet_evicted() {
    let fleet = FakeFleet::with_replicas(4, 1);
    let (mut leader, mut service) = leader_with_undurable_charges(&[("max_unavailable", "2")], &fleet);
    let (_, value) = service.keys[&request_key("all")].clone();
    let mut request: DrainRequest = serde_json::from_value(value).expect("a request");
    request.desired_state = DesiredState::Pause;
    service.revision += 1;
    service.keys.insert(request_key("all"), (service.revision, serde_json::to_value(request).expect("JSON")));
    // The leader reads the pause before the charge is durable.
    let mut evicted = 0;
    for _ in 0..6 {
        evicted += count_evictions(&leader.reconcile(&mut service, &fleet));
    }
    let charges = |service: &FakeStateService| {
        let machines = service.keys.iter().filter(|(key, _)| key.starts_with("drain/machine/"));
        machines.filter_map(|(_, (_, value))| value["c"].as_array().map(Vec::len)).sum::<usize>()
    };
    assert_eq!((evicted, charges(&service)), (0, 0));
}

/// Of two drains with tasks of the same class, the one with less progress comes first, regardless of which was
/// requested first. Otherwise a large drain could block a small one.
#[test]
fn the_drain_with_less_progress_comes_first() {
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
                // The replica runs on another machine at once, and the empty machine is released.
                fleet.machines.remove(machine);
                fleet.desired -= 1;
            }
        }
    }
    assert_eq!(order.len(), 8, "{order:?}");
    let first_small = order.iter().position(|id| *id > 6).expect("a machine of the small drain");
    let last_small = order.iter().rposition(|id| *id > 6).expect("a machine of the small drain");
    assert!(first_small <= 1 && last_small < 7, "the small drain is starved: {order:?}");
}
