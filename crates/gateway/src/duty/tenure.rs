//! The right to act as the holder of the duties.

use base::Name;
use fleet::LeaseHandle;
use fleet::lease::LeasePermit;
use outside::DutyHolder;

/// This node's tenure of the duties' lease. It is asked directly before each act, since the lease may
/// have ended while the process waited or was paused.
#[derive(Clone)]
pub struct DutyTenure {
    lease: LeaseHandle,
    node: Name,
}

impl DutyTenure {
    pub fn new(lease: LeaseHandle, node: Name) -> Self {
        Self { lease, node }
    }

    /// The permit to act now; `None` if the lease is not held.
    pub fn permit(&self) -> Option<LeasePermit> {
        self.lease.permit()
    }

    /// This node as the holder; `None` if the lease is not held.
    pub fn holder(&self) -> Option<DutyHolder> {
        let permit = self.permit()?;
        Some(DutyHolder {
            node: self.node.clone(),
            fence: permit.fence.0,
        })
    }
}
