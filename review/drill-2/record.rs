//! What was sent, answered and run, as it goes to `record.txt`.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{seconds:9.3} {text}").ok();
    }

    /// Writes a line of the result, which is also printed.
    pub fn result(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
