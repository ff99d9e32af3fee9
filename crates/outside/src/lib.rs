//! The platform's services as the rest of the system sees them: table, object store, VM list and
//! cloud API. The traits are the edge of the process; the HTTP clients stand beside them.

mod cloud;
mod duties;
mod feed;
pub mod http;
mod objects;
mod table;
mod vms;

pub use cloud::{Cloud, CloudError, Purchase, VmOrder, VmPurchase};
pub use duties::{Duties, DutyError, DutyHolder, ServerOrder, UsageReport};
pub use feed::{Batch, Feed, FeedError, FeedRow, Topic};
pub use objects::{ObjectError, Objects};
pub use table::{CommitError, Condition, Key, ReadError, Row, Table, Write};
pub use vms::{Vm, VmListError, VmRole, VmState, Vms};
