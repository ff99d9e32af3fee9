//! The table: the subset of the DynamoDB JSON 1.0 protocol that the system uses.

use std::collections::BTreeMap;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::expression::{Values, condition_holds, query_range};
use crate::server::{Answer, response};

/// Largest item, as in the real service.
const ITEM_LIMIT_BYTES: usize = 400 << 10;

/// Most items of one transaction, as in the real service.
const TRANSACTION_LIMIT: usize = 100;

/// Largest answer of one query, as in the real service.
const PAGE_LIMIT_BYTES: usize = 1 << 20;

/// Operation named by the `x-amz-target` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableOperation {
    /// Reads one item.
    GetItem,
    /// Reads a range of one partition.
    Query,
    /// Writes several items or none.
    TransactWriteItems,
}

impl TableOperation {
    /// Reads the header's value.
    pub fn from_target(target: &str) -> Option<Self> {
        match target.strip_prefix("DynamoDB_20120810.")? {
            "GetItem" => Some(Self::GetItem),
            "Query" => Some(Self::Query),
            "TransactWriteItems" => Some(Self::TransactWriteItems),
            _ => None,
        }
    }
}

/// Value of an attribute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attribute {
    /// Text.
    S(String),
    /// Number, as text.
    N(String),
}

/// Attributes of an item by name.
pub type Item = BTreeMap<String, Attribute>;

/// Answer of the table.
pub enum Reply {
    /// Success, with its body.
    Done(Value),
    /// A condition did not hold; one reason for each item of the transaction.
    Cancelled(Vec<&'static str>),
    /// The request is wrong.
    Invalid(String),
}

impl Reply {
    /// Whether a condition failed.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Cancelled(_))
    }

    /// The answer to send.
    ///
    /// # Errors
    ///
    /// Never returns an error.
    pub fn answer(self) -> Answer {
        let (status, body) = match self {
            Self::Done(body) => (StatusCode::OK, body),
            Self::Cancelled(reasons) => {
                let reasons: Vec<Value> = reasons.into_iter().map(reason).collect();
                let kind = "com.amazonaws.dynamodb.v20120810#TransactionCanceledException";
                let body = serde_json::json!({"__type": kind, "CancellationReasons": reasons});
                (StatusCode::BAD_REQUEST, body)
            }
            Self::Invalid(message) => {
                let kind = "com.amazon.coral.validate#ValidationException";
                let body = serde_json::json!({"__type": kind, "message": message});
                (StatusCode::BAD_REQUEST, body)
            }
        };
        let content_type = "application/x-amz-json-1.0";
        Ok(response(status, content_type, body.to_string()))
    }
}

fn reason(code: &'static str) -> Value {
    serde_json::json!({"Code": code})
}

/// Key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ItemKey {
    partition: String,
    sort: String,
}

impl ItemKey {
    fn of(item: &Item) -> Result<Self, String> {
        Ok(Self {
            partition: text(item, "pk")?,
            sort: text(item, "sk")?,
        })
    }
}

