//! The handle of an attempt in flight at a backend server.

use base::ids::RequestId;
use base::units::Millisecond;
use engine::Target;
use policy::route::AttemptUsage;
use tokio::sync::watch;

use super::view::Backends;

/// Whether and when a backend server's VM goes away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// No reclaim notice or drain is known.
    No,
    /// The VM is gone at this time, in milliseconds of the process's monotonic clock.
    Until(Millisecond),
}

/// Counts an attempt as outstanding for routing until it is closed or dropped.
pub struct InFlightAttempt {
    id: RequestId,
    backends: Backends,
    target: Target,
    leaving: watch::Receiver<Leaving>,
    open: bool,
}

impl InFlightAttempt {
    pub(super) fn open(
        id: RequestId,
        backends: Backends,
        target: Target,
        leaving: watch::Receiver<Leaving>,
    ) -> Self {
        Self {
            id,
            backends,
            target,
            leaving,
            open: true,
        }
    }

    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Reports to routing that the first token arrived.
    pub fn first_token(&self) {
        self.backends.on_first_token(self.id);
    }

    /// Waits until the backend server is marked as leaving, and returns the time at which it is
    /// gone; 0 if the server is no longer in the view.
    pub async fn leaving(&mut self) -> Millisecond {
        loop {
            if let Leaving::Until(gone_ms) = *self.leaving.borrow_and_update() {
                return gone_ms;
            }
            if self.leaving.changed().await.is_err() {
                return 0;
            }
        }
    }

    /// Whether the backend server is marked as leaving or is no longer in the view.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow() != Leaving::No || self.leaving.has_changed().is_err()
    }

    /// Ends the attempt and reports its token counts to routing.
    pub fn close(mut self, usage: AttemptUsage) {
        self.open = false;
        self.backends.on_ended(self.id, Some(usage));
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if self.open {
            self.backends.on_ended(self.id, None);
        }
    }
}
