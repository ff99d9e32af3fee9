//! The registry of backend servers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use base::units::Millisecond;
use base::{Map, Name, Set};

use super::departed::Departed;
use super::server::successor;
pub use super::server::{
    FlowControl, KnownLoad, Load, LoadSource, Server, ServerRecord, ServerState, Written,
};

/// How long a server is still used after its entry vanished near an outage of the store. Kept below
/// the shortest drain bound, 2 s: a server that has really left must get no request later than
/// that.
const VANISHED_GRACE_MS: Millisecond = 1_500;

/// Effect of an update to the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// The server is new, or a new life of it has started.
    Appeared(Name),
    /// The server has begun to drain.
    Leaving(Name),
    /// The server's entry was removed.
    Gone(Name),
    /// Nothing changed that matters to routing.
    None,
}

/// The backend servers that this node knows.
#[derive(Debug, Default)]
pub struct Registry {
    /// Revision of the store that the registry reflects: every change up to it is applied here.
    pub revision: u64,
    /// The entries in the store did not change after this revision and up to `revision`, heartbeats
    /// of servers left out. A node that knows a revision in this range knows them all.
    pub changed: u64,
    by_id: Map<Name, Rc<Server>>,
    by_service: Map<Name, Vec<Rc<Server>>>,
    /// Entries that vanished near an outage of the store, and until when their servers are still
    /// used.
    vanished: Map<Name, Millisecond>,
    /// Entries as they stand in the store, for nodes that can't reach it.
    stored: Map<Name, StoredEntry>,
    /// Flow control of servers whose entries were removed: the same life may register again.
    retained_flows: Map<Name, RetainedFlow>,
    departed: Departed,
    /// Entries in the store that are not listed here, as their writes are older than their removal.
    ignored: Set<Name>,
    /// Entries whose rows are unreadable.
    unreadable: Set<Name>,
    /// Removed entries, with the revisions at which the removals were learned.
    gone: VecDeque<(u64, Name)>,
    /// Revision since which `gone` is complete.
    gone_since_revision: u64,
}

/// Most removed entries that are remembered: far more than are removed while a datagram travels.
const GONE_LIMIT: usize = 4_096;

/// Flow control of a server whose entry was removed.
#[derive(Debug)]
struct RetainedFlow {
    born_unix_ms: u64,
    address: SocketAddr,
    flow: Rc<FlowControl>,
}

/// Most servers whose flow control is kept after their entries were removed.
const RETAINED_FLOWS_LIMIT: usize = 1_024;

/// An entry as it stands in the store.
#[derive(Debug)]
struct StoredEntry {
    row: Vec<u8>,
    /// Revision of its last change, heartbeats left out.
    changed: u64,
    written: Written,
}

/// What the absence of an entry means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The server is gone.
    Certain,
    /// The store was unavailable a moment ago; the server may register again.
    NearOutage {
        /// Earliest time at which the entry may have vanished after the store's return.
        since_ms: Millisecond,
    },
}

impl Registry {
    pub fn server(&self, id: &str) -> Option<&Rc<Server>> {
        self.by_id.get(id)
    }

