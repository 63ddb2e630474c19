//! One process of a test fleet, ended by its own id.

use std::io::{BufRead as _, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use std::{env, fs, io, result, thread};

/// The result of driving a process.
pub type Result<T> = result::Result<T, ProcessError>;

/// The first port that a fleet's processes listen on.
const FIRST_PORT: u32 = 10_000;
/// Ports from the first on, all below the system's range for outgoing connections.
const PORTS: u32 = 20_000;
/// Ports between the first ones of two processes that were started one after the other.
const PORT_STRIDE: u32 = 211;
/// How often an ending process is looked at.
const WAIT_STEP: Duration = Duration::from_millis(10);
/// What a stand-in prints before its address.
const LISTENING: &str = "listening ";

/// ProcessError is why a process cannot be driven.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program cannot be started.
    #[error(
        "The program {program:?} cannot be started; `cargo build --workspace --bins` makes it."
    )]
    Start {
        /// The program.
        program: PathBuf,
        /// Why not.
        #[source]
        source: io::Error,
    },
    /// The stand-in did not tell its address.
    #[error("The program {program:?} printed {line:?} in place of its address.")]
    NoAddress {
        /// The program.
        program: PathBuf,
        /// What it printed.
        line: String,
    },
    /// The process did not end in time.
    #[error("The process {name} was still running after {} ms.", waited.as_millis())]
    StillRunning {
        /// Its name in the fleet.
        name: String,
        /// How long it was waited for.
        waited: Duration,
    },
    /// Too few ports are free.
    #[error("Only {free} of the {wanted} ports that are wanted are free.")]
    NoPort {
        /// How many are wanted.
        wanted: usize,
        /// How many are free.
        free: usize,
    },
    /// The operating system refused.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Process is one child process; dropping it ends it.
#[derive(Debug)]
pub struct Process {
    /// Its name in the fleet.
    pub name: String,
    /// Where it serves.
    pub address: SocketAddr,
    child: Child,
}

impl Process {
    /// Starts a stand-in and reads the address that it prints.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] where it does not start or prints no address.
    pub fn stand_in(name: &str, arguments: &[&str]) -> Result<Self> {
        let program = program("standin");
        let mut command = Command::new(&program);
        command.args(arguments).args(["--listen", "127.0.0.1:0"]).stdout(Stdio::piped());
        let mut child = start(&program, &mut command)?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let address = line.trim().strip_prefix(LISTENING).and_then(|text| text.parse().ok());
        let address = address.ok_or(ProcessError::NoAddress { program, line })?;
        Ok(Self { name: name.to_owned(), address, child })
    }

    /// Starts a daemon with a settings file; its log goes to a file beside the settings.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] where it does not start.
    pub fn daemon(name: &str, daemon: &str, settings: &Path, address: SocketAddr) -> Result<Self> {
        let program = program(daemon);
        let log =
            fs::File::options().create(true).append(true).open(settings.with_extension("log"))?;
        let mut command = Command::new(&program);
        command.arg("--settings").arg(settings).stdout(Stdio::null()).stderr(log);
        let child = start(&program, &mut command)?;
        Ok(Self { name: name.to_owned(), address, child })
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process without warning.
    ///
    /// # Errors
    ///
    /// Returns an error where the operating system refuses.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns an error where the `kill` command cannot be run.
    pub fn signal(&self, signal: &str) -> Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args([format!("-{signal}"), id]).status()?;
        Ok(())
    }

    /// Tells whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::StillRunning`] after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            thread::sleep(WAIT_STEP);
        }
        Err(ProcessError::StillRunning { name: self.name.clone(), waited: limit })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn start(program: &Path, command: &mut Command) -> Result<Child> {
    let started = command.stdin(Stdio::null()).spawn();
    started.map_err(|source| ProcessError::Start { program: program.to_owned(), source })
}

/// Returns the path of a program that was built beside the running one.
pub fn program(name: &str) -> PathBuf {
    let current = env::current_exe().unwrap_or_default();
    let mut dir = current.parent().map(Path::to_owned).unwrap_or_default();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir.join(name)
}

/// Returns loopback addresses with ports that were free a moment ago.
///
/// They lie below the range from which the system takes the ports of outgoing connections, so
/// that no connection takes one before the process that is to listen there.
///
/// # Errors
///
/// Returns [`ProcessError::NoPort`] where none is free.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let candidates = (0..PORTS).map(|_| next_candidate());
    let free: Vec<SocketAddr> =
        candidates.filter(|address| TcpListener::bind(address).is_ok()).take(count).collect();
    if free.len() < count {
        return Err(ProcessError::NoPort { wanted: count, free: free.len() });
    }
    Ok(free)
}

/// Each process begins elsewhere, so that tests that run at once rarely meet.
fn next_candidate() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PORT_STRIDE);
    let offset = start.wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed)) % PORTS;
    let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
