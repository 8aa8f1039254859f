//! Leases lapse by the clock, and the gate knows the highest number.

use std::time::Duration;

use domain::{
    FencingNumber,
    duty_lease::{FencingGate, FencingVerdict, LeaseTerm},
};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn lease_lapses_while_its_holder_is_paused() {
    let asked_at = Instant::now();
    let term = LeaseTerm::new(FencingNumber(1), asked_at, Duration::from_secs(10));
    tokio::time::advance(Duration::from_millis(8_999)).await;
    assert!(term.is_valid(Instant::now()));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!term.is_valid(Instant::now()));
}

#[test]
fn gate_refuses_what_is_old() {
    let mut gate = FencingGate::default();
    let mut check = |number, expected| {
        assert_eq!(gate.admit(FencingNumber(number)), expected);
        gate.learn(FencingNumber(4));
    };
    check(9, FencingVerdict::NotReady);
    check(5, FencingVerdict::Accept);
    let highest = FencingNumber(5);
    check(4, FencingVerdict::TooOld { highest });
    check(5, FencingVerdict::Accept);
}
