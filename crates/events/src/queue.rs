//! Bounded queue of log lines, written to standard output by a thread of its own.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction, Record};

/// Size of the queue above which further lines are counted and dropped.
const QUEUE_LIMIT_BYTES: usize = 512 * 1024;

/// Delay before a write, so that one system call writes several lines.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Longest wait for the queued lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct QueueState {
    bytes: Vec<u8>,
    dropped_lines: u64,
    writing: bool,
}

struct Shared {
    state: Mutex<QueueState>,
    has_lines: Condvar,
    idle: Condvar,
}

/// Log writer that adds lines to the queue and does not block on standard output.
pub(crate) struct Queue {
    shared: Arc<Shared>,
    format: FormatFunction,
}

impl Queue {
    /// Starts the writing thread.
    pub(crate) fn spawn(format: FormatFunction) -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            has_lines: Condvar::new(),
            idle: Condvar::new(),
        });
        let writer = shared.clone();
        std::thread::spawn(move || run_writer(&writer));
        Self { shared, format }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        let mut state = lock(&self.shared);
        if state.bytes.len() > QUEUE_LIMIT_BYTES {
            state.dropped_lines += 1;
            return Ok(());
        }
        let was_empty = state.bytes.is_empty();
        (self.format)(&mut state.bytes, now, record)?;
        state.bytes.push(b'\n');
        if was_empty {
            self.shared.has_lines.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let state = lock(&self.shared);
        let is_busy = |state: &mut QueueState| state.writing || !state.bytes.is_empty();
        // A reader of standard output that has stopped must not keep the process from exiting.
        let _ = self
            .shared
            .idle
            .wait_timeout_while(state, FLUSH_TIMEOUT, is_busy);
        Ok(())
    }
}

fn lock(shared: &Shared) -> std::sync::MutexGuard<'_, QueueState> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run_writer(shared: &Shared) {
    let mut batch = Vec::new();
    loop {
        let mut state = lock(shared);
        while state.bytes.is_empty() {
            state.writing = false;
            shared.idle.notify_all();
            state = shared
                .has_lines
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.writing = true;
        drop(state);
        std::thread::sleep(BATCH_DELAY);
        let mut state = lock(shared);
        std::mem::swap(&mut state.bytes, &mut batch);
        let dropped_lines = std::mem::take(&mut state.dropped_lines);
        drop(state);
        if dropped_lines > 0 {
            let _ = writeln!(
                batch,
                "log lines dropped because standard output was not read: {dropped_lines}"
            );
        }
        // If standard output fails, there is no other place to report the error.
        let _ = std::io::stdout().lock().write_all(&batch);
        batch.clear();
    }
}
