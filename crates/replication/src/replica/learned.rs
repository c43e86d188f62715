//! Observations of objects and machines: what this front has seen, its publication, and what others' add up to.

use super::subject::{sight_of_machine, sight_of_object};
use super::Replica;
use crate::kind::Kind;
use crate::kinds::{self, Sight};
use crate::opinion::{self, Opinion};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a new sample of a machine.
const SMOOTHING: f64 = 0.1;
/// Observations of objects that are published in one period at most.
const OBJECTS_A_PERIOD: u32 = 200;
/// Published for the time to the first byte where none was measured.
const NO_FIRST_BYTE: f64 = -1.0;

/// What this front observed and has yet to publish.
#[derive(Clone, Debug)]
pub(super) struct Observations {
    machines: BTreeMap<String, MachineStats>,
    /// How many more observations of objects may be published in this period.
    objects_left: u32,
}

/// What this front observed of a machine.
#[derive(Clone, Debug, Default)]
struct MachineStats {
    /// Share of sends that failed, smoothed.
    failing: f64,
    /// Microseconds, smoothed; none where no send was answered.
    first_byte: Option<f64>,
    /// In this period.
    sends: u64,
}

impl Default for Observations {
    fn default() -> Observations {
        Observations {
            machines: BTreeMap::new(),
            objects_left: OBJECTS_A_PERIOD,
        }
    }
}

impl MachineStats {
    fn record(&mut self, failed: bool, first_byte: Option<Micros>) {
        self.failing += SMOOTHING * (f64::from(u8::from(failed)) - self.failing);
        if let Some(time) = first_byte {
            let time = time as f64;
            let smoothed = self
                .first_byte
                .map_or(time, |former| former + SMOOTHING * (time - former));
            self.first_byte = Some(smoothed);
        }
        self.sends += 1;
    }

    fn numbers(&self) -> Vec<f64> {
        vec![
            self.failing,
            self.first_byte.unwrap_or(NO_FIRST_BYTE),
            self.sends as f64,
        ]
    }
}

impl Observations {
    /// Begins a period: the subject and the numbers of each machine that had sends in the last one. Others are forgotten.
    fn start_period(&mut self) -> Vec<(Vec<u8>, Vec<f64>)> {
        self.objects_left = OBJECTS_A_PERIOD;
        self.machines.retain(|_, stats| stats.sends > 0);
        let mut published = Vec::new();
        for (id, stats) in &mut self.machines {
            published.push((sight_of_machine(id), stats.numbers()));
            stats.sends = 0;
        }
        published
    }
}

impl Replica {
    /// Shares an observation by this front.
    pub fn put_sight(&mut self, now: Micros, kind: Kind, what: &[u8], numbers: Vec<f64>) -> bool {
        let (writer, zone) = (self.name.clone(), self.plan.zone.clone());
        let sight = Sight {
            writer,
            zone,
            numbers,
            at: now as u64,
        };
        let (key, entry) =
            kinds::sight(kind, what, self.start, &sight, now + self.plan.learned_keep);
        self.put(now, key, entry)
    }

    /// A lookup asked for this part of an object; shared where it is the highest that this front saw lately.
    pub fn saw_part(&mut self, now: Micros, object: u64, part: u32) {
        let what = sight_of_object(object);
        let known = |numbers: Vec<f64>| numbers[0] >= f64::from(part);
        if self.observations.objects_left == 0
            || self.recent_observation(&what, now).is_some_and(known)
        {
            return;
        }
        self.observations.objects_left -= 1;
        self.put_sight(now, Kind::Learned, &what, vec![f64::from(part)]);
    }

    /// What this front shared of a subject itself, in the first half of its time to live.
    fn recent_observation(&self, what: &[u8], now: Micros) -> Option<Vec<f64>> {
        let sight = Sight {
            writer: self.name.clone(),
            ..Sight::default()
        };
        let (key, _) = kinds::sight(Kind::Learned, what, self.start, &sight, 0);
        let fresh_until = |until: Micros| until - self.plan.learned_keep / 2;
        let entry = self
            .map
            .get(&key)
            .filter(|entry| now < fresh_until(entry.until))?;
        let (_, sight) = kinds::read_sight(&key, entry)?;
        Some(sight.numbers).filter(|numbers| !numbers.is_empty())
    }

    /// A send to a machine has ended.
    pub fn saw_end(&mut self, machine: &str, failed: bool, first_byte: Option<Micros>) {
        let stats = self
            .observations
            .machines
            .entry(machine.to_string())
            .or_default();
        stats.record(failed, first_byte);
    }

    /// Once a period: shares what was observed of machines.
    pub(super) fn publish_observations(&mut self) {
        for (what, numbers) in self.observations.start_period() {
            self.put_sight(self.now, Kind::Learned, &what, numbers);
        }
    }

    /// What other fronts' observations of a subject add up to.
    pub fn opinion(&self, what: &[u8]) -> Option<Opinion> {
        let sights = opinion::sights(&self.map, Kind::Learned, what, (&self.name, self.start));
        opinion::of(&sights, &self.plan.zone, self.now)
    }

    /// All subjects of which there are observations.
    pub fn learned(&self) -> BTreeSet<Vec<u8>> {
        let all = self.map.of_kind(Kind::Learned);
        all.filter_map(|(key, entry)| kinds::read_sight(key, entry).map(|(what, _)| what))
            .collect()
    }
}
