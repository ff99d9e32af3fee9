//! One request on its way: sent, sent once more, refused, asked again, ended.

use base::Name;
use base::outcome::RunState;
use base::units::{Millisecond, TokenCount};
use gateway::belief::RouteKind;
use gateway::decide::outcome::{AttemptHistory, FailureCause, NextAction, RETRY_AFTER_MS};
use gateway::decide::placement::Locality;
use gateway::decide::prompt::Prompt;
use gateway::decide::retry_budget::RetryPermit;
use gateway::decide::rule::TimeLimits;
use gateway::decide::shed::wait_limit_ms;
use gateway::decide::signal::{Reading, Signals};
use gateway::decide::timeouts::{NoServer, SilenceTimeout, server_wait_ms};
use rand::Rng;

use crate::crossing::{self, traffic_kb};
use crate::engine::{Admission, RequestId, Task};
use crate::experiment::Kind;
use crate::figures::Ending;
use crate::node::{Ask, Sent};
use crate::schedule::MS;
use crate::supply::{HostId, State};
use crate::world::{Event, World};

/// Part of the time that is left for which a refused caller stays away at most, by the pages.
const AWAY_SHARE: u64 = 3;

/// A request that waits for a server looks again after so long; the daemon is told of each place.
const LOOK_MS: Millisecond = 5;

pub struct Request {
    /// Its kind.
    pub kind: usize,
    /// The node that its caller asked.
    pub node: usize,
    /// Whether it belongs to the measured time.
    pub counted: Counted,
    asked_ms: Millisecond,
    prompt: Prompt,
    given: TokenCount,
    trail: AttemptHistory,
    avoid: Vec<Name>,
    attempt: u32,
    at: Option<Place>,
    waits_since_ms: Option<Millisecond>,
    first_ms: Option<Millisecond>,
    retries: u32,
    state: Life,
}

/// Whether a request counts: those at the start of a play only warm it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    Yes,
    No,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Life {
    Open,
    Ended,
}

/// Server and attempt of a running request.
struct Place {
    sent: Sent,
    host: HostId,
    token: Token,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Token {
    None,
    Some,
}

impl Request {
    /// A request that is asked for the first time.
    pub fn new(kind: usize, of: &Kind, node: usize, prompt: Prompt, asked_ms: Millisecond) -> Self {
        Self {
            kind,
            node,
            counted: Counted::Yes,
            asked_ms,
            prompt,
            given: 0,
            trail: trail(of),
            avoid: Vec::new(),
            attempt: 0,
            at: None,
            waits_since_ms: None,
            first_ms: None,
            retries: of.retries,
            state: Life::Open,
        }
    }

    pub fn has_ended(&self) -> bool {
        self.state == Life::Ended
    }
}

fn trail(kind: &Kind) -> AttemptHistory {
    let route = match kind.runs {
        0 | 1 => RouteKind::Stream,
        _ => RouteKind::ResumableStream,
    };
    AttemptHistory::new(route, kind.runs)
}

impl World<'_> {
    /// A caller asks, for the first time or again.
    pub fn ask(&mut self, id: RequestId) {
        let now_ms = self.now_ms();
        let node = self.requests[id].node;
        self.nodes[node].requested(now_ms);
        self.send(id);
    }

    /// Sends a request to a server; refused ones go to another.
    fn send(&mut self, id: RequestId) {
        while self.requests[id].state == Life::Open {
            let (now_ms, left_ms) = (self.now_ms(), self.left_ms(id));
            let limits = TimeLimits {
                left_ms,
                wait_ms: self.wait_limit_ms(id),
            };
            let request = &self.requests[id];
            let run_state = request.trail.run_state;
            let ask = Ask {
                prompt: &request.prompt,
                avoid: &request.avoid,
                limits,
                target_ms: self.kind(id).target_ms,
                run_state,
            };
            let sent = match self.nodes[request.node].send(&ask, now_ms) {
                Ok(sent) => sent,
                Err(lacking) => return self.wait(id, lacking),
            };
            match self.offer(id, &sent) {
                Ok(host) => return self.runs_at(id, sent, host),
                Err(cause) => self.fail(id, sent, cause),
            }
        }
    }

