use std::path::Path;
use std::path::PathBuf;

use mastichaven_node::direct::explain::explain;
use mastichaven_node::direct::explain::profile;
use mastichaven_node::direct::explain::summarize;

const LOG: &str = r#"
  12.1 edge-1 {"msg":"request ended","ts_ms":30,"host":"edge-1","config_age_ms":802,"offers":2,"endpoint":"i-2","took_ms":40,"reason":"answer lost","status":502,"id":"a1"}
{"msg":"attempt failed","ts_ms":20,"host":"edge-1","error":"broken","at":"head","endpoint":"i-1","id":"a1"}
{"msg":"request ended","ts_ms":25,"host":"edge-1","config_age_ms":4702,"took_ms":0,"reason":"configuration too old","status":503,"id":"b2"}
{"msg":"request ended","ts_ms":26,"host":"edge-1","config_age_ms":4702,"took_ms":0,"reason":"configuration too old","status":503,"id":"a11"}
not a line
"#;

#[test]
fn explain_sorts_lines_and_names_cause() {
    let explanation = explain("a1", LOG.lines()).unwrap();
    assert_eq!(explanation.lines.len(), 2);
    assert!(explanation.lines[0].contains("attempt failed"));
    assert_eq!(
        explanation.cause,
        "Answered 502 by edge-1 after 40 ms: an endpoint accepted it and the response was lost. It \
         may have run. The attempt at endpoint i-1 failed at \"head\": broken."
    );
}

#[test]
fn explain_reports_age_of_stale_config() {
    let cause = explain("b2", LOG.lines()).unwrap().cause;
    assert!(cause.contains("no fresh configuration (4702 ms old). It has not run."), "{cause}");
    assert!(explain("zz", LOG.lines()).is_none());
}

// A refusal for a limit that endpoints have named must not be taken for a lack of capacity.
#[test]
fn explain_names_request_limit() {
    let line = r#"{"msg":"request ended","ts_ms":30,"host":"edge-1","offers":0,"took_ms":1,"reason":"all endpoints at their request limit","status":503,"id":"d4"}"#;
    let cause = explain("d4", line.lines()).unwrap().cause;
    assert!(cause.contains("has named a limit on its requests"), "{cause}");
    assert!(cause.contains("It has not run."), "{cause}");
}

// A caller is refused for crashes that other entries saw, in attempts with other ids.
#[test]
fn explain_names_crashes_of_quarantined_request() {
    let logs = r#"
{"msg":"endpoint crashed while running a request","ts_ms":10,"host":"edge-1","endpoint":"i-1","beside":3,"request":"f0","id":"e1"}
{"msg":"endpoint crashed while running a request","ts_ms":11,"host":"edge-1","endpoint":"i-1","beside":3,"request":"aa","id":"e9"}
{"msg":"endpoint crashed while running a request","ts_ms":20,"host":"edge-2","endpoint":"i-2","beside":0,"request":"f0","id":"e2"}
{"msg":"request refused because it crashes endpoints","ts_ms":30,"host":"edge-3","ends_in_ms":599000,"request":"f0","id":"e3"}
{"msg":"request ended","ts_ms":30,"host":"edge-3","offers":0,"took_ms":1,"reason":"request crashes endpoints","status":503,"id":"e3"}
"#;
    let cause = explain("e3", logs.lines()).unwrap().cause;
    assert_eq!(
        cause,
        "Answered 503 by edge-3 after 1 ms: earlier attempts of the same request, or of requests \
         with the same prompt part, crashed the endpoints that ran them. It has not run. Endpoints \
         that crashed while running this request: i-1 (attempt e1), i-2 (attempt e2)."
    );
}

// No two requests that crash endpoints are alike; they have one part of their prompts in common.
#[test]
fn explain_names_crashes_of_quarantined_part() {
    let logs = r#"
{"msg":"endpoint crashed while running a request","ts_ms":10,"host":"edge-1","endpoint":"i-1","beside":1,"parts":"f1,bad,a","request":"f0","id":"e1"}
{"msg":"endpoint crashed while running a request","ts_ms":10,"host":"edge-1","endpoint":"i-1","beside":1,"parts":"f1,b","request":"f1","id":"e2"}
{"msg":"endpoint crashed while running a request","ts_ms":20,"host":"edge-2","endpoint":"i-2","beside":0,"parts":"f1,bad,c","request":"f2","id":"e3"}
{"msg":"request refused because it crashes endpoints","ts_ms":30,"host":"edge-3","crashes":2,"parts":"bad","traits":"99","request":"f3","id":"e4"}
"#;
    let cause = explain("e4", logs.lines()).unwrap().cause;
    assert!(
        cause.ends_with(
            "Endpoints that crashed while running requests with the prompt part bad: \
             i-1 (attempt e1), i-2 (attempt e3)."
        ),
        "{cause}"
    );
}

