//! Observations of objects and endpoints: what this proxy has observed, its publication, and what all proxies'
//! observations add up to.

use super::subject::{endpoint_subject, object_subject};
use super::Replica;
use crate::record_type::RecordType;
use crate::records::{self, Observation};
use crate::shared_estimate::{self, SharedEstimate};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a new sample of an endpoint.
const SMOOTHING: f64 = 0.1;
/// Observations of objects that are published in one period at most.
const MAX_OBJECTS_PER_PERIOD: u32 = 200;
/// Published for the time to the first byte where none was measured.
const NO_FIRST_BYTE: f64 = -1.0;

/// What this proxy observed and has yet to publish.
#[derive(Clone, Debug)]
pub(super) struct Observations {
    endpoints: BTreeMap<String, EndpointStats>,
    /// How many more observations of objects may be published in this period.
    objects_left: u32,
}

/// What this proxy observed of an endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointStats {
    /// Fraction of attempts that failed, smoothed.
    failure_rate: f64,
    /// Microseconds, smoothed; none where no attempt was answered.
    first_byte: Option<f64>,
    /// In this period.
    attempts: u64,
}

impl Default for Observations {
    fn default() -> Observations {
        Observations {
            endpoints: BTreeMap::new(),
            objects_left: MAX_OBJECTS_PER_PERIOD,
        }
    }
}

impl EndpointStats {
    fn record(&mut self, failed: bool, first_byte: Option<Micros>) {
        let failure = f64::from(u8::from(failed));
        self.failure_rate += SMOOTHING * (failure - self.failure_rate);
        if let Some(time) = first_byte {
            let time = time as f64;
            let smoothed = self
                .first_byte
                .map_or(time, |former| former + SMOOTHING * (time - former));
            self.first_byte = Some(smoothed);
        }
        self.attempts += 1;
    }

    fn values(&self) -> Vec<f64> {
        vec![
            self.failure_rate,
            self.first_byte.unwrap_or(NO_FIRST_BYTE),
            self.attempts as f64,
        ]
    }
}

impl Observations {
    /// Begins a period: the subject and the values of each endpoint that had attempts in the last one. Others are
    /// forgotten.
    fn start_period(&mut self) -> Vec<(Vec<u8>, Vec<f64>)> {
        self.objects_left = MAX_OBJECTS_PER_PERIOD;
        self.endpoints.retain(|_, stats| stats.attempts > 0);
        let mut published = Vec::new();
        for (id, stats) in &mut self.endpoints {
            published.push((endpoint_subject(id), stats.values()));
            stats.attempts = 0;
        }
        published
    }
}

impl Replica {
    /// Shares an observation by this proxy. True if it was not known.
    pub fn publish_observation(
        &mut self,
        now: Micros,
        record_type: RecordType,
        subject: &[u8],
        values: Vec<f64>,
    ) -> bool {
        let observation = Observation {
            writer: self.name.clone(),
            zone: self.settings.zone.clone(),
            values,
            observed_at: now as u64,
        };
        let (key, entry) = records::observation_record(
            record_type,
            subject,
            self.incarnation,
            &observation,
            now + self.settings.observation_retention,
        );
        self.publish(now, key, entry)
    }

    /// A request came for this part of an object; shared where it is the highest that this proxy observed recently.
    pub fn observe_part(&mut self, now: Micros, object: u64, part: u32) {
        let subject = object_subject(object);
        let covers_part = |values: Vec<f64>| values[0] >= f64::from(part);
        let recent = self.recent_observation(&subject, now);
        if self.observations.objects_left == 0 || recent.is_some_and(covers_part) {
            return;
        }
        self.observations.objects_left -= 1;
        let values = vec![f64::from(part)];
        self.publish_observation(now, RecordType::Observation, &subject, values);
    }

    /// What this proxy shared of a subject itself, in the first half of its time to live.
    fn recent_observation(&self, subject: &[u8], now: Micros) -> Option<Vec<f64>> {
        let own = Observation {
            writer: self.name.clone(),
            ..Observation::default()
        };
        let (key, _) = records::observation_record(
            RecordType::Observation,
            subject,
            self.incarnation,
            &own,
            0,
        );
        let entry = self.map.get(&key)?;
        if now >= entry.expires_at - self.settings.observation_retention / 2 {
            return None;
        }
        let (_, observation) = records::decode_observation(&key, entry)?;
        Some(observation.values).filter(|values| !values.is_empty())
    }

    /// An attempt at an endpoint has ended.
    pub fn observe_attempt(&mut self, endpoint: &str, failed: bool, first_byte: Option<Micros>) {
        let stats = self
            .observations
            .endpoints
            .entry(endpoint.to_string())
            .or_default();
        stats.record(failed, first_byte);
    }

    /// Once a period: shares what was observed of endpoints.
    pub(super) fn publish_observations(&mut self) {
        for (subject, values) in self.observations.start_period() {
            self.publish_observation(self.now, RecordType::Observation, &subject, values);
        }
    }

    /// What other proxies' observations of a subject add up to.
    pub fn shared_estimate(&self, subject: &[u8]) -> Option<SharedEstimate> {
        let observations = shared_estimate::observations_by_others(
            &self.map,
            RecordType::Observation,
            subject,
            (&self.name, self.incarnation),
        );
        shared_estimate::combine(&observations, &self.settings.zone, self.now)
    }

    /// All subjects of which there are observations.
    pub fn observed_subjects(&self) -> BTreeSet<Vec<u8>> {
        self.map
            .of_type(RecordType::Observation)
            .filter_map(|(key, entry)| records::decode_observation(key, entry))
            .map(|(subject, _)| subject)
            .collect()
    }
}
