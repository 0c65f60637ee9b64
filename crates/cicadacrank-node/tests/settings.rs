//! Tests of parsing settings, and of the errors for invalid ones.

use cicadacrank_node::settings::{Role, Settings, Timeouts};
use expect_test::{Expect, expect};
use std::path::Path;

fn sample(name: &str) -> Settings {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/settings");
    Settings::load(&folder.join(name)).expect("valid sample")
}

fn assert_rejected(text: &str, expected: &Expect) {
    let report = Settings::parse(text).expect_err("invalid settings");
    let chain: Vec<String> = report.chain().map(ToString::to_string).collect();
    expected.assert_eq(&chain.join(" <- "));
}

#[test]
fn load_reads_entry_sample() {
    let settings = sample("entry.jsonc");
    assert_eq!(settings.role, Role::Entry);
    assert_eq!(settings.timeouts, Timeouts::default());
}

#[test]
fn load_reads_sidecar_sample() {
    assert_eq!(sample("sidecar.jsonc").endpoints.len(), 1);
}

#[test]
fn load_names_missing_file() {
    let report = Settings::load("missing.jsonc".as_ref()).expect_err("missing file");
    assert_eq!(report.to_string(), "reading settings from missing.jsonc");
}

#[test]
fn parse_rejects_unknown_key() {
    assert_rejected(
        "{\n  \"role\": \"entry\",\n  \"colour\": 1\n}",
        &expect![
            "unknown field `colour`, expected one of `role`, `instance`, `data_centre`, `platform`, `listen`, `caller_listen`, `operator_listen`, `peers`, `endpoints`, `timeouts`, `log` (line 3, column 3)"
        ],
    );
}

#[test]
fn parse_rejects_wrong_type() {
    assert_rejected(
        "{\n  \"role\": \"entry\",\n  \"instance\": 4\n}",
        &expect!["invalid type: integer `4`, expected a string (line 3, column 15)"],
    );
}

#[test]
fn parse_rejects_name_as_address() {
    assert_rejected(
        "{ \"role\": \"entry\", \"instance\": \"a\", \"data_centre\": \"b\",\n  \"platform\": \"platform.example:80\" }",
        &expect!["invalid socket address syntax (line 2, column 15)"],
    );
}

#[test]
fn parse_rejects_empty_file() {
    assert_rejected(
        "",
        &expect!["invalid type: unit value, expected struct Settings (line 1, column 1)"],
    );
}

#[test]
fn parse_rejects_binary_file() {
    assert_rejected(
        "\u{0}\u{1}\u{2}",
        &expect!["Unexpected token (line 1, column 1)"],
    );
}

#[test]
fn parse_rejects_broken_json() {
    assert_rejected(
        "{\n  \"role\": ",
        &expect!["expected a string or object for enum (line 2, column 11)"],
    );
}

#[test]
fn parse_rejects_sidecar_without_endpoints() {
    assert_rejected(
        r#"{ "role": "sidecar", "instance": "a", "data_centre": "b",
        "platform": "127.0.0.1:1", "listen": "127.0.0.1:2", "operator_listen": "127.0.0.1:3" }"#,
        &expect!["a sidecar needs at least one of `endpoints`"],
    );
}
