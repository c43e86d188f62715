//! What is known of each request class: its settings, and the work that its requests bring.

use crate::interface::Request;
use crate::settings::{ClassSettings, RoutingSettings};
use crate::size_fairness::{SizeFairness, SizeGroup};
use crate::time::SECOND;

/// Samples over which the mean work is taken, where sizes are told and where only times are seen.
const SIZED_SAMPLES: f64 = 500.0;
const TIMED_SAMPLES: f64 = 50.0;
/// Factor by which a mean of times may grow with each sample.
const GROWTH_PER_SAMPLE: f64 = 1.0005;
/// Samples over which the mean for slow start is taken, and how many have to be there before it is used.
const SLOW_START_SAMPLES: f64 = 60.0;
const MINIMUM_SLOW_START_SAMPLES: f64 = 6.0;

/// A request class.
pub(crate) struct RequestClass {
    pub(crate) settings: ClassSettings,
    pub(crate) work: WorkEstimate,
    pub(crate) fairness: SizeFairness,
}

impl RequestClass {
    pub(crate) fn new(settings: ClassSettings) -> RequestClass {
        let work = WorkEstimate::new(settings.latency_objective as f64);
        RequestClass {
            settings,
            work,
            fairness: SizeFairness::default(),
        }
    }

    /// Time that a request takes at full pace, in microseconds: by its size, else by its class's mean.
    pub(crate) fn expected_work(&self, request: &Request, settings: &RoutingSettings) -> f64 {
        let pace = settings.transfer_kb_per_second;
        if request.size_kb > 0.0 && pace > 0.0 {
            return request.size_kb / pace * SECOND as f64;
        }
        self.work.typical
    }

    /// The group of large requests that a request with this work is in, if any.
    pub(crate) fn size_group(&self, work: f64) -> Option<SizeGroup> {
        SizeGroup::of(work, self.work.typical)
    }
}

/// The mean work of a class's requests, in microseconds.
///
/// Where sizes are not told, work is estimated from times, which grow with an overload and would hide it: the lowest
/// mean stands, and gives way slowly. That minimum is soon one of few samples, low by chance, and endpoints in slow
/// start would get too much by as much: they are counted by a mean over more.
pub(crate) struct WorkEstimate {
    /// What a usual request takes.
    pub(crate) typical: f64,
    /// What a request counts for in slow start.
    pub(crate) for_slow_start: f64,
    mean: f64,
    mean_samples: f64,
    slow_start_mean: f64,
    slow_start_samples: f64,
}

impl WorkEstimate {
    /// Starts from all the time that requests have, the careful side for endpoints in slow start.
    fn new(latency_objective: f64) -> WorkEstimate {
        WorkEstimate {
            typical: latency_objective,
            for_slow_start: latency_objective,
            mean: latency_objective,
            mean_samples: 1.0,
            slow_start_mean: 0.0,
            slow_start_samples: 0.0,
        }
    }

    /// Records the work of a request whose size was told.
    pub(crate) fn record_size(&mut self, work: f64) {
        self.record(work, SIZED_SAMPLES);
        self.typical = self.mean;
        self.for_slow_start = self.mean;
    }

    /// Records the time that a request took.
    pub(crate) fn record_time(&mut self, time: f64) {
        self.record(time, TIMED_SAMPLES);
        self.typical = self.mean.min(self.typical * GROWTH_PER_SAMPLE);
        if self.slow_start_samples >= MINIMUM_SLOW_START_SAMPLES {
            let most = self.for_slow_start * GROWTH_PER_SAMPLE;
            self.for_slow_start = self.slow_start_mean.min(most);
        }
    }

    fn record(&mut self, sample: f64, most_samples: f64) {
        self.mean += (sample - self.mean) / self.mean_samples;
        self.mean_samples = (self.mean_samples + 1.0).min(most_samples);
        self.slow_start_samples += 1.0;
        let samples = self.slow_start_samples.min(SLOW_START_SAMPLES);
        self.slow_start_mean += (sample - self.slow_start_mean) / samples;
    }
}
