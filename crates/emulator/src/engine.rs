//! A model engine: continuous batching, prompts read in chunks between other requests' tokens, and
//! prompt parts kept by least recent use.

use std::collections::VecDeque;

use base::units::TokenCount;
use gateway::decide::prefix_cache::PrefixCache;
use gateway::decide::prompt::Prompt;

use crate::experiment::EngineSheet;
use crate::schedule::{MS, Microsecond};

/// Number of a request.
pub type RequestId = usize;

/// A request as an engine has it.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its number.
    pub id: RequestId,
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens still to be given.
    pub answer_tokens: TokenCount,
    /// Rank; 0 goes first.
    pub rank: u8,
}

#[derive(Debug)]
struct Running {
    task: Task,
    to_read: TokenCount,
    given: TokenCount,
}

/// What became of a request in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Its first token came.
    First(RequestId),
    /// Its last token came.
    Done(RequestId),
}

/// Whether an engine accepted a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Taken,
    /// Running and waiting places are full.
    Full,
}

#[derive(Debug)]
pub struct Engine {
    sheet: EngineSheet,
    step_part: f64,
    waiting: VecDeque<Task>,
    running: Vec<Running>,
    kept: PrefixCache,
    /// Prompt tokens read.
    pub read_tokens: TokenCount,
    /// Prompt tokens of shared parts read.
    pub shared_read_tokens: TokenCount,
}

impl Engine {
    /// An idle engine that keeps nothing; its steps take `step_part` of the usual time.
    pub fn new(sheet: &EngineSheet, step_part: f64) -> Self {
        Self {
            sheet: sheet.clone(),
            step_part,
            waiting: VecDeque::new(),
            running: Vec::new(),
            kept: PrefixCache::default(),
            read_tokens: 0,
            shared_read_tokens: 0,
        }
    }

    /// Steps take so many times as long from now on.
    pub fn slow(&mut self, times: f64) {
        self.step_part *= times;
    }

    /// Takes a request, if it has a place.
    pub fn take(&mut self, task: Task) -> Admission {
        let places = (self.sheet.slots + self.sheet.queue) as usize;
        if self.waiting.len() + self.running.len() >= places {
            return Admission::Full;
        }
        self.waiting.push_back(task);
        Admission::Taken
    }

    /// Gives up a request.
    pub fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|task| task.id != id);
        self.running.retain(|running| running.task.id != id);
    }

    /// Ends at once; gives back the requests that it had, and the tokens given to each.
    pub fn end(&mut self) -> Vec<(RequestId, TokenCount)> {
        let waiting = self.waiting.drain(..).map(|task| (task.id, 0));
        let running = self.running.drain(..).map(|r| (r.task.id, r.given));
        let lost = waiting.chain(running).collect();
        self.kept = PrefixCache::default();
        lost
    }

    /// Requests that it has.
    pub fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Plans a step at `now_us`: how long it takes, or `None` without work.
    pub fn begin_step(&mut self, now_us: Microsecond) -> Option<Step> {
        self.admit(now_us);
        if self.running.is_empty() {
            return None;
        }
        let mut room = self.sheet.chunk_tokens;
        let mut reads = Vec::new();
        let mut gives = 0.0;
        for place in self.by_rank() {
            let running = &self.running[place];
            if running.to_read == 0 {
                gives += 1.0;
                continue;
            }
            let tokens = running.to_read.min(room);
            room -= tokens;
            if tokens > 0 {
                reads.push((running.task.id, tokens));
            }
        }
        let read: TokenCount = reads.iter().map(|(_, tokens)| tokens).sum();
        let reading_ms = read as f64 / self.sheet.read_tokens_per_ms;
        let giving_ms = self.sheet.step_ms_per_slot * gives;
        let took_ms = (self.sheet.step_ms + giving_ms + reading_ms) * self.step_part;
        Some(Step {
            took_us: (took_ms * MS as f64) as Microsecond,
            reads,
        })
    }

    /// Carries out a step that was planned.
    pub fn end_step(&mut self, step: &Step) -> Vec<Progress> {
        let mut progress = Vec::new();
        for running in &mut self.running {
            let read = step.reads.iter().find(|(id, _)| *id == running.task.id);
            match (running.to_read, read) {
                (0, _) => running.given += 1,
                (_, Some((_, tokens))) => {
                    running.to_read -= tokens;
                    if running.to_read > 0 {
                        continue;
                    }
                    running.given += 1;
                    progress.push(Progress::First(running.task.id));
                }
                (_, None) => continue,
            }
            if running.given >= running.task.answer_tokens {
                progress.push(Progress::Done(running.task.id));
            }
        }
        let done = |r: &Running| r.to_read == 0 && r.given >= r.task.answer_tokens;
        self.running.retain(|running| !done(running));
        progress
    }

    fn admit(&mut self, now_us: Microsecond) {
        while self.running.len() < self.sheet.slots as usize {
            let ranked = self.waiting.iter().enumerate();
            let next = ranked.min_by_key(|(place, task)| (task.rank, *place));
            let Some((place, _)) = next else {
                return;
            };
            if let Some(task) = self.waiting.remove(place) {
                self.start(task, now_us);
            }
        }
    }

    fn start(&mut self, task: Task, now_us: Microsecond) {
        let known = self.kept.cached_tokens(&task.prompt);
        let whole = task.prompt.read_tokens();
        let shared: TokenCount = task
            .prompt
            .parts
            .iter()
            .rev()
            .skip(1)
            .map(|p| p.tokens)
            .sum();
        self.kept
            .record(&task.prompt, self.sheet.memory_tokens, now_us / MS);
        // The last token is read in any case.
        let to_read = whole.saturating_sub(known).max(1);
        self.read_tokens += to_read;
        self.shared_read_tokens += shared.saturating_sub(known);
        self.running.push(Running {
            task,
            to_read,
            given: 0,
        });
    }

    fn by_rank(&self) -> Vec<usize> {
        let mut places: Vec<usize> = (0..self.running.len()).collect();
        places.sort_by_key(|place| self.running[*place].task.rank);
        places
    }
}

#[derive(Clone, Debug)]
pub struct Step {
    /// Its time.
    pub took_us: Microsecond,
    reads: Vec<(RequestId, TokenCount)>,
}
