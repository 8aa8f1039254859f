//! Memory of answers that are buffered at the same time.

use std::{sync::Arc, thread};

use domain::buffer_budget::{BufferBudget, SMALL_ANSWER_BYTES};

#[test]
fn small_answers_need_no_budget() {
    let budget = Arc::new(BufferBudget::new(0));
    let mut share = budget.share();
    assert!(share.grow_to(SMALL_ANSWER_BYTES));
    assert!(!share.grow_to(SMALL_ANSWER_BYTES + 1));
    assert_eq!(budget.used(), 0);
}

#[test]
fn large_answers_share_the_budget_and_return_it() {
    let budget = Arc::new(BufferBudget::new(100_000));
    let (mut first, mut second) = (budget.share(), budget.share());
    assert!(first.grow_to(60_000));
    assert!(!second.grow_to(60_000));
    assert!(second.grow_to(40_000));
    assert!(!first.grow_to(60_001));
    assert!(first.grow_to(50_000), "a size that it has had");
    assert_eq!(budget.used(), 100_000);
    drop(first);
    assert_eq!(budget.used(), 40_000);
    assert!(second.grow_to(100_000));
    drop(second);
    assert_eq!(budget.used(), 0);
}

/// The limit holds while many threads charge and return.
#[test]
fn limit_holds_between_threads() {
    let budget = Arc::new(BufferBudget::new(200_000));
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for size in (20_000..90_000).step_by(7) {
                    let mut share = budget.share();
                    share.grow_to(size);
                    assert!(budget.used() <= 200_000);
                }
            });
        }
    });
    assert_eq!(budget.used(), 0);
}
