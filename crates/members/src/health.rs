//! How far an observer can trust its own eyes (Lifeguard's local health), and whether it was away.

use crate::Micros;

/// The worst score; times are up to so many and one times as long then.
const WORST: u32 = 8;
/// An observer that comes so much of a period late to its own times was stopped or starved.
const LATE: f64 = 0.4;

#[derive(Clone, Debug)]
pub struct Health {
    score: u32,
    /// A baseline without any.
    off: bool,
}

impl Health {
    pub fn new(on: bool) -> Health {
        Health { score: 0, off: !on }
    }

    /// The observer reached nobody with a probe, neither its target nor a helper: likely it is the one cut off.
    pub fn worse(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }

    /// Somebody answered in time.
    pub fn better(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// It was stopped: what it saw before says little, and a moment later it will know more.
    pub fn was_away(&mut self) {
        self.score = (self.score + 2).min(WORST);
    }

    pub fn score(&self) -> u32 {
        self.score
    }

    /// Times are so many times as long as usual.
    pub fn stretch(&self) -> Micros {
        if self.off || crate::mutant("no-health") {
            return 1;
        }
        Micros::from(self.score + 1)
    }
}

/// By how much the clock moved on while nothing was done, if that is more than waking late.
pub fn away(due: Micros, now: Micros, period: Micros) -> Option<Micros> {
    let late = now - due;
    (late as f64 > LATE * period as f64).then_some(late)
}