    /// Waits for a server, or refuses the request when it has waited for long enough.
    fn wait(&mut self, id: RequestId, lacking: NoServer) {
        let (now_ms, left_ms) = (self.now_ms(), self.left_ms(id));
        let target_ms = self.kind(id).target_ms;
        let request = &mut self.requests[id];
        let since_ms = *request.waits_since_ms.get_or_insert(now_ms);
        let waited_ms = now_ms - since_ms;
        let run_state = request.trail.run_state;
        let wait_ms = server_wait_ms(lacking, run_state, target_ms, left_ms + waited_ms);
        if waited_ms >= wait_ms {
            let node = self.requests[id].node;
            self.nodes[node].unmet(lacking, now_ms);
            return self.refuse(id);
        }
        self.schedule.add(LOOK_MS * MS, Event::Look { id });
    }

    /// Looks once more for a server.
    pub fn look(&mut self, id: RequestId) {
        if self.requests[id].waits_since_ms.is_some() {
            self.send(id);
        }
    }

    fn offer(&mut self, id: RequestId, sent: &Sent) -> Result<HostId, FailureCause> {
        let request = &self.requests[id];
        let task = Task {
            id,
            prompt: request.prompt.clone(),
            answer_tokens: request.prompt.output_tokens.saturating_sub(request.given),
            rank: self.kind(id).rank,
        };
        let host = self.supply.find(&sent.server.record.id);
        let host = host.ok_or(FailureCause::Unreachable)?;
        let there = self.supply.host(host);
        if !matches!(there.state, State::Up | State::Leaving) {
            return Err(FailureCause::Unreachable);
        }
        match there.engine.take(task) {
            Admission::Taken => Ok(host),
            Admission::Full => Err(FailureCause::Refused),
        }
    }

    fn runs_at(&mut self, id: RequestId, sent: Sent, host: HostId) {
        let (target_ms, left_ms) = (self.kind(id).target_ms, self.left_ms(id));
        let request = &mut self.requests[id];
        let node = &mut self.nodes[request.node];
        let patience = node.patience(&sent, request.trail, target_ms, left_ms);
        request.attempt += 1;
        request.waits_since_ms = None;
        let attempt = request.attempt;
        if sent.locality == Locality::OtherDomain && request.counted == Counted::Yes {
            self.figures.crossed += 1;
            self.figures.crossed_kb += traffic_kb(&request.prompt);
        }
        request.at = Some(Place {
            sent,
            host,
            token: Token::None,
        });
        if let SilenceTimeout::After(ms) = patience {
            self.schedule.add(ms * MS, Event::Silence { id, attempt });
        }
        self.kick(host);
    }

    /// A server was silent for too long.
    pub fn silence(&mut self, id: RequestId, attempt: u32) {
        let request = &self.requests[id];
        let waits = matches!(&request.at, Some(place) if place.token == Token::None);
        if request.has_ended() || request.attempt != attempt || !waits {
            return;
        }
        self.break_off(id, FailureCause::Silent);
    }

    /// A server lost a request to which it had given so many tokens.
    pub fn lost(&mut self, id: RequestId, given: TokenCount) {
        self.requests[id].given += given;
        self.break_off(id, FailureCause::Broken);
    }

    fn break_off(&mut self, id: RequestId, cause: FailureCause) {
        let Some(place) = self.leave(id) else {
            return;
        };
        self.fail(id, place.sent, cause);
        self.send(id);
    }

    /// Takes a request from its server.
    fn leave(&mut self, id: RequestId) -> Option<Place> {
        let place = self.requests[id].at.take()?;
        self.supply.host(place.host).engine.cancel(id);
        Some(place)
    }

