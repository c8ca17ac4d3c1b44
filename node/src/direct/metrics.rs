//! Counters and latency histograms of a process, in the Prometheus text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Upper bounds of the histogram buckets in milliseconds, finer around the latency objectives of
/// 100 to 400 ms.
const BUCKETS_MS: [u64; 12] = [1, 3, 10, 30, 100, 200, 300, 400, 700, 1_500, 3_000, 6_000];

#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

/// Metrics of one process. docs/METRICS.md lists the names.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<&'static str, u64>>,
    histograms: RefCell<BTreeMap<&'static str, Histogram>>,
}

impl Metrics {
    /// Increments the counter `name`.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `amount` to the counter `name`.
    pub fn add(&self, name: &'static str, amount: u64) {
        *self.counters.borrow_mut().entry(name).or_default() += amount;
    }

    /// Records a duration in the histogram `name`, in whole milliseconds.
    pub fn time(&self, name: &'static str, duration: Duration) {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let mut histograms = self.histograms.borrow_mut();
        let histogram = histograms.entry(name).or_default();
        histogram.count += 1;
        histogram.sum_ms = histogram.sum_ms.saturating_add(ms);
        let bucket = BUCKETS_MS.iter().position(|bound| ms <= *bound);
        if let Some(bucket) = bucket {
            histogram.buckets[bucket] += 1;
        }
    }

    /// Formats all metrics, one per line. Histogram buckets are cumulative.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (name, count) in self.counters.borrow().iter() {
            let _ = writeln!(text, "mastichaven_{name}_total {count}");
        }
        for (name, histogram) in self.histograms.borrow().iter() {
            let mut sum = 0;
            for (bound, count) in BUCKETS_MS.iter().zip(&histogram.buckets) {
                sum += count;
                let _ = writeln!(text, "mastichaven_{name}_ms_bucket{{le=\"{bound}\"}} {sum}");
            }
            let Histogram { count, sum_ms, .. } = histogram;
            let _ = writeln!(text, "mastichaven_{name}_ms_bucket{{le=\"+Inf\"}} {count}");
            let _ = writeln!(text, "mastichaven_{name}_ms_sum {sum_ms}");
            let _ = writeln!(text, "mastichaven_{name}_ms_count {count}");
        }
        text
    }
}
