//! Batches of the events that were published since the last batch, except those that are already known.

use super::Publisher;
use crate::event::{Event, Position};
use crate::event_codec::EventEncoder;
use crate::time::Micros;

/// An event that is not in a batch yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingEvent {
    pub(super) event: Event,
    pub(super) published_at: Micros,
}

impl Publisher {
    /// Appends all pending events to the log, except expired purges and events that are already known: the event source
    /// delivers events again after a restart. Known events are tracked as well until they are in force everywhere.
    pub(super) fn append_pending(&mut self, now: Micros) {
        let mut encoder = EventEncoder::default();
        let mut events: Vec<Event> = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            if self.is_expired(now, &pending.event) {
                continue;
            }
            let is_new = !self.is_known(&pending.event);
            if is_new && !encoder.push(&pending.event) {
                self.append(now, &mut events, std::mem::take(&mut encoder));
                // An empty encoder has room for any event.
                let _ = encoder.push(&pending.event);
            }
            events.extend(is_new.then_some(pending.event));
            self.track(pending, events.len() as Position);
        }
        self.append(now, &mut events, encoder);
    }

    fn is_expired(&self, now: Micros, event: &Event) -> bool {
        let Event::Purge(purge) = event;
        self.log
            .purges
            .retained_from(now)
            .is_some_and(|retained_from| purge.timestamp < retained_from)
    }

    fn is_known(&self, event: &Event) -> bool {
        let Event::Purge(purge) = event;
        self.log
            .purges
            .timestamp(purge.key)
            .is_some_and(|timestamp| timestamp >= purge.timestamp)
    }

    fn append(&mut self, now: Micros, events: &mut Vec<Event>, encoder: EventEncoder) {
        if !events.is_empty() {
            self.log.append(now, events, encoder.finish());
            events.clear();
        }
    }

    /// Tracks an event until it is in force everywhere. A subscriber has applied it once it has applied the log and the
    /// `unappended` events that follow it.
    fn track(&mut self, pending: PendingEvent, unappended: Position) {
        let mut end = self.log.position().unwrap_or_default();
        end.position += unappended;
        self.in_force
            .track(pending.event, pending.published_at, end);
    }
}
