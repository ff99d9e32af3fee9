//! Access of request handlers to the fleet of entry VMs.

use std::sync::{Arc, OnceLock};

use base::Name;
use base::ids::RequestId;
use fleet::handover::{StreamRecord, StreamStatus};
use fleet::{Fleet, StreamReader};

use crate::flow::{Progress, Record, SharedRecord};

/// Access to the fleet, which starts after the handlers' state is created.
#[derive(Clone, Default)]
pub struct Peers {
    fleet: Arc<OnceLock<Arc<Fleet>>>,
}

impl Peers {
    /// Sets the running fleet; only the first call has an effect.
    pub fn set(&self, fleet: Arc<Fleet>) {
        // `OnceLock::set` fails only if the fleet is set already.
        let _ = self.fleet.set(fleet);
    }

    /// The running fleet; `None` during startup.
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.fleet.get()
    }

    /// Whether this node's view of the fleet is recent enough to serve requests.
    pub fn may_serve(&self) -> bool {
        self.fleet().is_some_and(|fleet| fleet.may_route())
    }

    /// Version of the newest configuration that this node got from the store or from peers.
    pub fn config_version(&self) -> u64 {
        let view = self.fleet().map(|fleet| fleet.view());
        view.and_then(|view| view.config.as_ref().map(|c| c.version))
            .unwrap_or(0)
    }

    /// Opens a stream that was handed over to a peer, for reading from `offset`.
    pub fn read_stream(
        &self,
        id: RequestId,
        workspace: &Name,
        offset: usize,
    ) -> Option<StreamReader> {
        let fleet = self.fleet()?;
        Some(fleet.read_stream(id, workspace.clone(), offset))
    }

    /// Hands streams over to peers and returns how many have a new owner.
    pub async fn hand_over(&self, records: &[SharedRecord]) -> usize {
        let Some(fleet) = self.fleet() else {
            return 0;
        };
        let mut outgoing = Vec::with_capacity(records.len());
        for record in records {
            outgoing.push(to_stream(&record.lock()));
        }
        let given = fleet.hand_over(outgoing).await;
        given.iter().filter(|one| one.owner.is_some()).count()
    }
}

/// Converts a record to the form in which it is handed over. Offsets count bytes of text.
pub fn to_stream(record: &Record) -> StreamRecord {
    StreamRecord {
        id: record.id,
        workspace: record.workspace.clone(),
        service: record.service.clone(),
        path: record.call.path().to_owned(),
        body: serde_json::to_string(&record.request).unwrap_or_default(),
        answer: record.text.clone(),
        generated: record.text.clone(),
        tokens: record.tokens,
        failed: record.failed,
        remaining_ms: record.remaining_ms,
        priority: 0,
        epoch: 0,
        owner: Name::from(""),
        standby: None,
        end: match record.progress {
            Progress::Open => StreamStatus::Open,
            Progress::Done { .. } => StreamStatus::Complete,
        },
    }
}