    /// Takes in a failed attempt; ends the request if no other may follow.
    fn fail(&mut self, id: RequestId, mut sent: Sent, cause: FailureCause) {
        let (now_ms, left_ms) = (self.now_ms(), self.left_ms(id));
        let request = &mut self.requests[id];
        let node = &mut self.nodes[request.node];
        node.ended(&mut sent);
        if cause != FailureCause::Refused {
            node.saw_failure(&sent, now_ms);
        }
        request.avoid.push(sent.server.record.id.clone());
        let mut next = request.trail.record_failure(cause, left_ms);
        let repeats = next == NextAction::Retry && request.trail.sends > 0;
        if repeats && node.draw_repeat(now_ms) == RetryPermit::Exhausted {
            next = NextAction::GiveUp;
        }
        if next == NextAction::Retry {
            return;
        }
        match request.trail.run_state {
            RunState::NotRun => self.refuse(id),
            RunState::Unknown | RunState::Ran => self.end(id, Ending::Failed),
        }
    }

    /// Tells a caller that its request was not run.
    fn refuse(&mut self, id: RequestId) {
        if self.requests[id].trail.run_state != RunState::NotRun {
            return self.end(id, Ending::Failed);
        }
        let away_ms = self.rng.random_range(RETRY_AFTER_MS.0..RETRY_AFTER_MS.1);
        let most_ms = self.left_ms(id) / AWAY_SHARE;
        let fresh = trail(self.kind(id));
        let request = &mut self.requests[id];
        request.waits_since_ms = None;
        if request.retries == 0 || away_ms > most_ms {
            return self.end(id, Ending::Refused);
        }
        request.retries -= 1;
        request.trail = fresh;
        request.avoid.clear();
        self.schedule.add(away_ms * MS, Event::Ask { id });
    }

    /// A request's first token at its server.
    pub fn first(&mut self, id: RequestId) {
        let now_us = self.schedule.now_us();
        let request = &mut self.requests[id];
        let Some(place) = &mut request.at else {
            return;
        };
        let own = &self.nodes[request.node].failure_domain;
        let there = &place.sent.server.record.failure_domain;
        let link_ms = crossing::round_trip_ms(self.experiment, own, there, now_us);
        let now_ms = now_us / MS + link_ms;
        place.token = Token::Some;
        let limit_per_s = self.supply.host(place.host).limit_per_s;
        let signals = Signals {
            limit_per_s: limit_per_s.map_or(Reading::Absent, Reading::Given),
            ..Signals::default()
        };
        let node = &mut self.nodes[request.node];
        node.saw_signals(&place.sent, &signals, now_ms);
        node.saw_first(&mut place.sent, now_ms);
        let asked_ms = request.asked_ms;
        request.first_ms.get_or_insert(now_ms - asked_ms);
    }

    /// A request's last token.
    pub fn done(&mut self, id: RequestId) {
        let first_ms = self.requests[id].first_ms.unwrap_or(0);
        self.end(id, Ending::Answered(first_ms));
    }

    /// A caller's time is up.
    pub fn overdue(&mut self, id: RequestId) {
        self.end(id, Ending::Failed);
    }

    fn end(&mut self, id: RequestId, ending: Ending) {
        if self.requests[id].has_ended() {
            return;
        }
        if let Some(mut place) = self.leave(id) {
            let node = self.requests[id].node;
            self.nodes[node].ended(&mut place.sent);
        }
        let request = &mut self.requests[id];
        request.state = Life::Ended;
        if request.counted == Counted::Yes {
            let kind = &self.experiment.kinds[request.kind];
            self.figures.count(kind, ending);
        }
    }

    fn kind(&self, id: RequestId) -> &Kind {
        &self.experiment.kinds[self.requests[id].kind]
    }

    /// Longest time that the work of others may take before a request; none for one that has begun.
    fn wait_limit_ms(&self, id: RequestId) -> Option<Millisecond> {
        if self.requests[id].trail.run_state != RunState::NotRun {
            return None;
        }
        let targets = self.experiment.kinds.iter().map(|k| k.target_ms);
        let share = self.experiment.wait_share;
        Some(wait_limit_ms(targets.min()?, share, self.kind(id).rank))
    }

    fn left_ms(&self, id: RequestId) -> Millisecond {
        let until_ms = self.requests[id].asked_ms + self.kind(id).deadline_ms;
        until_ms.saturating_sub(self.now_ms())
    }
}
