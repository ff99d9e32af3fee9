//! A process that gives up a lease and competes for it again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use fleet::LeaseHolder;
use fleet::lease::{LEASE_PARTITION, LeaseTerms};
use outside::{CommitError, Key, ReadError, Row, Table, Write};

mod rows;
use rows::{CommitFault, Rows};

/// A table that can refuse writes while it serves reads.
#[derive(Default)]
struct RefusingTable {
    rows: Mutex<Rows>,
    refuses_writes: AtomicBool,
}

#[async_trait]
impl Table for RefusingTable {
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        Ok(self.rows.lock().unwrap().get(key))
    }

    async fn scan(&self, _: &str, _: &str, _: u32) -> Result<Vec<Row>, ReadError> {
        unreachable!("a lease reads its row only")
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError> {
        let fault = match self.refuses_writes.load(Ordering::Relaxed) {
            true => CommitFault::Refused,
            false => CommitFault::None,
        };
        self.rows.lock().unwrap().commit(writes, fault)
    }
}

fn compete(table: &Arc<RefusingTable>) -> LeaseHolder {
    let terms = LeaseTerms::default();
    LeaseHolder::spawn("duties", "a".into(), table.clone(), terms)
}

/// Guards against acting with a fencing token that the store never granted: the row of an earlier
/// tenure was taken for a write that the store had refused.
#[tokio::test(start_paused = true)]
async fn a_refused_write_is_not_recognized_in_the_row_of_an_earlier_tenure() {
    let table = Arc::new(RefusingTable::default());
    let first = compete(&table);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let permit = first.handle().permit().expect("the lease is free");
    table.refuses_writes.store(true, Ordering::Relaxed);
    first.close().await;

    let second = compete(&table);
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(second.handle().permit(), None);
    }
    table.refuses_writes.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let next = second.handle().permit().expect("the lease was released");
    assert!(next.fence > permit.fence);
    let row = table.get(&Key::new(LEASE_PARTITION, "duties")).await;
    let row = row.unwrap().expect("the lease has a row");
    let fence = serde_json::from_str::<serde_json::Value>(&row.body).unwrap()["fence"].clone();
    assert_eq!(fence, serde_json::json!(next.fence));
}
