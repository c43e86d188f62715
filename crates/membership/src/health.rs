//! Local health (Lifeguard): how far this proxy can trust its own observations, and whether its process was paused.
//!
//! Invariant: the score is within 0 and [`MAX_SCORE`]. It rises while probes fail in ways that point to this proxy itself,
//! and falls with each response; timeouts grow with it, so an observer that is slow or cut off accuses fewer others.

use crate::Micros;

/// The worst score. Timeouts are multiplied by the score plus one.
const MAX_SCORE: u32 = 8;
/// What a pause adds to the score.
const PAUSE_PENALTY: u32 = 2;
/// A timer that fires later than this part of a period shows that the process was paused or starved.
const MAX_TIMER_DELAY: f64 = 0.4;

/// The local health score of one proxy: 0 is healthy.
#[derive(Clone, Debug)]
pub struct Health {
    score: u32,
    /// Off in baselines only.
    enabled: bool,
}

impl Health {
    /// A healthy score. Where it is not enabled it changes no timeouts.
    pub fn new(enabled: bool) -> Health {
        Health { score: 0, enabled }
    }

    /// A probe reached neither its target nor a helper: probably this proxy itself is cut off.
    pub fn record_isolation(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// A target or a helper responded in time.
    pub fn record_response(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The process was paused: what it observed before is outdated.
    pub fn record_pause(&mut self) {
        self.score = (self.score + PAUSE_PENALTY).min(MAX_SCORE);
    }

    /// The score.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// What timeouts are multiplied by.
    pub fn timeout_multiplier(&self) -> Micros {
        if !self.enabled || crate::mutant("no-health") {
            return 1;
        }
        Micros::from(self.score + 1)
    }
}

/// How long the process was paused, if a timer that was due fires too late for an ordinary delay.
pub fn pause_length(due: Micros, now: Micros, period: Micros) -> Option<Micros> {
    let delay = now - due;
    (delay as f64 > MAX_TIMER_DELAY * period as f64).then_some(delay)
}
