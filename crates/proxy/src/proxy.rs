//! The proxy process: an event loop that connects the router to sockets. The loop makes no routing decisions; all time
//! limits come from the router or from the settings.
//!
//! Life cycle of a request:
//!
//! 1. A frame is read and added to the table as a request (`client_requests`). An invalid request fails immediately.
//! 2. Admission control admits, queues or rejects the request (`admission`), immediately or in a later round.
//! 3. If state is shared, a request with a side effect waits for its claim at the ledger (`effect_claims`).
//! 4. At the end of the round the router handles the arrival and requests an attempt (`routing`).
//! 5. The attempt is written (`attempts`): immediately on an idle connection, otherwise once its connection is
//!    established and the router has confirmed the attempt.
//! 6. The attempt ends. The router is notified, and the first success becomes the response (`outcomes`). The router may
//!    request further attempts, or a final answer (`response`).
//! 7. The request is removed from the table once it has been answered and no attempt is in flight (`request_table`).
//!
//! The state of each part of [`Proxy`] is a separate struct in the module that changes it.

mod admission;
mod attempts;
pub(crate) mod availability;
mod client_requests;
mod downstream;
mod effect_claims;
mod effect_id;
mod endpoint_list;
mod endpoints;
mod event_loop;
mod event_subscription;
mod membership;
mod operators;
mod outcomes;
mod reload;
mod request_table;
mod response;
mod routing;
mod shared_state;
mod shutdown;
mod snapshot;
mod timers;

use self::admission::Admission;
use self::attempts::Upstream;
use self::availability::Availability;
use self::downstream::Downstream;
use self::endpoint_list::Discovery;
use self::endpoints::EndpointDirectory;
use self::membership::Fleet;
use self::operators::OperatorInterface;
use self::request_table::RequestTable;
use self::routing::RouterQueue;
use self::shutdown::Shutdown;
use self::snapshot::SnapshotSchedule;
use self::timers::{Timer, Timers};
use crate::clock::Clock;
use crate::config::Config;
use crate::net::clients::{Clients, InputMemory};
use crate::net::discovery::DiscoveryClient;
use crate::net::endpoints::EndpointConnections;
use crate::net::operators::Operators;
use crate::net::peers::Peers;
use crate::net::{Key, Poll, ReadyEvents};
use crate::report::Metrics;
use calloop::EventLoop;
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::identity::IdentityResolver;
use meadowrill_admission::request::CapacityLimits;
use meadowrill_routing::interface::Micros;
use meadowrill_routing::router::Router;
use slog::Logger;
use std::hash::RandomState;
use std::io;
use std::net::TcpListener;
use std::path::Path;

/// Interval of housekeeping.
const HOUSEKEEPING_INTERVAL: Micros = 250_000;

/// One proxy process.
pub(crate) struct Proxy {
    config: Config,
    log: Logger,
    clock: Clock,
    poll: Poll,
    timers: Timers,
    downstream: Downstream,
    requests: RequestTable,
    admission: Admission,
    routing: RouterQueue,
    upstream: Upstream,
    endpoints: EndpointDirectory,
    discovery: Discovery,
    fleet: Fleet,
    operators: OperatorInterface,
    metrics: Metrics,
    /// Hashes the ids of side effects; clients cannot predict it.
    effect_hasher: RandomState,
    availability: Availability,
    shutdown: Shutdown,
    snapshot: SnapshotSchedule,
}

impl Proxy {
    /// Creates all parts. Requests are accepted only once [`Proxy::run`] is called. `benchmark_counts` returns the
    /// additional counters of a benchmark build.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that cannot be opened.
    pub(crate) fn new(
        config: Config,
        listener: TcpListener,
        events: &EventLoop<'static, ReadyEvents>,
        log: Logger,
        benchmark_counts: Option<fn() -> String>,
    ) -> io::Result<Proxy> {
        let poll = Poll::new(events)?;
        let downstream = open_downstream(&config, listener, &poll)?;
        let clock = Clock::start();
        let now = clock.now();
        let operators = open_operators(&config, &poll)?;
        let peers = open_fleet(&config, now, &poll)?;
        let mut proxy = Proxy {
            timers: Timers::default(),
            downstream,
            requests: RequestTable::default(),
            admission: new_admission(&config, now),
            routing: new_router(&config),
            upstream: Upstream::new(EndpointConnections::new(
                config.max_endpoint_connections,
                config.idle_timeout,
            )),
            endpoints: EndpointDirectory::default(),
            discovery: new_discovery(&config),
            fleet: Fleet::new(peers),
            operators: OperatorInterface {
                operators,
                benchmark_counts,
            },
            metrics: Metrics::default(),
            effect_hasher: RandomState::new(),
            availability: Availability::default(),
            shutdown: Shutdown::default(),
            snapshot: SnapshotSchedule::new(&config, now),
            poll,
            clock,
            log,
            config,
        };
        proxy.start(now);
        Ok(proxy)
    }

    /// Applies the endpoint list of the configuration and the snapshot, and sets the first timers.
    fn start(&mut self, now: Micros) {
        self.subscribe_to_relays(now);
        // A proxy that shares state is not ready until it has requested the state of the other proxies.
        self.downstream.clients.ready = !self.fleet.shares_state();
        self.apply_initial_list(now);
        self.restore_snapshot(now);
        self.dispatch_events(now);
        self.timers.set(now, Timer::Housekeeping);
        self.apply_operator_settings(now);
        self.with_fleet(now, |_, _| {});
    }
}

fn open_downstream(config: &Config, listener: TcpListener, poll: &Poll) -> io::Result<Downstream> {
    listener.set_nonblocking(true)?;
    let token = poll.watch(listener.try_clone()?, Key::Listener)?;
    Ok(Downstream {
        clients: Clients::new(
            config.max_client_connections,
            config.max_draining_connections,
            config.longest_deadline,
            InputMemory::new(poll.client_input_memory.clone(), config.max_buffer_bytes),
        ),
        listener: Some((listener, token)),
        accept_pending: true,
        events: Vec::new(),
    })
}

fn open_operators(config: &Config, poll: &Poll) -> io::Result<Option<Operators>> {
    let path = config.operator.operator_socket.as_ref();
    path.map(|path| Operators::listen(Path::new(path), poll))
        .transpose()
}

fn open_fleet(config: &Config, now: Micros, poll: &Poll) -> io::Result<Option<Peers>> {
    let replica = config.operator.replica.as_ref();
    let fleet = config.operator.fleet.as_ref();
    fleet
        .map(|fleet| Peers::listen(fleet, replica, &config.name, now, config.seed, poll))
        .transpose()
}

fn new_admission(config: &Config, now: Micros) -> Admission {
    let settings = &config.operator.admission;
    let classes: Vec<_> = config.classes.iter().map(|class| class.admission).collect();
    let limits = CapacityLimits {
        open_requests: config.max_requests,
        bytes: config.max_buffer_bytes,
        max_retry_after: config.max_retry_after,
    };
    Admission {
        controller: AdmissionController::new(settings.clone(), &classes, limits, config.seed, now),
        identities: IdentityResolver::new(settings, config.seed),
        events: Vec::new(),
    }
}

fn new_router(config: &Config) -> RouterQueue {
    let mut actions = Vec::new();
    let router = Router::new(config.seed, &config.routing, &mut actions);
    RouterQueue::new(router, actions)
}

fn new_discovery(config: &Config) -> Discovery {
    let position = config.initial_list["pos"].as_u64().unwrap_or(0);
    Discovery {
        client: DiscoveryClient::new(config.discovery, position),
        lag_since: None,
    }
}

#[cfg(test)]
mod tests;
