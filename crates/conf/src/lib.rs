//! The configuration document, its validation and differences, the daemon's settings, and the
//! messages of the admin interface.
//!
//! `schema/config.schema.json` is the source of the document's shape; [`document`] is generated
//! from it. [`Config`] is the checked form that the rest of the system uses.

pub mod admin;
mod check;
mod config;
mod diff;
#[allow(
    clippy::derivable_impls,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]
#[path = "generated/config.rs"]
pub mod document;
mod fault;
mod model;
mod route;
mod schema;
mod sections;
pub mod settings;
#[allow(
    clippy::derivable_impls,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]
#[path = "generated/settings.rs"]
mod settings_document;
mod strict;

pub use config::{Config, MAX_DOCUMENT_SIZE_BYTES};
pub use diff::{Change, diff, diff_values};
pub use document::{Effect, Fencing, HttpMethod, Priority};
pub use fault::Fault;
pub use model::{
    FailureDomain, LatencyTarget, Operator, Placement, Price, RetryLimits, Service, ServiceKind,
    ServiceLimit, VmClass, Workspace,
};
pub use route::Route;
