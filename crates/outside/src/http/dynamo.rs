//! Messages of the DynamoDB JSON 1.0 protocol that the table client uses.

use serde::{Deserialize, Serialize};

use crate::{Condition, Key, Row, Write};

/// String attribute.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Text {
    #[serde(rename = "S")]
    text: String,
}

/// Number attribute; the protocol encodes numbers as strings.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Number {
    #[serde(rename = "N")]
    digits: String,
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self { text: text.into() }
    }
}

impl From<u64> for Number {
    fn from(number: u64) -> Self {
        Self {
            digits: number.to_string(),
        }
    }
}

/// Key attributes of an item.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ItemKey {
    pk: Text,
    sk: Text,
}

impl From<&Key> for ItemKey {
    fn from(key: &Key) -> Self {
        Self {
            pk: key.partition.as_str().into(),
            sk: key.sort.as_str().into(),
        }
    }
}

/// Item with all its attributes.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Item {
    #[serde(flatten)]
    key: ItemKey,
    body: Text,
    version: Number,
}

impl TryFrom<Item> for Row {
    type Error = String;

    fn try_from(item: Item) -> Result<Self, String> {
        let digits = &item.version.digits;
        let version = digits.parse();
        let version = version.map_err(|_| format!("version {digits} is not a whole number"))?;
        Ok(Self {
            key: Key::new(item.key.pk.text, item.key.sk.text),
            body: item.body.text,
            version,
        })
    }
}

/// Request body of `GetItem`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct GetItem<'a> {
    pub(super) table_name: &'a str,
    pub(super) key: ItemKey,
    pub(super) consistent_read: bool,
}

/// Response body of `GetItem`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct GetItemOutput {
    #[serde(default)]
    pub(super) item: Option<Item>,
}

/// Request body of `Query`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Query<'a> {
    table_name: &'a str,
    consistent_read: bool,
    limit: u32,
    key_condition_expression: &'static str,
    expression_attribute_values: RangeValues,
}

#[derive(Debug, Serialize)]
struct RangeValues {
    #[serde(rename = ":p")]
    partition: Text,
    #[serde(rename = ":s", skip_serializing_if = "Option::is_none")]
    above: Option<Text>,
}

impl<'a> Query<'a> {
    /// Queries a partition for sort keys above `after`.
    ///
    /// An empty `after` adds no condition, since the protocol does not allow empty key values.
    pub(super) fn new(table_name: &'a str, partition: &str, after: &str, limit: u32) -> Self {
        let above = (!after.is_empty()).then(|| after.into());
        let key_condition_expression = match above {
            Some(_) => "pk = :p AND sk > :s",
            None => "pk = :p",
        };
        Self {
            table_name,
            consistent_read: true,
            limit,
            key_condition_expression,
            expression_attribute_values: RangeValues {
                partition: partition.into(),
                above,
            },
        }
    }
}

/// Response body of `Query`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct QueryOutput {
    pub(super) items: Vec<Item>,
    /// Present if more rows follow.
    #[serde(default)]
    pub(super) last_evaluated_key: Option<ItemKey>,
}

/// Request body of `TransactWriteItems`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Transaction<'a> {
    pub(super) transact_items: Vec<TransactItem<'a>>,
}

/// Write or check within a transaction.
#[derive(Debug, Serialize)]
pub(super) enum TransactItem<'a> {
    Update(TransactPart<'a>),
    Delete(TransactPart<'a>),
    ConditionCheck(TransactPart<'a>),
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct TransactPart<'a> {
    table_name: &'a str,
    key: ItemKey,
    #[serde(skip_serializing_if = "Option::is_none")]
    update_expression: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    condition_expression: Option<&'static str>,
    #[serde(skip_serializing_if = "PartValues::is_empty")]
    expression_attribute_values: PartValues,
}

#[derive(Debug, Default, Serialize)]
struct PartValues {
    #[serde(rename = ":v", skip_serializing_if = "Option::is_none")]
    version: Option<Number>,
    #[serde(rename = ":b", skip_serializing_if = "Option::is_none")]
    body: Option<Text>,
    #[serde(rename = ":one", skip_serializing_if = "Option::is_none")]
    increment: Option<Number>,
}

impl PartValues {
    fn is_empty(&self) -> bool {
        self.version.is_none() && self.body.is_none() && self.increment.is_none()
    }
}

impl<'a> TransactItem<'a> {
    /// Converts a write. A put is sent as an update, so that the service increments the version.
    pub(super) fn new(table_name: &'a str, write: &Write) -> Self {
        match write {
            Write::Put {
                key,
                body,
                condition,
            } => {
                let mut part = TransactPart::new(table_name, key, *condition);
                part.update_expression = Some("SET body = :b ADD version :one");
                part.expression_attribute_values.body = Some(body.as_str().into());
                part.expression_attribute_values.increment = Some(1.into());
                Self::Update(part)
            }
            Write::Delete { key, condition } => {
                Self::Delete(TransactPart::new(table_name, key, *condition))
            }
            Write::Check { key, condition } => {
                Self::ConditionCheck(TransactPart::new(table_name, key, *condition))
            }
        }
    }
}

impl<'a> TransactPart<'a> {
    fn new(table_name: &'a str, key: &Key, condition: Condition) -> Self {
        let (condition_expression, version) = match condition {
            Condition::Any => (None, None),
            Condition::Absent => (Some("attribute_not_exists(pk)"), None),
            Condition::VersionIs(version) => (Some("version = :v"), Some(version.into())),
        };
        Self {
            table_name,
            key: key.into(),
            update_expression: None,
            condition_expression,
            expression_attribute_values: PartValues {
                version,
                ..PartValues::default()
            },
        }
    }
}

/// Response body of a failed call.
#[derive(Debug, Default, Deserialize)]
pub(super) struct ErrorBody {
    #[serde(rename = "__type", default)]
    kind: String,
    #[serde(rename = "CancellationReasons", default)]
    reasons: Vec<CancellationReason>,
}

#[derive(Debug, Deserialize)]
struct CancellationReason {
    #[serde(rename = "Code", default)]
    code: String,
}

/// Effect that a failed call can have had on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// A condition did not hold, so nothing was applied.
    Conflict,
    /// The service rejected the call before applying anything.
    Rejected,
    /// Any other error, which does not exclude that the call was applied.
    Indeterminate,
}

impl ErrorBody {
    /// Error name without its namespace.
    pub(super) fn name(&self) -> &str {
        self.kind.rsplit('#').next().unwrap_or_default()
    }

    pub(super) fn kind(&self) -> FailureKind {
        match self.name() {
            "TransactionCanceledException" => self.cancellation(),
            "ThrottlingException"
            | "ProvisionedThroughputExceededException"
            | "RequestLimitExceeded"
            | "ValidationException"
            | "AccessDeniedException"
            | "ResourceNotFoundException"
            | "UnrecognizedClientException"
            | "SerializationException" => FailureKind::Rejected,
            _ => FailureKind::Indeterminate,
        }
    }

    fn cancellation(&self) -> FailureKind {
        let failed = |reason: &CancellationReason| reason.code == "ConditionalCheckFailed";
        match self.reasons.iter().any(failed) {
            true => FailureKind::Conflict,
            false => FailureKind::Rejected,
        }
    }
}
