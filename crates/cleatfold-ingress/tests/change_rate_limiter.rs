//! The share of the state service's change rate that one controller may use.

use cleatfold_ingress::{ChangeRateLimiter, MAX_DEBT_S};

/// While the service does not answer, transactions are resent for a minute; a few seconds later
/// changes can be sent again.
#[test]
fn debt_of_unanswered_resends_is_bounded() {
    let mut limiter = ChangeRateLimiter::default();
    for ms in (1000..=61_000).step_by(300) {
        limiter.refill(ms, 15.0, 3);
        limiter.spend(18);
    }
    let recovered_ms = 61_000 + (MAX_DEBT_S as u64 + 1) * 1000;
    limiter.refill(recovered_ms, 15.0, 3);
    assert!(limiter.has_token());
}

#[test]
fn changes_stay_within_share_of_one_controller() {
    let mut limiter = ChangeRateLimiter::default();
    let mut sent = 0;
    for ms in (1000..=11_000).step_by(50) {
        limiter.refill(ms, 30.0, 3);
        while limiter.has_token() {
            limiter.spend(3);
            sent += 3;
        }
    }
    assert!((90..=110).contains(&sent), "{sent}");
}
