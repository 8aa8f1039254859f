//! Tasks that must run for as long as their process.
//!
//! A panic ends only the task in which it occurs, so a process whose background
//! task has panicked keeps serving with what it last knew. Such a task is therefore
//! started again.

use std::time::Duration;

use tokio::time::sleep;

/// Delay before a task is started again, so that a task that panics at once does
/// not occupy the processor.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs the task that `start` creates, and starts it again whenever it panics.
pub async fn supervise<T>(name: &str, start: impl Fn() -> T)
where
    T: Future<Output = ()> + Send + 'static,
{
    while let Err(error) = tokio::spawn(start()).await {
        if error.is_cancelled() {
            return;
        }
        log::error!(task = name, error:%; "task panicked and is started again");
        sleep(RESTART_DELAY).await;
    }
}
