//! What was sent, answered and run, in `record.txt` of the case's folder.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path)
            .unwrap_or_else(|error| crate::give_up(&format!("{}: {error}", path.display())));
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Writes one line with the time since the start of the case.
    pub fn line(&self, text: &str) {
        let at_ms = self.started.elapsed().as_millis();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at_ms:>7} ms  {text}");
            let _ = file.flush();
        }
    }

    /// The same, and prints the line.
    pub fn say(&self, text: &str) {
        println!("{:>7} ms  {text}", self.started.elapsed().as_millis());
        self.line(text);
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
