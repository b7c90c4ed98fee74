use super::feasibility::GANGS_RETRY_AFTER_S;
use super::*;
use crate::types::{JobId, TaskIndexSet, Timestamp, WallClock};
use crate::wire::MachineType;
use crate::write_ahead_log::LogRecord;
use serde_json::{Value, json};

/// A valid submission with this job id, also for tests of other modules.
pub(crate) fn submission(id: &str) -> Value {
    json!({"Ref": id, "Lane": "render", "Crew": "crew", "Shape": "batch", "Rank": "standard", "Pieces": 2,
           "Cores": 2.0, "Cards": 0.0, "MemoryGb": 5.7, "Reel": "img-1", "ImageGb": 1.5, "Builds": null,
           "Together": false, "Spread": false, "Loaners": true, "RuntimeS": 30.0, "BookmarkS": 0.0,
           "StashS": 0.0, "DueS": 90.0, "Later": {"x": 1}})
}

fn parse(value: &Value) -> Result<JobSpec, SubmissionError> {
    parse_submission(value.to_string().as_bytes(), WallClock::from_millis(5))
}

#[test]
fn invalid_submission_is_refused_with_the_invalid_field() {
    let good = submission("job-000001");
    assert!(parse(&good).is_ok());
    let cases = [
        ("Ref", json!("job-1")),
        ("Ref", json!(7)),
        ("Lane", json!(null)),
        ("Crew", json!("")),
        ("Shape", json!("gang")),
        ("Rank", json!("Prod")),
        ("Pieces", json!(0)),
        ("Pieces", json!(100_001)),
        ("Pieces", json!(1.5)),
        ("Pieces", json!("2")),
        ("Cores", json!(true)),
        ("Cores", json!(-1.0)),
        ("Cores", json!(-1e-300)),
        ("Cards", json!(-0.5)),
        ("MemoryGb", json!("4")),
        ("Reel", json!([])),
        ("Builds", json!("g8")),
        ("Builds", json!([1])),
        ("Yard", json!(3)),
        ("Together", json!(0)),
        ("Spread", json!(null)),
        ("Loaners", json!("yes")),
        ("RuntimeS", json!(-0.001)),
        ("DueS", json!(-3)),
    ];
    for (name, value) in cases {
        let mut wrong = good.clone();
        wrong[name] = value.clone();
        match parse(&wrong) {
            Err(SubmissionError::Malformed { field, .. }) => assert_eq!(field, name, "{value}"),
            other => panic!("{name} = {value}: {other:?}"),
        }
    }
    assert!(matches!(
        parse_submission(b"[1]", WallClock::default()),
        Err(SubmissionError::Malformed { field: "", .. })
    ));
    assert!(matches!(parse_submission(b"{", WallClock::default()), Err(SubmissionError::Malformed { field: "", .. })));
    assert!(matches!(
        parse_submission(br#"{"Ref":"job-000001","Cores":1e999}"#, WallClock::default()),
        Err(SubmissionError::Malformed { .. })
    ));
}

/// Amounts that cannot be stored exactly are rounded up or limited; only those that may be zero stay zero.
#[test]
fn extreme_amounts_are_rounded_and_limited() {
    let with = |name: &str, value: &str| {
        let body = submission("job-000001").to_string().replace("\"Ref\"", &format!("\"{name}\":{value},\"Ref\""));
        let without = submission("job-000001")[name].to_string();
        parse_submission(body.replace(&format!("\"{name}\":{without},"), "").as_bytes(), WallClock::default()).unwrap()
    };
    for (value, thousandths) in
        [("0", 1), ("-0.0", 1), ("1e-400", 1), ("0.0015", 2), ("2", 2000), ("1e999", 1_000_000_000_000)]
    {
        assert_eq!(with("Cores", value).resources.cpus, thousandths, "{value}");
        assert_eq!(with("RuntimeS", value).estimated_duration.as_millis(), thousandths, "{value}");
        assert_eq!(with("DueS", value).deadline.unwrap().as_millis(), thousandths, "{value}");
        let (digits, _) = value.split_once('e').unwrap_or((value, ""));
        let or_zero = if digits.contains(['1', '2']) { thousandths } else { 0 };
        assert_eq!(with("StashS", value).checkpoint_duration.as_millis(), or_zero, "{value}");
    }
}

pub(crate) fn sample_machine_type() -> MachineType {
    serde_json::from_value(json!({"Label": "small", "Cores": 4, "MemoryGb": 16.0, "LocalGb": 70.0, "FetchGbPerS": 1.0,
        "Hourly": 0.26, "MarketPrice": 0.1, "BootS": 15, "Yards": ["a", "b"]}))
    .unwrap()
}

#[test]
fn infeasible_jobs_are_distinguished_from_temporarily_refused_jobs() {
    let teams = crate::settings::Settings::parse(crate::settings::tests::SAMPLE).unwrap().deployment.teams;
    let machine_types = [sample_machine_type()];
    let check = |change: &dyn Fn(&mut Value)| {
        let mut value = submission("job-000001");
        change(&mut value);
        check_feasible(&parse(&value).unwrap(), &teams, Some(&machine_types), false)
    };
    assert_eq!(check(&|_| {}), Ok(()));
    assert!(matches!(check(&|v| v["Crew"] = json!("nobody")), Err(SubmissionError::Infeasible(_))));
    assert!(matches!(check(&|v| v["MemoryGb"] = json!(16.1)), Err(SubmissionError::Infeasible(_))));
    assert!(matches!(check(&|v| v["Cores"] = json!(1e300)), Err(SubmissionError::Infeasible(_))));
    assert!(matches!(check(&|v| v["Builds"] = json!(["huge"])), Err(SubmissionError::Infeasible(_))));
    assert!(matches!(check(&|v| v["Yard"] = json!("c")), Err(SubmissionError::Infeasible(_))));
    let small = |v: &mut Value| {
        v["Crew"] = json!("small");
        v["Pieces"] = json!(3);
    };
    assert_eq!(check(&small), Ok(()), "an array's tasks may run one after another within the limit");
    let service = |v: &mut Value| {
        small(v);
        v["Shape"] = json!("standing");
    };
    assert!(
        matches!(check(&service), Err(SubmissionError::Infeasible(_))),
        "all tasks of a service run at the same time"
    );
    let job = parse(&submission("job-000001")).unwrap();
    assert!(matches!(
        check_feasible(&job, &teams, None, true),
        Err(SubmissionError::Unavailable { retry_after: 1, .. })
    ));
}

/// While not all controllers are upgraded, a gang is refused with a `Retry-After`. A submission that is malformed or
/// infeasible is refused with the same error during and after the upgrade.
#[test]
fn gang_is_refused_temporarily_during_an_upgrade_unless_it_is_infeasible() {
    let teams = crate::settings::Settings::parse(crate::settings::tests::SAMPLE).unwrap().deployment.teams;
    let machine_types = [sample_machine_type()];
    let check_with_gangs = |gangs_supported: bool, change: &dyn Fn(&mut Value)| {
        let mut value = submission("job-000001");
        value["Shape"] = json!("group");
        change(&mut value);
        check_feasible(&parse(&value).unwrap(), &teams, Some(&machine_types), gangs_supported)
    };
    assert!(matches!(
        check_with_gangs(false, &|_| {}),
        Err(SubmissionError::Unavailable { retry_after: GANGS_RETRY_AFTER_S, .. })
    ));
    assert_eq!(check_with_gangs(true, &|_| {}), Ok(()));
    let check = |change: &dyn Fn(&mut Value)| {
        assert_eq!(check_with_gangs(false, change), check_with_gangs(true, change));
        check_with_gangs(true, change)
    };
    let over_quota = |v: &mut Value| {
        v["Crew"] = json!("small");
        v["Pieces"] = json!(3);
    };
    assert!(
        matches!(check(&over_quota), Err(SubmissionError::Infeasible(_))),
        "all its tasks together exceed the team's limit"
    );
    assert!(matches!(check(&|v| v["Yard"] = json!("c")), Err(SubmissionError::Infeasible(_))));
    let mut value = submission("job-000001");
    (value["Shape"], value["Reel"]) = (json!("group"), json!(null));
    assert!(matches!(parse(&value), Err(SubmissionError::Malformed { field: "Reel", .. })));
}

/// The state service may lower its size limit for values to 2 KiB, so no snapshot record may be larger.
#[test]
fn snapshot_records_fit_into_values_of_2_kib() {
    let mut jobs = JobStore::default();
    let mut every_other = TaskIndexSet::default();
    for n in (0..2000).step_by(2) {
        every_other.insert(n);
    }
    let mut value = submission("job-000001");
    value["Pieces"] = json!(2000);
    jobs.apply(&LogRecord::JobAccepted(parse(&value).unwrap()), Timestamp::from_millis(9), WallClock::from_millis(9));
    jobs.apply(&LogRecord::TasksDone(JobId(1), every_other), Timestamp::from_millis(9), WallClock::from_millis(9));
    for n in 0..1000 {
        let id = 100_000_000_000_000 + n * 9_000_000_000;
        let mut value = submission(&format!("job-{id}"));
        value["Pieces"] = json!(1);
        jobs.apply(
            &LogRecord::JobAccepted(parse(&value).unwrap()),
            Timestamp::from_millis(9),
            WallClock::from_millis(9),
        );
        let mut all = TaskIndexSet::default();
        all.insert(0);
        let end = if n % 2 == 0 { LogRecord::JobCancelled(JobId(id)) } else { LogRecord::TasksDone(JobId(id), all) };
        jobs.apply(&end, Timestamp::from_millis(9), WallClock::from_millis(9));
    }
    let mut restored = JobStore::default();
    for record in jobs.snapshot_records() {
        let size = serde_json::to_string(&record).unwrap().len();
        assert!(size <= 2 * 1024 - 64 - 2, "{size} bytes: {record:?}");
        restored.apply(&record, Timestamp::from_millis(9), WallClock::from_millis(9));
    }
    assert_eq!((restored.terminal_count(), restored.open_count()), (1000, 1));
    assert_eq!(restored.get(JobId(1)).unwrap().durably_finished.len(), 1000);
}

#[test]
fn snapshot_records_restore_the_same_job_store() {
    let (mut jobs, mut restored) = (JobStore::default(), JobStore::default());
    for n in 1..=3 {
        let spec = parse(&submission(&format!("job-00000{n}"))).unwrap();
        jobs.apply(&LogRecord::JobAccepted(spec), Timestamp::from_millis(9), WallClock::from_millis(9));
    }
    let mut two = TaskIndexSet::below(2);
    jobs.apply(&LogRecord::TasksDone(JobId(1), two.clone()), Timestamp::from_millis(9), WallClock::from_millis(9));
    jobs.apply(&LogRecord::JobCancelled(JobId(2)), Timestamp::from_millis(9), WallClock::from_millis(9));
    // The job is done already, so the cancellation has no effect.
    jobs.apply(&LogRecord::JobCancelled(JobId(1)), Timestamp::from_millis(9), WallClock::from_millis(9));
    two.remove(0);
    jobs.apply(&LogRecord::TasksDone(JobId(3), two), Timestamp::from_millis(9), WallClock::from_millis(9));
    for record in jobs.snapshot_records() {
        restored.apply(&record, Timestamp::from_millis(9), WallClock::from_millis(9));
    }
    for (n, status) in [(1, "done"), (2, "aborted"), (3, "queued")] {
        assert_eq!(jobs.status(JobId(n)), restored.status(JobId(n)));
        assert_eq!(serde_json::to_value(restored.status(JobId(n)).unwrap()).unwrap()["Status"], status);
    }
    assert_eq!(restored.get(JobId(3)).unwrap().pending, TaskIndexSet::below(1));
    assert_eq!(restored.status(JobId(4)), None);
}
