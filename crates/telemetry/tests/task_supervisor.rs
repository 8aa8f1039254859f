//! A background task that panics runs again.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering::Relaxed},
};

use telemetry::supervise;

#[tokio::test(start_paused = true)]
async fn panicked_task_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    supervise("test", || {
        let starts = Arc::clone(&starts);
        async move {
            let number = starts.fetch_add(1, Relaxed);
            assert!(number >= 3, "planted panic");
        }
    })
    .await;
    assert_eq!(starts.load(Relaxed), 4);
}
