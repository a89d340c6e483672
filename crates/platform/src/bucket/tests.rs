use super::*;

/// Guards against a daemon that exceeds its call budget after an idle time, because tokens pile up, or after a clock
/// that steps back.
#[test]
fn never_grants_more_than_a_second_worth_at_once() {
    let mut bucket = Bucket::new(3.0);
    let grants = |bucket: &mut Bucket, now_s| {
        (0..10)
            .filter(|_| bucket.try_take(Duration::from_secs(now_s), 0.0))
            .count()
    };
    assert_eq!(grants(&mut bucket, 0), 3);
    assert_eq!(grants(&mut bucket, 1), 3);
    assert_eq!(grants(&mut bucket, 3600), 3);
    assert_eq!(grants(&mut bucket, 10), 0);
    let mut slow = Bucket::new(0.5);
    assert_eq!(grants(&mut slow, 0), 1);
    assert_eq!(grants(&mut slow, 1), 0);
    assert_eq!(grants(&mut slow, 2), 1);
}

/// Guards against a yielding call that takes the last tokens, so that the calls it should yield to get none.
#[test]
fn a_share_is_left_to_others() {
    let mut bucket = Bucket::new(9.0);
    let now = Duration::ZERO;
    assert_eq!((0..20).filter(|_| bucket.try_take(now, 0.5)).count(), 5);
    assert_eq!((0..20).filter(|_| bucket.try_take(now, 0.0)).count(), 4);
    assert!(Bucket::new(1.0).try_take(now, 0.5));
}
