//! Clients of the platform's services: table, change feed, object store, VM list and cloud API.
//!
//! Each service has a trait; [`http`] holds the implementations over HTTP.

mod cloud;
mod duties;
mod feed;
pub mod http;
mod objects;
pub mod revision;
mod rollouts;
mod table;
mod vms;

pub use cloud::{Cloud, CloudError, Purchase, VmOrder, VmPurchase};
pub use duties::{Duties, DutyError, DutyHolder, ServerOrder, UsageReport};
pub use feed::{Feed, FeedBatch, FeedError, FeedRow, Topic};
pub use objects::{ObjectError, Objects};
pub use rollouts::{RolloutPhase, RolloutStatus, RolloutStatuses};
pub use table::{CommitError, Condition, Key, ReadError, Row, Table, Write};
pub use vms::{Vm, VmListError, VmRole, VmState, Vms};
