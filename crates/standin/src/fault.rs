//! Faults of a whole-answer service: refusals, delays and lost answers.

use std::sync::Mutex;
use std::time::Duration;

use base::units::Millisecond;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use std::io;

use crate::server::{Answer, Body, Dropped, text};

/// Fault of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing.
    #[default]
    None,
    /// 503 before any effect, with no further word.
    Unavailable,
    /// 400 with `ThrottlingException`, before any effect.
    Throttle,
    /// The connection closes before any effect.
    DropBefore,
    /// The call takes effect and the connection closes unanswered.
    LoseAnswer,
    /// The call takes effect and half the answer's body is sent.
    CutAnswer,
    /// The call takes effect, and 500 is answered.
    ErrorAfter,
    /// The call waits for `delay_ms`, then goes on as usual.
    Slow,
    /// The call takes effect and is never answered.
    HangAfter,
    /// The call is never answered and has no effect.
    Hang,
}

/// A switch: which fault, and for how many calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Faults that occur.
    #[serde(default)]
    pub kind: FaultKind,
    /// Delay of [`FaultKind::Slow`].
    #[serde(default)]
    pub delay_ms: Millisecond,
    /// How many further calls are hit; all if absent.
    #[serde(default)]
    pub next: Option<u32>,
}

/// Holds the current fault.
#[derive(Debug, Default)]
pub struct FaultSwitch(Mutex<Fault>);

impl FaultSwitch {
    /// Replaces the fault.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn set(&self, fault: Fault) {
        *self.0.lock().expect("no holder panics") = fault;
    }

    fn take(&self) -> Fault {
        let mut fault = self.0.lock().expect("no holder panics");
        let current = *fault;
        let Some(next) = &mut fault.next else {
            return current;
        };
        if *next == 0 {
            *fault = Fault::default();
            return Fault::default();
        }
        *next -= 1;
        current
    }

    /// Runs `effect`, before, after or instead of which the fault strikes.
    ///
    /// # Errors
    ///
    /// Returns [`Dropped`] if the fault drops the connection, or if `effect` does.
    pub async fn around(&self, effect: impl AsyncFnOnce() -> Answer) -> Answer {
        let fault = self.take();
        match fault.kind {
            FaultKind::None => effect().await,
            FaultKind::Unavailable => text(StatusCode::SERVICE_UNAVAILABLE, "out of service"),
            FaultKind::Throttle => throttled(),
            FaultKind::DropBefore => Err(Dropped),
            FaultKind::LoseAnswer => {
                let _ = effect().await;
                Err(Dropped)
            }
            FaultKind::CutAnswer => cut(effect().await?).await,
            FaultKind::ErrorAfter => {
                let _ = effect().await;
                text(StatusCode::INTERNAL_SERVER_ERROR, "internal error")
            }
            FaultKind::Slow => {
                tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
                effect().await
            }
            FaultKind::HangAfter => {
                let _ = effect().await;
                std::future::pending().await
            }
            FaultKind::Hang => std::future::pending().await,
        }
    }
}

fn throttled() -> Answer {
    let body = "{\"__type\":\"com.amazonaws.dynamodb.v20120810#ThrottlingException\"}";
    Ok(crate::server::response(
        StatusCode::BAD_REQUEST,
        "application/x-amz-json-1.0",
        body,
    ))
}

async fn cut(whole: Response<Body>) -> Answer {
    let (parts, body) = whole.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(Dropped);
    };
    let bytes = body.to_bytes();
    let half = bytes.slice(..bytes.len() / 2);
    let frames: [io::Result<Frame<Bytes>>; 2] =
        [Ok(Frame::data(half)), Err(io::Error::other("cut"))];
    let body = StreamBody::new(futures_util::stream::iter(frames));
    Ok(Response::from_parts(parts, BodyExt::boxed(body)))
}
