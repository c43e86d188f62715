//! The router's input ([`Event`]) and its output ([`Action`]).
//!
//! A host keeps one [`crate::router::Router`] for each instance, maps its own endpoint ids to small indices
//! ([`crate::host::EndpointIndices`]) and passes events to the router in the order in which they occurred. All times
//! are whole microseconds of the host's clock.

use std::collections::BTreeMap;

/// A point in time or a duration, in whole microseconds.
pub type Micros = i64;
/// Small index of a cache, parent or origin. The host assigns indices from 0, and may reuse an index once it is
/// released ([`Action::ReleaseEndpoint`]).
pub type EndpointIndex = usize;
/// Settings by name; unknown names are ignored.
pub type Settings = BTreeMap<String, String>;

/// The status of an endpoint in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Accepts requests.
    Ready,
    /// Finishes the requests that it has, and gets no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The host's index of the endpoint.
    pub endpoint: EndpointIndex,
    /// Id that placement hashes; it is the same at every proxy and does not change on restart.
    pub stable_id: u64,
    /// Kind of the endpoint: the settings define which values denote parents and the origin; all others denote caches.
    pub endpoint_kind: u8,
    /// When its process last started; 0 if that was long ago.
    pub started_at: Micros,
    /// Identifies its network address; 0 if unknown.
    pub address: u64,
    /// Zone of the endpoint; a proxy uses only the caches of its own zone.
    pub zone: u8,
    /// Failure domain within the zone.
    pub cell: u16,
    /// Relative capacity.
    pub weight: f64,
    /// Whether it accepts requests.
    pub status: EndpointStatus,
}

/// An update from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete list; an endpoint that is missing from it has been removed.
    Snapshot(Vec<EndpointEntry>),
    /// Only the entries that have changed.
    Delta(Vec<EndpointEntry>),
    /// Discovery could not be reached; the previous list stays in force.
    Unavailable,
}

/// A client's request, which gets exactly one final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The host's id of the request.
    pub id: u32,
    /// The requested object.
    pub object: u64,
    /// Index of the part of the object, from 0.
    pub part: u32,
    /// Size of the part in the settings' unit; 0 if unknown.
    pub size_kb: f64,
    /// Group of the object; the objects of a group can be invalidated together.
    pub group: u32,
    /// Index of the request class in the settings.
    pub class: usize,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Identifies the side effect: requests by which clients repeat one have the same. 0 if no other request repeats it.
    pub effect: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint served it.
    Success,
    /// The endpoint failed; the request may have run.
    Error,
    /// The endpoint was at its limit and rejected the request, which never ran.
    Rejected,
    /// No answer within the attempt's timeout.
    TimedOut,
    /// No connection could be established; the request never ran.
    ConnectFailed,
    /// The connection was reset during the request, which may have run.
    ConnectionReset,
    /// Cancelled by this proxy after it was written.
    Cancelled,
    /// The attempt never ran: the request ended, or the attempt was cancelled, before it was written.
    Superseded,
    /// The endpoint does not have the part cached, and was asked not to fetch it.
    Miss,
}

impl AttemptOutcome {
    /// Whether an attempt with this outcome may have run at the endpoint.
    pub fn may_have_run(self) -> bool {
        use AttemptOutcome::{Cancelled, ConnectionReset, Error, Success, TimedOut};
        matches!(
            self,
            Success | Error | TimedOut | ConnectionReset | Cancelled
        )
    }
}

/// How a cache obtained its answer, as it reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// The cache reported nothing.
    Unknown,
    /// Served from the cache, within its freshness lifetime.
    Hit,
    /// Filled from a parent that had it cached.
    FilledFromParent,
    /// Filled from the origin, directly or through a parent.
    FilledFromOrigin,
    /// Waited for a fill that another request had started.
    JoinedFill,
    /// Served past its freshness lifetime.
    Stale,
    /// The source of the fill was at its limit.
    SourceRejected,
    /// The source of the fill could not be reached.
    SourceUnreachable,
    /// The source was asked for its cached copy only, and has none.
    SourceMiss,
    /// The cache itself has no capacity for another fill.
    FillLimitReached,
    /// The source forwarded the fill to the origin, which failed.
    OriginFailed,
}

/// The end of an attempt; each attempt has one.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Id of the request.
    pub id: u32,
    /// Number of the attempt within its request, from 0.
    pub attempt: u8,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointIndex,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was started.
    pub elapsed: Micros,
    /// The request has its final answer, from this attempt or from an earlier one.
    pub finished: bool,
    /// How the cache obtained its answer.
    pub cache_status: CacheStatus,
    /// Time that the cache waited for the first byte from its source.
    pub first_byte: Option<Micros>,
    /// Size of the part in the settings' unit; 0 if the answer does not state it.
    pub size_kb: f64,
    /// Load report, in the order of the setting `feedback.fields`.
    pub load_report: Vec<f64>,
}

