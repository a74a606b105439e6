//! The part of the state service's changes that one controller may use.

use cleatfold_ingress::{ChangeRateLimiter, MAX_DEBT_S};

/// Transactions are sent again for a minute while nothing answers; seconds after that changes go again.
#[test]
fn what_was_sent_again_in_vain_is_not_paid_back_for_minutes() {
    let mut limiter = ChangeRateLimiter::default();
    for ms in (1000..=61_000).step_by(300) {
        limiter.refill(ms, 15.0, 3);
        limiter.spend(18);
    }
    let late = 61_000 + (MAX_DEBT_S as u64 + 1) * 1000;
    limiter.refill(late, 15.0, 3);
    assert!(limiter.is_open());
}

#[test]
fn a_second_lets_no_more_through_than_our_part() {
    let mut limiter = ChangeRateLimiter::default();
    let mut sent = 0;
    for ms in (1000..=11_000).step_by(50) {
        limiter.refill(ms, 30.0, 3);
        while limiter.is_open() {
            limiter.spend(3);
            sent += 3;
        }
    }
    assert!((90..=110).contains(&sent), "{sent}");
}
