//! What operators are told of the front's own service: whether it serves nobody, and since when.

use crate::proxy::availability::Availability;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::MetricType;
use std::fmt;

#[derive(Debug)]
pub(crate) struct Seen {
    /// In seconds of Unix time.
    outage_since: Option<f64>,
}

impl Seen {
    pub(crate) fn new(availability: &Availability) -> Seen {
        Seen {
            outage_since: availability.outage_since().map(|since| since as f64 / 1e6),
        }
    }
}

impl Collector for Seen {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let mut gauge = |name: &str, help: &str, value: f64| {
            let metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            ConstGauge::new(value).encode(metric)
        };
        let outage = f64::from(u8::from(self.outage_since.is_some()));
        gauge(
            "serves_nobody",
            "Whether lookups come and no machine takes a request",
            outage,
        )?;
        let help = "Since when, in Unix time; 0 where the front serves";
        gauge(
            "serves_nobody_since_seconds",
            help,
            self.outage_since.unwrap_or(0.0),
        )
    }
}
