//! The clock through which all code reads the time, so that tests can control it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

type ReadFn<T> = Arc<dyn Fn() -> T + Send + Sync>;

/// Clock provides a monotonic time and the time of day.
#[derive(Clone)]
pub struct Clock {
    monotonic: ReadFn<Duration>,
    wall: ReadFn<SystemTime>,
}

impl Clock {
    /// Returns the clock of the operating system. Its monotonic time starts at zero with this call.
    pub fn system() -> Self {
        let start = Instant::now();
        Self { monotonic: Arc::new(move || start.elapsed()), wall: Arc::new(SystemTime::now) }
    }

    /// Returns a clock for tests, which advances only through its handle.
    pub fn manual(wall_start: SystemTime) -> (Self, ManualClock) {
        let handle = ManualClock { elapsed: Arc::default() };
        let (monotonic, wall) = (handle.clone(), handle.clone());
        let clock = Self {
            monotonic: Arc::new(move || monotonic.elapsed()),
            wall: Arc::new(move || wall_start + wall.elapsed()),
        };
        (clock, handle)
    }

    /// Returns the time since the clock was created, which never decreases.
    pub fn monotonic(&self) -> Duration {
        (self.monotonic)()
    }

    /// Returns the time of day, which is only approximately the same on all hosts.
    pub fn wall(&self) -> SystemTime {
        (self.wall)()
    }
}

/// ManualClock is the handle that advances a clock created by [`Clock::manual`].
#[derive(Clone)]
pub struct ManualClock {
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Advances both the monotonic time and the time of day.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
