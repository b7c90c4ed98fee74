use super::*;
use crate::jobs::{parse_submission, tests::submission};
use crate::types::WallClock;

fn job_spec(class: &str, tasks: u64) -> Rc<JobSpec> {
    let mut body = submission("job-000001");
    body["Lane"] = class.into();
    body["Pieces"] = tasks.into();
    Rc::new(parse_submission(body.to_string().as_bytes(), WallClock::default()).unwrap())
}

#[test]
fn expected_tasks_follow_the_recent_arrival_rate_and_ignore_expired_arrivals() {
    let mut arrivals = Arrivals::default();
    for n in 0..12 {
        arrivals.record(Timestamp::from_millis(n * 5000), &job_spec("train", 2 + n % 3));
    }
    let (name, class) = arrivals.classes().next().unwrap();
    assert_eq!((name, class.largest_job().task_count), ("train", 4));
    // 36 tasks have arrived in one minute.
    let expected = class.expected_tasks(Timestamp::from_millis(60_000), Duration::from_secs(20));
    assert!((11.0..13.5).contains(&expected), "{expected}");
    assert_eq!(class.expected_tasks(Timestamp::from_millis(400_000), Duration::from_secs(20)), 0.0);
}

/// A single job says little about the rate of its class, so it is taken as the only arrival within the queried period.
#[test]
fn expected_tasks_after_a_single_arrival_equal_its_task_count() {
    let mut arrivals = Arrivals::default();
    arrivals.record(Timestamp::from_millis(1000), &job_spec("train", 3));
    let (_, class) = arrivals.classes().next().unwrap();
    assert_eq!(class.expected_tasks(Timestamp::from_millis(1100), Duration::from_secs(20)), 3.0);
}
