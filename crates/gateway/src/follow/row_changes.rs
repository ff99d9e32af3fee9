//! What a batch of the registry's feed means for each entry.

use base::Map;
use outside::FeedRow;

use crate::belief::registry::{Absence, ServerRecord};

/// One change of an entry in the store.
#[derive(Clone, Debug)]
pub enum RowChange {
    Written(ServerRecord, Vec<u8>),
    Removed(Absence),
    /// The row names no server; it was written by another writer.
    Unreadable,
}

/// The changes of one entry in a batch, in the store's order.
#[derive(Clone, Debug)]
pub struct EntryChanges {
    pub id: String,
    /// Writes before the last removal. They were undone, but tell how new a later write must be.
    pub undone: Vec<ServerRecord>,
    /// The last removal.
    pub removal: Option<Absence>,
    /// Writes after the last removal.
    pub writes: Vec<(ServerRecord, Vec<u8>)>,
    /// Whether the last row is unreadable, which counts as a removal of the server.
    pub is_unreadable: bool,
}

impl EntryChanges {
    fn new(id: String) -> Self {
        Self {
            id,
            undone: Vec::new(),
            removal: None,
            writes: Vec::new(),
            is_unreadable: false,
        }
    }

    /// The last write, if no write before it in the batch is newer.
    pub fn newest_last(&self) -> Option<&ServerRecord> {
        let (last, _) = self.writes.last()?;
        let earlier = self.undone.iter().chain(self.writes.iter().map(|(r, _)| r));
        let newest = earlier.map(ServerRecord::written).max();
        (newest <= Some(last.written())).then_some(last)
    }

    fn add(&mut self, change: RowChange) {
        self.is_unreadable = matches!(change, RowChange::Unreadable);
        match change {
            RowChange::Written(record, row) => self.writes.push((record, row)),
            RowChange::Removed(absence) => self.remove(absence),
            RowChange::Unreadable => self.remove(Absence::Certain),
        }
    }

    fn remove(&mut self, absence: Absence) {
        let undone = self.writes.drain(..).map(|(record, _)| record);
        self.undone.extend(undone);
        self.removal = Some(absence);
    }
}

/// Groups the rows of a batch by entry. `read` decodes a row.
pub fn by_entry(rows: Vec<FeedRow>, read: impl Fn(&FeedRow) -> RowChange) -> Vec<EntryChanges> {
    let mut places: Map<String, usize> = Map::default();
    let mut entries: Vec<EntryChanges> = Vec::new();
    for row in rows {
        let change = read(&row);
        let place = *places.entry(row.key.clone()).or_insert_with(|| {
            entries.push(EntryChanges::new(row.key));
            entries.len() - 1
        });
        entries[place].add(change);
    }
    entries
}