    /// All servers of a service, draining ones included.
    pub fn of_service(&self, service: &str) -> &[Rc<Server>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    pub fn servers(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.by_id.values()
    }

    /// Identifiers of the entries that other nodes may copy. Entries that vanished near an outage
    /// are left out: each node finds out on its own whether they come back.
    pub fn listed(&self) -> impl Iterator<Item = &Name> {
        let ids = self.stored.keys();
        ids.filter(|id| !self.vanished.contains_key(*id))
    }

    /// Whether some entries vanished near an outage and may still come back.
    pub fn has_vanished(&self) -> bool {
        !self.vanished.is_empty()
    }

    /// Entries that were listed at revision `since` and no longer are; `None` if the history
    /// doesn't reach back so far.
    pub fn gone_since(&self, since: u64) -> Option<Set<Name>> {
        if since == 0 || since < self.gone_since_revision || self.revision < since {
            return None;
        }
        let gone = self.gone.iter().filter(|(revision, _)| *revision > since);
        let gone = gone.map(|(_, id)| id.clone());
        let listed = |id: &Name| self.stored.contains_key(id) && !self.vanished.contains_key(id);
        Some(gone.filter(|id| !listed(id)).collect())
    }

    fn record_gone(&mut self, id: Name) {
        if self.gone.len() >= GONE_LIMIT
            && let Some((revision, _)) = self.gone.pop_front()
        {
            self.gone_since_revision = revision;
        }
        self.gone.push_back((self.revision, id));
    }

    /// Records that the store has an entry whose write is older than its removal.
    pub fn record_ignored(&mut self, id: &str) {
        self.ignored.insert(id.into());
    }

    /// Records that the store no longer has an entry, or has a later write of it.
    pub fn clear_ignored(&mut self, id: &str) {
        self.ignored.remove(id);
    }

    /// Whether the store has entries that are ignored here. For other nodes, which may list them,
    /// their next write is no change.
    pub fn has_ignored(&self) -> bool {
        !self.ignored.is_empty()
    }

    /// Starts the history of changes again at the current revision, after the whole list `listed` was
    /// read. What changed before it is not known, so each entry may have.
    pub fn restart_history(&mut self, listed: &Set<Name>) {
        self.ignored.retain(|id| listed.contains(id));
        self.unreadable.retain(|id| listed.contains(id));
        self.gone.clear();
        self.gone_since_revision = self.revision;
        self.changed = self.revision;
        for entry in self.stored.values_mut() {
            entry.changed = self.revision;
        }
    }

    /// Records whether the row of an entry is readable. Returns whether it was unreadable before.
    pub fn record_readable(&mut self, id: &str, is_readable: bool) -> bool {
        match is_readable {
            true => self.unreadable.remove(id),
            false => !self.unreadable.insert(id.into()),
        }
    }

    /// Listed entries that changed after revision `since`, as they stand in the store.
    pub fn stored_since(&self, since: u64) -> impl Iterator<Item = (&Name, &[u8])> {
        let listed = self.listed().filter_map(|id| self.stored.get_key_value(id));
        let changed = listed.filter(move |(_, stored)| stored.changed > since);
        changed.map(|(id, stored)| (id, &*stored.row))
    }

    /// Adds or updates an entry as of the registry's current revision. A write that is older than
    /// one already known is ignored.
    pub fn upsert(&mut self, record: ServerRecord, row: Vec<u8>) -> ServerChange {
        let id = record.id.clone();
        let written = record.written();
        if self.is_outdated(&id, written) {
            if !self.is_listed(&id) {
                self.record_ignored(&id);
            }
            return ServerChange::None;
        }
        self.clear_ignored(&id);
        let reappeared = self.vanished.remove(&id).is_some();
        let change = self.update(record);
        let is_change = reappeared || change != ServerChange::None;
        let changed = match (is_change, self.stored.get(&id)) {
            (false, Some(stored)) => stored.changed,
            (true, _) | (false, None) => self.revision,
        };
        self.changed = self.changed.max(changed);
        let entry = StoredEntry {
            row,
            changed,
            written,
        };
        self.stored.insert(id, entry);
        change
    }

    fn is_outdated(&self, id: &Name, written: Written) -> bool {
        if let Some(known) = self.stored.get(id) {
            return known.written > written;
        }
        self.departed.has_newer(id, written)
    }

    /// Records that an entry is still there and unchanged.
    pub fn confirm_present(&mut self, id: &Name) {
        if self.vanished.remove(id).is_some() {
            self.record_changed(id);
        }
    }

    fn update(&mut self, record: ServerRecord) -> ServerChange {
        let id = record.id.clone();
        let Some(known) = self.by_id.get(&id) else {
            let server = self.new_server(record);
            self.insert(Rc::new(server));
            return ServerChange::Appeared(id);
        };
        if known.record == record {
            return ServerChange::None;
        }
        let same_life = known.record.born_unix_ms == record.born_unix_ms
            && known.record.address == record.address
            && known.record.service == record.service
            && known.record.version == record.version;
        if same_life && known.record.state == record.state {
            return ServerChange::None;
        }
        let leaves = record.state == ServerState::Draining;
        let next = match same_life {
            true => successor(known, record),
            false => Rc::new(Server::new(record)),
        };
        self.insert(next);
        match leaves {
            true => ServerChange::Leaving(id),
            false => ServerChange::Appeared(id),
        }
    }

    /// Records a write that was undone before this node read it.
    pub fn record_undone(&mut self, record: &ServerRecord) {
        self.departed.record(&record.id, record.written());
    }

    /// Whether an entry already stands here as `record` was written. Writes without a sequence number
    /// can't be told apart.
    pub fn is_last_write(&self, record: &ServerRecord) -> bool {
        let known = self.stored.get(&record.id).map(|entry| entry.written);
        record.sequence > 0
            && known == Some(record.written())
            && !self.vanished.contains_key(&record.id)
    }

    /// Records a change of a listed entry that other nodes may have read in part.
    pub fn record_changed(&mut self, id: &str) {
        self.changed = self.revision;
        if let Some(entry) = self.stored.get_mut(id) {
            entry.changed = self.revision;
        }
    }

    /// Records that an entry was removed and written again before this node read it. The server is
    /// kept until [`Registry::is_listed`] shows whether the later write counts.
    pub fn record_rewritten(&mut self, id: &str) {
        self.changed = self.revision;
        self.record_gone(id.into());
        if let Some((name, entry)) = self.stored.remove_entry(id) {
            self.departed.record(&name, entry.written);
        }
    }

    /// Whether an entry stands in the store.
    pub fn is_listed(&self, id: &str) -> bool {
        self.stored.contains_key(id)
    }

    /// Records that an entry is absent.
    pub fn remove(&mut self, id: &str, absence: Absence) -> ServerChange {
        let Some((name, _)) = self.by_id.get_key_value(id) else {
            // The entry was added and removed between two queries of this node. Nodes that read it in
            // between must learn of the removal.
            self.changed = self.revision;
            self.record_gone(id.into());
            return ServerChange::None;
        };
        let name = name.clone();
        if let Absence::NearOutage { since_ms } = absence {
            let until_ms = since_ms + VANISHED_GRACE_MS;
            self.vanished.entry(name.clone()).or_insert(until_ms);
            self.record_gone(name);
            self.changed = self.revision;
            return ServerChange::None;
        }
        self.changed = self.revision;
        self.record_gone(name.clone());
        self.vanished.remove(&name);
        if let Some(entry) = self.stored.remove(&name) {
            self.departed.record(&name, entry.written);
        }
        if let Some(server) = self.by_id.remove(&name) {
            self.remove_from_service(&server);
            self.retain_flow(&server);
        }
        ServerChange::Gone(name)
    }

    /// A server for a new entry. It keeps the flow control of an earlier entry of the same life.
    fn new_server(&mut self, record: ServerRecord) -> Server {
        let known = self.retained_flows.remove(&record.id);
        let same_life = known.filter(|k| {
            let named = record.born_unix_ms > 0;
            named && k.born_unix_ms == record.born_unix_ms && k.address == record.address
        });
        let mut server = Server::new(record);
        if let Some(known) = same_life {
            server.flow = known.flow;
        }
        server
    }

    fn retain_flow(&mut self, server: &Server) {
        if !server.flow.backpressure.borrow().has_signals() {
            return;
        }
        if self.retained_flows.len() >= RETAINED_FLOWS_LIMIT {
            self.retained_flows.clear();
        }
        let retained = RetainedFlow {
            born_unix_ms: server.record.born_unix_ms,
            address: server.record.address,
            flow: server.flow.clone(),
        };
        self.retained_flows
            .insert(server.record.id.clone(), retained);
    }

    /// Removes entries whose grace period has ended.
    pub fn expire(&mut self, now_ms: Millisecond) -> Vec<ServerChange> {
        let ended = |(_, until_ms): &(&Name, &Millisecond)| **until_ms <= now_ms;
        let due: Vec<Name> = self
            .vanished
            .iter()
            .filter(ended)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter()
            .map(|id| self.remove(id, Absence::Certain))
            .collect()
    }

    fn insert(&mut self, server: Rc<Server>) {
        let id = server.record.id.clone();
        if let Some(before) = self.by_id.insert(id, server.clone()) {
            self.remove_from_service(&before);
        }
        let service = server.record.service.clone();
        self.by_service.entry(service).or_default().push(server);
    }

    fn remove_from_service(&mut self, server: &Rc<Server>) {
        if let Some(listed) = self.by_service.get_mut(&server.record.service) {
            listed.retain(|s| !Rc::ptr_eq(s, server));
        }
    }
}
