//! The state of each request class: its settings, and the expected work of its requests.

use crate::interface::Request;
use crate::settings::{ClassSettings, RoutingSettings};
use crate::size_fairness::{SizeFairness, SizeGroup};
use crate::time::SECOND;

/// Maximum number of samples in the mean work, if sizes are known and if only times are known.
const SIZED_SAMPLES: f64 = 500.0;
const TIMED_SAMPLES: f64 = 50.0;
/// Factor by which an estimate from times may grow with each sample.
const GROWTH_PER_SAMPLE: f64 = 1.0005;
/// Maximum number of samples in the mean for slow start, and the minimum number before it is used.
const SLOW_START_SAMPLES: f64 = 60.0;
const MINIMUM_SLOW_START_SAMPLES: f64 = 6.0;

/// Settings and estimates of a request class.
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

    /// Expected time of a request at full speed, in microseconds: from its size if known, otherwise the class's mean.
    pub(crate) fn expected_work(&self, request: &Request, settings: &RoutingSettings) -> f64 {
        let pace = settings.transfer_kb_per_second;
        if request.size_kb > 0.0 && pace > 0.0 {
            return request.size_kb / pace * SECOND as f64;
        }
        self.work.typical
    }

    /// The group of large requests to which a request with this work belongs, if any.
    pub(crate) fn size_group(&self, work: f64) -> Option<SizeGroup> {
        SizeGroup::of(work, self.work.typical)
    }
}

/// Estimate of the work of a class's requests, in microseconds.
///
/// If sizes are not known, work is estimated from times. Times grow in an overload and would hide it, so the estimate
/// follows the lowest mean and rises only slowly. That minimum soon comes from few samples and is low by chance,
/// which would send too much work to endpoints in slow start. For slow start, requests are therefore counted with a
/// mean over more samples.
pub(crate) struct WorkEstimate {
    /// Work of a typical request.
    pub(crate) typical: f64,
    /// Work that a request counts for in slow start.
    pub(crate) for_slow_start: f64,
    mean: f64,
    mean_samples: f64,
    slow_start_mean: f64,
    slow_start_samples: f64,
}

impl WorkEstimate {
    /// Starts from the whole latency objective, which is the conservative choice for endpoints in slow start.
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

    /// Records the work of a request whose size is known.
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
            let maximum = self.for_slow_start * GROWTH_PER_SAMPLE;
            self.for_slow_start = self.slow_start_mean.min(maximum);
        }
    }

    fn record(&mut self, sample: f64, max_samples: f64) {
        self.mean += (sample - self.mean) / self.mean_samples;
        self.mean_samples = (self.mean_samples + 1.0).min(max_samples);
        self.slow_start_samples += 1.0;
        let samples = self.slow_start_samples.min(SLOW_START_SAMPLES);
        self.slow_start_mean += (sample - self.slow_start_mean) / samples;
    }
}
