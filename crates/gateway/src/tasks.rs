//! Supervision of the tasks that run as long as the process. A task that panics is restarted; the
//! process keeps running.

use std::panic::{AssertUnwindSafe, PanicHookInfo};
use std::time::Duration;

use events::Code;
use futures_util::FutureExt;
use serde::Serialize;

/// Pause before a task that has panicked is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct PanickedFields {
    place: Option<String>,
    reason: String,
}

#[derive(Serialize)]
struct RestartedFields<'a> {
    task: &'a str,
}

/// Spawns the future that `start` returns on the current local task set, and starts it again
/// whenever it panics, until it completes.
pub fn supervise<F>(task: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(async move {
        loop {
            let ended = tokio::task::spawn_local(start()).await;
            if !ended.is_err_and(|error| error.is_panic()) {
                return;
            }
            events::emit(Code::TaskRestarted, &RestartedFields { task });
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

/// The panic of a future.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CaughtPanic;

/// Runs a future and catches its panic. State that it shares with others must be valid wherever it
/// may panic.
///
/// # Errors
///
/// The future has panicked.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, CaughtPanic> {
    let caught = AssertUnwindSafe(future).catch_unwind().await;
    caught.map_err(|_| CaughtPanic)
}

/// Reports panics as log events instead of the standard message.
pub fn report_panics() {
    std::panic::set_hook(Box::new(|panic| {
        events::emit(Code::TaskPanicked, &fields(panic));
    }));
}

fn fields(panic: &PanicHookInfo<'_>) -> PanickedFields {
    PanickedFields {
        place: panic.location().map(ToString::to_string),
        reason: panic.payload_as_str().unwrap_or("unknown").to_owned(),
    }
}
