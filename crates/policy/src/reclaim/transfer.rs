//! Duration of KV cache transfers. The transfers of one server run one after another.

use base::{Map, Name};

use super::{AffectedStream, KvExport, LeavingServer};

/// Fixed time of an export and an import, without the transfer itself.
const TRANSFER_SETUP_MS: f64 = 20.0;

/// Total time of the transfers planned so far, for each leaving server.
pub(super) struct TransferQueues {
    busy_ms: Map<Name, f64>,
}

impl TransferQueues {
    pub fn new(leaving: &[LeavingServer]) -> Self {
        let mut busy_ms = Map::default();
        for server in leaving {
            busy_ms.insert(server.server.clone(), 0.0);
        }
        Self { busy_ms }
    }

    /// Time until the stream's KV cache has arrived, after the transfers planned before it. `None`
    /// if the engine cannot export.
    pub fn move_ms(&self, server: &LeavingServer, stream: &AffectedStream) -> Option<f64> {
        let busy_ms = self.busy_ms.get(&server.server).copied().unwrap_or(0.0);
        Some(busy_ms + transfer_ms(server, stream)?)
    }

    /// Adds the stream's transfer to the queue of its server.
    pub fn reserve(&mut self, server: &LeavingServer, stream: &AffectedStream) {
        let Some(transfer_ms) = transfer_ms(server, stream) else {
            return;
        };
        *self.busy_ms.entry(server.server.clone()).or_default() += transfer_ms;
    }
}

fn transfer_ms(server: &LeavingServer, stream: &AffectedStream) -> Option<f64> {
    match server.export {
        KvExport::Unsupported => None,
        KvExport::Supported { tokens_per_ms } => Some(
            TRANSFER_SETUP_MS + stream.context_tokens() as f64 / tokens_per_ms.max(f64::EPSILON),
        ),
    }
}
