//! Fair shares of teams, rate estimates and retry budgets.

use std::{ops::Range, time::Duration};

use domain::team_budget::{RateSketch, RetryBudget, ShareLimiter, ShareVerdict};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(5);

/// Requests that the servers can take at once, beyond their rate.
const BURST_MAX: f64 = 12.0;

/// Returns the served requests per second of each team in the second half of
/// `seconds` if the teams send `rates` and the servers can take `capacity`
/// requests per second.
async fn serve(rates: &[f64], capacity: f64, seconds: u32) -> Vec<f64> {
    let teams: Vec<_> = rates.iter().map(|&rate| (rate, 1)).collect();
    serve_weighted(&teams, capacity, seconds / 2..seconds).await
}

/// Like [`serve`], for teams with a rate and a weight each, measured over the
/// seconds `counted` of a load that starts at second 0.
async fn serve_weighted(teams: &[(f64, u32)], capacity: f64, counted: Range<u32>) -> Vec<f64> {
    let limiter = ShareLimiter::new(Instant::now());
    let mut rng = SmallRng::seed_from_u64(11);
    let mut served = vec![0_u32; teams.len()];
    let mut allowance = 0.0;
    for step in 0..counted.end * 200 {
        tokio::time::advance(STEP).await;
        allowance = f64::min(allowance + capacity * STEP.as_secs_f64(), BURST_MAX);
        for (team, &(rate, weight)) in teams.iter().enumerate() {
            if !rng.random_bool(rate * STEP.as_secs_f64()) {
                continue;
            }
            let verdict = limiter.admit(
                &format!("team-{team}"),
                weight,
                16,
                Instant::now(),
                &mut rng,
            );
            if verdict == ShareVerdict::Above {
                continue;
            }
            if allowance < 1.0 {
                limiter.record_server_refusal();
                continue;
            }
            allowance -= 1.0;
            if step >= counted.start * 200 {
                served[team] += 1;
            }
        }
    }
    let seconds = counted.len() as f64;
    served
        .iter()
        .map(|&count| f64::from(count) / seconds)
        .collect()
}

#[tokio::test(start_paused = true)]
async fn large_team_does_not_displace_small_ones() {
    let small = vec![2.0; 20];
    let alone = serve(&small, 50.0, 60).await;
    let mut with_large = vec![100.0];
    with_large.extend(&small);
    let served = serve(&with_large, 50.0, 60).await;
    let (alone, small_served): (f64, f64) = (alone.iter().sum(), served[1..].iter().sum());
    assert!(
        small_served >= alone * 0.9,
        "{small_served} of {alone} per second"
    );
    let total: f64 = served.iter().sum();
    assert!(
        total >= 50.0 * 0.85,
        "only {total} of 50 per second are used"
    );
}

#[tokio::test(start_paused = true)]
async fn shares_follow_weights() {
    // Each team sends far more than its share of 60 requests per second.
    let teams = [(60.0, 1), (60.0, 2), (60.0, 3)];
    let served = serve_weighted(&teams, 60.0, 30..90).await;
    let total: f64 = served.iter().sum();
    for ((_, weight), served) in teams.iter().zip(&served) {
        let share = total * f64::from(*weight) / 6.0;
        let bounds = share * 0.85..share * 1.15;
        assert!(bounds.contains(served), "{served} per second, not {share}");
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_refused_without_congestion() {
    let limiter = ShareLimiter::new(Instant::now());
    let mut rng = SmallRng::seed_from_u64(11);
    for number in 0..2_000 {
        tokio::time::advance(STEP).await;
        let team = if number % 2 == 0 { "large" } else { "small" };
        let verdict = limiter.admit(team, 1, 300, Instant::now(), &mut rng);
        assert_eq!(verdict, ShareVerdict::Within);
    }
}

#[tokio::test(start_paused = true)]
async fn fair_rate_recovers_after_congestion() {
    let limiter = ShareLimiter::new(Instant::now());
    let mut rng = SmallRng::seed_from_u64(11);
    for _ in 0..400 {
        tokio::time::advance(STEP).await;
        if limiter.admit("large", 1, 16, Instant::now(), &mut rng) == ShareVerdict::Within {
            limiter.record_server_refusal();
        }
    }
    assert!(limiter.fair_rate().is_finite());
    for _ in 0..750 {
        tokio::time::advance(STEP * 4).await;
        limiter.admit("large", 1, 16, Instant::now(), &mut rng);
    }
    assert!(limiter.fair_rate().is_infinite(), "{}", limiter.fair_rate());
}

#[rstest]
#[case::few(40)]
#[case::thousands(13_000)]
#[tokio::test(start_paused = true)]
async fn rate_estimate_with_many_teams(#[case] teams: u32) {
    let sketch = RateSketch::new(Instant::now());
    let mut large = 0.0;
    // Ten seconds at 1,000 requests per second, half of them from one team.
    for number in 0..10_000_u32 {
        tokio::time::advance(Duration::from_millis(1)).await;
        let now = Instant::now();
        if number % 2 == 0 {
            large = sketch.add("large", 1, now);
            continue;
        }
        sketch.add(&format!("team-{}", number % teams), 1, now);
    }
    assert!(
        (450.0..550.0).contains(&large),
        "{large} per second, not 500"
    );
    tokio::time::advance(Duration::from_secs(60)).await;
    let decayed = sketch.add("large", 1, Instant::now());
    assert!(
        decayed < 1.0,
        "{decayed} per second after a minute without requests"
    );
}

proptest! {
    #[test]
    fn retries_stay_within_their_share(
        ratio_milli in 0..1_000_u32,
        steps in prop::collection::vec(any::<bool>(), 0..2_000),
    ) {
        let budget = RetryBudget::new(ratio_milli);
        let mut first_attempts = 0_u64;
        let mut retries = 0_u64;
        for is_retry in steps {
            if is_retry {
                retries += u64::from(budget.try_withdraw());
            } else {
                budget.record_first_attempt();
                first_attempts += 1;
            }
            prop_assert!(retries * 1_000 <= 20_000 + first_attempts * u64::from(ratio_milli));
        }
    }
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let budget = RetryBudget::new(200);
    let balance = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(balance, 20);
    for _ in 0..100 {
        budget.record_first_attempt();
    }
    let earned = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(earned, 20);
}

#[test]
fn refunds_are_capped() {
    let budget = RetryBudget::new(200);
    for _ in 0..30 {
        budget.refund();
    }
    let balance = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(balance, 20);
    budget.refund();
    let left = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(left, 1);
}
