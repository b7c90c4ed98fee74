//! Floods of submissions to several controllers under faults: the wait of all other teams stays bounded, all nodes take
//! the same admission decision, and no invariant is violated.

mod support;

use serde_json::{Value, json};
use support::{Simulation, Site};

/// One team submits a flood of jobs while another one, the quiet team, submits a small job every ten seconds.
struct Flood {
    sim: Simulation,
    /// Jobs that the flooding team submits per second.
    per_second: u64,
    flood_jobs: u64,
    quiet_jobs: u64,
    second: u64,
}

const BOUND_BACKLOG_ALWAYS: &str = "[admission]\nbound_backlog = always\n";
const FIRST_QUIET_JOB: u64 = 900_000;
/// Longest time until a job of the quiet team is accepted without any fault: the limit on the wait of a starved pair of
/// team and class, the distribution of the admission table, and one retry.
const MAX_ACCEPTANCE_MS: u64 = 20_000 + 2_000 + 17_000;

fn small_array(n: u64) -> [(&'static str, Value); 3] {
    [("Pieces", json!(1 + n % 4)), ("RuntimeS", json!(20.0)), ("Loaners", json!(true))]
}

impl Flood {
    fn at(site: Site, seed: u64, per_second: u64) -> Flood {
        Flood { sim: Simulation::with_site(site, seed), per_second, flood_jobs: 0, quiet_jobs: 0, second: 0 }
    }

    /// Overloaded controllers, with enough machines for all jobs that they admit.
    fn overloading_controllers(seed: u64) -> Flood {
        let mut flood = Flood::at(Site { snapshot_every: 50, value_kb: 8.0, ..Site::small() }, seed, 6);
        flood.sim.controllers.overloaded = true;
        flood
    }

    /// More demand than the machines can serve in time.
    fn overloading_machines(seed: u64) -> Flood {
        let site =
            Site { machines: 4, snapshot_every: 50, value_kb: 8.0, operators: BOUND_BACKLOG_ALWAYS, ..Site::small() };
        Flood::at(site, seed, 3)
    }

    /// Submits the flood for this many seconds; `inject` is called at the beginning of each second.
    fn run(&mut self, seconds: u64, mut inject: impl FnMut(&mut Simulation, u64)) {
        for _ in 0..seconds {
            let second = self.second;
            inject(&mut self.sim, second);
            for _ in 0..self.per_second {
                self.flood_jobs += 1;
                let id = format!("job-{:06}", self.flood_jobs);
                self.sim.submit(&id, &small_array(self.flood_jobs));
            }
            if second % 10 == 5 {
                self.submit_quiet();
            }
            if second % 7 == 3 {
                self.cancel_one();
            }
            self.second += 1;
            self.sim.run_until(1000 + self.second * 1000);
        }
    }

    fn submit_quiet(&mut self) {
        let id = format!("job-{:06}", FIRST_QUIET_JOB + self.quiet_jobs);
        self.quiet_jobs += 1;
        let quiet = [
            ("Crew", json!("small")),
            ("Lane", json!("desk")),
            ("Pieces", json!(1)),
            ("Cores", json!(1.0)),
            ("RuntimeS", json!(2.0)),
            ("Rank", json!("urgent")),
        ];
        self.sim.submit(&id, &quiet);
    }

    /// Cancels the newest accepted job of the flood that has not ended.
    fn cancel_one(&mut self) {
        let open = |id: &&String| {
            let job = &self.sim.jobs[*id];
            job.accepted && job.cancel_requested_at.is_none() && !matches!(job.last_status.as_str(), "done" | "aborted")
        };
        let newest = self.sim.jobs.keys().rev().filter(|id| id.as_str() < "job-900000").find(open).cloned();
        newest.into_iter().for_each(|id| self.sim.cancel(&id));
    }

    fn count(&self, predicate: impl Fn(&support::UserJob) -> bool) -> usize {
        self.sim.jobs.values().filter(|job| predicate(job)).count()
    }

    /// Checks the invariants after a flood. Faults delay the acceptance of the quiet team's jobs by up to `fault_ms`.
    fn check(&mut self, fault_ms: u64) {
        self.sim.end_all_faults();
        self.sim.controllers.overloaded = false;
        self.sim.run_until(self.sim.now + 120_000);
        let sim = &self.sim;
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        assert!(sim.decisions.disagreements.is_empty(), "{:?}", sim.decisions.disagreements);
        let refused = self.count(|job| job.rejections > 0);
        assert!(refused > 30, "only {refused} of {} jobs were refused", self.flood_jobs);
        for n in 0..self.quiet_jobs {
            let id = format!("job-{:06}", FIRST_QUIET_JOB + n);
            let job = &sim.jobs[&id];
            assert!(job.accepted, "{id} of the quiet team was never accepted");
            let waited = job.accepted_at - job.submitted_at;
            assert!(waited <= MAX_ACCEPTANCE_MS + fault_ms, "{id} of the quiet team was accepted after {waited} ms");
            assert_eq!(job.last_status, "done", "{id} of the quiet team");
        }
        for (id, job) in &sim.jobs {
            if let Some(asked) = job.cancel_requested_at {
                assert_eq!(job.cancel_status, 200, "{id}: response to the cancellation requested at {asked}");
            }
            assert!(
                !job.accepted || matches!(job.last_status.as_str(), "done" | "aborted" | "queued" | "running"),
                "{id}"
            );
        }
    }

    fn refusing_nodes(&self) -> usize {
        self.sim.decisions.refused_by.len()
    }
}

fn leader(sim: &Simulation) -> usize {
    sim.leader().expect("a leader")
}

#[test]
fn a_flood_delays_a_quiet_team_within_the_bound_and_all_nodes_decide_the_same() {
    for mut flood in [Flood::overloading_controllers(1), Flood::overloading_machines(1)] {
        let mut token = 0;
        flood.run(180, |sim, second| {
            if second == 10 {
                token = sim.controllers.processes[leader(sim)]
                    .as_ref()
                    .and_then(|node| node.leader())
                    .map_or(0, |term| term.token().0);
            }
        });
        assert_eq!(flood.refusing_nodes(), 3, "{:?}", flood.sim.decisions.refused_by);
        let now = flood
            .sim
            .leader()
            .and_then(|node| flood.sim.controllers.processes[node].as_ref()?.leader())
            .map_or(0, |term| term.token().0);
        assert_eq!(now, token, "the leader changed during the flood");
        flood.check(0);
        let (accepted, all) = (flood.count(|job| job.accepted), flood.sim.jobs.len());
        assert!(accepted < all * 9 / 10, "{accepted} of {all} were accepted");
    }
}

#[test]
fn a_bounded_backlog_shortens_the_wait_of_jobs_accepted_in_a_flood() {
    let begun_share = |operators: &'static str| {
        let mut flood = Flood::at(Site { machines: 4, value_kb: 8.0, operators, ..Site::small() }, 5, 3);
        flood.run(240, |_, _| {});
        flood.sim.run_until(flood.sim.now + 60_000);
        let begun = |job: &support::UserJob| job.accepted && job.first_task_started_at.is_some();
        let accepted = flood.count(|job| job.accepted && job.cancel_requested_at.is_none());
        (flood.count(|job| begun(job) && job.cancel_requested_at.is_none()) as f64) / accepted as f64
    };
    let (bounded, unbounded) = (begun_share(BOUND_BACKLOG_ALWAYS), begun_share("[admission]\nbound_backlog = never\n"));
    assert!(
        bounded > unbounded + 0.1,
        "share of jobs begun a minute after the flood: {bounded:.2} with a bounded backlog, {unbounded:.2} without"
    );
}

