//! Metrics that are collected on each scrape, so that no counter is kept twice.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::MetricType;
use std::fmt;

/// Names and values of labels.
pub(crate) type Labels = Vec<(String, String)>;

/// A metric: its name, its help text, and its values by their labels.
pub(crate) type Metric<T> = (&'static str, &'static str, Vec<(Labels, T)>);

pub(crate) fn label(name: &str, value: &str) -> Labels {
    vec![(name.to_string(), value.to_string())]
}

/// The single value of a metric without labels.
pub(crate) fn unlabelled<T>(value: T) -> Vec<(Labels, T)> {
    vec![(Labels::new(), value)]
}

/// 1 for true and 0 for false.
pub(crate) fn flag(flag: bool) -> f64 {
    f64::from(u8::from(flag))
}

/// The values of counters and gauges at one time.
#[derive(Debug, Default)]
pub(crate) struct MetricSnapshot {
    pub counters: Vec<Metric<u64>>,
    pub gauges: Vec<Metric<f64>>,
}

impl Collector for MetricSnapshot {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        for (name, help, values) in &self.counters {
            encode_counter(&mut encoder, name, help, values)?;
        }
        for (name, help, values) in &self.gauges {
            encode_gauge(&mut encoder, name, help, values)?;
        }
        Ok(())
    }
}

pub(crate) fn encode_counter(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    values: &[(Labels, u64)],
) -> Result<(), fmt::Error> {
    let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    values.iter().try_for_each(|(labels, value)| {
        ConstCounter::new(*value).encode(metric.encode_family(labels)?)
    })
}

pub(crate) fn encode_gauge(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    values: &[(Labels, f64)],
) -> Result<(), fmt::Error> {
    let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    values.iter().try_for_each(|(labels, value)| {
        ConstGauge::new(*value).encode(metric.encode_family(labels)?)
    })
}
