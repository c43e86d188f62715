//! The record of one simulated subscriber: when it applied each purge, and when it held a lease.

use meadowrill_event_distribution::Micros;

/// Marks a purge that was not applied.
const NOT_APPLIED: u32 = u32::MAX;

/// A half-open span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Start, inclusive.
    pub from: Micros,
    /// End, exclusive.
    pub until: Micros,
}

impl Span {
    /// Whether the two spans have a moment in common.
    pub fn overlaps(&self, other: Span) -> bool {
        self.from < other.until && other.from < self.until
    }
}

/// The record from one start of a subscriber to its end. Nothing is carried over from earlier incarnations.
#[derive(Clone, Debug)]
pub struct IncarnationRecord {
    /// When the subscriber started.
    pub started_at: Micros,
    /// When the subscriber ended, if it was restarted since.
    pub ended_at: Option<Micros>,
    /// When each purge was applied, by its number, in microseconds since `started_at`.
    applied: Vec<u32>,
    leases: Vec<Span>,
    /// Purge floors, as (time, stamp): since that time, all copies from before the stamp are refused.
    floors: Vec<(Micros, Micros)>,
    /// Purges received that cannot be of the run.
    pub unknown_purges: u64,
    /// Observations without a lease and without a bound on the age of copies.
    pub unbounded_observations: u64,
}

impl IncarnationRecord {
    /// An empty record of a subscriber that starts now.
    pub fn start(now: Micros) -> IncarnationRecord {
        IncarnationRecord {
            started_at: now,
            ended_at: None,
            applied: Vec::new(),
            leases: Vec::new(),
            floors: Vec::new(),
            unknown_purges: 0,
            unbounded_observations: 0,
        }
    }

    /// Records that the purge is applied from now on. Repeated calls keep the earliest time.
    pub fn record_applied(&mut self, number: usize, now: Micros) {
        if number >= self.applied.len() {
            self.applied.resize(number + 1, NOT_APPLIED);
        }
        let since = u32::try_from(now - self.started_at)
            .unwrap_or(NOT_APPLIED - 1)
            .min(NOT_APPLIED - 1);
        self.applied[number] = self.applied[number].min(since);
    }

    /// Records a lease that is held from now on and ends at `until`.
    pub fn record_lease(&mut self, now: Micros, until: Micros) {
        match self.leases.last_mut() {
            Some(last) if last.until >= now => last.until = last.until.max(until),
            _ => self.leases.push(Span { from: now, until }),
        }
    }

    /// Records that no lease is held now. A recorded lease that would end later is shortened to now.
    pub fn end_lease(&mut self, now: Micros) {
        if let Some(last) = self.leases.last_mut() {
            last.until = last.until.min(now);
        }
    }

    /// Records that copies from before this stamp are refused from now on.
    pub fn raise_floor(&mut self, now: Micros, stamp: Micros) {
        if self.floors.last().is_none_or(|(_, floor)| *floor < stamp) {
            self.floors.push((now, stamp));
        }
    }

    /// The recorded end of the last lease.
    pub fn leased_until(&self) -> Micros {
        self.leases.last().map_or(Micros::MIN, |last| last.until)
    }

    /// All leases, in the order of time.
    pub fn leases(&self) -> &[Span] {
        &self.leases
    }

    /// Whether a lease was held at this moment.
    pub fn leased_at(&self, moment: Micros) -> bool {
        self.leases
            .iter()
            .any(|lease| lease.from <= moment && moment < lease.until)
    }

    /// When this purge was applied, if it was.
    pub fn applied_at(&self, number: usize) -> Option<Micros> {
        let since = self
            .applied
            .get(number)
            .copied()
            .filter(|since| *since != NOT_APPLIED)?;
        Some(self.started_at + Micros::from(since))
    }

    /// Since when no copy from before this purge was served: the purge was applied, or a floor covers its stamp.
    pub fn in_force_since(&self, number: usize, stamp: Micros) -> Option<Micros> {
        let covered = self
            .floors
            .iter()
            .find(|(_, floor)| *floor >= stamp)
            .map(|(at, _)| *at);
        [self.applied_at(number), covered]
            .into_iter()
            .flatten()
            .min()
    }

    /// How many of the first `count` purges were applied.
    pub fn count_applied(&self, count: usize) -> usize {
        self.applied
            .iter()
            .take(count)
            .filter(|since| **since != NOT_APPLIED)
            .count()
    }

    /// Bytes allocated on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.applied.capacity() * size_of::<u32>()
            + self.leases.capacity() * size_of::<Span>()
            + self.floors.capacity() * size_of::<(Micros, Micros)>()
    }
}
