//! What a gateway still takes after it was told to stop.

use cicadacrank_node::gateway::Drain;
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn takes_late_only_what_ends_in_time() {
    let told = Instant::now();
    let at = |milliseconds| told + Duration::from_millis(milliseconds);
    let drain = Drain {
        noticed: at(2_500),
        ends: at(7_100),
    };
    // Arrival, deadline and whether the request is taken.
    let cases = [
        (0, 15_000, true),
        (2_400, 17_400, true),
        (2_600, 7_600, false),
        (2_600, 3_600, true),
        (6_100, 7_100, true),
        (6_200, 7_200, false),
    ];
    for (arrived, deadline, taken) in cases {
        assert_eq!(
            drain.takes(at(arrived), at(deadline)),
            taken,
            "{arrived} {deadline}"
        );
    }
}
