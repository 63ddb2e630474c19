//! Time, signals and the record of a script.

use std::fs::File;
use std::io::Write as _;
use std::os::unix::process::CommandExt as _;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

pub const SIGKILL: i32 = 9;

mod c {
    extern "C" {
        pub fn kill(pid: i32, signal: i32) -> i32;
        pub fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    }
}

/// Sends a signal to a process that this script has started.
pub fn signal(pid: u32, signal: i32) {
    unsafe { c::kill(pid as i32, signal) };
}

/// Makes a child end with this process, so that nothing is left behind.
pub fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe {
        command.pre_exec(|| {
            c::prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
}

/// Milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A random number.
pub fn random() -> u64 {
    use std::hash::{BuildHasher as _, Hasher as _};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// The record of a script: one line for each event, with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: u64,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: unix_ms() })
    }

    pub fn line(&self, text: &str) {
        self.line_at(unix_ms(), text);
    }

    pub fn line_at(&self, at: u64, text: &str) {
        let after = at.saturating_sub(self.start) as f64 / 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{after:8.3} {text}");
    }

    /// Writes a line and prints it as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
