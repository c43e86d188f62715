//! What the decisions are told ([`Event`]) and what they ask for ([`Action`]).
//!
//! A host keeps one [`crate::router::Router`] for each instance, maps its own endpoint ids to small indices
//! ([`crate::host::EndpointIndices`]) and hands on events in the order in which they came. All times are whole
//! microseconds of the host's clock.

use std::collections::BTreeMap;

/// A moment or a span, in whole microseconds.
pub type Micros = i64;
/// Small index of a cache, parent or origin. The host gives indices out from 0, and reuses one once it is released
/// ([`Action::ReleaseEndpoint`]).
pub type EndpointIndex = usize;
/// Settings as names and values; unknown names are ignored.
pub type Settings = BTreeMap<String, String>;

/// The status of an endpoint in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes requests.
    Ready,
    /// Finishes what it has, and is given nothing new.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The host's index of the endpoint.
    pub endpoint: EndpointIndex,
    /// Identity that is hashed: the same at every proxy and over restarts.
    pub stable_id: u64,
    /// The settings name the values of this that stand for parents and for the origin; all others are caches.
    pub machine_kind: u8,
    /// When its process started last; 0 for long ago.
    pub started_at: Micros,
    /// Zone of the endpoint; caches of the proxy's own zone are chosen from.
    pub zone: u8,
    /// Failure domain within the zone.
    pub cell: u16,
    /// Relative capacity.
    pub weight: f64,
    /// Whether it takes requests.
    pub status: EndpointStatus,
}

/// What discovery brings.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete list: what is missing has been removed.
    Snapshot(Vec<EndpointEntry>),
    /// Only what has changed.
    Delta(Vec<EndpointEntry>),
    /// Discovery could not be reached; the former list stands.
    Unavailable,
}

/// A client's request, to be given exactly one final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The host's id of the request.
    pub id: u32,
    /// The object that is asked for.
    pub object: u64,
    /// Index of the part of the object, from 0.
    pub part: u32,
    /// Size of the part in the settings' unit; 0 where it is not told.
    pub size_kb: f64,
    /// Group of the object, by which objects are invalidated together.
    pub group: u32,
    /// Index of the request class in the settings.
    pub class: usize,
    /// When the client stops waiting.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint served it.
    Success,
    /// The endpoint failed; the request may have run.
    Error,
    /// The endpoint was at its limit; the request never ran.
    Rejected,
    /// No answer within the attempt's timeout.
    TimedOut,
    /// No connection came up; the request never ran.
    ConnectFailed,
    /// The connection was reset under the request, which may have run.
    ConnectionReset,
    /// Cancelled by this proxy after it was written.
    Cancelled,
    /// Never ran, as the request was over or the attempt was cancelled before it was written.
    Superseded,
    /// The endpoint does not have the part cached, and was not to fetch it.
    Miss,
}

impl AttemptOutcome {
    /// Whether an attempt that ended so may have run at the endpoint.
    pub fn may_have_run(self) -> bool {
        use AttemptOutcome::{Cancelled, ConnectionReset, Error, Success, TimedOut};
        matches!(
            self,
            Success | Error | TimedOut | ConnectionReset | Cancelled
        )
    }
}

/// What a cache says of how it came by its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Nothing is told.
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
    /// The source was to give only what it has cached, and does not have it.
    SourceMiss,
    /// The cache itself has no capacity for another fill.
    FillLimitReached,
    /// The origin failed behind the source.
    OriginFailed,
}

/// The end of an attempt; each attempt has one.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Id of the request.
    pub id: u32,
    /// Number of the attempt within its request, from 0.
    pub attempt: u8,
    /// The endpoint that it went to.
    pub endpoint: EndpointIndex,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was started.
    pub elapsed: Micros,
    /// The request has its final answer, by this attempt or before.
    pub finished: bool,
    /// What the cache says of its answer.
    pub cache_status: CacheStatus,
    /// Time that the cache waited for the first byte of its source.
    pub first_byte: Option<Micros>,
    /// Size of the part in the settings' unit; 0 where the answer does not show it.
    pub size_kb: f64,
    /// Load report, in the order of the setting `feedback.fields`.
    pub load_report: Vec<f64>,
}

