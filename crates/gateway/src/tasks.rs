//! Tasks that run as long as the process: an unexpected error ends one round of one of them, and not
//! the process.

use std::panic::PanicHookInfo;
use std::time::Duration;

use events::Code;
use serde::Serialize;

/// Pause before a task that has failed starts again.
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

/// Runs what `start` gives on the current local task set, again whenever it panics, until it ends.
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

/// Writes panics as log events, in place of the standard text.
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
