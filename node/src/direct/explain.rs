//! Reads logs of the direct path: the lines of one request in order and its cause in a sentence, how
//! often requests ended for each reason, or where the time of answered requests went.

use std::collections::BTreeMap;

use serde_json::Value;

/// What is known of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explained {
    /// Its lines, oldest first.
    pub lines: Vec<String>,
    /// What became of it and why.
    pub cause: String,
}

fn object(line: &str) -> Option<Value> {
    // A log may carry a prefix of whoever collected it.
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn text<'a>(line: &'a Value, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn number(line: &Value, field: &str) -> i64 {
    line.get(field).and_then(Value::as_i64).unwrap_or_default()
}

/// Explains the request `id` from the lines of any number of logs; `None` if no line names it.
pub fn explain<'a>(id: &str, logs: impl Iterator<Item = &'a str>) -> Option<Explained> {
    let mut found: Vec<(i64, &str, Value)> = logs
        .filter(|line| line.contains(id))
        .filter_map(|line| Some((line, object(line)?)))
        .filter(|(_, object)| text(object, "id") == id)
        .map(|(line, object)| (number(&object, "ts_ms"), line, object))
        .collect();
    found.sort_by_key(|(at, _, _)| *at);
    let (_, _, last) = found.last()?;
    let failed: Vec<&Value> = found
        .iter()
        .filter(|(_, _, line)| text(line, "msg") == "attempt failed")
        .map(|(_, _, line)| line)
        .collect();
    let mut cause = match text(last, "msg") {
        "request ended" => ended(last),
        "stream broken off" => "The stream broke off and could not be continued.".to_owned(),
        _ => "Its end was not logged: answered requests are sampled.".to_owned(),
    };
    for line in failed {
        let (endpoint, at) = (text(line, "endpoint"), text(line, "at"));
        let error = text(line, "error");
        cause.push_str(&format!(" Endpoint {endpoint} failed it at \"{at}\": {error}."));
    }
    let lines = found.iter().map(|(_, line, _)| (*line).to_owned()).collect();
    Some(Explained { lines, cause })
}

fn ended(line: &Value) -> String {
    let status = number(line, "status");
    let host = text(line, "host");
    let took = number(line, "took_ms");
    let age = number(line, "config_age_ms");
    let has_run = match status {
        408 | 429 | 503 => "It has not run.",
        502 | 504 => "It may have run.",
        _ => "",
    };
    let why = match text(line, "reason") {
        "not all known yet" => format!("{host} had just started and did not know all it needs"),
        "configuration too old" => format!("{host} had no fresh configuration ({age} ms old)"),
        "all endpoints full or cold" => {
            "every endpoint that may serve it was full or had just started".to_owned()
        }
        "all endpoints full" => "every endpoint that may serve it was full".to_owned(),
        "no endpoint" => "no endpoint that may serve it was known".to_owned(),
        "declined by endpoints" => "each endpoint that it was offered to refused it".to_owned(),
        "answer lost" => "an endpoint took it and its answer was lost".to_owned(),
        "timed out" => "no answer came in time".to_owned(),
        "answered" => format!("endpoint {} answered it", text(line, "endpoint")),
        other => other.to_owned(),
    };
    format!("Answered {status} by {host} after {took} ms: {why}. {has_run}").trim_end().to_owned()
}

/// How often requests ended with each status and reason.
pub fn summarize<'a>(logs: impl Iterator<Item = &'a str>) -> BTreeMap<(i64, String), u64> {
    let mut counts = BTreeMap::new();
    for line in logs.filter(|line| line.contains("request ended")).filter_map(object) {
        let key = (number(&line, "status"), text(&line, "reason").to_owned());
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Fields of a line `request steps`, in the order in which a request takes the steps.
const STEPS: [&str; 5] = ["read_us", "place_us", "connect_us", "lost_us", "run_us"];

/// How long one step of answered requests took, in microseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepProfile {
    /// The step's field in logs.
    pub step: &'static str,
    /// What half of the requests stay within.
    pub p50_us: i64,
    /// What 99 in 100 requests stay within.
    pub p99_us: i64,
    /// The mean.
    pub mean_us: i64,
}

/// The steps of the answered requests that were logged; empty if none was.
pub fn profile<'a>(logs: impl Iterator<Item = &'a str>) -> Vec<StepProfile> {
    let lines: Vec<Value> =
        logs.filter(|line| line.contains("request steps")).filter_map(object).collect();
    if lines.is_empty() {
        return Vec::new();
    }
    let profile_step = |step: &'static str| {
        let mut spans: Vec<i64> = lines.iter().map(|line| number(line, step)).collect();
        spans.sort_unstable();
        let within = |percent: usize| spans[(spans.len() - 1) * percent / 100];
        let mean_us = spans.iter().sum::<i64>() / spans.len() as i64;
        StepProfile { step, p50_us: within(50), p99_us: within(99), mean_us }
    };
    STEPS.into_iter().map(profile_step).collect()
}
