//! Log analysis for the direct path: explains how one request ended, counts requests by status and
//! reason, and profiles the steps of successful requests.

use std::collections::BTreeMap;

use serde_json::Value;

/// What the logs say about one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
    /// Log lines of the request, oldest first.
    pub lines: Vec<String>,
    /// How the request ended and why, in plain sentences.
    pub cause: String,
}

fn parse_line(line: &str) -> Option<Value> {
    // Log collectors may prefix lines, for example with a time and a host name.
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn str_field<'a>(line: &'a Value, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn int_field(line: &Value, field: &str) -> i64 {
    line.get(field).and_then(Value::as_i64).unwrap_or_default()
}

/// A log line with its time and content.
type LogLine<'a> = (i64, &'a str, Value);

/// The lines whose `field` is `value`, oldest first.
fn lines_with<'a>(lines: &[&'a str], field: &str, value: &str) -> Vec<LogLine<'a>> {
    let mut found: Vec<LogLine<'a>> = lines
        .iter()
        .filter(|line| line.contains(value))
        .filter_map(|line| Some((*line, parse_line(line)?)))
        .filter(|(_, object)| str_field(object, field) == value)
        .map(|(line, object)| (int_field(&object, "ts_ms"), line, object))
        .collect();
    found.sort_by_key(|(at, _, _)| *at);
    found
}

/// Explains the request `id` from the lines of one or more logs; `None` if no line has that id.
pub fn explain<'a>(id: &str, logs: impl Iterator<Item = &'a str>) -> Option<Explanation> {
    let logs: Vec<&str> = logs.collect();
    let found = lines_with(&logs, "id", id);
    let (_, _, last) = found.last()?;
    let failed: Vec<&Value> = found
        .iter()
        .filter(|(_, _, line)| str_field(line, "msg") == "attempt failed")
        .map(|(_, _, line)| line)
        .collect();
    let mut cause = match str_field(last, "msg") {
        "request ended" => describe_end(last),
        // Earlier releases logged the second text.
        "stream interrupted" | "stream broken off" => {
            "The stream was interrupted and could not be resumed.".to_owned()
        }
        _ => "Its end was not logged; only a sample of successful requests is.".to_owned(),
    };
    for line in failed {
        let (endpoint, at) = (str_field(line, "endpoint"), str_field(line, "at"));
        let error = str_field(line, "error");
        cause
            .push_str(&format!(" The attempt at endpoint {endpoint} failed at \"{at}\": {error}."));
    }
    let refused_parts = found
        .iter()
        .filter(|(_, _, line)| {
            str_field(line, "msg") == "request refused because it crashes endpoints"
        })
        .flat_map(|(_, _, line)| str_field(line, "parts").split(','));
    for part in refused_parts.filter(|part| !part.is_empty()) {
        cause.push_str(&describe_crashes_with_part(&logs, part));
    }
    let fingerprint = found.iter().map(|(_, _, line)| str_field(line, "request"));
    if let Some(fingerprint) = fingerprint.into_iter().find(|request| !request.is_empty()) {
        cause.push_str(&describe_crashes(&lines_with(&logs, "request", fingerprint)));
    }
    let lines = found.iter().map(|(_, line, _)| (*line).to_owned()).collect();
    Some(Explanation { lines, cause })
}

/// Names the endpoints that crashed while running requests whose prompts have a part.
fn describe_crashes_with_part(logs: &[&str], part: &str) -> String {
    let mut crashes: Vec<String> = Vec::new();
    for line in logs.iter().filter(|line| line.contains(part)).filter_map(|line| parse_line(line)) {
        let has_part = str_field(&line, "parts").split(',').any(|other| other == part);
        if has_part && str_field(&line, "msg") == "endpoint crashed while running a request" {
            let (endpoint, id) = (str_field(&line, "endpoint"), str_field(&line, "id"));
            crashes.push(format!("{endpoint} (attempt {id})"));
        }
    }
    let crashes = crashes.join(", ");
    format!(
        " Endpoints that crashed while running requests with the prompt part {part}: {crashes}."
    )
}

