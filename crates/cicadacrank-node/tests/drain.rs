//! Which requests a gateway still accepts during a graceful shutdown.

use cicadacrank_node::gateway::Drain;
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn accepts_late_requests_only_if_they_end_in_time() {
    let notified = Instant::now();
    let at = |milliseconds| notified + Duration::from_millis(milliseconds);
    let drain = Drain {
        noticed: at(2_500),
        ends: at(7_100),
    };
    // Arrival and deadline in milliseconds, and whether the request is accepted.
    let cases = [
        (0, 15_000, true),
        (2_400, 17_400, true),
        (2_600, 7_600, false),
        (2_600, 3_600, true),
        (6_100, 7_100, true),
        (6_200, 7_200, false),
    ];
    for (arrived, deadline, accepted) in cases {
        assert_eq!(
            drain.accepts(at(arrived), at(deadline)),
            accepted,
            "arrived at {arrived} ms, deadline at {deadline} ms"
        );
    }
}
