//! Checks that stand-in engines follow the capacity and the faults set for them.

use cicadacrank_bench::{
    engine::{Capacity, Fault, Load, Profile, Server, mark_of},
    fleet::{self, wait_for},
};
use tokio::net::TcpStream;

async fn server(capacity: Capacity) -> Server {
    let profile = Profile {
        first_us: 0,
        token_us: 0,
        tokens: 3,
    };
    let server = Server::start("one", profile)
        .await
        .expect("the stand-in starts");
    server.set_capacity(capacity);
    server
}

async fn wait_for_restart(server: &Server) {
    wait_for("restart", async || server.is_up())
        .await
        .expect("the stand-in restarts");
}

/// Sends a POST request; returns the status and the body of the response, or `None`
/// if the connection failed or was cut.
async fn post(server: &Server, path: &str, body: &str) -> Option<(u16, String)> {
    let response = fleet::client()
        .expect("the client is created")
        .post(format!("http://{}{path}", server.address))
        .body(body.to_owned())
        .send()
        .await
        .ok()?;
    let status = response.status().as_u16();
    Some((status, response.text().await.ok()?))
}

#[tokio::test]
async fn serve_injects_each_fault() {
    let cases: &[(Fault, &str, Option<u16>, &str)] = &[
        (Fault::Slow(100), "/stock", Some(200), "mark:m-1"),
        (Fault::Rubbish, "/stock", Some(200), "} rubbish {"),
        (Fault::Rubbish, "/v1/completions", Some(200), "} rubbish {"),
        (Fault::Truncate(2), "/stock", None, ""),
        (Fault::Truncate(2), "/v1/completions", None, ""),
        (Fault::CrashOn("m-1".to_owned()), "/stock", None, ""),
        (
            Fault::CrashOn("m-2".to_owned()),
            "/stock",
            Some(200),
            "mark:m-1",
        ),
        (Fault::Refuse, "/stock", Some(422), "refused"),
    ];
    for (fault, path, status, expected_text) in cases {
        let server = server(Capacity::default()).await;
        server.set_faults(vec![fault.clone()]);
        let body = r#"{"prompt":"mark:m-1","request":{"query":"mark:m-1"}}"#;
        let response = post(&server, path, body).await;
        let actual_status = response.as_ref().map(|(status, _)| *status);
        assert_eq!(actual_status, *status, "{fault:?} {path}");
        let text = response.map_or_else(String::new, |(_, text)| text);
        assert!(text.contains(expected_text), "{fault:?} {path}: {text}");
        server.set_faults(Vec::new());
        wait_for_restart(&server).await;
        let recovered = post(&server, path, body)
            .await
            .expect("the stand-in responds");
        assert_eq!(recovered.0, 200, "{fault:?} {path}: the fault is cleared");
    }
}

#[tokio::test]
async fn serve_crashes_above_the_cold_capacity() {
    let server = server(Capacity {
        cold_slots: 1,
        warm_slots: 2,
        warmup_ms: 3_600_000,
        ..Capacity::default()
    })
    .await;
    server.set_faults(vec![Fault::Silent]);
    let (first, ()) = tokio::join!(post(&server, "/stock", "{}"), async {
        wait_for("one request in flight", async || server.runs().len() == 1)
            .await
            .expect("the first request arrives");
        assert_eq!(
            post(&server, "/stock", "{}").await,
            None,
            "the request above the capacity is cut"
        );
    });
    assert_eq!(first, None, "the request in flight is cut");
    assert_eq!(server.incarnation(), 2);
    server.set_faults(Vec::new());
    wait_for_restart(&server).await;
    server.mark_warm();
    let (one, two) = tokio::join!(post(&server, "/stock", "{}"), post(&server, "/stock", "{}"));
    assert!(
        one.is_some() && two.is_some(),
        "a warm stand-in serves two requests at a time"
    );
}

#[tokio::test]
async fn crash_refuses_connections_until_the_restart() {
    let server = server(Capacity {
        restart_ms: 50,
        ..Capacity::default()
    })
    .await;
    let connects = async || TcpStream::connect(server.address).await.is_ok();
    assert!(connects().await);
    server.crash();
    wait_for("refused connections", async || !connects().await)
        .await
        .expect("connections are refused");
    wait_for_restart(&server).await;
    assert!(connects().await);
    assert!(post(&server, "/stock", "{}").await.is_some());
}

#[tokio::test]
async fn load_reports_the_state_after_a_lag() {
    let server = server(Capacity {
        report_lag_ms: 3_600_000,
        ..Capacity::default()
    })
    .await;
    server.crash();
    wait_for_restart(&server).await;
    let url = format!("http://{}/load", server.address);
    let client = fleet::client().expect("the client is created");
    let load = async || -> Load {
        let response = client
            .get(&url)
            .send()
            .await
            .expect("the stand-in responds");
        response.json().await.expect("the load report is valid")
    };
    assert_eq!(
        load().await.incarnation,
        1,
        "the report does not show the restart yet"
    );
    server.set_capacity(Capacity::default());
    assert_eq!(load().await.incarnation, 2);
}

#[test]
fn mark_of_ends_at_other_characters() {
    let cases = [
        ("tea mark:a-1, please", "a-1"),
        (r#"{"query":"mark:b2"}"#, "b2"),
        ("no sign", ""),
    ];
    for (text, mark) in cases {
        assert_eq!(mark_of(text), mark, "{text}");
    }
}
