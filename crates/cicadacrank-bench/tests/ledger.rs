//! Tests for the ledger of a day.

use cicadacrank_bench::report::ledger::Day;
use expect_test::expect;

const REPORT: &str = r#"{
    "G": 0.55, "served": 0.9, "fault": null,
    "parts": [["whole day", 0.75, 0.9], ["worst windows", 0.25, 0.6]],
    "prices": [["probes", 0.0, 0.0], ["cloud calls", 2844.0, 0.05], ["machine-seconds", 754.0, 0.225]],
    "classes": [{"name": "ask", "n": 10, "in_aim": 8, "late": 1, "refused": 1, "failed": 0,
        "not_owed": 0, "worth": 0.85, "p50_ms": 120.4, "p99_ms": 900.6}],
    "windows": [
        {"name": "0", "n": 5, "in_aim": 5, "late": 0, "refused": 0, "failed": 0, "worth": 1.0,
            "p50_ms": 1.0, "p99_ms": 2.0},
        {"name": "2", "n": 5, "in_aim": 3, "late": 1, "refused": 1, "failed": 0, "worth": 0.7,
            "p50_ms": 3.0, "p99_ms": 4.0}],
    "hints": ["12 prompt tokens read"]
}"#;

#[test]
fn markdown_lists_the_largest_losses_and_the_worst_windows_first() {
    let day = Day::parse(REPORT).expect("the report is valid");
    expect![[r#"
        ### quiet

        Worth 0.550, served 0.900.

        | lost to | quantity | worth |
        |---|---|---|
        | machine-seconds | 754.0 | 0.225 |
        | worst windows | 0.600 of weight 0.25 | 0.100 |
        | whole day | 0.900 of weight 0.75 | 0.075 |
        | cloud calls | 2844.0 | 0.050 |

        | kind of request | asked | in time | late | refused | failed | worth | p50 ms | p99 ms |
        |---|---|---|---|---|---|---|---|---|
        | ask | 10 | 8 | 1 | 1 | 0 | 0.850 | 120 | 901 |

        | worst seconds, from | asked | in time | late | refused | failed | worth | p50 ms | p99 ms |
        |---|---|---|---|---|---|---|---|---|
        | 2 | 5 | 3 | 1 | 1 | 0 | 0.700 | 3 | 4 |
        | 0 | 5 | 5 | 0 | 0 | 0 | 1.000 | 1 | 2 |

        - 12 prompt tokens read
    "#]]
    .assert_eq(&day.markdown("quiet"));
}

#[test]
fn parse_rejects_text_that_is_no_report() {
    for text in ["", "{}", "[]", "{\"G\": 1}"] {
        assert!(Day::parse(text).is_err(), "{text}");
    }
}
