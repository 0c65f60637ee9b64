//! A graceful shutdown cuts no request, at either role, under steady load.

mod common;

use cicadacrank_bench::fleet::Fleet;
use common::{Answer, profile, request, send, small};
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// Time between two requests of the steady load.
const PAUSE: Duration = Duration::from_millis(5);

/// Time the load goes on after the shutdown began.
const AFTER: Duration = Duration::from_secs(1);

fn stream_slowly(fleet: &Fleet) {
    for post in &fleet.posts {
        let token_us = if post.endpoint.starts_with("writer") {
            40_000
        } else {
            0
        };
        post.engine.set_profile(profile(0, token_us, 5));
    }
}

/// Sends requests to one entry at a steady rate until a time, and returns all
/// answers.
async fn load(fleet: &Fleet, entry: usize, until: Instant) -> Vec<Answer> {
    let mut tasks = JoinSet::new();
    while Instant::now() < until {
        tasks.spawn(send(request(fleet, entry, "ask", "")));
        time::sleep(PAUSE).await;
    }
    tasks.join_all().await
}

fn assert_whole(answers: &[Answer]) {
    assert!(answers.len() > 50, "{} answers", answers.len());
    for answer in answers {
        assert_eq!(
            answer.body["text"], "word0 word1 word2 word3 word4 ",
            "{answer:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_sidecar_cuts_no_request() {
    let fleet = Arc::new(small().await);
    stream_slowly(&fleet);
    let until = Instant::now() + 2 * AFTER;
    let answers = tokio::spawn({
        let fleet = Arc::clone(&fleet);
        async move { load(&fleet, 0, until).await }
    });
    time::sleep(AFTER / 2).await;
    for post in fleet
        .posts
        .iter()
        .filter(|post| post.endpoint.ends_with("-n"))
    {
        post.sidecar.terminate().expect("terminate");
    }
    assert_whole(&answers.await.expect("task"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_entry_cuts_no_request() {
    let mut fleet = small().await;
    stream_slowly(&fleet);
    fleet.entries[0].terminate().expect("terminate");
    // The balancer goes on sending until it has seen the readiness go.
    let notice = Instant::now() + Duration::from_millis(250);
    let answers = load(&fleet, 0, notice).await;
    assert!(answers.len() > 20, "{} answers", answers.len());
    for answer in &answers {
        assert_eq!(
            answer.body["text"], "word0 word1 word2 word3 word4 ",
            "{answer:?}"
        );
    }
    let status = fleet.entries[0].wait().await.expect("wait");
    assert!(status.success(), "{status}");
}
