//! The backend servers as this entry VM knows them, and the choice among them.

mod flight;
mod poller;
mod view;

pub use flight::{InFlightAttempt, Leaving};
pub use poller::{Poller, PollerOptions};
pub use view::{BackendInfo, Backends, ChosenBackend, Reporting};
