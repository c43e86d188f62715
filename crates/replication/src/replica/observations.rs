//! Observations of objects and endpoints: collects and publishes those of this proxy, and combines those of the other
//! proxies.

use super::subject::{endpoint_subject, object_subject};
use super::Replica;
use crate::record_type::RecordType;
use crate::records::{self, Observation};
use crate::shared_estimate::{self, SharedEstimate};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a new sample in the smoothed values of an endpoint.
const SMOOTHING: f64 = 0.1;
/// Maximum number of observations of objects that are published in one period.
const MAX_OBJECTS_PER_PERIOD: u32 = 200;
/// Published as the time to the first byte if none was measured.
const NO_FIRST_BYTE: f64 = -1.0;

/// Observations that this proxy has not published yet.
#[derive(Clone, Debug)]
pub(super) struct Observations {
    endpoints: BTreeMap<String, EndpointStats>,
    /// Number of observations of objects that may still be published in this period.
    objects_left: u32,
}

/// This proxy's observations of an endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointStats {
    /// Fraction of attempts that failed, smoothed.
    failure_rate: f64,
    /// Time to the first byte in microseconds, smoothed; none if it was never measured.
    first_byte: Option<f64>,
    /// Number of attempts in this period.
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
    /// Starts a period. Returns the subject and the values of each endpoint that had attempts in the previous period,
    /// and removes all other endpoints.
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
    /// Publishes an observation by this proxy. Returns true if it was not known.
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

    /// Records a request for this part of an object. Publishes it if it is the highest part that this proxy observed
    /// recently.
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

    /// The values that this proxy last published for a subject, if their record is in the first half of its retention.
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

    /// Records the result of an attempt at an endpoint.
    pub fn observe_attempt(&mut self, endpoint: &str, failed: bool, first_byte: Option<Micros>) {
        let stats = self
            .observations
            .endpoints
            .entry(endpoint.to_string())
            .or_default();
        stats.record(failed, first_byte);
    }

    /// Publishes the observations of endpoints. Called once per period.
    pub(super) fn publish_observations(&mut self) {
        for (subject, values) in self.observations.start_period() {
            self.publish_observation(self.now, RecordType::Observation, &subject, values);
        }
    }

    /// The estimate that other proxies' observations of a subject result in.
    pub fn shared_estimate(&self, subject: &[u8]) -> Option<SharedEstimate> {
        let observations = shared_estimate::observations_by_others(
            &self.map,
            RecordType::Observation,
            subject,
            (&self.name, self.incarnation),
        );
        shared_estimate::combine(&observations, &self.settings.zone, self.now)
    }

    /// All subjects with stored observations.
    pub fn observed_subjects(&self) -> BTreeSet<Vec<u8>> {
        self.map
            .of_type(RecordType::Observation)
            .filter_map(|(key, entry)| records::decode_observation(key, entry))
            .map(|(subject, _)| subject)
            .collect()
    }
}
