//! Time for which a connection from a caller may stay idle, and the head of a request take.

use super::{connection::Connection, state::State};
use cicadacrank_core::{crowd::Phase, event::Event};
use hyper::rt::{Sleep, Timer};
use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::time::{self, Instant};

/// Time added to the timeouts of a connection, so that the caller closes it first. The
/// caller measures them from an earlier point in time.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Timer for the heads of the requests on a connection.
///
/// The HTTP library starts it when a connection becomes idle. The timer then takes the
/// timeouts of the configuration in force when it would expire.
#[derive(Clone)]
pub struct HeadTimer {
    state: Arc<State>,
    connection: Connection,
    fixed: Option<Duration>,
}

impl HeadTimer {
    /// Timeout to configure in the HTTP library, from which the timer only takes the time
    /// at which a connection becomes idle.
    pub const TIMEOUT: Duration = Duration::ZERO;

    /// Creates a timer that follows the configuration.
    pub const fn new(state: Arc<State>, connection: Connection) -> Self {
        Self {
            state,
            connection,
            fixed: None,
        }
    }

    /// Sets a timeout to use in place of the configured ones.
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.fixed = Some(timeout);
        self
    }

    /// Returns the time for which a connection may stay idle.
    pub fn timeout(&self) -> Duration {
        self.fixed.unwrap_or_else(|| {
            let limits = self.state.config().map(|config| config.limits);
            limits.unwrap_or_default().idle + TIMEOUT_MARGIN
        })
    }

    /// Returns the time until which a connection that has been idle since `since` may wait
    /// for the head of a request.
    fn until(&self, since: Instant) -> Instant {
        if self.fixed.is_some() || !self.has_begun() {
            return since + self.timeout();
        }
        let limits = self.state.config().map(|config| config.limits);
        self.connection.since() + limits.unwrap_or_default().head_time + TIMEOUT_MARGIN
    }

    /// Returns whether a part of a head has arrived.
    fn has_begun(&self) -> bool {
        self.connection.usage().phase == Phase::Head
    }
}

impl fmt::Debug for HeadTimer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HeadTimer")
            .field("timeout", &self.timeout())
            .finish()
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn sleep_until(&self, idle_since: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        self.connection.enter(Phase::Idle);
        let since = Instant::from_std(idle_since);
        Box::pin(HeadSleep {
            sleep: Box::pin(time::sleep_until(self.until(since))),
            timer: self.clone(),
            since,
        })
    }

    fn now(&self) -> std::time::Instant {
        Instant::now().into_std()
    }
}

/// Completes when a connection was idle, or the head of its request incomplete, for too
/// long.
struct HeadSleep {
    timer: HeadTimer,
    since: Instant,
    sleep: Pin<Box<time::Sleep>>,
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let until = self.timer.until(self.since);
            if self.sleep.deadline() != until {
                self.sleep.as_mut().reset(until);
            }
            ready!(self.sleep.as_mut().poll(context));
            if self.timer.until(self.since) <= until {
                if self.timer.has_begun() {
                    self.timer.state.metrics.head_timeouts.inc();
                    Event::HeadTimedOut.log(format_args!(
                        "head_ms={}",
                        self.timer.connection.since().elapsed().as_millis()
                    ));
                }
                return Poll::Ready(());
            }
        }
    }
}
