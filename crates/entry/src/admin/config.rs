//! Admin endpoints of the configuration: show, history and apply.

use std::collections::BTreeMap;

use base::Name;
use conf::admin::{ApplyReply, ConfigView, History, HistoryEntry};
use conf::{Config, MAX_DOCUMENT_SIZE_BYTES, diff};
use fleet::Fleet;
use fleet::apply::{ApplyOutcome, StoredConfig};
use http::{Request, StatusCode};

use super::{Admin, json};
use crate::front::{CallerError, ErrorCode, Reply, RequestBody, read};

/// Time limit for receiving a document.
const BODY_TIMEOUT_MS: u64 = 30_000;

/// Delay after which an operator may retry when the store did not answer.
const RETRY_AFTER_MS: u64 = 2_000;

/// Number of versions that `history` lists.
const HISTORY_LENGTH: u32 = 50;

/// Returns the configuration that is in force on this entry VM.
pub fn show(admin: &Admin) -> Result<Reply, CallerError> {
    let in_force = admin.daemon.config.borrow().clone();
    let Some(in_force) = in_force else {
        return Err(CallerError::client_error(
            StatusCode::NOT_FOUND,
            ErrorCode::NotFound,
            "No configuration has been applied yet; send one with `apricotledge config apply`.",
        ));
    };
    let view = ConfigView {
        version: in_force.version,
        document: in_force.config.to_value(),
    };
    json(StatusCode::OK, &view)
}

/// Returns the newest versions, newest first.
pub async fn history(admin: &Admin) -> Result<Reply, CallerError> {
    let fleet = fleet(admin)?;
    let newest = admin
        .daemon
        .config
        .borrow()
        .as_ref()
        .map_or(0, |c| c.version);
    let after = newest.saturating_sub(u64::from(HISTORY_LENGTH));
    let rows = fleet.config_store().history(after, HISTORY_LENGTH).await;
    let rows = rows.map_err(|e| {
        CallerError::retryable(ErrorCode::StoreUnavailable, e.to_string(), RETRY_AFTER_MS)
    })?;
    let mut entries: Vec<HistoryEntry> = rows.iter().map(entry).collect();
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.version));
    json(StatusCode::OK, &History { entries })
}

fn entry(stored: &StoredConfig) -> HistoryEntry {
    HistoryEntry {
        version: stored.version,
        operator: stored.operator.as_str().into(),
        at_ms: stored.unix_ms,
        digest: stored.digest.clone(),
        summary: format!("applied by {}", stored.operator),
    }
}

/// Validates a document and proposes it as the successor of the version in the query's `base`.
pub async fn apply<B: RequestBody>(
    admin: &Admin,
    operator: &Name,
    request: Request<B>,
) -> Result<Reply, CallerError> {
    let base = base_version(request.uri().query().unwrap_or_default())?;
    let body = read(
        request.into_body(),
        MAX_DOCUMENT_SIZE_BYTES,
        BODY_TIMEOUT_MS,
    )
    .await?;
    let text = String::from_utf8_lossy(&body);
    let config = match Config::parse(&text) {
        Ok(config) => config,
        Err(faults) => {
            return json(
                StatusCode::UNPROCESSABLE_ENTITY,
                &ApplyReply::Invalid { faults },
            );
        }
    };
    let fleet = fleet(admin)?;
    let outcome = fleet.apply_config(&config.to_text(), base, operator).await;
    match outcome {
        ApplyOutcome::Accepted => json(StatusCode::OK, &ApplyReply::Accepted { version: base + 1 }),
        ApplyOutcome::Lost(stored) => conflict(fleet, stored, &config).await,
        ApplyOutcome::NotAccepted(reason) => Err(CallerError::retryable(
            ErrorCode::StoreUnavailable,
            format!("The document was not accepted: {reason}"),
            RETRY_AFTER_MS,
        )),
        ApplyOutcome::Unknown(reason) => Err(CallerError {
            run_state: base::outcome::RunState::Unknown,
            ..CallerError::retryable(
                ErrorCode::StoreUnavailable,
                format!(
                    "It is not known yet whether the document was accepted; check `config history`: {reason}"
                ),
                RETRY_AFTER_MS,
            )
        }),
    }
}

async fn conflict(
    fleet: &Fleet,
    stored: Option<StoredConfig>,
    offered: &Config,
) -> Result<Reply, CallerError> {
    let mut current_version = 0;
    let mut changes = None;
    if let Some(stored) = stored {
        current_version = stored.version;
        let document = fleet.config_store().document(&stored).await.ok();
        let current = document.and_then(|d| Config::parse(&d.text).ok());
        if let Some(current) = current {
            changes = Some(diff(&current, offered));
        }
    }
    let reply = ApplyReply::Conflict {
        current_version,
        diff: changes,
    };
    json(StatusCode::CONFLICT, &reply)
}

fn base_version(query: &str) -> Result<u64, CallerError> {
    let mut pairs = BTreeMap::new();
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        pairs.insert(name, value);
    }
    let base = pairs.get("base").and_then(|value| value.parse().ok());
    base.ok_or_else(|| {
        CallerError::client_error(
            StatusCode::BAD_REQUEST,
            ErrorCode::BadRequest,
            "`base` is missing or not a number; give the version that the document was made from, 0 for the first.",
        )
    })
}

fn fleet(admin: &Admin) -> Result<&Fleet, CallerError> {
    let fleet = admin.daemon.peers.fleet();
    fleet.map(|fleet| &**fleet).ok_or_else(|| {
        CallerError::retryable(
            ErrorCode::NotReady,
            "The daemon is starting.",
            RETRY_AFTER_MS,
        )
    })
}
