//! Expected work of a request at an engine, and the time that it takes there.
//!
//! An engine works in passes. A pass with requests that write is some steps long; each step writes one
//! token of each of them and reads a part of the prompts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Time;

/// Factor by which a caller's hint may differ from the usual answer. Hints are right at their median,
/// but single ones are often far off.
const MAX_HINT_FACTOR: u32 = 4;

/// Multiple of the usual prompt from which on a prompt counts as long.
const LONG_PROMPT_FACTOR: u32 = 2;

/// Bounds of the weight of a prompt relative to a usual one, so that a wrong header has a bounded
/// effect.
const MIN_READING_WEIGHT: f64 = 0.1;
const MAX_READING_WEIGHT: f64 = 10.0;

/// Longest time that is expected of one request, in seconds. It bounds the effect of faulty rates.
const MAX_EXPECTED_S: f64 = 60.0;

const MS_PER_S: f64 = 1_000.0;
const TOKENS_PER_K: f64 = 1_000.0;
const PAIRS_PER_M: f64 = 1_000_000.0;

/// Speed of the engines of a service, from its configuration.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRates {
    /// Time of a step in milliseconds.
    pub step_ms: f64,
    /// Time that each request that writes adds to a step, in milliseconds.
    pub per_seq_ms: f64,
    /// Time that each 1,000 tokens of context of such a request add to a step, in milliseconds.
    pub context_per_k: f64,
    /// Prompt tokens read per second.
    pub read_per_s: f64,
    /// Time added for each million pairs of a prompt token and an earlier one, in milliseconds.
    pub pairs_per_m: f64,
    /// Maximum number of prompt tokens read in one step.
    pub chunk: u32,
    /// Steps of a pass while requests write.
    pub stride: u32,
    /// Work of a usual request.
    pub usual: Work,
}

/// Size of a request in tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Expected tokens of the answer.
    pub answer: u32,
}

impl Work {
    /// The expected work of a request with a prompt of `prompt` tokens, 0 if unknown, that allows
    /// answers of up to `max_answer` tokens, 0 if unknown.
    pub fn expected(prompt: u32, max_answer: u32, hint: Option<u32>, usual: Work) -> Work {
        let lowest = usual.answer / MAX_HINT_FACTOR;
        let highest = usual.answer.saturating_mul(MAX_HINT_FACTOR);
        let answer = hint.unwrap_or(usual.answer).clamp(lowest, highest);
        Work {
            prompt: if prompt == 0 { usual.prompt } else { prompt },
            answer: if max_answer == 0 { answer } else { answer.min(max_answer) },
        }
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    let seconds = ms / MS_PER_S;
    Duration::from_secs_f64(if seconds.is_finite() {
        seconds.clamp(0.0, MAX_EXPECTED_S)
    } else {
        MAX_EXPECTED_S
    })
}

impl EngineRates {
    fn reading_ms(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        let pairs = tokens * tokens / 2.0;
        tokens / self.read_per_s * MS_PER_S + pairs / PAIRS_PER_M * self.pairs_per_m
    }

    /// Time in which an engine reads a prompt, without the steps meanwhile.
    pub fn reading_time(&self, prompt: u32) -> Duration {
        duration_from_ms(self.reading_ms(prompt))
    }

    /// Reading time of a prompt over that of a usual one.
    pub fn reading_weight(&self, prompt: u32) -> f64 {
        let weight = self.reading_ms(prompt) / self.reading_ms(self.usual.prompt);
        if weight.is_finite() { weight.clamp(MIN_READING_WEIGHT, MAX_READING_WEIGHT) } else { 1.0 }
    }

    /// Whether a prompt is long enough to delay the requests beside it.
    pub fn is_long(&self, prompt: u32) -> bool {
        prompt > self.usual.prompt.saturating_mul(LONG_PROMPT_FACTOR)
    }

    /// Time from the arrival of a request until its first event, at an engine where `writing` usual
    /// requests write. On average it waits for half a pass, and its prompt is read in whole passes.
    pub fn first_event(&self, prompt: u32, writing: f64) -> Duration {
        let context = f64::from(self.usual.prompt) + f64::from(self.usual.answer) / 2.0;
        let per_request = self.per_seq_ms + context / TOKENS_PER_K * self.context_per_k;
        let step = self.step_ms + writing * per_request;
        let stride = if writing > 0.0 { self.stride.max(1) } else { 1 };
        let passes = prompt.div_ceil(self.chunk.max(1)).max(1).div_ceil(stride);
        let steps = (f64::from(passes) + 0.5) * f64::from(stride);
        duration_from_ms(steps * step + self.reading_ms(prompt))
    }
}

/// The expected work of a request that is to be sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestWork {
    /// Rates of the engines of its service.
    pub rates: EngineRates,
    /// Its size.
    pub work: Work,
    /// Until when its first event is in time.
    pub in_time_until: Time,
}

impl RequestWork {
    /// Expected time until the first event at an engine with `writing` other requests.
    pub fn first_event(&self, writing: f64) -> Duration {
        self.rates.first_event(self.work.prompt, writing)
    }

    /// Time in which an engine reads its prompt.
    pub fn reading_time(&self) -> Duration {
        self.rates.reading_time(self.work.prompt)
    }

    /// Whether its prompt is long enough to delay the requests beside it.
    pub fn is_long(&self) -> bool {
        self.rates.is_long(self.work.prompt)
    }

    /// Reading time of its prompt over that of a usual one.
    pub fn reading_weight(&self) -> f64 {
        self.rates.reading_weight(self.work.prompt)
    }
}
