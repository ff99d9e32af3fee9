//! The checked configuration and its look-ups.

mod build;

use base::secret::{digests_match, key_digest_hex};
use base::{Map, Name};
use serde_json::Value;

use crate::document::{Document, Effect};
use crate::fault::Fault;
use crate::model::{FailureDomain, Operator, Service, ServiceKind, VmClass, Workspace};
use crate::sections::Sections;
use crate::{check, route, schema, strict};

/// Longest document that is read.
pub const MAX_DOCUMENT_SIZE_BYTES: usize = 8 * 1024 * 1024;

/// A configuration without faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Services by name.
    pub services: Map<Name, Service>,
    /// Workspaces by name.
    pub workspaces: Map<Name, Workspace>,
    /// Failure domains by name.
    pub failure_domains: Map<Name, FailureDomain>,
    /// VM classes by name.
    pub vm_classes: Map<Name, VmClass>,
    /// Operators by name.
    pub operators: Map<Name, Operator>,
    key_holders: Map<String, Vec<KeyHolder>>,
    document: Document,
}

/// Who holds a key; filed under the first digits of the key's digest.
#[derive(Clone, Debug, PartialEq)]
struct KeyHolder {
    digest: String,
    holder: Holder,
}

#[derive(Clone, Debug, PartialEq)]
enum Holder {
    Workspace(Name),
    Operator(Name),
}

impl Config {
    /// Reads and checks a document; an error lists every fault.
    ///
    /// # Errors
    ///
    /// Returns every fault if the text is too long, is not JSON, or breaks the schema or a check.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let value = read(text).map_err(|fault| vec![fault])?;
        let mut faults = schema::config().violations(&value);
        faults.extend(check::faults(&Sections::read(&value)));
        if !faults.is_empty() {
            return Err(faults);
        }
        let document = serde_json::from_value(value).map_err(|error| {
            vec![Fault::new(
                "$",
                format!("The document does not fit its types: {error}."),
                "Write whole numbers without a decimal point.",
            )]
        })?;
        Ok(build::config(document))
    }

    /// The document as a JSON value.
    ///
    /// # Panics
    ///
    /// Panics if the document has no JSON form; every checked document has one.
    pub fn to_value(&self) -> Value {
        serde_json::to_value(&self.document).expect("a document always has a JSON form")
    }

    /// The document as text; equal configurations give equal text.
    ///
    /// # Panics
    ///
    /// Panics if the document has no JSON form; every checked document has one.
    pub fn to_text(&self) -> String {
        serde_json::to_string(&self.document).expect("a document always has a JSON form")
    }

    /// SHA-256 of [`Config::to_text`], in hexadecimal.
    pub fn digest_hex(&self) -> String {
        key_digest_hex(&self.to_text())
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The workspace that holds the offered bearer key.
    pub fn workspace_by_key(&self, bearer: &str) -> Option<&Workspace> {
        match self.holder(bearer)? {
            Holder::Workspace(name) => self.workspaces.get(name),
            Holder::Operator(_) => None,
        }
    }

    /// The operator who holds the offered bearer key.
    pub fn operator_by_key(&self, bearer: &str) -> Option<&Operator> {
        match self.holder(bearer)? {
            Holder::Operator(name) => self.operators.get(name),
            Holder::Workspace(_) => None,
        }
    }

    /// Whether a call may be repeated; calls of model services always may, and calls of services
    /// that do not exist never.
    pub fn effect_of(&self, service: &str, method: &str, path: &str) -> Effect {
        match self.service(service).map(|service| &service.kind) {
            Some(ServiceKind::Model { .. }) => Effect::Idempotent,
            Some(ServiceKind::Plain { routes }) => route::effect_of(routes, method, path),
            None => Effect::NonIdempotent,
        }
    }

    /// One-way latency between two failure domains; nothing for unknown names.
    pub fn one_way_latency_ms(&self, from: &str, to: &str) -> Option<f64> {
        let domain = self.failure_domains.get(from)?;
        if from == to {
            return Some(0.0);
        }
        domain.one_way_latency_ms.get(to).copied()
    }

    fn holder(&self, bearer: &str) -> Option<&Holder> {
        let offered = key_digest_hex(bearer);
        let candidates = self.key_holders.get(build::file_under(&offered))?;
        let mut found = None;
        for candidate in candidates {
            if digests_match(&candidate.digest, &offered) {
                found = Some(&candidate.holder);
            }
        }
        found
    }
}

fn read(text: &str) -> Result<Value, Fault> {
    if text.len() > MAX_DOCUMENT_SIZE_BYTES {
        return Err(Fault::new(
            "$",
            format!("The document has {} bytes.", text.len()),
            format!("Shorten it to {MAX_DOCUMENT_SIZE_BYTES} bytes."),
        ));
    }
    strict::read(text).map_err(|error| {
        Fault::new(
            "$",
            format!("The document is not JSON: {error}."),
            "Correct it at that line and column.",
        )
    })
}
