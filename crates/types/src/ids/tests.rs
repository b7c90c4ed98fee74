use super::*;

#[test]
fn ids_are_parsed_only_in_canonical_form() {
    assert_eq!("job-000412".parse(), Ok(JobId(412)));
    assert_eq!("job-1000412".parse(), Ok(JobId(1000412)));
    for invalid in ["job-412", "job-0000412", "job-", "job-00041x", "m-000412", "", "job-99999999999999999999"] {
        assert_eq!(invalid.parse::<JobId>(), Err(ParseIdError), "{invalid}");
    }
    let task: TaskId = "job-000412/3".parse().unwrap();
    assert_eq!(task.to_string(), "job-000412/3");
    assert!("job-000412/".parse::<TaskId>().is_err());
    assert!("job-000412/+3".parse::<TaskId>().is_err());
}