/// Names the endpoints that crashed while running a request, from all lines with its fingerprint.
fn describe_crashes(lines: &[LogLine<'_>]) -> String {
    let mut crashes: Vec<String> = Vec::new();
    for (_, _, line) in lines {
        if str_field(line, "msg") == "endpoint crashed while running a request" {
            let (endpoint, id) = (str_field(line, "endpoint"), str_field(line, "id"));
            crashes.push(format!("{endpoint} (attempt {id})"));
        }
    }
    if crashes.is_empty() {
        return String::new();
    }
    format!(" Endpoints that crashed while running this request: {}.", crashes.join(", "))
}

fn describe_end(line: &Value) -> String {
    let status = int_field(line, "status");
    let host = str_field(line, "host");
    let took_ms = int_field(line, "took_ms");
    let age_ms = int_field(line, "config_age_ms");
    let execution = match status {
        408 | 429 | 503 => "It has not run.",
        502 | 504 => "It may have run.",
        _ => "",
    };
    let reason = match str_field(line, "reason") {
        "not all known yet" => {
            format!("{host} had just started and had not received its state yet")
        }
        "configuration too old" => format!("{host} had no fresh configuration ({age_ms} ms old)"),
        "all endpoints full or cold" => {
            "every endpoint that may serve it was full or had just started".to_owned()
        }
        "all endpoints at their request limit" => {
            "every endpoint that may serve it has named a limit on its requests, and this entry's \
             share of it was used up"
                .to_owned()
        }
        "all endpoints full" => "every endpoint that may serve it was full".to_owned(),
        "no endpoint" => "no known endpoint may serve it".to_owned(),
        "all endpoints pausing" => {
            "every endpoint that may serve it had asked this entry for a pause".to_owned()
        }
        "request crashes endpoints" => {
            "earlier attempts of the same request, or of requests with the same prompt part, crashed \
             the endpoints that ran them"
                .to_owned()
        }
        "declined by endpoints" => "each endpoint that it was sent to refused it".to_owned(),
        "answer lost" => "an endpoint accepted it and the response was lost".to_owned(),
        "timed out" => "no response arrived in time".to_owned(),
        "answered" => format!("endpoint {} answered it", str_field(line, "endpoint")),
        other => other.to_owned(),
    };
    format!("Answered {status} by {host} after {took_ms} ms: {reason}. {execution}")
        .trim_end()
        .to_owned()
}

/// Number of logged requests for each status and reason.
pub fn summarize<'a>(logs: impl Iterator<Item = &'a str>) -> BTreeMap<(i64, String), u64> {
    let mut counts = BTreeMap::new();
    for line in logs.filter(|line| line.contains("request ended")).filter_map(parse_line) {
        let key = (int_field(&line, "status"), str_field(&line, "reason").to_owned());
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Fields of a `request steps` line, in the order of the steps.
const STEP_FIELDS: [&str; 5] = ["read_us", "place_us", "connect_us", "lost_us", "run_us"];

/// Distribution of the time that successful requests spent in one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepProfile {
    /// Field of the step in log lines.
    pub step: &'static str,
    /// Median, in microseconds.
    pub p50_us: i64,
    /// 99th percentile, in microseconds.
    pub p99_us: i64,
    /// Mean, in microseconds.
    pub mean_us: i64,
}

/// Profiles each step from the `request steps` lines; empty if there are none.
pub fn profile<'a>(logs: impl Iterator<Item = &'a str>) -> Vec<StepProfile> {
    let lines: Vec<Value> =
        logs.filter(|line| line.contains("request steps")).filter_map(parse_line).collect();
    if lines.is_empty() {
        return Vec::new();
    }
    let profile_step = |step: &'static str| {
        let mut times_us: Vec<i64> = lines.iter().map(|line| int_field(line, step)).collect();
        times_us.sort_unstable();
        let percentile = |percent: usize| times_us[(times_us.len() - 1) * percent / 100];
        let mean_us = times_us.iter().sum::<i64>() / times_us.len() as i64;
        StepProfile { step, p50_us: percentile(50), p99_us: percentile(99), mean_us }
    };
    STEP_FIELDS.into_iter().map(profile_step).collect()
}
