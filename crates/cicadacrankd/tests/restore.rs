//! The platform comes back from a copy some seconds old, under real processes.

mod common;

use common::{request, run_count, send, start_small_fleet};
use std::time::Duration;
use tokio::time::{self, Instant};

/// Time within which work that may not be repeated is accepted again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two tries of a refused request.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

// Guards against orders that are refused for good, or run twice, after the platform came
// back from a copy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_recorded_before_a_restore_is_never_run_again() {
    let fleet = start_small_fleet().await;
    let copy = fleet.platform.state().save();
    let first = send(request(&fleet, 0, "order", "key")).await;
    assert_eq!(first.status, 200, "{first:?}");
    // The outcome is recorded after the answer.
    time::sleep(Duration::from_millis(500)).await;
    fleet.platform.state().restore(&copy);
    let end = Instant::now() + RECOVERY_TIMEOUT;
    for key in ["key", "other"] {
        loop {
            let again = send(request(&fleet, 1, "order", key)).await;
            if again.status == 200 {
                break;
            }
            // Earlier stages of the pipeline may have run.
            assert_eq!(again.kind(), "platform-down", "{again:?}");
            assert!(Instant::now() < end, "{key} is still refused: {again:?}");
            time::sleep(RETRY_INTERVAL).await;
        }
    }
    assert_eq!(run_count(&fleet, "/orders"), 2, "each key runs once");
}
