//! What one hollow subscriber went through: which purge it applied when, and when it held a lease.

use meadowrill_event_distribution::Micros;

/// Stands for a purge that was not applied.
const NEVER: u32 = u32::MAX;

/// A span of time, its end not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: Micros,
    pub until: Micros,
}

impl Span {
    pub fn overlaps(&self, other: Span) -> bool {
        self.from < other.until && other.from < self.until
    }
}

/// From one start of a subscriber to its end; it knows nothing of the lives before.
#[derive(Clone, Debug)]
pub struct Life {
    pub begun: Micros,
    pub ended: Option<Micros>,
    /// By the purge's number, in microseconds since `begun`.
    applied: Vec<u32>,
    leases: Vec<Span>,
    /// From when on copies from before which stamp were refused, whatever was purged.
    floors: Vec<(Micros, Micros)>,
    /// Purges that were never told, and moments without a lease and without a bound on the age of copies.
    pub unknown: u64,
    pub unbounded: u64,
}

impl Life {
    pub fn begin(now: Micros) -> Life {
        Life {
            begun: now,
            ended: None,
            applied: Vec::new(),
            leases: Vec::new(),
            floors: Vec::new(),
            unknown: 0,
            unbounded: 0,
        }
    }

    /// The purge is in force from now on; a later word of it changes nothing.
    pub fn apply(&mut self, number: usize, now: Micros) {
        if number >= self.applied.len() {
            self.applied.resize(number + 1, NEVER);
        }
        let since = u32::try_from(now - self.begun)
            .unwrap_or(NEVER - 1)
            .min(NEVER - 1);
        self.applied[number] = self.applied[number].min(since);
    }

    /// There is a lease from now on, which ends by then.
    pub fn hold_lease(&mut self, now: Micros, until: Micros) {
        match self.leases.last_mut() {
            Some(last) if last.until >= now => last.until = last.until.max(until),
            _ => self.leases.push(Span { from: now, until }),
        }
    }

    /// There is no lease now; one that was held longer by what was recorded ended now.
    pub fn lose_lease(&mut self, now: Micros) {
        if let Some(last) = self.leases.last_mut() {
            last.until = last.until.min(now);
        }
    }

    /// From now on copies from before this stamp are refused.
    pub fn raise_floor(&mut self, now: Micros, stamp: Micros) {
        if self.floors.last().is_none_or(|(_, floor)| *floor < stamp) {
            self.floors.push((now, stamp));
        }
    }

    /// Until when the last lease holds, as far as is known.
    pub fn leased_until(&self) -> Micros {
        self.leases.last().map_or(Micros::MIN, |last| last.until)
    }

    pub fn leases(&self) -> &[Span] {
        &self.leases
    }

    pub fn leased_at(&self, moment: Micros) -> bool {
        self.leases
            .iter()
            .any(|lease| lease.from <= moment && moment < lease.until)
    }

    /// When this purge was applied.
    pub fn applied(&self, number: usize) -> Option<Micros> {
        let since = self
            .applied
            .get(number)
            .copied()
            .filter(|since| *since != NEVER)?;
        Some(self.begun + Micros::from(since))
    }

    /// From when on no copy from before this purge was served: it was applied, or the floor covers its stamp.
    pub fn in_force(&self, number: usize, stamp: Micros) -> Option<Micros> {
        let covered = self
            .floors
            .iter()
            .find(|(_, floor)| *floor >= stamp)
            .map(|(at, _)| *at);
        [self.applied(number), covered].into_iter().flatten().min()
    }

    /// How many of the first so many purges were applied.
    pub fn count_applied(&self, many: usize) -> usize {
        self.applied
            .iter()
            .take(many)
            .filter(|since| **since != NEVER)
            .count()
    }

    pub fn bytes(&self) -> usize {
        self.applied.capacity() * size_of::<u32>()
            + self.leases.capacity() * size_of::<Span>()
            + self.floors.capacity() * size_of::<(Micros, Micros)>()
    }
}
