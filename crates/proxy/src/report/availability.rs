//! Metrics of this proxy's availability: whether it is in an outage, and since when.

use super::collector::flag;
use crate::clock::seconds;
use crate::proxy::availability::Availability;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::MetricType;
use std::fmt;

/// The state of the outage at one time.
#[derive(Debug)]
pub(super) struct AvailabilityCollector {
    /// Unix time in seconds at which the current outage began.
    outage_since: Option<f64>,
}

impl AvailabilityCollector {
    pub(super) fn new(availability: &Availability) -> AvailabilityCollector {
        let since = availability.outage_since();
        AvailabilityCollector {
            outage_since: since.map(seconds),
        }
    }
}

impl Collector for AvailabilityCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        // The gauges are encoded without a label set, because the text format would show even an empty one.
        let mut gauge = |name: &str, help: &str, value: f64| {
            let metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            ConstGauge::new(value).encode(metric)
        };
        gauge(
            "serves_nobody",
            "Whether lookups come and no machine takes a request",
            flag(self.outage_since.is_some()),
        )?;
        gauge(
            "serves_nobody_since_seconds",
            "Since when, in Unix time; 0 where the front serves",
            self.outage_since.unwrap_or(0.0),
        )
    }
}
