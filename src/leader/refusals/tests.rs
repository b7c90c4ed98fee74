use super::*;

/// A log that quotes requests must not be flooded, and must stay one line of ASCII for each refusal.
#[test]
fn refusals_are_counted_by_reason_and_logged_escaped_and_at_a_limited_rate() {
    let mut refusals = RefusalLog::new(Timestamp::ZERO);
    let body = format!("{{\"Ref\":\"job-000412\",\"Lane\":[\n\"{}\"]}}", "xé".repeat(200));
    let request = SubmissionRequest::read(body.into_bytes());
    let SubmissionRequest::Malformed(malformed) = &request else { panic!("{request:?}") };
    let error = SubmissionError::from(malformed.as_ref());
    let mut line_at = |millis| refusals.line(Timestamp::from_millis(millis), 400, &request, &error);
    let excerpt = format!("[\\n\\\"{}", "x\\xc3\\xa9".repeat(31));
    assert_eq!(
        line_at(0).expect("a line"),
        format!(
            "submission refused job=job-000412 status=400 reason=\"field `Lane` is not a string\" excerpt=\"{excerpt}\" \
            same_reason=1 unlogged=0"
        )
    );
    assert_eq!((1..100).filter(|_| line_at(0).is_some()).count(), 19, "a burst of 20");
    assert!(line_at(500).is_none());
    assert!(line_at(1500).expect("a line").ends_with("same_reason=102 unlogged=81"));
}
