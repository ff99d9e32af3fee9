//! Catalogue of log events. `docs/EVENTS.md` is printed from it.

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Normal operation.
    Info,
    /// A failure that the system handled.
    Warn,
    /// A failure that an operator should look into.
    Error,
}

impl From<Level> for log::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Info => Self::Info,
            Level::Warn => Self::Warn,
            Level::Error => Self::Error,
        }
    }
}

macro_rules! catalogue {
    ($($variant:ident = $number:literal, $name:literal, $level:ident, $text:literal;)*) => {
        /// Log event. Its number is never reused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Code {
            $(#[doc = $text] $variant,)*
        }

        impl Code {
            /// All events, in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$variant),*];

            /// Number, printed as `E<number>` in the log.
            pub fn number(self) -> u16 {
                match self { $(Code::$variant => $number),* }
            }

            /// Name, which does not change between releases.
            pub fn name(self) -> &'static str {
                match self { $(Code::$variant => $name),* }
            }

            /// Severity.
            pub fn level(self) -> Level {
                match self { $(Code::$variant => Level::$level),* }
            }

            /// Meaning of the event, written for operators.
            pub fn text(self) -> &'static str {
                match self { $(Code::$variant => $text),* }
            }
        }
    };
}

catalogue! {
    DaemonStarted = 100, "daemon.started", Info, "The daemon is listening; fields give its addresses.";
    DaemonDraining = 101, "daemon.draining", Info, "The daemon reports not ready and finishes its requests in flight.";
    DaemonStopped = 102, "daemon.stopped", Info, "The daemon has stopped; fields count finished and handed-over requests.";
    LinesLeftOut = 103, "log.left_out", Warn, "Lines of ordinary events were dropped from the log in the previous second; fields count them.";
    SettingsRead = 104, "settings.read", Info, "The settings file has changed; fields give the settings that took effect.";
    TaskPanicked = 105, "task.panicked", Error, "A task panicked; its request or connection ends and the daemon keeps running. Report the source location in the fields as a bug.";
    TaskRestarted = 106, "task.restarted", Error, "A task that runs for the lifetime of the daemon panicked and was restarted.";
    RequestAccepted = 200, "request.accepted", Info, "A request passed admission and has its number.";
    RequestRefused = 201, "request.refused", Info, "A request was refused before it ran; fields give code and reason, and the allowance with its level.";
    RequestFinished = 202, "request.finished", Info, "A request got its final answer.";
    RequestSuspected = 203, "request.suspected", Warn, "A backend server crashed while it ran a request; fields give the server and how the request is run from now on.";
    PartQuarantined = 204, "part.quarantined", Warn, "Requests with some parts of prompts are refused, or no longer, as servers crashed that ran them; fields give the parts, the crashes and the outcome.";
    RequestPanicked = 205, "request.panicked", Error, "The task of a request panicked; fields give what the caller got. The source location is in E105.";
    RequestQueued = 206, "request.queued", Info, "A request waited at this node for a server; fields give its rank and workspace, how many waited, the work before it, the predicted and the real wait, and the outcome.";
    RouteChosen = 300, "route.chosen", Info, "A backend server was chosen; fields give the reason and the scores of the alternatives.";
    RouteNone = 301, "route.none", Warn, "No backend server could take the request.";
    AttemptFailed = 302, "attempt.failed", Warn, "An attempt at a backend server failed; fields say whether it may have run.";
    StreamResumed = 303, "stream.resumed", Info, "A stream goes on at another backend server from the tokens already relayed.";
    StreamTakenUp = 304, "stream.taken_up", Info, "A caller resumes a stream that an earlier request began; fields give that request, the last event that the caller has, how the software version was found that may go on with it, and how many other nodes were asked and answered.";
    RequestRelayed = 305, "request.relayed", Info, "A node without paths to the backend servers passed a request on to another node; fields give the node and the outcome.";
    AttemptSilent = 306, "attempt.silent", Info, "A backend server has sent nothing for a while; fields say for how long, whether the request stays, why, or which server takes it over.";
    AnswerCut = 307, "answer.cut", Warn, "The rest of a whole answer was not written, and the connection closed; fields say whether the caller read nothing in time or the memory went to other bodies, and how much was held.";
    ServerLoadRejected = 308, "server.load_rejected", Info, "A backend server's load report is not used, as it is unreadable or a response contradicted it; fields give the response's request, the report with its age, and the real and predicted times. At most one a second and server.";
    EventRejected = 309, "event.rejected", Warn, "An event of a stream was not relayed, as it would not tell the caller which events it has; fields give the server, the reason, the identifier before it, how the service numbers its events, and whether the stream goes on at another server or is cut.";
    ReclaimDecided = 310, "reclaim.decided", Info, "A stream at a leaving backend server finishes there, moves with its KV cache, or is recomputed elsewhere.";
    DomainDecided = 311, "domain.decided", Info, "The share of a service's requests that leave this node's failure domain has changed; fields give the shares, the reason for the latest request, the predicted times here and there, the price of the traffic and the age of the loads.";
    GapPassed = 312, "event.gap_passed", Warn, "An event of a stream was relayed though identifiers are missing before it, where the service's were consecutive; fields give the server, the identifier before it and the reason. The caller may lack an event.";

    ConfigInForce = 400, "config.in_force", Info, "A configuration version is in force at this daemon.";
    BeliefPulled = 401, "belief.pulled", Info, "A newer configuration or registry was requested from another node; fields give the version that this node had, the time for which it had known that others have a newer one, how many sources it could choose from and how many it asks, and the bytes and the time of the answer.";
    RowUnreadable = 402, "row.unreadable", Error, "A row of the store cannot be decoded; the previous content stays in force.";
    StoreLost = 403, "store.lost", Warn, "The platform's store does not respond; the daemon continues with its local copy and the updates of other nodes.";
    StoreRegained = 404, "store.regained", Info, "The platform's store responds again.";
    StoreRestored = 405, "store.restored", Warn, "The store answers with another era than before: it was restored from a copy; fields give the eras and the revisions.";
    NodeListed = 406, "node.listed", Warn, "The list of nodes in the store had lost this node, and it has registered again.";
    VersionsSaved = 407, "versions.saved", Info, "The software versions of a service have changed, and were written to the store; fields give the outcome.";
    RoleChanged = 408, "role.changed", Info, "This node begins or ends to follow the store itself; fields give the ages of its copies and whether the store serves it.";
    LeftBehind = 409, "node.left_behind", Warn, "This node has long known that others have a newer version, no source has passed it on, and it asks the store itself; fields give the versions, the time and the node's position in its failure domain.";
    ConfigDecided = 410, "config.decided", Info, "The table accepted or refused an operator's configuration; fields give the outcome.";
    RolloutStaged = 411, "rollout.staged", Info, "The holder of the duties decided the stage of a rollout; fields give the share of new requests for the new version, the number of its servers that get them, the evidence with the ages of the order and of the version's first response, and the requests sent so far.";
    RolloutEnded = 412, "rollout.ended", Warn, "A rollout was completed, rolled back or withdrawn, or this node sends its version nothing on its own evidence (halted); fields give the reason.";

    PeerSuspected = 500, "peer.suspected", Warn, "Messages of a peer are overdue; it gets no handovers until one arrives.";
    PeerAlive = 501, "peer.alive", Info, "A peer is new, or its messages arrive again.";
    PeerGone = 502, "peer.gone", Warn, "A suspected peer did not refute the suspicion in time, or a peer announced that it leaves.";
    BackendLeaving = 503, "backend.leaving", Info, "A backend server leaves and gets no new work.";
    NodeWoke = 504, "node.woke", Warn, "This daemon was paused; it takes no work until it has synced.";
    NodeFresh = 505, "node.fresh", Info, "This daemon has synced and may route.";
    NodeDegraded = 506, "node.degraded", Error, "Neither peers nor the platform responded after a pause; this daemon continues with its local state, which may be stale.";
    StreamGiven = 507, "stream.given", Info, "An open stream was handed to peers; fields give owner and standby.";
    StreamNotGiven = 508, "stream.not_given", Error, "No peer accepted an open stream.";
    StreamTaken = 509, "stream.taken", Info, "This daemon continues a stream that a peer handed over.";
    StreamActivated = 510, "stream.activated", Warn, "A stream's owner did not respond, and this daemon's copy replaces it.";
    LeaseHeld = 511, "lease.held", Info, "This daemon holds a lease; fields give its fencing token, the nonce and age of the write that began the tenure, and whether the store answered its commit or the row was read.";
    LeaseLost = 512, "lease.lost", Warn, "This daemon no longer holds a lease.";
    BackendAppeared = 513, "backend.appeared", Info, "A backend server has registered itself and takes work.";
    BackendGone = 514, "backend.gone", Info, "A backend server's registry entry was removed.";
    BackendSignalled = 515, "backend.signalled", Info, "A backend server has sent a signal in a response: that it leaves, a rate limit, the end of a rate limit, or a time without requests; fields give the node that received it and the signal's age.";
    PathsLost = 516, "paths.lost", Warn, "This daemon reaches no backend server, though other nodes do; requests go through these. Fields count the servers tried.";
    PathsBack = 517, "paths.back", Info, "This daemon reaches backend servers again.";
    BackendReported = 518, "backend.reported", Info, "A backend server is avoided on the reports of other daemons, or no longer avoided as it answered one; fields give the kind of the fault, the daemon that reported it and the report's age.";

    LedgerRefused = 600, "ledger.refused", Info, "A non-idempotent call was not run because of the record of its key in the ledger.";
    LedgerStoreDown = 601, "ledger.store_down", Warn, "The table service does not respond; non-idempotent calls are refused immediately until a probe succeeds.";
    LedgerStoreUp = 602, "ledger.store_up", Info, "The table service responds again; non-idempotent calls are accepted.";
    LedgerOutcomeDropped = 603, "ledger.outcome_dropped", Error, "Too many outcomes wait for the table service; this one is not recorded, and its key stays closed.";
    LedgerOutcomeLost = 604, "ledger.outcome_lost", Error, "The record of a call that ran belongs to another call; someone changed the row.";
    LedgerRecordDamaged = 605, "ledger.record_damaged", Error, "A record cannot be read; calls with its key are answered as unknown.";
    LedgerSwept = 606, "ledger.swept", Info, "Answers older than their retention were dropped; their keys stay closed.";

    UsageReported = 611, "usage.reported", Info, "The usage of a window was reported to the platform; fields give the outcome.";
    ServersOrdered = 612, "servers.ordered", Info, "A number of backend servers was ordered; fields give the need that it answers, the exposure to reclaims and the outcome.";

    PlacementDecided = 700, "placement.decided", Info, "VMs were bought, returned or given a new role; fields give the reason and the alternatives.";
}
