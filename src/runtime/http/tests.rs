use super::*;

#[test]
fn connections_are_closed_by_need_and_those_of_users_first() {
    let closed = |free| (needed("/work/job-000001", free, 1600), needed("/v1/report", free, 1600));
    assert_eq!(closed(400), (false, false));
    assert_eq!(closed(399), (true, false));
    assert_eq!(closed(99), (true, true));
}
