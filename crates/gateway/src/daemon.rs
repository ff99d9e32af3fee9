//! Startup, main loop and shutdown of a gateway process.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use events::Code;
use outside::{Duties, Feed, RolloutStatuses, Table, Topic};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};

use crate::backend::pool;
use crate::clock::unix_ms;
use crate::dialect::Dialect;
use crate::follow::streams::StreamRows;
use crate::front::accept::{ListenError, Listeners};
use crate::node::{Node, Phase};
use crate::settings::{Settings, ms};
use crate::{duty, follow, log, rollout, tasks};

const CLEANUP_INTERVAL: Duration = Duration::from_millis(250);

/// The settings file is also reread without a SIGHUP, at this interval.
const SETTINGS_REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest time from SIGTERM to the end of the process. The load balancer sends no new callers
/// only after two failed readiness checks, which are a second apart.
const MIN_DRAIN: Duration = Duration::from_millis(2_800);

/// Subtracted from the time allowed for shutdown, so that the process ends before it is killed.
const DRAIN_MARGIN_MS: u64 = 700;

/// Time before the end of the process at which requests without an answer get a last reply.
const LAST_REPLY_TIME: Duration = Duration::from_millis(200);

const CALLERS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reasons why a process cannot start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    #[snafu(display("The process cannot start its async runtime: {source}."))]
    Runtime { source: std::io::Error },
    /// An address is not free.
    #[snafu(transparent)]
    Listen { source: ListenError },
    #[snafu(display("The process cannot install its signal handlers: {source}."))]
    Signals { source: std::io::Error },
}

/// Interfaces of the platform that a process uses.
pub struct Platform {
    pub dialect: Dialect,
    /// The rows of the platform's store.
    pub table: Arc<dyn Table>,
    /// The changes of the platform's store.
    pub feed: Arc<dyn Feed>,
    /// The calls for duties; `None` for a platform without duties.
    pub duties: Option<Arc<dyn Duties>>,
    /// The status rows of rollouts.
    pub rollouts: Arc<dyn RolloutStatuses>,
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

/// Runs a process until SIGTERM, and then until it has drained.
///
/// # Errors
///
/// Returns an error if the process cannot start.
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

/// Listens on all addresses and starts all tasks of a process on the current local task set.
///
/// # Errors
///
/// Returns an error if an address is not free.
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
    let (n, t) = (node.clone(), table.clone());
    tasks::supervise("versions", move || {
        follow::versions::run(n.clone(), t.clone())
    });
    let rows = Rc::new(StreamRows::new(
        table.clone(),
        node.settings.store.partitioning(),
    ));
    let rows = node.stream_rows.get_or_init(|| rows).clone();
    let n = node.clone();
    tasks::supervise("streams", move || {
        follow::streams::save(n.clone(), rows.clone())
    });
    if let Some(duties) = platform.duties {
        let (n, t) = (node.clone(), table.clone());
        tasks::supervise("duties", move || {
            duty::runner::run(n.clone(), t.clone(), duties.clone())
        });
    }
    if node.settings.rollout.is_some() {
        let (n, statuses) = (node.clone(), platform.rollouts);
        tasks::supervise("rollouts", move || {
            duty::rollouts::run(n.clone(), table.clone(), statuses.clone())
        });
    }
    let n = node.clone();
    tasks::supervise("tidy", move || clean_up(n.clone()));
    listeners.serve(&node);
    Ok(node)
}

async fn serve(node: &Rc<Node>, file: &Path) -> Result<(), DaemonError> {
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    report_start(node);
    let mut reread_timer = tokio::time::interval(SETTINGS_REREAD_INTERVAL);
    let mut read = std::fs::read_to_string(file).unwrap_or_default();
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {}
            _ = reread_timer.tick() => {}
        }
        reread(node, file, &mut read);
    }
    drain(node).await;
    Ok(())
}

/// Applies a changed settings file, as far as settings may change while the process runs: only the
/// seeds may.
fn reread(node: &Node, file: &Path, read: &mut String) {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    if text == *read {
        return;
    }
    let outcome = match Settings::parse(&text, file) {
        Ok(settings) => {
            node.peers.borrow_mut().add_seeds(&settings);
            "seeds applied; other changes take effect at the next start".to_owned()
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

/// Drains the process: completes the requests in flight. New callers are served until the load
/// balancer should send no more; later ones are refused, as the end of the process could cut them
/// off.
pub async fn drain(node: &Node) {
    let started = Instant::now();
    log::emit(Code::DaemonDraining, &drain_fields(node));
    node.phase.set(Phase::Draining);
    node.phase_changed.notify_waiters();
    let earliest = started + MIN_DRAIN;
    let drain_limit_ms = ms(node.settings.bounds.shutdown_s).saturating_sub(DRAIN_MARGIN_MS);
    let latest = started + Duration::from_millis(drain_limit_ms);
    sleep_until(earliest.min(latest)).await;
    node.phase.set(Phase::Closing);
    node.phase_changed.notify_waiters();
    node.queues.wake_all();
    wait_for_callers(node, latest - LAST_REPLY_TIME).await;
    node.phase.set(Phase::Ending);
    node.phase_changed.notify_waiters();
    wait_for_callers(node, latest).await;
    log::emit(Code::DaemonStopped, &drain_fields(node));
}

/// Waits until all requests are answered and all callers have gone, or until `latest`. The tasks
/// that the change of phase has woken run before the first check.
async fn wait_for_callers(node: &Node, latest: Instant) {
    loop {
        sleep_until(latest.min(Instant::now() + CALLERS_CHECK_INTERVAL)).await;
        let is_idle = node.in_flight.get() == 0 && node.callers.get() == 0;
        if is_idle || Instant::now() >= latest {
            return;
        }
    }
}

fn drain_fields(node: &Node) -> DrainFields {
    DrainFields {
        in_flight: node.in_flight.get(),
        connections: node.callers.get(),
    }
}

async fn clean_up(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let now_ms = node.now_ms();
        rollout::round(&node);
        follow::servers::expire(&node);
        node.suspects.borrow_mut().expire(unix_ms());
        node.suspect_parts.borrow_mut().expire(now_ms);
        for server in node.registry.borrow().servers() {
            pool::close_expired(server, now_ms);
        }
    }
}
