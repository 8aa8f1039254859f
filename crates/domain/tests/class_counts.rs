//! Counts by class stay within their bounds and come back to nothing.

use domain::{ClassCounts, CountBounds, CountRefusal, WorkClass};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::long_bound(WorkClass::Long, 2, 1)]
#[case::bound_of_both(WorkClass::Long, 1, 2)]
#[case::short_work_knows_no_long_bound(WorkClass::Short, 3, 0)]
fn refusal_names_the_bound_that_is_full(
    #[case] class: WorkClass,
    #[case] total: u32,
    #[case] long: u32,
) {
    let counts = ClassCounts::new();
    let bounds = CountBounds { total, long };
    let limit = match class {
        WorkClass::Short => total,
        WorkClass::Long => total.min(long),
    };
    for _ in 0..limit {
        assert_eq!(counts.try_increment(class, bounds), Ok(()));
    }
    let refusal = CountRefusal {
        in_flight: limit,
        limit,
    };
    assert_eq!(counts.try_increment(class, bounds), Err(refusal));
    assert_eq!(counts.total(), limit, "a refused request was counted");
    let long = if class == WorkClass::Long { limit } else { 0 };
    assert_eq!(counts.long(), long, "a refused request was counted");
}

proptest! {
    #[test]
    fn counts_are_those_of_the_requests(
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 0..200),
    ) {
        let counts = ClassCounts::new();
        let bounds = CountBounds { total: 6, long: 3 };
        let mut held: Vec<WorkClass> = Vec::new();
        for (enters, is_long, always) in steps {
            let class = if is_long { WorkClass::Long } else { WorkClass::Short };
            if !enters {
                if let Some(class) = held.pop() {
                    counts.decrement(class);
                }
            } else if always {
                counts.increment(class);
                held.push(class);
            } else if counts.try_increment(class, bounds).is_ok() {
                held.push(class);
                prop_assert!(counts.total() <= bounds.total);
                prop_assert!(!is_long || counts.long() <= bounds.long);
            }
            let long = held.iter().filter(|&&class| class == WorkClass::Long);
            prop_assert_eq!(counts.long() as usize, long.count());
            prop_assert_eq!(counts.total() as usize, held.len());
        }
    }
}
