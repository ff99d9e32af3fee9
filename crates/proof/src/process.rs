//! A child process: its lines, its signals and its end.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;

use rustix::process::{Pid, Signal, kill_process};

use crate::guard;
use crate::programs::Program;

/// Running child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    collector: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program; its standard error goes to `NAME.log` in `directory`.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn spawn(program: Program, name: &str, directory: &Path, arguments: &[String]) -> Self {
        Self::spawn_at(&program.path(), name, directory, arguments)
    }

    /// Starts the program at `path`, which another build may have made.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn spawn_at(path: &Path, name: &str, directory: &Path, arguments: &[String]) -> Self {
        let log = File::create(directory.join(format!("{name}.log")));
        let mut child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.expect("the directory can be written"))
            .spawn()
            .unwrap_or_else(|e| panic!("{name} cannot be started: {e}"));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let stdout = child.stdout.take().expect("standard output is piped");
        let collector = collect(stdout, lines.clone());
        Self {
            name: name.to_owned(),
            child,
            lines,
            collector: Some(collector),
        }
    }

    /// The name it was started under.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line with this start, and returns the rest of it.
    ///
    /// # Panics
    ///
    /// Panics if the process ends before the line, or if the line does not come in time.
    pub async fn line(&mut self, start: &str) -> String {
        let what = format!("the line `{start}` of {}", self.name);
        guard::until(&what, async || {
            if let Ok(Some(status)) = self.child.try_wait() {
                panic!("{} ended with {status} before `{start}`", self.name);
            }
            let lines = self.held_lines();
            let rest = lines.iter().find_map(|line| line.strip_prefix(start));
            rest.map(str::to_owned)
        })
        .await
    }

    /// All lines of standard output so far.
    pub fn lines(&self) -> Vec<String> {
        self.held_lines().clone()
    }

    /// Ends it at once, and gives back all that it wrote to standard output.
    ///
    /// # Panics
    ///
    /// Panics if its output could not be collected.
    pub fn kill_for_lines(&mut self) -> Vec<String> {
        self.kill();
        if let Some(collector) = self.collector.take() {
            collector.join().expect("the collector does not panic");
        }
        self.lines()
    }

    fn held_lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().expect("no holder panics")
    }

    /// Ends it at once, with nothing finished.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
    }

    /// Stops it where it stands, as a paused VM.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to end gracefully.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it has ended by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        let what = format!("the end of {}", self.name);
        guard::until(&what, async || self.child.try_wait().ok().flatten()).await
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to this very child; one that has ended is not signalled.
    fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("an unreaped child can be signalled");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn collect(stdout: impl Read + Send + 'static, lines: Arc<Mutex<Vec<String>>>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines() {
            let Ok(line) = line else { return };
            lines.lock().expect("no holder panics").push(line);
        }
    })
}
