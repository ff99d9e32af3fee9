//! A model server that batches requests: in each step it reads a chunk of prompts, the most urgent
//! first, and gives each request that has been read a token.

/// Tokens read in one step at most.
const CHUNK_TOKENS: f64 = 2_048.0;

const STEP_MS: f64 = 5.5;

/// Addition to a step for each running request.
const RUNNING_MS: f64 = 0.04;

/// Tokens after which reading takes twice as long.
const LONG_PROMPT_TOKENS: f64 = 40_000.0;

#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub id: usize,
    pub rank: u8,
    pub prompt_tokens: f64,
    pub answer_tokens: u32,
}

#[derive(Debug)]
struct Running {
    task: Task,
    read: f64,
    given: u32,
}

#[derive(Debug, PartialEq)]
pub enum Progress {
    First(usize),
    Done(usize),
}

#[derive(Debug)]
pub struct BatchServer {
    pub slots: usize,
    /// Time that a step takes, relative to the usual time: 1 / speed.
    pub factor: f64,
    pub tokens_per_ms: f64,
    waiting: Vec<Task>,
    running: Vec<Running>,
    step_ends_ms: Option<f64>,
}

impl BatchServer {
    pub fn new(slots: usize, factor: f64, tokens_per_ms: f64) -> Self {
        Self {
            slots,
            factor,
            tokens_per_ms,
            waiting: Vec::new(),
            running: Vec::new(),
            step_ends_ms: None,
        }
    }

    pub fn take(&mut self, task: Task) {
        self.waiting.push(task);
    }

    /// Requests that run, and requests that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Requests that end with the server.
    pub fn unfinished(&self) -> Vec<usize> {
        let waiting = self.waiting.iter().map(|task| task.id);
        waiting
            .chain(self.running.iter().map(|r| r.task.id))
            .collect()
    }

    /// Works until `now_ms`; `pace` multiplies the time of the steps that begin now.
    pub fn run_until(&mut self, now_ms: f64, pace: f64) -> Vec<Progress> {
        let mut progress = Vec::new();
        loop {
            let begins_ms = match self.step_ends_ms {
                Some(ends_ms) if ends_ms > now_ms => return progress,
                Some(ends_ms) => {
                    self.end_step(&mut progress);
                    ends_ms
                }
                None => now_ms,
            };
            self.admit();
            if self.running.is_empty() {
                self.step_ends_ms = None;
                return progress;
            }
            let took_ms = self.read_chunk() * self.factor * pace;
            self.step_ends_ms = Some(begins_ms + took_ms);
        }
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|task| task.rank);
        while self.running.len() < self.slots && !self.waiting.is_empty() {
            let task = self.waiting.remove(0);
            self.running.push(Running {
                task,
                read: 0.0,
                given: 0,
            });
        }
        self.running.sort_by_key(|r| r.task.rank);
    }

    /// Reads the chunk of a step and returns the time of the step.
    fn read_chunk(&mut self) -> f64 {
        let mut room = CHUNK_TOKENS;
        let mut took_ms = STEP_MS + RUNNING_MS * self.running.len() as f64;
        for running in &mut self.running {
            let tokens = (running.task.prompt_tokens - running.read).min(room);
            let slowness = 1.0 + running.read / LONG_PROMPT_TOKENS;
            took_ms += tokens / self.tokens_per_ms * slowness;
            running.read += tokens;
            room -= tokens;
        }
        took_ms
    }

    fn end_step(&mut self, progress: &mut Vec<Progress>) {
        for running in &mut self.running {
            if running.read < running.task.prompt_tokens {
                continue;
            }
            running.given += 1;
            if running.given == 1 {
                progress.push(Progress::First(running.task.id));
            }
            if running.given >= running.task.answer_tokens {
                progress.push(Progress::Done(running.task.id));
            }
        }
        self.running.retain(|r| r.given < r.task.answer_tokens);
    }
}
