//! Counts by class stay within their limits and match the requests in flight.

use domain::{ClassCounts, CountLimits, CountRefusal, WorkClass};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::long_limit(WorkClass::Long, 2, 1)]
#[case::total_limit(WorkClass::Long, 1, 2)]
#[case::short_work_ignores_the_long_limit(WorkClass::Short, 3, 0)]
fn refusal_names_the_exhausted_limit(
    #[case] class: WorkClass,
    #[case] total: u32,
    #[case] long: u32,
) {
    let counts = ClassCounts::new();
    let limits = CountLimits { total, long };
    let limit = match class {
        WorkClass::Short => total,
        WorkClass::Long => total.min(long),
    };
    for _ in 0..limit {
        assert_eq!(counts.try_increment(class, limits), Ok(()));
    }
    let refusal = CountRefusal {
        in_flight: limit,
        limit,
    };
    assert_eq!(counts.try_increment(class, limits), Err(refusal));
    assert_eq!(counts.total(), limit, "a refused request was counted");
    let long = if class == WorkClass::Long { limit } else { 0 };
    assert_eq!(counts.long(), long, "a refused request was counted");
}

proptest! {
    #[test]
    fn counts_match_the_requests_in_flight(
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 0..200),
    ) {
        let counts = ClassCounts::new();
        let limits = CountLimits { total: 6, long: 3 };
        let mut in_flight: Vec<WorkClass> = Vec::new();
        for (starts, is_long, ignores_limits) in steps {
            let class = if is_long { WorkClass::Long } else { WorkClass::Short };
            if !starts {
                if let Some(class) = in_flight.pop() {
                    counts.decrement(class);
                }
            } else if ignores_limits {
                counts.increment(class);
                in_flight.push(class);
            } else if counts.try_increment(class, limits).is_ok() {
                in_flight.push(class);
                prop_assert!(counts.total() <= limits.total);
                prop_assert!(!is_long || counts.long() <= limits.long);
            }
            let long = in_flight.iter().filter(|&&class| class == WorkClass::Long);
            prop_assert_eq!(counts.long() as usize, long.count());
            prop_assert_eq!(counts.total() as usize, in_flight.len());
        }
    }
}