#[test]
fn the_leader_crashes_in_a_flood() {
    for mut flood in [Flood::overloading_controllers(2), Flood::overloading_machines(2)] {
        flood.run(150, |sim, second| {
            if second == 60 || second == 100 {
                let node = leader(sim);
                sim.restart_controller(node, 5_000);
            }
        });
        flood.check(10_000);
    }
}

#[test]
fn all_controllers_crash_in_a_flood() {
    for mut flood in [Flood::overloading_controllers(3), Flood::overloading_machines(3)] {
        flood.run(150, |sim, second| {
            if second == 60 {
                (0..3).for_each(|node| sim.restart_controller(node, 3_000));
            }
        });
        flood.check(15_000);
    }
}

#[test]
fn a_controller_restarts_within_a_fraction_of_a_second_in_a_flood() {
    let mut flood = Flood::overloading_controllers(4);
    flood.run(150, |sim, second| {
        if second % 20 == 15 {
            sim.restart_controller((second / 20 % 3) as usize, 300);
        }
    });
    flood.check(20_000);
}

#[test]
fn the_leader_is_isolated_from_its_peers_and_the_state_service_in_a_flood() {
    for mut flood in [Flood::overloading_controllers(5), Flood::overloading_machines(5)] {
        flood.run(150, |sim, second| match second {
            60 => {
                let node = leader(sim);
                sim.isolate_controller(node);
            }
            85 => sim.end_isolation(),
            _ => {}
        });
        flood.check(30_000);
    }
}

