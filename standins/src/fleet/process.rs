//! A process of a test fleet, which is signalled by its process id.

use std::io::{BufRead as _, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use std::{env, fs, io, result, thread};

use tokio::net::TcpSocket;

/// The result of driving a process.
pub type Result<T> = result::Result<T, ProcessError>;

/// The lowest port on which processes of a fleet listen.
const FIRST_PORT: u32 = 10_000;
/// Number of ports from the lowest on, all below the system's range for outgoing connections.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first candidate ports of processes with consecutive process ids.
const PORT_STRIDE: u32 = 211;
/// Interval at which a terminating process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The text that a stand-in prints before its address.
const ADDRESS_PREFIX: &str = "listening ";

/// The reason why a process could not be started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program could not be started, usually because it has not been built.
    #[error(
        "The program {program:?} cannot be started; build it with `cargo build --workspace --bins`."
    )]
    Start {
        /// The path of the program.
        program: PathBuf,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The stand-in did not print its address as its first line.
    #[error("The program {program:?} printed {line:?} instead of its address.")]
    NoAddress {
        /// The path of the program.
        program: PathBuf,
        /// The first line of its output; empty if it ended without any.
        line: String,
    },
    /// The process did not terminate within the limit.
    #[error("The process {name} was still running after {} ms.", waited.as_millis())]
    StillRunning {
        /// The name of the process in the fleet.
        name: String,
        /// The time for which the caller waited.
        waited: Duration,
    },
    /// Too few ports are free.
    #[error("Only {free} of the {wanted} required ports are free.")]
    NoPort {
        /// How many are wanted.
        wanted: usize,
        /// Number of free ports found.
        free: usize,
    },
    /// Another operation failed in the operating system.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    /// The name of the process in the fleet.
    pub name: String,
    /// The address at which the process serves.
    pub address: SocketAddr,
    child: Child,
}

impl Process {
    /// Starts a stand-in and reads the address that it prints.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] if it does not start or prints no address.
    pub fn stand_in(name: &str, arguments: &[&str]) -> Result<Self> {
        let program = program("standin");
        let mut command = Command::new(&program);
        command.args(arguments).args(["--listen", "127.0.0.1:0"]).stdout(Stdio::piped());
        let mut child = start(&program, &mut command)?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let address = line.trim().strip_prefix(ADDRESS_PREFIX).and_then(|text| text.parse().ok());
        let address = address.ok_or(ProcessError::NoAddress { program, line })?;
        Ok(Self { name: name.to_owned(), address, child })
    }

    /// Starts a daemon with a settings file; its log is appended to the file with the extension
    /// `log` beside it.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] if it does not start.
    pub fn daemon(name: &str, daemon: &str, settings: &Path, address: SocketAddr) -> Result<Self> {
        let program = program(daemon);
        let log =
            fs::File::options().create(true).append(true).open(settings.with_extension("log"))?;
        let mut command = Command::new(&program);
        command.arg("--settings").arg(settings).stdout(Stdio::null()).stderr(log);
        let child = start(&program, &mut command)?;
        Ok(Self { name: name.to_owned(), address, child })
    }

    /// Returns the process id that the operating system assigned.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the `kill` command cannot be run.
    pub fn signal(&self, signal: &str) -> Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args([format!("-{signal}"), id]).status()?;
        Ok(())
    }

    /// Returns true if the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has terminated by itself.
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
            thread::sleep(EXIT_POLL_INTERVAL);
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

/// Returns the path of a program in the build folder of the running one.
pub fn program(name: &str) -> PathBuf {
    let current = env::current_exe().unwrap_or_default();
    let mut dir = current.parent().map(Path::to_owned).unwrap_or_default();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir.join(name)
}

/// Returns loopback addresses whose ports were free when checked.
///
/// The ports lie below the range from which the system assigns ports to outgoing connections, so
/// that no connection occupies one before the process that is to listen there.
///
/// # Errors
///
/// Returns [`ProcessError::NoPort`] if fewer than `count` ports are free.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let candidates = (0..PORT_COUNT).map(|_| next_candidate());
    let free: Vec<SocketAddr> =
        candidates.filter(|address| can_bind(*address).is_ok()).take(count).collect();
    if free.len() < count {
        return Err(ProcessError::NoPort { wanted: count, free: free.len() });
    }
    Ok(free)
}

/// Checks that no process listens on an address, without listening there. A process that another
/// thread starts meanwhile inherits the socket until it runs its program, and a socket that listens
/// would occupy the port for that time.
fn can_bind(address: SocketAddr) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)
}

/// Returns the next address to try. Each process starts at another port, so that concurrent tests
/// rarely collide.
fn next_candidate() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PORT_STRIDE);
    let offset = start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
    let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