fn text(item: &Item, name: &str) -> Result<String, String> {
    match item.get(name) {
        Some(Attribute::S(text)) if !text.is_empty() => Ok(text.clone()),
        _ => Err(format!("key attribute {name} must be non-empty text")),
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct GetItem {
    key: Item,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Query {
    key_condition_expression: String,
    expression_attribute_values: Values,
    #[serde(default)]
    limit: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Transaction {
    transact_items: Vec<TransactItem>,
}

#[derive(Deserialize)]
enum TransactItem {
    Put(PutPart),
    Update(KeyPart),
    Delete(KeyPart),
    ConditionCheck(KeyPart),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct PutPart {
    item: Item,
    #[serde(default)]
    condition_expression: Option<String>,
    #[serde(default)]
    expression_attribute_values: Values,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyPart {
    key: Item,
    #[serde(default)]
    condition_expression: Option<String>,
    #[serde(default)]
    update_expression: Option<String>,
    #[serde(default)]
    expression_attribute_values: Values,
}

/// One item of a transaction, checked.
struct Part {
    key: ItemKey,
    condition: Option<String>,
    values: Values,
    effect: Effect,
}

enum Effect {
    Put(Item),
    /// `SET body = :b ADD version :one`, the one update that is understood.
    Update,
    Delete,
    Check,
}

impl TransactItem {
    fn checked(self) -> Result<Part, String> {
        let (part, effect) = match self {
            Self::Put(put) => {
                check_size(&put.item)?;
                return Ok(Part {
                    key: ItemKey::of(&put.item)?,
                    condition: put.condition_expression,
                    values: put.expression_attribute_values,
                    effect: Effect::Put(put.item),
                });
            }
            Self::Update(part) => {
                if part.update_expression.as_deref() != Some("SET body = :b ADD version :one") {
                    return Err("unknown update expression".into());
                }
                check_size(&part.expression_attribute_values)?;
                (part, Effect::Update)
            }
            Self::Delete(part) => (part, Effect::Delete),
            Self::ConditionCheck(part) => (part, Effect::Check),
        };
        Ok(Part {
            key: ItemKey::of(&part.key)?,
            condition: part.condition_expression,
            values: part.expression_attribute_values,
            effect,
        })
    }
}

/// The stored items.
#[derive(Debug, Default)]
pub struct TableStore {
    items: BTreeMap<ItemKey, Item>,
}

impl TableStore {
    /// Carries out one call.
    pub fn call(&mut self, operation: TableOperation, body: &[u8]) -> Reply {
        let reply = match operation {
            TableOperation::GetItem => self.get(body),
            TableOperation::Query => self.query(body),
            TableOperation::TransactWriteItems => self.transact(body),
        };
        reply.unwrap_or_else(Reply::Invalid)
    }

    fn get(&self, body: &[u8]) -> Result<Reply, String> {
        let call: GetItem = parse(body)?;
        let found = self.items.get(&ItemKey::of(&call.key)?);
        let body = match found {
            Some(item) => serde_json::json!({"Item": item}),
            None => serde_json::json!({}),
        };
        Ok(Reply::Done(body))
    }

    fn query(&self, body: &[u8]) -> Result<Reply, String> {
        let call: Query = parse(body)?;
        let expression = &call.key_condition_expression;
        let range = query_range(expression, &call.expression_attribute_values)?;
        let limit = call.limit.unwrap_or(usize::MAX);
        let mut found: Vec<&Item> = Vec::new();
        let mut page_bytes = 0;
        let mut last: Option<&ItemKey> = None;
        for (key, item) in &self.items {
            if key.partition != range.partition || key.sort <= range.above {
                continue;
            }
            if found.len() >= limit || page_bytes >= PAGE_LIMIT_BYTES {
                let last = last.expect("a full page has an item");
                let key = serde_json::json!({"pk": {"S": last.partition}, "sk": {"S": last.sort}});
                return Ok(Reply::Done(
                    serde_json::json!({"Items": found, "LastEvaluatedKey": key}),
                ));
            }
            page_bytes += serde_json::to_string(item).map_or(0, |text| text.len());
            found.push(item);
            last = Some(key);
        }
        Ok(Reply::Done(serde_json::json!({"Items": found})))
    }

    fn transact(&mut self, body: &[u8]) -> Result<Reply, String> {
        let call: Transaction = parse(body)?;
        if call.transact_items.is_empty() || call.transact_items.len() > TRANSACTION_LIMIT {
            return Err("a transaction has 1 to 100 items".into());
        }
        let mut parts = Vec::with_capacity(call.transact_items.len());
        for item in call.transact_items {
            let part = item.checked()?;
            if parts.iter().any(|earlier: &Part| earlier.key == part.key) {
                return Err("a transaction cannot name one item twice".into());
            }
            parts.push(part);
        }
        let mut reasons = Vec::with_capacity(parts.len());
        for part in &parts {
            reasons.push(match self.allows(part)? {
                true => "None",
                false => "ConditionalCheckFailed",
            });
        }
        if reasons.contains(&"ConditionalCheckFailed") {
            return Ok(Reply::Cancelled(reasons));
        }
        for part in parts {
            self.apply(part)?;
        }
        Ok(Reply::Done(serde_json::json!({})))
    }

    fn allows(&self, part: &Part) -> Result<bool, String> {
        let Some(condition) = &part.condition else {
            return Ok(true);
        };
        condition_holds(condition, &part.values, self.items.get(&part.key))
    }

    fn apply(&mut self, part: Part) -> Result<(), String> {
        match part.effect {
            Effect::Put(item) => drop(self.items.insert(part.key, item)),
            Effect::Delete => drop(self.items.remove(&part.key)),
            Effect::Check => {}
            Effect::Update => {
                let body = part.values.get(":b").ok_or("value :b is missing")?;
                let item = self.items.entry(part.key.clone()).or_default();
                let version = match item.get("version") {
                    Some(Attribute::N(text)) => text.parse().unwrap_or(0),
                    _ => 0_u64,
                };
                item.insert("pk".into(), Attribute::S(part.key.partition));
                item.insert("sk".into(), Attribute::S(part.key.sort));
                item.insert("body".into(), body.clone());
                item.insert("version".into(), Attribute::N((version + 1).to_string()));
            }
        }
        Ok(())
    }
}

fn check_size(attributes: &Item) -> Result<(), String> {
    let text = serde_json::to_string(attributes).map_err(|e| e.to_string())?;
    match text.len() > ITEM_LIMIT_BYTES {
        true => Err("item size has exceeded the maximum allowed size".into()),
        false => Ok(()),
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}
