//! States of the request's state chart.

/// A state of `charts/request.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A backend server has to be chosen.
    Routing,
    /// The attempt is sent, and its answer has not begun.
    Sending,
    /// Chunks of the answer arrive.
    Streaming,
    /// The next attempt is due after a delay.
    Waiting,
    /// The answer continues in another relay or at another entry VM.
    Moved,
    /// The answer is complete.
    Done,
    /// The request failed and is not retried.
    Failed,
}

impl Phase {
    /// Finds a state by its name in the chart.
    ///
    /// # Panics
    ///
    /// Panics if no variant has this name.
    pub fn named(state: &str) -> Self {
        match state {
            "routing" => Self::Routing,
            "sending" => Self::Sending,
            "streaming" => Self::Streaming,
            "waiting" => Self::Waiting,
            "moved" => Self::Moved,
            "done" => Self::Done,
            "failed" => Self::Failed,
            other => panic!("the state `{other}` of the request chart has no `Phase` variant"),
        }
    }
}
