//! This entry VM's view of the backend servers, and the routing of requests among them.

mod flight;
mod poller;
mod view;

pub use flight::{InFlightAttempt, Leaving};
pub use poller::{Poller, PollerOptions};
pub use view::{BackendInfo, Backends, ChosenBackend, Reporting};
