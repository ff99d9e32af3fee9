//! The few expressions that the table understands; others are refused.

use std::collections::BTreeMap;

use super::table::{Attribute, Item};

/// Values of an expression by placeholder.
pub type Values = BTreeMap<String, Attribute>;

/// Part of a partition that a query reads.
#[derive(Debug, PartialEq, Eq)]
pub struct Range {
    /// The partition.
    pub partition: String,
    /// Only sort keys above this are read.
    pub above: String,
}

/// Whether a condition holds of an item.
pub fn condition_holds(
    condition: &str,
    values: &Values,
    item: Option<&Item>,
) -> Result<bool, String> {
    if condition == "attribute_not_exists(pk)" {
        return Ok(item.is_none());
    }
    let Some(placeholder) = condition.strip_prefix("version = ") else {
        return Err(format!("unknown condition: {condition}"));
    };
    let expected = value(values, placeholder)?;
    Ok(item.and_then(|item| item.get("version")) == Some(expected))
}

/// The range that a key condition names.
pub fn query_range(condition: &str, values: &Values) -> Result<Range, String> {
    let (partition, above) = match condition.split_once(" AND ") {
        Some((partition, above)) => (partition, Some(above)),
        None => (condition, None),
    };
    let partition = operand(partition, "pk = ", values)?;
    let above = match above {
        Some(above) => operand(above, "sk > ", values)?,
        None => String::new(),
    };
    Ok(Range { partition, above })
}

fn operand(comparison: &str, start: &str, values: &Values) -> Result<String, String> {
    let Some(placeholder) = comparison.strip_prefix(start) else {
        return Err(format!("unknown key condition: {comparison}"));
    };
    match value(values, placeholder)? {
        Attribute::S(text) if !text.is_empty() => Ok(text.clone()),
        _ => Err(format!("{placeholder} must be non-empty text")),
    }
}

fn value<'a>(values: &'a Values, placeholder: &str) -> Result<&'a Attribute, String> {
    let found = values.get(placeholder);
    found.ok_or_else(|| format!("value {placeholder} is missing"))
}