// Logs of earlier releases have another text for an interrupted stream.
#[test]
fn explain_reads_both_texts_of_interrupted_stream() {
    for msg in ["stream interrupted", "stream broken off"] {
        let line = format!("{{\"msg\":\"{msg}\",\"ts_ms\":40,\"host\":\"edge-1\",\"id\":\"c3\"}}");
        let explanation = explain("c3", line.lines()).unwrap();
        assert_eq!(explanation.lines, [line.as_str()]);
        assert_eq!(
            explanation.cause, "The stream was interrupted and could not be resumed.",
            "{msg}"
        );
    }
}

#[test]
fn summarize_counts_by_status_and_reason() {
    let counts = summarize(LOG.lines());
    assert_eq!(counts[&(503, "configuration too old".to_owned())], 2);
    assert_eq!(counts.len(), 2);
}

/// Names in backquotes in the table rows of a page that begin with one.
fn quoted_names(page: &str) -> Vec<&str> {
    page.lines()
        .filter(|line| line.starts_with("| `"))
        .flat_map(|l| l.split('`').skip(1).step_by(2))
        .collect()
}

/// String literals whose opening quote is the last character of `call`.
fn literals_opened_by(call: &str) -> Vec<String> {
    scan_sources(call, |rest| rest.split('"').next().unwrap_or_default().to_owned())
}

/// The first string literal after each `call`.
fn first_literals_after(call: &str) -> Vec<String> {
    scan_sources(call, |rest| rest.split('"').nth(1).unwrap_or_default().to_owned())
}

fn files_under(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.is_dir() {
            found.extend(files_under(&path));
        } else {
            found.push(path);
        }
    }
    found
}

/// Applies `read` to the text after each `call` in the sources of the direct path.
fn scan_sources(call: &str, read: impl Fn(&str) -> String) -> Vec<String> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/src/direct");
    let mut found = Vec::new();
    for file in files_under(Path::new(folder)) {
        let text = std::fs::read_to_string(file).unwrap();
        found.extend(text.split(call).skip(1).map(&read));
    }
    assert!(!found.is_empty(), "no use of {call}");
    found
}

#[test]
fn profile_summarizes_each_step() {
    let line = |run_us: u32| {
        format!(
            "{{\"msg\":\"request steps\",\"id\":\"a\",\"read_us\":40,\"place_us\":0,\
             \"connect_us\":900,\"lost_us\":0,\"run_us\":{run_us}}}"
        )
    };
    let lines: Vec<String> = (1..=200).map(|n| line(n * 1_000)).collect();
    let steps = profile(lines.iter().map(String::as_str));
    let connect = steps.iter().find(|step| step.step == "connect_us").unwrap();
    assert_eq!((connect.p50_us, connect.p99_us, connect.mean_us), (900, 900, 900));
    let run = steps.iter().find(|step| step.step == "run_us").unwrap();
    assert_eq!((run.p50_us, run.p99_us, run.mean_us), (100_000, 198_000, 100_500));
}

#[test]
fn profile_without_step_lines_is_empty() {
    assert!(profile(LOG.lines()).is_empty());
}

// An operator must find every log message in docs/LOGS.md.
#[test]
fn docs_list_every_log_message() {
    let page = quoted_names(include_str!("../../../docs/LOGS.md"));
    for level in ["slog::info!(", "slog::warn!(", "slog::error!("] {
        for msg in first_literals_after(level) {
            assert!(page.contains(&msg.as_str()), "docs/LOGS.md lacks {msg:?}");
        }
    }
}

#[test]
fn docs_list_every_metric() {
    let page = quoted_names(include_str!("../../../docs/METRICS.md"));
    for call in ["metrics.count(\"", "metrics.add(\"", "metrics.time(\""] {
        for part in literals_opened_by(call) {
            let is_named = page
                .iter()
                .any(|name| name.trim_end_matches("_total").trim_end_matches("_ms") == part);
            assert!(is_named, "docs/METRICS.md lacks {part:?}");
        }
    }
}
