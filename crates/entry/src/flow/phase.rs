//! States of the request's chart that the code acts on.

/// A state of `charts/request.toml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A backend server is to be chosen.
    Routing,
    /// The attempt is to be sent.
    Sending,
    /// Pieces of the answer arrive.
    Streaming,
    /// The next attempt is due after a delay.
    Waiting,
    /// The answer goes on elsewhere.
    Moved,
    /// The answer is whole.
    Done,
    /// The request was given up.
    Failed,
}

impl Phase {
    /// Finds a state by its name in the chart.
    ///
    /// # Panics
    ///
    /// Panics on a name that the chart does not have.
    pub fn named(state: &str) -> Self {
        match state {
            "routing" => Self::Routing,
            "sending" => Self::Sending,
            "streaming" => Self::Streaming,
            "waiting" => Self::Waiting,
            "moved" => Self::Moved,
            "done" => Self::Done,
            "failed" => Self::Failed,
            other => panic!("the request chart has no state `{other}` that the code knows"),
        }
    }
}
