//! The component that serves subscribers: a relay or a publisher.

use super::settings::RelaySettings;
use meadowrill_event_distribution::event::{Event, LogPosition};
use meadowrill_event_distribution::output::Output;
use meadowrill_event_distribution::publisher::Publisher;
use meadowrill_event_distribution::relay::Relay;
use meadowrill_event_distribution::settings::Identity;
use meadowrill_event_distribution::status::{DistributorStatus, SubscriberStatus};
use meadowrill_routing::host::stable_id;
use meadowrill_routing::interface::Micros;

pub(super) enum Feed {
    Relay(Box<Relay>),
    Publisher(Box<Publisher>),
}

impl Feed {
    pub(super) fn new(settings: &RelaySettings, now: Micros) -> Feed {
        let (distribution, relay) = (settings.events.clone(), settings.relay.limits.clone());
        let identity = Identity {
            name: settings.name().to_string(),
            incarnation: now.max(0) as u64,
            address: settings.fleet.advertise,
            region: settings.file.region.clone(),
            zone: settings.fleet.zone.clone(),
        };
        // The name is part of the seed, so that relays that start at the same time do not choose the same backoffs.
        let seed = now as u64 ^ stable_id(settings.name());
        if settings.relay.publish.is_some() {
            Feed::Publisher(Box::new(Publisher::new(
                distribution,
                relay,
                identity,
                now,
                seed,
            )))
        } else {
            Feed::Relay(Box::new(Relay::new(
                distribution,
                relay,
                identity,
                now,
                seed,
            )))
        }
    }

    pub(super) fn receive(&mut self, now: Micros, bytes: &[u8], outputs: &mut Vec<Output>) {
        match self {
            Feed::Relay(relay) => relay.receive(now, bytes, outputs),
            Feed::Publisher(publisher) => publisher.receive(now, bytes, outputs),
        }
    }

    pub(super) fn tick(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        match self {
            Feed::Relay(relay) => relay.tick(now, outputs),
            Feed::Publisher(publisher) => publisher.tick(now, outputs),
        }
    }

    pub(super) fn next_wake(&self) -> Micros {
        match self {
            Feed::Relay(relay) => relay.next_wake(),
            Feed::Publisher(publisher) => publisher.next_wake(),
        }
    }

    pub(super) fn status(&self, now: Micros) -> DistributorStatus {
        match self {
            Feed::Relay(relay) => relay.status(now),
            Feed::Publisher(publisher) => publisher.status(now),
        }
    }

    /// The status of a relay's own subscription to its upstream; `None` for a publisher.
    pub(super) fn upstream(&self, now: Micros) -> Option<SubscriberStatus> {
        match self {
            Feed::Relay(relay) => Some(relay.upstream(now)),
            Feed::Publisher(_) => None,
        }
    }

    /// The position of the last event that a publisher has published; `None` for a relay.
    pub(super) fn published(&self) -> Option<LogPosition> {
        match self {
            Feed::Relay(_) => None,
            Feed::Publisher(publisher) => Some(publisher.published()),
        }
    }

    pub(super) fn publish(&mut self, now: Micros, event: Event) {
        if let Feed::Publisher(publisher) = self {
            publisher.publish(now, event);
        }
    }

    /// Events of the discovery service are permanently missing. Subscribers must refuse copies from before `now`.
    pub(super) fn bound_missed(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        if let Feed::Publisher(publisher) = self {
            publisher.handle_missed_events(now, outputs);
        }
    }

    /// Sets the time since which the discovery service may have withheld events, or `None` if it withholds none.
    pub(super) fn set_lag(&mut self, since: Option<Micros>) {
        if let Feed::Publisher(publisher) = self {
            publisher.set_behind_since(since);
        }
    }
}
