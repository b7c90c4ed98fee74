//! The leader's side: bounds for everybody who keeps asking, agreement over changes of table, and how it reacts to load.

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

/// A class of a team that submits so many jobs a second, each with so many tasks.
struct Flow {
    team: String,
    class: &'static str,
    per_s: f64,
    tasks: u32,
}

fn flow(team: &str, class: &'static str, per_s: f64, tasks: u32) -> Flow {
    Flow { team: team.into(), class, per_s, tasks }
}

/// A leader with followers, second by second.
struct Cluster {
    control: AdmissionControl,
    /// Followers' views; a table reaches a follower so many seconds late.
    views: Vec<(TableView, u64)>,
    delayed: Vec<(u64, usize, AdmissionTable)>,
    now: u64,
    jobs: u64,
    /// By flow: when a job was admitted last, the longest time without, and how many.
    served: Vec<(u64, u64, u64)>,
    asked: Vec<f64>,
    /// Decisions by table, job and pair, to find two that differ.
    decisions: BTreeMap<(u64, u64), Decision>,
    /// Refused jobs that come back, by time.
    retries: BTreeMap<u64, Vec<(usize, u64, u64)>>,
    changes: u32,
}

impl Cluster {
    fn new(followers: usize, flows: &[Flow], policy: AdmissionPolicy) -> Cluster {
        Cluster {
            control: AdmissionControl::new(TOKEN, Timestamp::ZERO, policy),
            views: (0..followers).map(|n| (TableView::default(), n as u64)).collect(),
            delayed: Vec::new(),
            now: 0,
            jobs: 0,
            served: vec![(0, 0, 0); flows.len()],
            asked: vec![0.0; flows.len()],
            decisions: BTreeMap::new(),
            retries: BTreeMap::new(),
            changes: 0,
        }
    }

