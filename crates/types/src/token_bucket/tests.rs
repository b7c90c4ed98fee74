use super::*;

#[test]
fn bucket_refills_at_its_rate_up_to_its_capacity() {
    let mut bucket = TokenBucket::new(Timestamp::START, 2.0, 3.0, 0.0);
    bucket.refill(Timestamp::START + Duration::from_millis(500));
    assert_eq!(bucket.available(), 1.0);
    bucket.refill(Timestamp::START + Duration::from_secs(60));
    assert_eq!(bucket.available(), 3.0);
}

#[test]
fn negative_balance_is_refilled_before_tokens_are_available() {
    let mut bucket = TokenBucket::new(Timestamp::START, 1.0, 5.0, 1.0);
    bucket.take(3.0);
    assert_eq!(bucket.available(), -2.0);
    bucket.refill(Timestamp::START + Duration::from_secs(2));
    assert_eq!(bucket.available(), 0.0);
}

#[test]
fn changed_rate_and_capacity_apply_to_later_refills() {
    let mut bucket = TokenBucket::new(Timestamp::START, 10.0, 10.0, 10.0);
    bucket.empty();
    bucket.set_rate(1.0, 2.0);
    bucket.refill(Timestamp::START + Duration::from_secs(1));
    assert_eq!(bucket.available(), 1.0);
    bucket.refill(Timestamp::START + Duration::from_secs(10));
    assert_eq!(bucket.available(), 2.0);
}
