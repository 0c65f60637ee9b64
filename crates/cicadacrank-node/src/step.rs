//! Steps that a process does without giving other tasks a turn.

use cicadacrank_core::event::Event;
use std::time::{Duration, Instant};

/// Time that one step may take. All requests wait meanwhile.
const MAX_STEP_TIME: Duration = Duration::from_millis(10);

/// Measures one step, from its creation until it is dropped, and logs one that took too long.
#[derive(Debug)]
pub struct Step {
    name: &'static str,
    /// Number of items that the step goes through, for the log.
    size: usize,
    began: Instant,
}

impl Step {
    /// Begins a step that goes through `size` items.
    #[must_use]
    pub fn new(name: &'static str, size: usize) -> Self {
        Self {
            name,
            size,
            began: Instant::now(),
        }
    }
}

impl Drop for Step {
    fn drop(&mut self) {
        let took = self.began.elapsed();
        if took > MAX_STEP_TIME {
            Event::StepTookLong.log(format_args!(
                "step={} size={} took_ms={} limit_ms={}",
                self.name,
                self.size,
                took.as_millis(),
                MAX_STEP_TIME.as_millis()
            ));
        }
    }
}
