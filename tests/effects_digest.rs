//! Compares all effects that controllers request in a few simulated days with those that an earlier version requested.
//!
//! A change that must not alter behaviour leaves each digest in `fixtures/effects_digest.json` unchanged. A digest
//! covers every message, transaction, command and response of all controllers, in order, with the time at which it was
//! requested. On a mismatch set `EFFECTS_TEXT_DIR` to a directory: each simulated day writes its effects there as text,
//! one per line, so that two versions can be compared.

mod support;

use serde_json::{Value, json};
use std::path::PathBuf;
use support::effect_log::EffectLog;
use support::{Simulation, Site};

/// Environment variable with the directory to which the effects of each simulated day are written as text.
const TEXT_DIR_VARIABLE: &str = "EFFECTS_TEXT_DIR";

type Fields = Vec<(&'static str, Value)>;

fn simulation(site: Site, seed: u64) -> Simulation {
    let mut sim = Simulation::with_site(site, seed);
    sim.effect_log = Some(EffectLog::new(std::env::var_os(TEXT_DIR_VARIABLE).is_some()));
    sim
}

fn expected(day: &str) -> Value {
    let path = format!("{}/tests/fixtures/effects_digest.json", env!("CARGO_MANIFEST_DIR"));
    let days: Value = serde_json::from_str(&std::fs::read_to_string(path).expect("the fixture")).expect("JSON");
    days[day].clone()
}

/// Checks that no invariant was violated on any of the days and that the effects match the fixture.
fn assert_effects(days: &[(&str, Simulation)]) {
    let mismatches: Vec<String> = days.iter().filter_map(|(day, sim)| mismatch(day, sim)).collect();
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}

/// Describes how the effects of a day differ from the fixture, or returns `None` if they match.
fn mismatch(day: &str, sim: &Simulation) -> Option<String> {
    let log = sim.effect_log.as_ref().expect("effects were recorded");
    let (expected, found) = (expected(day), log.summary());
    if let (Some(directory), Some(text)) = (std::env::var_os(TEXT_DIR_VARIABLE), log.text()) {
        std::fs::write(PathBuf::from(directory).join(format!("{day}.txt")), text).expect("the text is written");
    }
    assert!(sim.violations.is_empty(), "{day}: {:?}", sim.violations);
    (expected != found).then(|| {
        let differences = EffectLog::differences(&expected, &found);
        format!(
            "{day}: the controllers request other effects than the fixture has, or in another order\n{differences}\n  \
            write the effects of both versions with {TEXT_DIR_VARIABLE}=DIRECTORY and compare them; found:\n\"{day}\": {found}"
        )
    })
}

fn service(replicas: u64) -> Fields {
    vec![
        ("Lane", json!("web")),
        ("Shape", json!("standing")),
        ("Rank", json!("prod")),
        ("RuntimeS", json!(0)),
        ("Pieces", json!(replicas)),
        ("Spread", json!(true)),
        ("Cores", json!(1.0)),
    ]
}

fn batch(tasks: u64, cores: f64, seconds: f64) -> Fields {
    vec![("Pieces", json!(tasks)), ("Cores", json!(cores)), ("RuntimeS", json!(seconds))]
}

fn gang(tasks: u64) -> Fields {
    vec![
        ("Shape", json!("group")),
        ("Pieces", json!(tasks)),
        ("RuntimeS", json!(14.0)),
        ("BookmarkS", json!(5.0)),
        ("StashS", json!(2.0)),
    ]
}

fn with(mut fields: Fields, more: &[(&'static str, Value)]) -> Fields {
    fields.extend_from_slice(more);
    fields
}

fn job(number: u64) -> String {
    format!("job-{number:06}")
}

/// The n-th of the machines that are provisioned at this moment.
fn nth_machine(sim: &Simulation, n: usize) -> u64 {
    *sim.workers.keys().nth(n % sim.workers.len()).expect("a provisioned machine")
}

fn restart_leader(sim: &mut Simulation, after_ms: u64) {
    if let Some(node) = sim.leader() {
        sim.restart_controller(node, after_ms);
    }
}

/// Runs the given seconds of the day, and calls `on_second` at the beginning of each.
fn run_seconds(sim: &mut Simulation, seconds: std::ops::Range<u64>, mut on_second: impl FnMut(&mut Simulation, u64)) {
    for second in seconds {
        sim.run_until(1000 + second * 1000);
        on_second(sim, second);
    }
}

/// Submits jobs of all kinds in turn, and cancels every fifth of them some seconds later.
fn submit_in_turn(sim: &mut Simulation, second: u64) {
    if second.is_multiple_of(3) {
        let fields = match second / 3 % 6 {
            0 => with(batch(3, 1.0, 6.0), &[("Crew", json!("small"))]),
            1 => with(batch(2, 2.0, 15.0), &[("Loaners", json!(true)), ("DueS", json!(60.0))]),
            2 => with(batch(5, 4.0, 8.0), &[("Rank", json!("low"))]),
            3 => with(gang(3), &[("Together", json!(true)), ("Crew", json!("small")), ("Cores", json!(1.0))]),
            4 => with(gang(4), &[("Loaners", json!(true))]),
            _ => with(service(2), &[("Lane", json!("desk"))]),
        };
        sim.submit(&job(100 + second / 3), &fields);
    }
    if second % 15 == 10 {
        sim.cancel(&job(100 + second / 3 - 1));
    }
}

fn mixed_work_and_faults(seed: u64) -> Simulation {
    let mut sim = simulation(Site::small(), seed);
    sim.submit(&job(1), &service(3));
    sim.submit(&job(2), &batch(6, 2.0, 120.0));
    sim.submit(&job(3), &with(service(3), &[("Spread", json!(false)), ("Cores", json!(4.0))]));
    run_seconds(&mut sim, 0..170, |sim, second| {
        if second < 130 {
            submit_in_turn(sim, second);
        }
        match second {
            20 => restart_leader(sim, 3000),
            30 => {
                let machine = nth_machine(sim, 1);
                sim.send_reclaim_notice(machine, 8);
            }
            34 => sim.check_health(1),
            36 => sim.store.down = true,
            37 => sim.cancel(&job(3)),
            42 => sim.store.down = false,
            46 => {
                let machine = nth_machine(sim, 3);
                sim.kill_machine(machine);
            }
            52 => sim.partition_zone("b"),
            56 => (0..3).for_each(|node| sim.restart_controller(node, 500 + 900 * node as u64)),
            76 => sim.heal_zone("b"),
            86 => sim.faults.writes_without_response = (50, false),
            88 => {
                let leader = sim.leader().unwrap_or(0);
                sim.isolate_controller(leader);
            }
            96 => {
                sim.faults.writes_without_response = (0, false);
                sim.end_isolation();
            }
            100 => (sim.faults.duplicate_heartbeats, sim.faults.duplicate_requests) = ((30, 3000), (30, 3000)),
            104 => {
                let (without_commands, without_inbound, hanging) =
                    (nth_machine(sim, 0), nth_machine(sim, 2), nth_machine(sim, 5));
                sim.faults.commands_held.insert(without_commands);
                sim.faults.inbound_lost.insert(without_inbound);
                sim.hang_machine(hanging, 6000);
            }
            108 => {
                let leader = sim.leader().unwrap_or(0);
                sim.store.unavailable_to_nodes.insert(leader);
            }
            112 => {
                let machine = nth_machine(sim, 4);
                sim.workers.get_mut(&machine).expect("the machine is provisioned").tasks_fail = true;
            }
            116 => sim.cloud.unavailable = true,
            120 => sim.store.lost_responses = 5,
            130 => sim.end_all_faults(),
            _ => {}
        }
    });
    sim
}

#[test]
fn mixed_work_and_faults_match_the_recorded_effects() {
    assert_effects(&[
        ("mixed-1", mixed_work_and_faults(1)),
        ("mixed-2", mixed_work_and_faults(2)),
        ("mixed-3", mixed_work_and_faults(3)),
    ]);
}

const TWO_UNAVAILABLE: &str = "[drains]\nenabled = yes\nmax_machines = 50%\n[budget crew/web]\nmax_unavailable = 2\n\
    [budget crew/render]\nbatch_wait_s = 10\nevict_batch = always\n";
const ONE_UNAVAILABLE: &str = "[drains]\nenabled = yes\nmax_machines = 3\n[budget crew/web]\nmax_unavailable = 1\nmin_interval_s = 2\n\
    [budget crew/render]\nbatch_wait_s = 20\nevict_batch = never\n";

fn drains(seed: u64) -> Simulation {
    let mut sim = simulation(Site { operators: TWO_UNAVAILABLE, ..Site::small() }, seed);
    for n in 0..4 {
        sim.submit(&job(n), &service(3));
    }
    sim.submit(&job(10), &batch(4, 1.0, 90.0));
    sim.submit(&job(11), &with(batch(3, 2.0, 25.0), &[("Loaners", json!(true))]));
    run_seconds(&mut sim, 0..240, |sim, second| match second {
        12 => sim.submit(&job(12), &gang(3)),
        30 => sim.start_drain("all", json!({}), "replace"),
        42 => restart_leader(sim, 300),
        55 => sim.change_drain("all", "pause"),
        60 => sim.set_disruption_policy(ONE_UNAVAILABLE),
        65 => sim.change_drain("all", "run"),
        72 => sim.start_drain("zone", json!({"zone": "a"}), "remove"),
        80 => sim.store.down = true,
        84 => restart_leader(sim, 500),
        90 => sim.store.down = false,
        100 => sim.submit(&job(13), &batch(5, 1.0, 20.0)),
        110 => {
            let leader = sim.leader().unwrap_or(0);
            sim.isolate_controller(leader);
        }
        118 => sim.end_isolation(),
        130 => sim.set_disruption_policy(TWO_UNAVAILABLE),
        140 => sim.change_drain("zone", "cancel"),
        150 => {
            let machines = [nth_machine(sim, 0), nth_machine(sim, 2), 999_999];
            sim.start_drain_of_machines("some", &machines);
        }
        160 => sim.submit(&job(14), &batch(2, 1.0, 10.0)),
        180 => sim.end_all_faults(),
        _ => {}
    });
    sim
}

#[test]
fn drains_match_the_recorded_effects() {
    assert_effects(&[("drains-1", drains(1)), ("drains-2", drains(2))]);
}

const BACKLOG_ALWAYS: &str = "[admission]\nbound_backlog = always\n";
const BACKLOG_NEVER: &str = "[admission]\nbound_backlog = never\n";

/// One team submits a flood of jobs while another one submits a small job every ten seconds.
fn flood(site: Site, seed: u64, jobs_per_second: u64, overloaded: bool) -> Simulation {
    let mut sim = simulation(site, seed);
    sim.controllers.overloaded = overloaded;
    run_seconds(&mut sim, 0..150, |sim, second| {
        if second < 110 {
            for n in 0..jobs_per_second {
                let number = second * jobs_per_second + n;
                let fields = with(batch(1 + number % 4, 2.0, 20.0), &[("Loaners", json!(true))]);
                sim.submit(&job(number), &fields);
            }
        }
        if second % 10 == 5 {
            let quiet = [("Crew", json!("small")), ("Lane", json!("desk")), ("Rank", json!("urgent"))];
            sim.submit(&job(900_000 + second), &with(batch(1, 1.0, 2.0), &quiet));
        }
        match second {
            33 | 73 => sim.cancel(&job(jobs_per_second * (second - 20))),
            45 => restart_leader(sim, 3000),
            60 => sim.set_admission_policy(BACKLOG_NEVER),
            70 => sim.set_admission_policy(BACKLOG_ALWAYS),
            80 => {
                let leader = sim.leader().unwrap_or(0);
                sim.isolate_controller(leader);
            }
            88 => sim.end_isolation(),
            110 => {
                sim.end_all_faults();
                sim.controllers.overloaded = false;
            }
            _ => {}
        }
    });
    sim
}

#[test]
fn floods_match_the_recorded_effects() {
    let site = Site { snapshot_every: 50, value_kb: 8.0, operators: BACKLOG_ALWAYS, ..Site::small() };
    let few_machines = Site { machines: 4, ..site.clone() };
    assert_effects(&[
        ("flood-of-controllers", flood(site, 1, 6, true)),
        ("flood-of-machines", flood(few_machines, 2, 3, false)),
    ]);
}

fn hundred_machines(seed: u64) -> Simulation {
    let mut sim = simulation(Site { machines: 20, ..Site::thousand_machines() }, seed);
    for n in 0..100 {
        let fields = with(service([2, 2, 4, 16][n as usize % 4]), &[("Cores", json!(4.0))]);
        sim.submit(&job(n), &fields);
    }
    for n in 100..130 {
        let fields = with(batch([30, 70, 70, 300][n as usize % 4], 2.0, 40.0), &[("Loaners", json!(n % 2 == 0))]);
        sim.submit(&job(n), &fields);
    }
    run_seconds(&mut sim, 0..150, |sim, second| match second {
        20 => (0..4).for_each(|n| sim.submit(&job(200 + n), &with(gang(6 + n), &[("Cores", json!(8.0))]))),
        50 => {
            assert!((80..140).contains(&sim.workers.len()), "{} machines", sim.workers.len());
            restart_leader(sim, 4000);
        }
        58 => {
            for n in [7, 20, 33] {
                let machine = nth_machine(sim, n);
                sim.send_reclaim_notice(machine, 20);
            }
            let machine = nth_machine(sim, 40);
            sim.kill_machine(machine);
        }
        64 => (100..104).for_each(|n| sim.cancel(&job(n))),
        70 => sim.partition_zone("c"),
        100 => sim.heal_zone("c"),
        110 => (0..5).for_each(|node| sim.restart_controller(node, 300 + 400 * node as u64)),
        125 => sim.end_all_faults(),
        _ => {}
    });
    sim
}

#[test]
fn a_hundred_machines_match_the_recorded_effects() {
    assert_effects(&[("hundred-machines", hundred_machines(5))]);
}

/// The third controller is of the version in production, leads for a while, and is then upgraded to this version.
fn rolling_upgrade(seed: u64) -> Simulation {
    let mut sim = simulation(Site::small(), seed);
    sim.crash_controller(2);
    sim.start_production_version(2);
    run_seconds(&mut sim, 0..90, |sim, second| {
        if second.is_multiple_of(2) && second < 40 {
            sim.submit(&job(10 + second), &batch(2, 2.0, 2.0));
        }
        match second {
            1 | 30 => sim.submit(&job(100 + second), &gang(3)),
            20 => (0..2).for_each(|node| sim.restart_controller(node, 6000)),
            34 => sim.upgrade_controller(2, 1000),
            _ => {}
        }
    });
    sim
}

#[test]
fn a_rolling_upgrade_matches_the_recorded_effects() {
    assert_effects(&[("upgrade-1", rolling_upgrade(1)), ("upgrade-2", rolling_upgrade(2))]);
}

/// Submissions and cancellations of many jobs wait for a commit when the state service becomes unavailable, when the
/// leader is isolated, and when responses of the state service are lost.
fn many_requests_wait_for_a_commit(seed: u64) -> Simulation {
    let mut sim = simulation(Site::small(), seed);
    for n in 0..24 {
        sim.submit(&job(n), &batch(1, 1.0, 60.0));
    }
    let request_many = |sim: &mut Simulation, round: u64| {
        (0..12).for_each(|n| sim.submit(&job(100 + 12 * round + n), &batch(1, 1.0, 5.0)));
        (0..8).for_each(|n| sim.cancel(&job(8 * round + n)));
    };
    run_seconds(&mut sim, 0..60, |sim, second| match second {
        10 => {
            sim.store.down = true;
            request_many(sim, 0);
        }
        16 => sim.store.down = false,
        25 => {
            let leader = sim.leader().unwrap_or(0);
            sim.isolate_controller(leader);
            request_many(sim, 1);
        }
        33 => sim.end_isolation(),
        40 => {
            sim.faults.writes_without_response = (100, true);
            request_many(sim, 2);
        }
        44 => sim.end_all_faults(),
        _ => {}
    });
    sim
}

#[test]
fn many_requests_that_wait_for_a_commit_match_the_recorded_effects() {
    assert_effects(&[
        ("waiting-1", many_requests_wait_for_a_commit(1)),
        ("waiting-2", many_requests_wait_for_a_commit(2)),
    ]);
}
