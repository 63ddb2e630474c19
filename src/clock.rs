//! The clock that is passed in wherever time matters, so that tests set it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

type Reading<T> = Arc<dyn Fn() -> T + Send + Sync>;

/// Clock gives the time since the process started and the time of day.
#[derive(Clone)]
pub struct Clock {
    monotonic: Reading<Duration>,
    wall: Reading<SystemTime>,
}

impl Clock {
    /// Returns the clock of the operating system; its monotonic reading starts at zero.
    pub fn system() -> Self {
        let start = Instant::now();
        Self { monotonic: Arc::new(move || start.elapsed()), wall: Arc::new(SystemTime::now) }
    }

    /// Returns a clock that moves only by its handle, for tests.
    pub fn manual(wall_start: SystemTime) -> (Self, ManualClock) {
        let handle = ManualClock { elapsed: Arc::default() };
        let (monotonic, wall) = (handle.clone(), handle.clone());
        let clock = Self {
            monotonic: Arc::new(move || monotonic.elapsed()),
            wall: Arc::new(move || wall_start + wall.elapsed()),
        };
        (clock, handle)
    }

    /// Returns the time since the process started, which never goes back.
    pub fn monotonic(&self) -> Duration {
        (self.monotonic)()
    }

    /// Returns the time of day, which other hosts share only roughly.
    pub fn wall(&self) -> SystemTime {
        (self.wall)()
    }
}

/// ManualClock moves the clock that [`Clock::manual`] made.
#[derive(Clone)]
pub struct ManualClock {
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
