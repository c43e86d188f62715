//! Local health (Lifeguard): a score of how reliable this proxy's own observations are, and the detection of pauses of
//! its process.
//!
//! Invariant: the score lies between 0 and `MAX_SCORE`. It rises when probes fail in ways that indicate a problem of
//! this proxy itself, and falls with each response. Timeouts grow with the score, so an observer that is slow or cut
//! off accuses fewer members.

use crate::Micros;

/// The worst score. Timeouts are multiplied by the score plus one.
const MAX_SCORE: u32 = 8;
/// Amount that a pause of the process adds to the score.
const PAUSE_PENALTY: u32 = 2;
/// Maximum delay of a timer, as a fraction of a probe period. A longer delay indicates that the process was paused or
/// starved.
const MAX_TIMER_DELAY: f64 = 0.4;

/// The local health score of one proxy: 0 is healthy.
#[derive(Clone, Debug)]
pub struct Health {
    score: u32,
    /// Whether the score changes timeouts. Disabled only in baseline comparisons.
    enabled: bool,
}

impl Health {
    /// Creates a healthy score. If it is not enabled, it does not change timeouts.
    pub fn new(enabled: bool) -> Health {
        Health { score: 0, enabled }
    }

    /// Records that a probe got no response from its target or from any helper: this proxy itself is probably cut off.
    pub fn record_isolation(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records that a target or a helper responded in time.
    pub fn record_response(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records that the process was paused, so its earlier observations are outdated.
    pub fn record_pause(&mut self) {
        self.score = (self.score + PAUSE_PENALTY).min(MAX_SCORE);
    }

    /// The current score: 0 is healthy.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// The factor by which timeouts are multiplied.
    pub fn timeout_multiplier(&self) -> Micros {
        if !self.enabled || crate::mutant("no-health") {
            return 1;
        }
        Micros::from(self.score + 1)
    }
}

/// The delay of a timer, if it is too long for an ordinary delay and indicates that the process was paused.
pub fn pause_length(due: Micros, now: Micros, period: Micros) -> Option<Micros> {
    let delay = now - due;
    (delay as f64 > MAX_TIMER_DELAY * period as f64).then_some(delay)
}
