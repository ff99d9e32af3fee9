//! The example configuration, with keys that the proofs know.

use base::secret::key_digest_hex;
use serde_json::{Value, json};

/// Secret of the entry VMs; works as the operator's key until a configuration is in force.
pub(super) const SECRET: &str = "the-secret-of-the-proofs";

/// The operator's key.
const OPERATOR_KEY: &str = "the-operator-key-of-the-proofs";

/// The operator's key.
pub fn operator_key() -> &'static str {
    OPERATOR_KEY
}

/// Bearer key of a workspace.
pub fn workspace_key(workspace: &str) -> String {
    format!("the-key-of-{workspace}")
}

/// The example configuration with the keys of the proofs.
///
/// # Panics
///
/// Panics if the example is not JSON, or lacks its list of named workspaces or an operator.
pub fn configuration() -> Value {
    let text = include_str!("../../../../examples/cooperative.json");
    let mut document: Value = serde_json::from_str(text).expect("the example is JSON");
    for workspace in document["workspaces"].as_array_mut().expect("a list") {
        let name = workspace["name"].as_str().expect("a name").to_owned();
        workspace["key_digests"] = json!([key_digest_hex(&workspace_key(&name))]);
    }
    document["operators"][0]["key_digest"] = json!(key_digest_hex(OPERATOR_KEY));
    document
}
