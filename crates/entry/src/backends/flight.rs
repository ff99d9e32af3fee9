//! One attempt in flight at a backend server.

use base::ids::RequestId;
use base::units::Millisecond;
use engine::Target;
use policy::route::AttemptUsage;
use tokio::sync::watch;

use super::view::Backends;

/// Whether a backend server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It stays.
    No,
    /// It is gone at this instant of the process's clock.
    Until(Millisecond),
}

/// Counts an attempt as outstanding until it is ended or dropped.
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

    /// Where the attempt was sent.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Tells routing that the first token arrived.
    pub fn first_token(&self) {
        self.backends.on_first_token(self.id);
    }

    /// Waits until the backend server is marked leaving, and returns when it will be gone.
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

    /// Whether the backend server is known to be leaving.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow() != Leaving::No || self.leaving.has_changed().is_err()
    }

    /// Ends the attempt with its token counts.
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
