//! Start and end of a gateway process.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use events::Code;
use outside::{Duties, Feed, Table, Topic};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};

use crate::backend::pool;
use crate::clock::unix_ms;
use crate::dialect::Dialect;
use crate::front::accept::{ListenError, Listeners};
use crate::node::{Node, Phase};
use crate::settings::{Settings, ms};
use crate::{duty, follow, log, tasks};

/// Time between two rounds of tidying up.
const TIDY: Duration = Duration::from_millis(250);

/// The settings file may change without a signal; it is looked at so often.
const REREAD: Duration = Duration::from_secs(5);

/// Least time between SIGTERM and the end: the balancer asks twice, a second apart.
const LEAST_DRAIN: Duration = Duration::from_millis(2_800);

/// Taken off the time to leave, so that the process ends before it is killed.
const DRAIN_MARGIN_MS: u64 = 700;

/// A process could not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The runtime could not start.
    #[snafu(display("The process could not start its thread: {source}."))]
    Runtime {
        /// The system's error.
        source: std::io::Error,
    },
    /// An address is not free.
    #[snafu(transparent)]
    Listen {
        /// Which, and why.
        source: ListenError,
    },
    /// Signals cannot be received.
    #[snafu(display("Signals cannot be received: {source}."))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
}

/// The platform as a process uses it.
pub struct Platform {
    /// How it speaks.
    pub dialect: Dialect,
    /// Its store, row by row.
    pub table: Arc<dyn Table>,
    /// Its store, as it changes.
    pub feed: Arc<dyn Feed>,
    /// Its calls for duties, if it has any.
    pub duties: Option<Arc<dyn Duties>>,
}

#[derive(Serialize)]
struct StartedFields<'a> {
    node: &'a str,
    boot: u64,
    settings: String,
}

#[derive(Serialize)]
struct RereadFields {
    outcome: String,
}

#[derive(Serialize)]
struct DrainFields {
    in_flight: u32,
    connections: u32,
}

/// Runs a process until it has drained.
///
/// # Errors
///
/// It could not start.
pub fn run(
    file: &Path,
    settings: Settings,
    connect: impl FnOnce(&Settings) -> Platform,
) -> Result<(), DaemonError> {
    tasks::report_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let platform = connect(&settings);
        let node = spawn(settings, platform).await?;
        serve(&node, file).await
    })
}

/// Listens at all addresses and starts all tasks of a process, on the current local task set.
///
/// # Errors
///
/// An address is not free.
pub async fn spawn(mut settings: Settings, platform: Platform) -> Result<Rc<Node>, DaemonError> {
    let listeners = Listeners::bind(&settings.listen).await?;
    settings.listen = listeners.addresses();
    let node = Node::new(settings, platform.dialect);
    let (table, feed) = (platform.table, platform.feed);
    let (n, f) = (node.clone(), feed.clone());
    tasks::supervise("directory", move || {
        let apply_batch = follow::directory::apply_batch;
        follow::follow(n.clone(), f.clone(), Topic::Directory, apply_batch)
    });
    let (n, f) = (node.clone(), feed.clone());
    tasks::supervise("servers", move || {
        let apply_batch = follow::servers::apply_batch;
        follow::follow(n.clone(), f.clone(), Topic::Servers, apply_batch)
    });
    let (n, t) = (node.clone(), table.clone());
    tasks::supervise("nodes", move || {
        follow::nodes::run(n.clone(), t.clone(), feed.clone())
    });
    if let Some(duties) = platform.duties {
        let n = node.clone();
        tasks::supervise("duties", move || {
            duty::runner::run(n.clone(), table.clone(), duties.clone())
        });
    }
    let n = node.clone();
    tasks::supervise("tidy", move || tidy(n.clone()));
    listeners.serve(&node);
    Ok(node)
}

async fn serve(node: &Rc<Node>, file: &Path) -> Result<(), DaemonError> {
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    report_start(node);
    let mut again = tokio::time::interval(REREAD);
    let mut read = std::fs::read_to_string(file).unwrap_or_default();
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {}
            _ = again.tick() => {}
        }
        reread(node, file, &mut read);
    }
    drain(node).await;
    Ok(())
}

/// Takes over what may change of the settings while the process runs, if the file has changed.
fn reread(node: &Node, file: &Path, read: &mut String) {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    if text == *read {
        return;
    }
    let outcome = match Settings::parse(&text, file) {
        Ok(settings) => {
            node.peers.borrow_mut().add_seeds(&settings);
            "seeds taken over; the rest from the next start".to_owned()
        }
        Err(error) => error.to_string(),
    };
    *read = text;
    log::emit(Code::SettingsRead, &RereadFields { outcome });
}

fn report_start(node: &Node) {
    let listen = node.settings.listen;
    let fields = StartedFields {
        node: &node.settings.node.name,
        boot: node.boot,
        settings: format!("callers={} peers={}", listen.callers, listen.peers),
    };
    log::emit(Code::DaemonStarted, &fields);
}

/// Finishes what is in flight; new callers are served until the balancer should send none. What
/// came later could be cut off by the end of the process and is refused.
pub async fn drain(node: &Node) {
    let started = Instant::now();
    log::emit(Code::DaemonDraining, &drain_fields(node));
    node.phase.set(Phase::Draining);
    node.phase_changed.notify_waiters();
    let least = started + LEAST_DRAIN;
    let most_ms = ms(node.settings.bounds.shutdown_s).saturating_sub(DRAIN_MARGIN_MS);
    let most = started + Duration::from_millis(most_ms);
    sleep_until(least.min(most)).await;
    node.phase.set(Phase::Closing);
    node.phase_changed.notify_waiters();
    while Instant::now() < most && (node.in_flight.get() > 0 || node.callers.get() > 0) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    log::emit(Code::DaemonStopped, &drain_fields(node));
}

fn drain_fields(node: &Node) -> DrainFields {
    DrainFields {
        in_flight: node.in_flight.get(),
        connections: node.callers.get(),
    }
}

async fn tidy(node: Rc<Node>) {
    loop {
        tokio::time::sleep(TIDY).await;
        let now_ms = node.now_ms();
        follow::servers::expire(&node);
        node.suspects.borrow_mut().expire(unix_ms());
        for server in node.registry.borrow().servers() {
            pool::close_expired(server, now_ms);
        }
    }
}
