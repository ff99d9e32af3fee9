//! Client of the table service over the DynamoDB JSON 1.0 protocol.

use async_trait::async_trait;
use base::units::ByteCount;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::client::{Call, Client, Endpoint, Response, SendError, static_headers};
use super::dynamo::{
    ErrorBody, FailureKind, GetItem, GetItemOutput, Query, QueryOutput, TransactItem, Transaction,
};
use crate::{CommitError, Key, ReadError, Row, Table, Write};

/// Largest response body: a page holds at most 1 MiB of items, before JSON encoding.
const ANSWER_LIMIT_BYTES: ByteCount = 8 << 20;

const TARGET_HEADER: &str = "x-amz-target";

const JSON_HEADER: (&str, &str) = ("content-type", "application/x-amz-json-1.0");

/// Operation of the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    GetItem,
    Query,
    TransactWriteItems,
}

impl Operation {
    fn headers(self) -> &'static [(&'static str, &'static str)] {
        match self {
            Self::GetItem => &[JSON_HEADER, (TARGET_HEADER, "DynamoDB_20120810.GetItem")],
            Self::Query => &[JSON_HEADER, (TARGET_HEADER, "DynamoDB_20120810.Query")],
            Self::TransactWriteItems => &[
                JSON_HEADER,
                (TARGET_HEADER, "DynamoDB_20120810.TransactWriteItems"),
            ],
        }
    }
}

/// [`Table`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: Client,
    table_name: String,
}

impl HttpTable {
    /// Creates a client of one table; connections are opened on demand.
    pub fn open(endpoint: Endpoint, table_name: impl Into<String>) -> Self {
        Self {
            client: Client::open(endpoint),
            table_name: table_name.into(),
        }
    }

    async fn call(
        &self,
        operation: Operation,
        body: &impl Serialize,
    ) -> Result<Response, SendError> {
        let body = serde_json::to_vec(body).expect("a message is plain data");
        let call = Call {
            method: Method::POST,
            path: "/".into(),
            headers: static_headers(operation.headers()),
            body: body.into(),
            answer_limit_bytes: ANSWER_LIMIT_BYTES,
        };
        self.client.send(call).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        operation: Operation,
        body: &impl Serialize,
    ) -> Result<T, ReadError> {
        let response = self.call(operation, body).await;
        let response = response.map_err(|e| unreadable(&e.to_string()))?;
        if response.status != StatusCode::OK {
            return Err(unreadable(&describe(&response)));
        }
        serde_json::from_slice(&response.body).map_err(|e| unreadable(&e.to_string()))
    }
}

#[async_trait]
impl Table for HttpTable {
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        let body = GetItem {
            table_name: &self.table_name,
            key: key.into(),
            consistent_read: true,
        };
        let output: GetItemOutput = self.read(Operation::GetItem, &body).await?;
        let Some(item) = output.item else {
            return Ok(None);
        };
        item.try_into()
            .map(Some)
            .map_err(|e: String| unreadable(&e))
    }

    async fn scan(&self, partition: &str, after: &str, limit: u32) -> Result<Vec<Row>, ReadError> {
        let mut rows: Vec<Row> = Vec::new();
        while rows.len() < limit as usize {
            let after = rows.last().map_or(after, |row| row.key.sort.as_str());
            let wanted = limit - rows.len() as u32;
            let body = Query::new(&self.table_name, partition, after, wanted);
            let page: QueryOutput = self.read(Operation::Query, &body).await?;
            let page_was_empty = page.items.is_empty();
            for item in page.items {
                rows.push(item.try_into().map_err(|e: String| unreadable(&e))?);
            }
            if page.last_evaluated_key.is_none() || page_was_empty {
                break;
            }
        }
        Ok(rows)
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError> {
        let item = |write| TransactItem::new(&self.table_name, write);
        let body = Transaction {
            transact_items: writes.iter().map(item).collect(),
        };
        let response = self.call(Operation::TransactWriteItems, &body).await;
        match response {
            Ok(response) => commit_outcome(&response),
            Err(e @ SendError::NotSent { .. }) => Err(CommitError::NotApplied {
                reason: e.to_string(),
            }),
            Err(e @ SendError::Unanswered { .. }) => Err(CommitError::Unknown {
                reason: e.to_string(),
            }),
        }
    }
}

/// Outcome of a commit, read from a complete response.
fn commit_outcome(response: &Response) -> Result<(), CommitError> {
    if response.status == StatusCode::OK {
        return match serde_json::from_slice::<serde_json::Value>(&response.body) {
            Ok(_) => Ok(()),
            Err(e) => Err(CommitError::Unknown {
                reason: e.to_string(),
            }),
        };
    }
    let reason = describe(response);
    match error_body(response).kind() {
        FailureKind::Conflict => Err(CommitError::Conflict),
        FailureKind::Rejected => Err(CommitError::NotApplied { reason }),
        FailureKind::Indeterminate => Err(CommitError::Unknown { reason }),
    }
}

fn error_body(response: &Response) -> ErrorBody {
    serde_json::from_slice(&response.body).unwrap_or_default()
}

fn describe(response: &Response) -> String {
    format!(
        "{} {}",
        response.unexpected_status(),
        error_body(response).name()
    )
    .trim_end()
    .to_owned()
}

fn unreadable(reason: &str) -> ReadError {
    ReadError {
        reason: reason.to_owned(),
    }
}