#[test]
fn the_state_service_refuses_the_leader_or_all_nodes_in_a_flood() {
    let mut flood = Flood::overloading_controllers(6);
    flood.run(150, |sim, second| match second {
        50 => {
            let node = leader(sim);
            sim.store.unavailable_to_nodes.insert(node);
        }
        65 => sim.store.unavailable_to_nodes.clear(),
        90 => sim.store.down = true,
        100 => sim.store.down = false,
        _ => {}
    });
    flood.check(30_000);
}

/// An isolated follower reconnects with the admission table of a former leader: it must not decide by this table.
#[test]
fn a_follower_comes_back_with_an_old_table() {
    let mut flood = Flood::overloading_controllers(7);
    flood.run(150, |sim, second| match second {
        60 => {
            let follower = (0..3).find(|node| *node != leader(sim)).expect("a follower");
            sim.isolate_controller(follower);
        }
        62 => {
            let node = leader(sim);
            sim.restart_controller(node, 2_000);
        }
        66 => sim.end_isolation(),
        _ => {}
    });
    flood.check(20_000);
}

/// Controllers of the old and the new version run side by side: the old one receives no message that it cannot decode,
/// and submissions are refused whenever a new one leads.
#[test]
fn an_old_version_beside_new_ones_in_a_flood() {
    let mut flood = Flood::overloading_controllers(8);
    flood.sim.crash_controller(2);
    flood.run(150, |sim, second| match second {
        // The old version joins as a follower, and leads while the others are down.
        20 => sim.start_production_version(2),
        50 => (0..2).for_each(|node| sim.restart_controller(node, 6_000)),
        80 => sim.upgrade_controller(2, 1_000),
        _ => {}
    });
    flood.check(50_000);
}

#[test]
fn most_machines_are_lost_and_replaced_in_a_flood() {
    let mut flood = Flood::overloading_machines(9);
    flood.run(180, |sim, second| {
        if second == 60 {
            let machines: Vec<u64> = sim.workers.keys().copied().collect();
            machines.iter().take(machines.len() * 2 / 3).for_each(|machine| sim.kill_machine(*machine));
        }
    });
    flood.check(30_000);
}

/// A thousand submissions with the same reference, at all nodes, create one job.
#[test]
fn a_thousand_duplicate_submissions_create_one_job() {
    let mut flood = Flood::overloading_controllers(10);
    flood.run(40, |sim, second| {
        if second == 0 {
            sim.submit("job-800000", &small_array(3));
        }
        for _ in 0..25 {
            sim.resubmit("job-800000");
        }
    });
    flood.check(0);
    assert!(flood.sim.tasks.starts.keys().filter(|task| task.starts_with("job-800000/")).count() <= 4);
}

/// A team's large jobs and gangs are accepted within the bound among the flood of small jobs.
#[test]
fn a_large_job_and_a_gang_of_a_quiet_team_are_accepted() {
    let mut flood = Flood::overloading_controllers(11);
    let mut gangs = Vec::new();
    flood.run(120, |sim, second| {
        if second % 30 == 20 {
            let (large, gang) = (format!("job-{}", 910_000 + second), format!("job-{}", 920_000 + second));
            sim.submit(
                &large,
                &[("Lane", json!("large")), ("Pieces", json!(60)), ("Cores", json!(1.0)), ("RuntimeS", json!(5.0))],
            );
            sim.submit(
                &gang,
                &[("Lane", json!("sync")), ("Shape", json!("group")), ("Pieces", json!(3)), ("RuntimeS", json!(5.0))],
            );
            gangs.extend([large, gang]);
        }
    });
    flood.check(0);
    for id in gangs {
        let job = &flood.sim.jobs[&id];
        assert!(job.accepted && job.accepted_at - job.submitted_at <= MAX_ACCEPTANCE_MS, "{id}");
    }
}

/// The controllers' limit applies to the total that all nodes admit. Without the followers' demand reports the leader
/// would mistake what they admit for the whole demand; without its predecessor's limit a new leader would admit
/// everything until it has found its own.
#[test]
fn the_limit_of_the_controllers_holds_for_what_all_nodes_admit() {
    let mut flood = Flood::overloading_controllers(12);
    flood.run(120, |sim, second| {
        if second == 70 {
            let node = leader(sim);
            sim.restart_controller(node, 5_000);
        }
    });
    let accepted = |from: u64, until: u64| flood.count(|job| (from * 1000..until * 1000).contains(&job.accepted_at));
    let (before, after) = (accepted(40, 70), accepted(73, 83));
    // The limit is one unit of cost per second, and a job costs slightly more; users who waited for a leader submit all
    // at once.
    assert!(before <= 33, "{before} accepted in 30 s");
    assert!(after <= 20, "{after} accepted in the 10 s after a change of leader");
}