    /// Plays so many seconds; `load` tells how busy the leader is by what was admitted in the last second.
    fn play(&mut self, seconds: u64, flows: &[Flow], load: impl Fn(f64) -> Utilization) {
        for _ in 0..seconds {
            self.now += 1_000;
            let mut reports: Vec<DemandReport> = self.views.iter().map(|_| DemandReport::default()).collect();
            let mut admitted = 0.0;
            let mut asking = self.retries.remove(&(self.now / 1_000)).unwrap_or_default();
            for (index, flow) in flows.iter().enumerate() {
                self.asked[index] += flow.per_s;
                while self.asked[index] >= 1.0 {
                    self.asked[index] -= 1.0;
                    self.jobs += 1;
                    asking.push((index, self.jobs, self.now));
                }
            }
            for (index, job, since) in asking {
                let flow = &flows[index];
                let node = (job % (self.views.len() as u64 + 1)) as usize;
                let submission = Submission { job: JobId(job), team: &flow.team, class: flow.class };
                match self.decide(node, &submission, flow.tasks, &mut reports) {
                    Decision::Admit => {
                        admitted += 1.0 + f64::from(flow.tasks) / 32.0;
                        let (last, longest, count) = &mut self.served[index];
                        *longest = (*longest).max(self.now - *last);
                        (*last, *count) = (self.now, *count + 1);
                        self.control.record_accepted(Timestamp::from_millis(self.now), JobId(job));
                    }
                    Decision::Refuse { retry_after_s } => {
                        let again = self.now / 1_000 + u64::from(retry_after_s);
                        if again * 1_000 - since < 60_000 {
                            self.retries.entry(again).or_default().push((index, job, since));
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
                    self.delayed.push((self.now + delay * 1_000, index, table.clone()));
                }
            }
            self.changes += self.control.take_changes().len() as u32;
            let now = self.now;
            for (_, index, table) in self.delayed.extract_if(.., |(at, ..)| *at <= now) {
                self.views[index].0.receive(Timestamp::from_millis(now), table);
            }
        }
        for (last, longest, _) in &mut self.served {
            *longest = (*longest).max(self.now - *last);
        }
    }

    /// A submission at this node: the leader is the last one.
    fn decide(&mut self, node: usize, submission: &Submission, tasks: u32, reports: &mut [DemandReport]) -> Decision {
        if let Some((view, _)) = self.views.get(node)
            && let Some(table) = view.in_force(Timestamp::from_millis(self.now), TOKEN)
        {
            let (number, decision) = (table.number.sequence, table.decide(submission));
            self.note(number, submission.job, decision);
            if decision != Decision::Admit {
                reports[node].record_refused(submission.team, submission.class, tasks);
                return decision;
            }
        }
        let decision = self.control.decide(Timestamp::from_millis(self.now), submission, tasks);
        self.note(self.control.table().number.sequence, submission.job, decision);
        decision
    }

    fn note(&mut self, number: u64, job: JobId, decision: Decision) {
        let before = self.decisions.insert((number, job.0), decision);
        // Accepted jobs are named in later tables, so that a number and a job have one answer only.
        assert!(before.is_none_or(|before| before == decision), "table {number} gives two answers for {job}");
    }

    fn longest_gap_s(&self, flow: usize) -> f64 {
        self.served[flow].1 as f64 / 1_000.0
    }
}

/// The leader carries a cost of so much per second.
fn carries(cost: f64) -> impl Fn(f64) -> Utilization {
    move |admitted| if admitted > cost { BUSY } else { Utilization(0.5 + 0.3 * admitted / cost) }
}

/// The longest time without an admitted job, as docs/admission.md states it: the wait that starvation is ended after, or what it takes
/// to serve all pairs once, then a table on its way, and the time between two submissions of the pair.
fn bound_s(max_wait_s: f64, pairs: f64, limit: f64, table_delay_s: f64, asks_every_s: f64) -> f64 {
    max_wait_s.max(pairs / limit) + 1.0 + table_delay_s + asks_every_s
}

#[test]
fn a_flood_of_an_hour_from_one_team_leaves_every_pair_its_bound() {
    let mut flows = vec![flow("flooding", "reminder", 60.0, 4), flow("flooding", "quiet", 0.05, 1)];
    for n in 0..6 {
        flows.push(flow(&format!("team-{n}"), "desk", 0.2, 2));
    }
    flows.push(flow("large", "array", 0.02, 400));
    let mut cluster = Cluster::new(4, &flows, AdmissionPolicy::default());
    cluster.play(3_600, &flows, carries(10.0));
    for (index, flow) in flows.iter().enumerate() {
        let bound = bound_s(20.0, flows.len() as f64, 1.0, 3.0, 1.0 / flow.per_s);
        let gap = cluster.longest_gap_s(index);
        assert!(gap <= bound, "{}/{}: {gap} s without an admitted job, bound {bound} s", flow.team, flow.class);
    }
    let (_, _, flooding) = cluster.served[0];
    let (_, _, desk) = cluster.served[2];
    assert!(desk as f64 > 0.9 * 0.2 * 3_600.0, "{desk} of a quiet team's 720");
    assert!(flooding < 60 * 3_600 / 4, "{flooding} of the flood's 216,000 were admitted");
    // What nobody else asks for goes to the flood.
    assert!(flooding > 3_600, "{flooding} of the flood's 216,000 were admitted");
}

#[test]
fn many_pairs_that_all_flood_are_all_served() {
    let flows: Vec<Flow> =
        (0..200).map(|n| flow(&format!("team-{}", n % 50), ["a", "b", "c", "d"][n / 50], 2.0, 1)).collect();
    let mut cluster = Cluster::new(3, &flows, AdmissionPolicy::default());
    cluster.play(900, &flows, carries(20.0));
    let limit = cluster.control.limit().expect("it is overloaded").min(20.0) / 2.0;
    let bound = bound_s(20.0, 200.0, limit, 2.0, 0.5);
    for index in 0..flows.len() {
        let gap = cluster.longest_gap_s(index);
        assert!(gap <= bound, "pair {index}: {gap} s, bound {bound} s");
    }
}

#[test]
fn weights_divide_what_two_floods_ask_for() {
    let flows = [flow("heavy", "x", 50.0, 1), flow("light", "x", 50.0, 1)];
    let mut policy = AdmissionPolicy::default();
    let teams = BTreeSet::from(["heavy".to_string(), "light".to_string()]);
    policy.set("admission team heavy", "weight", "3", &teams).expect("a weight");
    let mut cluster = Cluster::new(2, &flows, policy);
    cluster.play(600, &flows, carries(16.0));
    let ratio = cluster.served[0].2 as f64 / cluster.served[1].2 as f64;
    assert!((2.2..4.0).contains(&ratio), "{ratio}");
}

#[test]
fn without_load_nothing_is_refused_and_no_table_is_made() {
    let flows = [flow("crew", "x", 300.0, 50)];
    let mut cluster = Cluster::new(2, &flows, AdmissionPolicy::default());
    cluster.play(120, &flows, |_| IDLE);
    assert_eq!(cluster.control.table().number.sequence, 0);
    assert_eq!(cluster.served[0].2, 300 * 120);
}

#[test]
fn once_the_load_is_gone_refusals_end() {
    let flood = [flow("flooding", "x", 50.0, 1), flow("quiet", "x", 1.0, 1)];
    let mut cluster = Cluster::new(2, &flood, AdmissionPolicy::default());
    cluster.play(300, &flood, carries(8.0));
    assert!(!cluster.control.table().admits_all(), "the flood is refused");
    let calm = [flow("flooding", "x", 1.0, 1), flow("quiet", "x", 1.0, 1)];
    // Those who were refused still come back for a minute; nobody else is refused for that.
    let quiet = cluster.served[1].2;
    cluster.play(60, &calm, carries(8.0));
    assert!(cluster.served[1].2 - quiet >= 59, "{} of 60", cluster.served[1].2 - quiet);
    cluster.play(20, &calm, carries(8.0));
    assert!(cluster.control.table().admits_all(), "{:?}", cluster.control.status(Timestamp::from_millis(cluster.now)));
}

/// Capacity falls to a third and comes back, again and again: no pair begins and ceases to be refused more often than every 10 s.
#[test]
fn capacity_that_comes_and_goes_makes_no_pair_alternate_quickly() {
    let flows = [flow("a", "x", 10.0, 1), flow("b", "x", 10.0, 1), flow("c", "x", 1.0, 1)];
    let mut cluster = Cluster::new(2, &flows, AdmissionPolicy::default());
    for _ in 0..10 {
        cluster.play(30, &flows, carries(30.0));
        cluster.play(30, &flows, carries(10.0));
    }
    assert!(cluster.changes <= 3 * 600 / 10, "{} changes of three pairs in 600 s", cluster.changes);
}

#[test]
fn a_node_that_is_busy_with_planning_alone_refuses_nothing() {
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

fn always() -> AdmissionPolicy {
    let mut policy = AdmissionPolicy::default();
    policy.backlog_bound = BacklogBound::Always;
    policy
}

fn backlog(tasks: u64, oldest: u64) -> BTreeMap<TeamClassPair, PairBacklog> {
    let max_wait = Duration::from_secs(100);
    let waits =
        PairBacklog { pending_tasks: tasks, oldest_submitted_at: Some(Timestamp::from_millis(oldest)), max_wait };
    BTreeMap::from([(TeamClassPair::new("crew", "render"), waits)])
}

/// Ten jobs of ten tasks a second are asked for, ten tasks a second start; how many jobs were admitted in two minutes.
fn admitted_with_backlog(policy: AdmissionPolicy, oldest: impl Fn(u64) -> u64) -> u64 {
    let mut control = AdmissionControl::new(TOKEN, Timestamp::ZERO, policy);
    let pair = TeamClassPair::new("crew", "render");
    let (mut waiting, mut admitted) = (0u64, 0);
    for second in 1..=120u64 {
        let now = Timestamp::from_millis(second * 1_000);
        for n in 0..10 {
            let submission = Submission { job: JobId(second * 10 + n), team: "crew", class: "render" };
            if control.decide(now, &submission, 10) == Decision::Admit {
                (waiting, admitted) = (waiting + 10, admitted + 1);
            }
        }
        for _ in 0..waiting.min(10) {
            control.record_start(&pair);
            waiting -= 1;
        }
        control.observe_load(now, IDLE, Duration::ZERO);
        control.observe_backlog(now, backlog(waiting, oldest(second * 1_000)));
        control.tick(now);
    }
    admitted
}

#[test]
fn jobs_that_would_wait_too_long_are_refused_although_the_controllers_have_time() {
    let all = 1_200;
    let waiting_long = |now: u64| now.saturating_sub(30_000);
    let bounded = admitted_with_backlog(always(), waiting_long);
    // 100 s of starts are 100 jobs, and 120 s of them were started meanwhile.
    assert!((100..400).contains(&bounded), "{bounded} of {all}");
    assert_eq!(admitted_with_backlog(always(), |now| now), all, "nothing has waited yet");
    assert_eq!(
        admitted_with_backlog(AdmissionPolicy::default(), waiting_long),
        all,
        "the controllers are not overloaded"
    );
}

#[test]
fn a_new_leader_refuses_as_the_one_before_did_without_an_overload_of_its_own() {
    let flows = [flow("flooding", "x", 50.0, 1), flow("quiet", "x", 1.0, 1)];
    let mut before = Cluster::new(2, &flows, AdmissionPolicy::default());
    before.play(60, &flows, carries(5.0));
    let admitted = |inherited: Option<&AdmissionTable>| {
        let mut cluster = Cluster::new(2, &flows, AdmissionPolicy::default());
        inherited.into_iter().for_each(|table| cluster.control.inherit(Timestamp::ZERO, table));
        // So soon after its election its load is not that of the flood yet.
        cluster.play(5, &flows, |_| Utilization(0.88));
        (cluster.served[0].2, cluster.served[1].2)
    };
    assert_eq!(admitted(None), (250, 5));
    let (flooding, quiet) = admitted(Some(before.control.table()));
    assert!(flooding < 60 && quiet == 5, "{flooding} and {quiet}");
}

#[test]
fn refused_users_are_drawn_anew_when_they_come_back() {
    let flows = [flow("flooding", "x", 50.0, 1)];
    let mut cluster = Cluster::new(1, &flows, AdmissionPolicy::default());
    cluster.play(60, &flows, carries(5.0));
    let salt = cluster.control.table().salt;
    cluster.play(40, &flows, carries(5.0));
    // A draw lasts eight seconds, which is when the first of them come back.
    assert!(
        (4..=5).contains(&(cluster.control.table().salt - salt)),
        "{} draws in 40 s",
        cluster.control.table().salt - salt
    );
}

#[test]
fn memory_is_bounded_whatever_names_are_invented() {
    let mut control = AdmissionControl::new(TOKEN, Timestamp::ZERO, AdmissionPolicy::default());
    for n in 0..20_000u64 {
        let class = format!("class-{n}");
        control.decide(Timestamp::from_millis(1_000), &Submission { job: JobId(n), team: "crew", class: &class }, 1);
    }
    let pairs = control.status(Timestamp::from_millis(1_000)).len();
    assert!(pairs <= 33, "{pairs} pairs of one team");
}

/// A class of its own for each job would else be new to every table, and admitted.
#[test]
fn a_team_that_invents_classes_is_refused_like_any_other() {
    let mut control = AdmissionControl::new(TOKEN, Timestamp::ZERO, AdmissionPolicy::default());
    let (mut admitted, mut quiet, mut usual) = (0, 0, 0);
    for second in 1..=120u64 {
        let now = Timestamp::from_millis(second * 1_000);
        let mut decide = |job: u64, team: &str, class: &str| {
            control.decide(now, &Submission { job: JobId(job), team, class }, 1) == Decision::Admit
        };
        // The team has a class that it uses all the time, too.
        usual += u64::from(decide(second * 1_000, "inventive", "usual"));
        quiet += u64::from(decide(second * 1_000 + 1, "quiet", "desk"));
        for n in 2..52 {
            admitted += u64::from(decide(second * 1_000 + n, "inventive", &format!("class-{second}-{n}")));
        }
        control.observe_load(now, BUSY, QUEUEING);
        control.tick(now);
    }
    assert!(admitted < 6_000 / 4, "{admitted} of 6,000 in classes of their own");
    assert!(quiet > 70, "{quiet} of 120 of a quiet team");
    assert!(usual > 0, "{usual} of 120 of the usual class");
}

#[test]
fn settings_that_cannot_be_used_are_named() {
    let teams = BTreeSet::from(["crew".to_string()]);
    let mut policy = AdmissionPolicy::default();
    let mut error = |section: &str, key: &str, value: &str| {
        policy.set(section, key, value, &teams).expect_err("it cannot be used").to_string()
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
