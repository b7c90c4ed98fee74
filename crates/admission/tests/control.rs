//! Tests of the leader's admission control: the starvation bound of each pair, equal decisions by equal tables on all
//! nodes, and the reaction to load and backlog.

use caperstile_admission::{
    AdmissionControl, AdmissionPolicy, AdmissionTable, BacklogBound, Decision, DemandReport, PairBacklog, Submission,
    TableView, TeamClassPair, Utilization,
};
use caperstile_types::{Duration, FencingToken, JobId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

const TOKEN: FencingToken = FencingToken(7);
const BUSY: Utilization = Utilization(1.0);
const QUEUEING: Duration = Duration::from_millis(800);
const IDLE: Utilization = Utilization(0.3);

/// A constant rate of submissions by one class of a team; each job has `tasks` tasks.
struct Flow {
    team: String,
    class: &'static str,
    jobs_per_s: f64,
    tasks: u32,
}

fn flow(team: &str, class: &'static str, jobs_per_s: f64, tasks: u32) -> Flow {
    Flow { team: team.into(), class, jobs_per_s, tasks }
}

/// Simulates a leader with followers in steps of one second. Times are in milliseconds.
struct Cluster {
    control: AdmissionControl,
    /// Each follower's view, and the delay in seconds with which tables reach it.
    views: Vec<(TableView, u64)>,
    /// Tables on their way to a follower: time of arrival, index of the follower, table.
    in_flight: Vec<(u64, usize, AdmissionTable)>,
    now: u64,
    jobs: u64,
    /// By flow: time of the last admission, longest time without an admission, number of admitted jobs.
    served: Vec<(u64, u64, u64)>,
    /// By flow: number of jobs that are due but not submitted yet, which is a fraction between steps.
    due_jobs: Vec<f64>,
    /// Decisions by sequence number of the table and job, to detect contradictory ones.
    decisions: BTreeMap<(u64, u64), Decision>,
    /// Refused jobs that are to be retried, by time in seconds: flow, job, time of the first submission.
    retries: BTreeMap<u64, Vec<(usize, u64, u64)>>,
    changes: u32,
}

impl Cluster {
    fn new(followers: usize, flows: &[Flow], policy: AdmissionPolicy) -> Cluster {
        Cluster {
            control: AdmissionControl::new(TOKEN, Timestamp::ZERO, policy),
            views: (0..followers).map(|n| (TableView::default(), n as u64)).collect(),
            in_flight: Vec::new(),
            now: 0,
            jobs: 0,
            served: vec![(0, 0, 0); flows.len()],
            due_jobs: vec![0.0; flows.len()],
            decisions: BTreeMap::new(),
            retries: BTreeMap::new(),
            changes: 0,
        }
    }

    /// Simulates `seconds` seconds. `load` returns the leader's utilization for the cost that was admitted in a second.
    fn run(&mut self, seconds: u64, flows: &[Flow], load: impl Fn(f64) -> Utilization) {
        for _ in 0..seconds {
            self.now += 1_000;
            let mut reports: Vec<DemandReport> = self.views.iter().map(|_| DemandReport::default()).collect();
            let mut admitted = 0.0;
            let mut submissions = self.retries.remove(&(self.now / 1_000)).unwrap_or_default();
            for (index, flow) in flows.iter().enumerate() {
                self.due_jobs[index] += flow.jobs_per_s;
                while self.due_jobs[index] >= 1.0 {
                    self.due_jobs[index] -= 1.0;
                    self.jobs += 1;
                    submissions.push((index, self.jobs, self.now));
                }
            }
            for (index, job, since) in submissions {
                let flow = &flows[index];
                let node = (job % (self.views.len() as u64 + 1)) as usize;
                let submission = Submission { job: JobId(job), team: &flow.team, class: flow.class };
                match self.decide(node, &submission, flow.tasks, &mut reports) {
                    Decision::Admit => {
                        admitted += 1.0 + f64::from(flow.tasks) / 32.0;
                        let (last, max_gap, count) = &mut self.served[index];
                        *max_gap = (*max_gap).max(self.now - *last);
                        (*last, *count) = (self.now, *count + 1);
                        self.control.record_accepted(Timestamp::from_millis(self.now), JobId(job));
                    }
                    Decision::Refuse { retry_after_s } => {
                        let retry_at_s = self.now / 1_000 + u64::from(retry_after_s);
                        if retry_at_s * 1_000 - since < 60_000 {
                            self.retries.entry(retry_at_s).or_default().push((index, job, since));
                        }
                    }
                }
            }
            for report in &reports {
                self.control.record_remote_refusals(Timestamp::from_millis(self.now), report);
            }
            let utilization = load(admitted);
            let queueing = if utilization >= BUSY { QUEUEING } else { Duration::from_millis(50) };
            self.control.observe_load(Timestamp::from_millis(self.now), utilization, queueing);
            if let Some(table) = self.control.tick(Timestamp::from_millis(self.now)).cloned() {
                for (index, (_, delay)) in self.views.iter().enumerate() {
                    self.in_flight.push((self.now + delay * 1_000, index, table.clone()));
                }
            }
            self.changes += self.control.take_changes().len() as u32;
            let now = self.now;
            for (_, index, table) in self.in_flight.extract_if(.., |(at, ..)| *at <= now) {
                self.views[index].0.receive(Timestamp::from_millis(now), table);
            }
        }
        for (last, max_gap, _) in &mut self.served {
            *max_gap = (*max_gap).max(self.now - *last);
        }
    }

    /// Submits a job at a node; the node after the last follower is the leader.
    fn decide(&mut self, node: usize, submission: &Submission, tasks: u32, reports: &mut [DemandReport]) -> Decision {
        if let Some((view, _)) = self.views.get(node)
            && let Some(table) = view.in_force(Timestamp::from_millis(self.now), TOKEN)
        {
            let (number, decision) = (table.number.sequence, table.decide(submission));
            self.record_decision(number, submission.job, decision);
            if decision != Decision::Admit {
                reports[node].record_refused(submission.team, submission.class, tasks);
                return decision;
            }
        }
        let decision = self.control.decide(Timestamp::from_millis(self.now), submission, tasks);
        self.record_decision(self.control.table().number.sequence, submission.job, decision);
        decision
    }

    fn record_decision(&mut self, number: u64, job: JobId, decision: Decision) {
        let before = self.decisions.insert((number, job.0), decision);
        // The leader records an accepted job only for later tables, so each table yields one decision per job.
        assert!(
            before.is_none_or(|before| before == decision),
            "table {number} yields contradictory decisions on {job}"
        );
    }

    fn max_gap_s(&self, flow: usize) -> f64 {
        self.served[flow].1 as f64 / 1_000.0
    }
}

/// The utilization of a leader that is overloaded above an admitted cost of `cost` per second.
fn with_capacity(cost: f64) -> impl Fn(f64) -> Utilization {
    move |admitted| if admitted > cost { BUSY } else { Utilization(0.5 + 0.3 * admitted / cost) }
}

/// The maximum time without an admitted job as docs/admission.md states it: the larger of the configured maximum wait
/// and the time to serve all pairs once; plus the interval between tables, the delay of a table and the time between
/// two submissions of the pair.
fn starvation_bound_s(max_wait_s: f64, pairs: f64, limit: f64, table_delay_s: f64, submission_interval_s: f64) -> f64 {
    max_wait_s.max(pairs / limit) + 1.0 + table_delay_s + submission_interval_s
}

#[test]
fn a_team_that_floods_for_an_hour_keeps_no_pair_waiting_beyond_the_starvation_bound() {
    let mut flows = vec![flow("flooding", "reminder", 60.0, 4), flow("flooding", "quiet", 0.05, 1)];
    for n in 0..6 {
        flows.push(flow(&format!("team-{n}"), "desk", 0.2, 2));
    }
    flows.push(flow("large", "array", 0.02, 400));
    let mut cluster = Cluster::new(4, &flows, AdmissionPolicy::default());
    cluster.run(3_600, &flows, with_capacity(10.0));
    for (index, flow) in flows.iter().enumerate() {
        let bound = starvation_bound_s(20.0, flows.len() as f64, 1.0, 3.0, 1.0 / flow.jobs_per_s);
        let gap = cluster.max_gap_s(index);
        assert!(gap <= bound, "{}/{}: {gap} s without an admitted job, bound {bound} s", flow.team, flow.class);
    }
    let (_, _, flooding) = cluster.served[0];
    let (_, _, desk) = cluster.served[2];
    assert!(desk as f64 > 0.9 * 0.2 * 3_600.0, "{desk} of the 720 jobs of a team with low demand were admitted");
    assert!(flooding < 60 * 3_600 / 4, "{flooding} of the flood's 216,000 were admitted");
    // The flooding class gets the capacity that no other pair demands.
    assert!(flooding > 3_600, "{flooding} of the flood's 216,000 were admitted");
}

#[test]
fn many_pairs_that_all_flood_are_all_served() {
    let flows: Vec<Flow> =
        (0..200).map(|n| flow(&format!("team-{}", n % 50), ["a", "b", "c", "d"][n / 50], 2.0, 1)).collect();
    let mut cluster = Cluster::new(3, &flows, AdmissionPolicy::default());
    cluster.run(900, &flows, with_capacity(20.0));
    let limit = cluster.control.limit().expect("a limit during overload").min(20.0) / 2.0;
    let bound = starvation_bound_s(20.0, 200.0, limit, 2.0, 0.5);
    for index in 0..flows.len() {
        let gap = cluster.max_gap_s(index);
        assert!(gap <= bound, "pair {index}: {gap} s, bound {bound} s");
    }
}

#[test]
fn two_flooding_teams_are_admitted_in_proportion_to_their_weights() {
    let flows = [flow("heavy", "x", 50.0, 1), flow("light", "x", 50.0, 1)];
    let mut policy = AdmissionPolicy::default();
    let teams = BTreeSet::from(["heavy".to_string(), "light".to_string()]);
    policy.set("admission team heavy", "weight", "3", &teams).expect("a valid weight");
    let mut cluster = Cluster::new(2, &flows, policy);
    cluster.run(600, &flows, with_capacity(16.0));
    let ratio = cluster.served[0].2 as f64 / cluster.served[1].2 as f64;
    assert!((2.2..4.0).contains(&ratio), "{ratio}");
}

#[test]
fn without_overload_nothing_is_refused_and_no_table_is_published() {
    let flows = [flow("crew", "x", 300.0, 50)];
    let mut cluster = Cluster::new(2, &flows, AdmissionPolicy::default());
    cluster.run(120, &flows, |_| IDLE);
    assert_eq!(cluster.control.table().number.sequence, 0);
    assert_eq!(cluster.served[0].2, 300 * 120);
}

#[test]
fn refusals_end_after_the_overload_has_ended() {
    let overload = [flow("flooding", "x", 50.0, 1), flow("quiet", "x", 1.0, 1)];
    let mut cluster = Cluster::new(2, &overload, AdmissionPolicy::default());
    cluster.run(300, &overload, with_capacity(8.0));
    assert!(!cluster.control.table().admits_all(), "submissions of the flooding team are refused");
    let after_overload = [flow("flooding", "x", 1.0, 1), flow("quiet", "x", 1.0, 1)];
    // Users retry refused submissions for a minute. These retries do not cause refusals of the other team.
    let quiet = cluster.served[1].2;
    cluster.run(60, &after_overload, with_capacity(8.0));
    assert!(cluster.served[1].2 - quiet >= 59, "{} of 60", cluster.served[1].2 - quiet);
    cluster.run(20, &after_overload, with_capacity(8.0));
    assert!(cluster.control.table().admits_all(), "{:?}", cluster.control.status(Timestamp::from_millis(cluster.now)));
}

/// The capacity repeatedly falls to a third and recovers. The refusals of a pair must not start or end more often than
/// every 10 s.
#[test]
fn oscillating_capacity_does_not_make_refusals_flap() {
    let flows = [flow("a", "x", 10.0, 1), flow("b", "x", 10.0, 1), flow("c", "x", 1.0, 1)];
    let mut cluster = Cluster::new(2, &flows, AdmissionPolicy::default());
    for _ in 0..10 {
        cluster.run(30, &flows, with_capacity(30.0));
        cluster.run(30, &flows, with_capacity(10.0));
    }
    assert!(cluster.changes <= 3 * 600 / 10, "{} starts and ends of refusals of three pairs in 600 s", cluster.changes);
}

#[test]
fn high_utilization_with_a_short_queueing_delay_causes_no_refusals() {
    let mut control = AdmissionControl::new(TOKEN, Timestamp::ZERO, AdmissionPolicy::default());
    for second in 1..120u64 {
        control.decide(
            Timestamp::from_millis(second * 1_000),
            &Submission { job: JobId(second), team: "t", class: "c" },
            10,
        );
        control.observe_load(Timestamp::from_millis(second * 1_000), BUSY, Duration::from_millis(100));
        assert!(control.tick(Timestamp::from_millis(second * 1_000)).is_none());
    }
}

fn always_bounded() -> AdmissionPolicy {
    let mut policy = AdmissionPolicy::default();
    policy.backlog_bound = BacklogBound::Always;
    policy
}

fn backlog(tasks: u64, oldest: u64) -> BTreeMap<TeamClassPair, PairBacklog> {
    let max_wait = Duration::from_secs(100);
    let pair_backlog =
        PairBacklog { pending_tasks: tasks, oldest_submitted_at: Some(Timestamp::from_millis(oldest)), max_wait };
    BTreeMap::from([(TeamClassPair::new("crew", "render"), pair_backlog)])
}

/// Simulates two minutes in which ten jobs of ten tasks are submitted and ten tasks are started per second. Returns the
/// number of admitted jobs.
fn admitted_with_backlog(policy: AdmissionPolicy, oldest: impl Fn(u64) -> u64) -> u64 {
    let mut control = AdmissionControl::new(TOKEN, Timestamp::ZERO, policy);
    let pair = TeamClassPair::new("crew", "render");
    let (mut pending, mut admitted) = (0u64, 0);
    for second in 1..=120u64 {
        let now = Timestamp::from_millis(second * 1_000);
        for n in 0..10 {
            let submission = Submission { job: JobId(second * 10 + n), team: "crew", class: "render" };
            if control.decide(now, &submission, 10) == Decision::Admit {
                (pending, admitted) = (pending + 10, admitted + 1);
            }
        }
        for _ in 0..pending.min(10) {
            control.record_start(&pair);
            pending -= 1;
        }
        control.observe_load(now, IDLE, Duration::ZERO);
        control.observe_backlog(now, backlog(pending, oldest(second * 1_000)));
        control.tick(now);
    }
    admitted
}

#[test]
fn the_backlog_bound_always_refuses_jobs_without_overload_of_the_controllers() {
    let all = 1_200;
    let oldest_30_s_ago = |now: u64| now.saturating_sub(30_000);
    let bounded = admitted_with_backlog(always_bounded(), oldest_30_s_ago);
    // The maximum wait of 100 s corresponds to 100 pending jobs; another 120 jobs are started in 120 s.
    assert!((100..400).contains(&bounded), "{bounded} of {all}");
    assert_eq!(admitted_with_backlog(always_bounded(), |now| now), all, "no job has waited yet");
    assert_eq!(
        admitted_with_backlog(AdmissionPolicy::default(), oldest_30_s_ago),
        all,
        "the controllers are not overloaded"
    );
}

#[test]
fn a_new_leader_applies_the_ratios_of_its_predecessor_before_it_measures_overload() {
    let flows = [flow("flooding", "x", 50.0, 1), flow("quiet", "x", 1.0, 1)];
    let mut predecessor = Cluster::new(2, &flows, AdmissionPolicy::default());
    predecessor.run(60, &flows, with_capacity(5.0));
    let admitted = |inherited: Option<&AdmissionTable>| {
        let mut cluster = Cluster::new(2, &flows, AdmissionPolicy::default());
        inherited.into_iter().for_each(|table| cluster.control.inherit(Timestamp::ZERO, table));
        // Just after its election, the leader's measured load does not reflect the flood yet.
        cluster.run(5, &flows, |_| Utilization(0.88));
        (cluster.served[0].2, cluster.served[1].2)
    };
    assert_eq!(admitted(None), (250, 5));
    let (flooding, quiet) = admitted(Some(predecessor.control.table()));
    assert!(flooding < 60 && quiet == 5, "{flooding} and {quiet}");
}

#[test]
fn refused_users_are_drawn_anew_when_they_come_back() {
    let flows = [flow("flooding", "x", 50.0, 1)];
    let mut cluster = Cluster::new(1, &flows, AdmissionPolicy::default());
    cluster.run(60, &flows, with_capacity(5.0));
    let salt = cluster.control.table().salt;
    cluster.run(40, &flows, with_capacity(5.0));
    // A salt is used for eight seconds, after which the first refused users retry.
    assert!(
        (4..=5).contains(&(cluster.control.table().salt - salt)),
        "{} salts in 40 s",
        cluster.control.table().salt - salt
    );
}

#[test]
fn the_number_of_measured_classes_of_a_team_is_bounded() {
    let mut control = AdmissionControl::new(TOKEN, Timestamp::ZERO, AdmissionPolicy::default());
    for n in 0..20_000u64 {
        let class = format!("class-{n}");
        control.decide(Timestamp::from_millis(1_000), &Submission { job: JobId(n), team: "crew", class: &class }, 1);
    }
    let pairs = control.status(Timestamp::from_millis(1_000)).len();
    assert!(pairs <= 33, "{pairs} pairs of one team");
}

/// Guards against admission in full of classes that are too new to have an entry: classes beyond the measured ones
/// share one entry of their team.
#[test]
fn a_team_that_submits_each_job_in_a_new_class_is_limited_like_others() {
    let mut control = AdmissionControl::new(TOKEN, Timestamp::ZERO, AdmissionPolicy::default());
    let (mut admitted, mut quiet, mut usual) = (0, 0, 0);
    for second in 1..=120u64 {
        let now = Timestamp::from_millis(second * 1_000);
        let mut decide = |job: u64, team: &str, class: &str| {
            control.decide(now, &Submission { job: JobId(job), team, class }, 1) == Decision::Admit
        };
        // The team also submits to one class continuously.
        usual += u64::from(decide(second * 1_000, "inventive", "usual"));
        quiet += u64::from(decide(second * 1_000 + 1, "quiet", "desk"));
        for n in 2..52 {
            admitted += u64::from(decide(second * 1_000 + n, "inventive", &format!("class-{second}-{n}")));
        }
        control.observe_load(now, BUSY, QUEUEING);
        control.tick(now);
    }
    assert!(admitted < 6_000 / 4, "{admitted} of 6,000 jobs in new classes were admitted");
    assert!(quiet > 70, "{quiet} of 120 jobs of the other team were admitted");
    assert!(usual > 0, "{usual} of 120 jobs of the continuously used class were admitted");
}

#[test]
fn errors_name_the_invalid_setting_and_the_accepted_values() {
    let teams = BTreeSet::from(["crew".to_string()]);
    let mut policy = AdmissionPolicy::default();
    let mut error = |section: &str, key: &str, value: &str| {
        policy.set(section, key, value, &teams).expect_err("an invalid setting").to_string()
    };
    assert_eq!(error("admission", "enabled", "maybe"), "[admission] enabled: `maybe` is neither yes nor no");
    assert_eq!(
        error("admission", "bound_backlog", "yes"),
        "[admission] bound_backlog: `yes` is none of never, overload and always"
    );
    assert_eq!(error("admission", "max_wait_s", "90"), "[admission] max_wait_s: `90` is not a number from 5 to 50");
    assert_eq!(error("admission", "wait", "1"), "[admission] wait: not a known setting");
    assert_eq!(
        error("admission team nobody", "weight", "1"),
        "[admission team nobody] weight: there is no team `nobody`"
    );
    assert_eq!(
        error("admission team crew", "weight", "0"),
        "[admission team crew] weight: `0` is not a number from 0.01 to 100"
    );
}
