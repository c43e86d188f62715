//! The effects that requests may have had, so that a later request with the same effect does not have it again.
//!
//! Rule 2: no effect happens twice. A client may send a request again on another connection, with the id or the
//! idempotency key of the first, while the first is still in flight or after it was given up. The history is bounded by
//! age and by number: it covers the time in which clients repeat requests, whatever else they send.

use crate::expiring_map::ExpiringMap;
use crate::interface::Micros;
use crate::time::SECOND;

/// How long an effect is remembered after its last attempt started or ended.
const LIFETIME: Micros = 60 * SECOND;
/// Maximum number of starts and ends of attempts that are remembered.
const CAPACITY: usize = 16_384;

/// Identifies the effect of a request; 0 for a request whose effect no other request repeats.
pub(crate) type EffectId = u64;

/// The attempts of all requests with one effect.
#[derive(Clone, Copy, Debug)]
struct Effect {
    /// When the first attempt that may have run was started.
    first_started_at: Micros,
    in_flight: u32,
    /// An attempt that has ended may have run.
    may_have_run: bool,
}

impl Effect {
    fn is_possible(&self) -> bool {
        self.may_have_run || self.in_flight > 0
    }
}

/// The effects of recent requests.
pub(crate) struct EffectHistory {
    effects: ExpiringMap<EffectId, Effect>,
}

impl EffectHistory {
    pub(crate) fn new() -> EffectHistory {
        EffectHistory {
            effects: ExpiringMap::new(LIFETIME, CAPACITY),
        }
    }

    /// Records that an attempt was started.
    pub(crate) fn record_start(&mut self, now: Micros, id: EffectId) {
        if id == 0 {
            return;
        }
        let earlier = self.effects.get(now, id).filter(Effect::is_possible);
        let effect = earlier.unwrap_or(Effect {
            first_started_at: now,
            in_flight: 0,
            may_have_run: false,
        });
        let effect = Effect {
            in_flight: effect.in_flight + 1,
            ..effect
        };
        self.effects.insert(now, id, effect);
    }

    /// Records that an attempt has ended.
    pub(crate) fn record_end(&mut self, now: Micros, id: EffectId, may_have_run: bool) {
        let Some(effect) = self.effects.get(now, id) else {
            return;
        };
        let effect = Effect {
            in_flight: effect.in_flight.saturating_sub(1),
            may_have_run: effect.may_have_run || may_have_run,
            ..effect
        };
        self.effects.insert(now, id, effect);
    }

    /// When the first attempt with an effect was started, if another request may have caused it. `own_in_flight` is the
    /// number of attempts that the asking request has in flight. What its own ended attempts may have caused counts as
    /// well.
    pub(crate) fn first_run(
        &self,
        now: Micros,
        id: EffectId,
        own_in_flight: u32,
    ) -> Option<Micros> {
        let effect = self.effects.get(now, id)?;
        let possible = effect.may_have_run || effect.in_flight > own_in_flight;
        possible.then_some(effect.first_started_at)
    }
}