/// What a host tells the decisions.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery has news.
    EndpointsUpdated(EndpointUpdate),
    /// A request has come.
    RequestArrived(Request),
    /// The client has been sent the start of its answer.
    ResponseStarted {
        /// Id of the request.
        id: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has left, or its deadline has passed: no answer is owed any more.
    ClientLeft {
        /// Id of the request.
        id: u32,
    },
    /// Discovery may be holding back list changes and invalidations.
    DiscoveryLag {
        /// Since when; none once all has been received.
        since: Option<Micros>,
    },
    /// Invalidations may be missing for good: any object may have been invalidated up to now.
    InvalidationsMissed,
    /// A bound on the copies that may be served, beside invalidations and freshness lifetimes.
    FreshnessBound {
        /// No copy issued before this moment.
        not_before: Option<Micros>,
        /// No copy older than this.
        max_age: Option<Micros>,
    },
    /// The client has ended its side: no attempt may begin any more, while those in flight may still be of use.
    ClientHalfClosed {
        /// Id of the request.
        id: u32,
    },
    /// The connection that an attempt waited for is up, and nothing has been written on it. Hosts without connections
    /// of their own never say so: there an attempt is in flight at once.
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
    /// A health check ended; not used by these decisions.
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
    /// Bytes from another proxy; not used by these decisions.
    PeerMessage {
        /// Number of the sender.
        from: u16,
        /// What it sent.
        bytes: Vec<u8>,
    },
    /// Other proxies have seen requests for this part of an object.
    SharedLength {
        /// The object.
        object: u64,
        /// The highest part index seen lately.
        highest_part: u32,
    },
    /// What other proxies have measured at an endpoint.
    SharedEstimate {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// Fraction of its attempts that fail.
        failure_rate: f64,
        /// Time to first byte, if it is a source of fills.
        first_byte: Option<Micros>,
    },
    /// An object (all its parts), or a whole group, was invalidated.
    Invalidated {
        /// The object; none for the whole group.
        object: Option<u64>,
        /// The group, where no object is given.
        group: u32,
        /// Time since the invalidation.
        age: Micros,
    },
}

/// How a cache is to fill a miss.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fill {
    /// Where to fill from; the endpoint itself for no fill at all.
    pub source: EndpointIndex,
    /// Retention rank: 0 passes through without being cached; 1 to 3 are ranks.
    pub retention: u8,
    /// Oldest copy that will do; 0 for the freshness lifetime of the class.
    pub max_age: Micros,
    /// Join a fill that is under way.
    pub join: bool,
    /// Renew a stale copy in the background.
    pub revalidate: bool,
    /// The source gives only what it has cached.
    pub cached_only: bool,
}

/// What the decisions ask of their host, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    StartAttempt {
        /// Id of the request.
        id: u32,
        /// Where it goes.
        endpoint: EndpointIndex,
        /// How long to wait for its end.
        timeout: Micros,
        /// How a miss is filled; without one the cache is asked only for what it has.
        fill: Option<Fill>,
    },
    /// Final answer: rejected, and harmless to send again.
    Reject {
        /// Id of the request.
        id: u32,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; it may have run.
    Fail {
        /// Id of the request.
        id: u32,
    },
    /// Give an attempt up.
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
    /// Fire a timer ([`Event::TimerFired`]).
    SetTimer {
        /// When.
        at: Micros,
        /// Id of the timer.
        timer: u32,
    },
    /// Ask discovery for the endpoint list.
    PollDiscovery,
    /// The index is free again: its endpoint was removed long ago, and nothing is in flight there.
    ReleaseEndpoint {
        /// The index.
        endpoint: EndpointIndex,
    },
    /// A line for the log.
    Log(LogEvent),
}

/// What the decisions have to say to an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// The concurrency limit of an endpoint was cut below its recent use.
    EndpointLimitCut {
        /// Stable id of the endpoint.
        stable_id: u64,
        /// Attempts that may now be in flight.
        limit: f64,
    },
    /// The limit on fills from a parent was cut below its recent use.
    ParentLimitCut {
        /// Stable id of the parent.
        stable_id: u64,
        /// Fills that may now be in flight.
        limit: f64,
    },
    /// The limit on fills of this proxy was cut below its recent use.
    FillLimitCut {
        /// Fills that may now be in flight.
        limit: f64,
    },
    /// The limit on fetches from the origin was cut below its recent use.
    FetchLimitCut {
        /// Fetches that may now be in flight.
        limit: f64,
    },
    /// No attempt reaches an endpoint: it is treated as warming up from now on.
    EndpointUnreachable {
        /// Stable id of the endpoint.
        stable_id: u64,
    },
}
