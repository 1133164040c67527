//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file of lines, each with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
    starts: Arc<Mutex<Vec<Start>>>,
}

/// A task that an executor has begun on an order.
#[derive(Debug, Clone)]
pub struct Start {
    pub at_s: f64,
    pub task: String,
    pub executor: String,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now(), starts: Arc::default() })
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Records a start.
    pub fn start(&self, task: &str, run: u64, executor: &str, spec: &str) {
        self.line(&format!("run starts: task={task} run={run} on={executor} spec={spec}"));
        let start = Start { at_s: self.seconds(), task: task.to_owned(), executor: executor.to_owned() };
        self.starts.lock().unwrap().push(start);
    }

    /// All starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        if file.write_all(line.as_bytes()).is_err() {
            eprintln!("the record cannot be written");
        }
    }
}