/// An event that a host passes to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery sent an update, or could not be reached.
    EndpointsUpdated(EndpointUpdate),
    /// A request has arrived.
    RequestArrived(Request),
    /// The client has been sent the start of its answer.
    ResponseStarted {
        /// Id of the request.
        id: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected, or its deadline has passed: the request needs no answer any more.
    ClientLeft {
        /// Id of the request.
        id: u32,
    },
    /// Discovery may be holding back list changes and invalidations.
    DiscoveryLag {
        /// Since when; none once all updates have been received.
        since: Option<Micros>,
    },
    /// Invalidations may have been lost permanently: any object may have been invalidated up to now.
    InvalidationsMissed,
    /// A bound on the copies that may be served, in addition to invalidations and freshness lifetimes.
    FreshnessBound {
        /// Copies issued before this time may not be served.
        not_before: Option<Micros>,
        /// Copies older than this may not be served.
        max_age: Option<Micros>,
    },
    /// The client has closed its sending side: no further attempt may start, but the answer of an attempt in flight may
    /// still be delivered.
    ClientHalfClosed {
        /// Id of the request.
        id: u32,
    },
    /// The connection that an attempt waited for is established, and nothing has been written on it. Hosts without
    /// connections of their own never send this event: their attempts are in flight at once.
    AttemptConnected {
        /// Id of the request.
        id: u32,
        /// Number of the attempt.
        attempt: u8,
    },
    /// A timer fired ([`Action::SetTimer`]).
    TimerFired {
        /// Id of the timer.
        timer: u32,
    },
    /// A health check ended; the router ignores it.
    HealthCheckEnded {
        /// The endpoint that was checked.
        endpoint: EndpointIndex,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was started.
        elapsed: Micros,
        /// Load report, in the order of the setting `feedback.fields`.
        load_report: Vec<f64>,
    },
    /// Bytes from another proxy; the router ignores them.
    PeerMessage {
        /// Number of the sender.
        from: u16,
        /// The bytes that it sent.
        bytes: Vec<u8>,
    },
    /// The highest part of an object for which other proxies have seen requests.
    SharedLength {
        /// The object.
        object: u64,
        /// The highest part index that was requested recently.
        highest_part: u32,
    },
    /// Measurements of an endpoint by other proxies.
    SharedEstimate {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// Fraction of its attempts that fail.
        failure_rate: f64,
        /// Time to first byte, if the endpoint is a source of fills.
        first_byte: Option<Micros>,
    },
    /// An object with all its parts, or a complete group, was invalidated.
    Invalidated {
        /// The object; none if the complete group was invalidated.
        object: Option<u64>,
        /// The group, if no object is given.
        group: u32,
        /// Time since the invalidation.
        age: Micros,
    },
}

/// How a cache fills a miss.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fill {
    /// Endpoint to fill from; the attempt's own endpoint for no fill at all.
    pub source: EndpointIndex,
    /// Retention rank from 1 to 3; with 0 the part passes through without being cached.
    pub retention: u8,
    /// Maximum age of a copy that may be served; 0 for the freshness lifetime of the class.
    pub max_age: Micros,
    /// Join a fill in progress.
    pub join: bool,
    /// Revalidate a stale copy in the background.
    pub revalidate: bool,
    /// The source answers only from its cache.
    pub cached_only: bool,
}

/// An action that the host carries out for the router, in the order in which the router returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    StartAttempt {
        /// Id of the request.
        id: u32,
        /// Endpoint to send the attempt to.
        endpoint: EndpointIndex,
        /// How long to wait for its end.
        timeout: Micros,
        /// How a miss is filled; if none, the cache answers only from what it has cached.
        fill: Option<Fill>,
    },
    /// Final answer: rejected, and safe to retry.
    Reject {
        /// Id of the request.
        id: u32,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// Id of the request.
        id: u32,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Id of the request.
        id: u32,
        /// Number of the attempt.
        attempt: u8,
    },
    /// An attempt that waited for its connection may be written.
    WriteAttempt {
        /// Id of the request.
        id: u32,
        /// Number of the attempt.
        attempt: u8,
    },
    /// Set a timer, which fires as [`Event::TimerFired`].
    SetTimer {
        /// When the timer fires.
        at: Micros,
        /// Id of the timer.
        timer: u32,
    },
    /// Poll discovery for the endpoint list.
    PollDiscovery,
    /// Release an index: its endpoint was removed long ago, and nothing is in flight there.
    ReleaseEndpoint {
        /// The index.
        endpoint: EndpointIndex,
    },
    /// A line for the log.
    Log(LogEvent),
}

/// An event that operators should see in the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// The concurrency limit of an endpoint was reduced below its recent use.
    EndpointLimitReduced {
        /// Stable id of the endpoint.
        stable_id: u64,
        /// Attempts that may now be in flight.
        limit: f64,
    },
    /// The limit on fills from a parent was reduced below its recent use.
    ParentLimitReduced {
        /// Stable id of the parent.
        stable_id: u64,
        /// Fills that may now be in flight.
        limit: f64,
    },
    /// The limit on fills of this proxy was reduced below its recent use.
    FillLimitReduced {
        /// Fills that may now be in flight.
        limit: f64,
    },
    /// The limit on fetches from the origin was reduced below its recent use.
    FetchLimitReduced {
        /// Fetches that may now be in flight.
        limit: f64,
    },
    /// No attempt reaches an endpoint; from now on the router treats it as warming up.
    EndpointUnreachable {
        /// Stable id of the endpoint.
        stable_id: u64,
    },
}
