use super::*;
use crate::store::ServiceResponse;
use serde_json::json;

fn small_spot_pool() -> InstancePool {
    InstancePool { machine_type: "small".into(), zone: "a".into(), spot: true }
}

fn response(status: u16, body: serde_json::Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

/// Removes all events and returns the numbers and names of the scale-out requests among them.
fn scale_out_requests(events: &mut Vec<CloudEvent>) -> Vec<(u64, String)> {
    let requests = events.drain(..).filter_map(|event| match event {
        CloudEvent::Request(id, CloudRequest::ScaleOut(request)) => Some((id, request.request_name)),
        _ => None,
    });
    requests.collect()
}

#[test]
fn unanswered_scale_out_is_retried_under_the_same_name() {
    let limits = CloudLimits { rps: 6.0, list_lag_s: 8.0 };
    let mut cloud = CloudInstances::new(FencingToken(41), Timestamp::from_millis(1), &limits);
    let mut events = Vec::new();
    cloud.scale_out(Timestamp::from_millis(1), &small_spot_pool(), 3, &mut events);
    let first = scale_out_requests(&mut events);
    cloud.tick(Timestamp::from_millis(5100), &mut events);
    let second = scale_out_requests(&mut events);
    assert_eq!((first[0].1.as_str(), second[0].1.as_str()), ("r-41-1", "r-41-1"));
    cloud.handle_response(
        Timestamp::from_millis(5200),
        second[0].0,
        &response(200, json!({"Hosts": ["m-000007"]})),
        &|_| false,
        &mut events,
    );
    assert_eq!(cloud.pending().map(|(id, _)| *id).collect::<Vec<_>>(), [MachineId(7)]);
    assert!(
        cloud.recently_refused(&small_spot_pool(), Timestamp::from_millis(6000)),
        "the request was filled only in part"
    );
}

#[test]
fn backoff_of_a_pool_without_capacity_doubles_up_to_its_maximum() {
    let mut refusals = CapacityRefusals::default();
    let mut now = Timestamp::from_millis(1000);
    for backoff_s in [5, 10, 20, 30, 30] {
        let backoff = Duration::from_secs(backoff_s);
        refusals.note_refusal(now, small_spot_pool());
        assert!(refusals.is_avoided(&small_spot_pool(), (now + backoff).saturating_sub(Duration::from_millis(1))));
        assert!(!refusals.is_avoided(&small_spot_pool(), now + backoff));
        now = now + backoff;
    }
}

#[test]
fn a_complete_scale_out_resets_the_backoff_of_its_pool() {
    let now = Timestamp::from_millis(1000);
    let mut refusals = CapacityRefusals::default();
    refusals.note_refusal(now, small_spot_pool());
    refusals.note_refusal(now, small_spot_pool());
    refusals.note_success(&small_spot_pool());
    assert!(!refusals.is_avoided(&small_spot_pool(), now));
    refusals.note_refusal(now, small_spot_pool());
    assert!(
        !refusals.is_avoided(&small_spot_pool(), now + Duration::from_secs(5)),
        "the backoff is that of a first refusal"
    );
}
