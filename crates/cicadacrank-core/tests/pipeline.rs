//! Contexts: the input of each stage and the handling of its output.

use cicadacrank_core::{
    error::Kind,
    pipeline::Context,
    rules::{Pool, Service},
};
use serde_json::{Value, json};

fn pool(service: Service) -> Pool {
    Pool {
        name: "pool".to_owned(),
        service,
        model: "small".to_owned(),
        busy_price_milli: 0,
        idle_price_milli: 0,
    }
}

fn context(body: &Value) -> Context {
    Context::new(body.to_string().as_bytes()).expect("a valid body")
}

#[test]
fn context_passes_outputs_to_later_stages() {
    let mut context = context(&json!({ "query": "tea", "guests": 20 }));
    let rows: [(Service, Value, Value); 5] = [
        (
            Service::Encode,
            json!({ "model": "small", "input": "tea" }),
            json!({ "data": [{ "embedding": [1, 2] }] }),
        ),
        (
            Service::Retrieve,
            json!({ "query": "tea", "embedding": [1, 2], "top_k": 8 }),
            json!({ "documents": ["a", "b"] }),
        ),
        (
            Service::Rerank,
            json!({ "model": "small", "query": "tea", "documents": ["a", "b"] }),
            json!({ "results": [{ "index": 1 }, { "index": 0 }] }),
        ),
        (
            Service::Plain,
            json!({ "request": { "query": "tea", "guests": 20 }, "results": [], "text": null }),
            json!({ "free": true }),
        ),
        (
            Service::Generate,
            json!({
                "model": "small", "prompt": "\"b\"\n\"a\"\n{\"free\":true}\ntea",
                "stream": true, "max_tokens": 256,
            }),
            Value::Null,
        ),
    ];
    for (service, input, output) in rows {
        assert_eq!(context.input(&pool(service)), input, "{service:?}");
        let output = if service == Service::Generate {
            "served".to_owned()
        } else {
            output.to_string()
        };
        context
            .add_output(service, output.as_bytes())
            .expect("a valid output");
    }
    let answer =
        json!({ "text": "served", "documents": ["b", "a"], "results": [{ "free": true }] });
    assert_eq!(context.answer(), answer);
}

#[test]
fn add_output_rejects_invalid_output() {
    for service in Service::ALL {
        let mut context = context(&json!({ "query": "tea" }));
        let failure = context
            .add_output(service, b"\xff{")
            .expect_err("the output is invalid");
        assert_eq!(failure.kind, Kind::EndpointProtocol, "{service:?}");
    }
    let mut context = context(&json!({ "query": "tea" }));
    let rank = br#"{"results":[{"index":7}]}"#;
    assert!(
        context.add_output(Service::Rerank, rank).is_err(),
        "a rank that refers to a missing document was accepted"
    );
}

#[test]
fn continuation_input_continues_where_the_text_ends() {
    let context = context(&json!({ "query": "tea", "max_tokens": 5 }));
    let generate = pool(Service::Generate);
    let after = context
        .continuation_input(&generate, "with milk ", 2)
        .expect("tokens are left");
    assert_eq!(after["prompt"], "teawith milk ");
    assert_eq!(after["max_tokens"], 3);
    assert_eq!(context.continuation_input(&generate, "with milk ", 5), None);
    assert_eq!(context.continuation_input(&generate, "with milk ", 6), None);
}
