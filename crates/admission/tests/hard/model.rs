//! A model of the controller in front of a cache with workers and a queue, and of clients that send requests in a
//! closed loop.

use meadowrill_admission::config::{AdmissionConfig, QueueDiscipline, Tenant};
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::cost::RequestClass;
use meadowrill_admission::identity::ClientIdentity;
use meadowrill_admission::request::{
    AdmissionEvent, AdmissionRequest, CapacityLimits, Completion, Decision, RejectReason,
    Rejection, Ticket,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub(crate) const MS: i64 = 1_000;
pub(crate) const BUDGET: i64 = 500 * MS;
pub(crate) const LIMITS: CapacityLimits = CapacityLimits {
    open_requests: 20_000,
    bytes: 1 << 30,
    max_retry_after: 1_000 * MS,
};
pub(crate) const CLASS: RequestClass = RequestClass {
    priority_weight: 1.0,
    latency_budget: BUDGET,
    budget_stretch: 0.0,
};

pub(crate) fn config(weights: &[f64]) -> AdmissionConfig {
    let tenant = |(index, weight): (usize, &f64)| Tenant {
        name: format!("t{index}"),
        weight: *weight,
        ..Tenant::default()
    };
    AdmissionConfig {
        discipline: QueueDiscipline::Fair,
        tenants: weights.iter().enumerate().map(tenant).collect(),
        ..AdmissionConfig::default()
    }
}

/// A client with one connection. It sends its next request `think_time` after an answer, and retries after a rejection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Client {
    pub tenant: u16,
    pub client_id: u64,
    pub think_time: i64,
    /// Time from a rejection to the retry. `None` means that the client retries after the Retry-After that it received.
    pub retry_interval: Option<i64>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientCounts {
    pub requests: u64,
    pub succeeded: u64,
    pub in_budget: u64,
    pub rejected: u64,
    pub returned: u64,
    pub admitted_on_return: u64,
}

/// The simulated system: the controller, a cache with `workers` workers behind it, and clients in a closed loop.
pub(crate) struct Model {
    pub controller: AdmissionController,
    pub now: i64,
    /// Mean service time of a request, in microseconds.
    pub service_time: i64,
    pub workers: usize,
    pub busy: usize,
    pub queue: VecDeque<u32>,
    /// Scheduled events by time: kind 0 is the answer to a request, and kind 1 is a client that sends a request.
    pub events: BinaryHeap<Reverse<(i64, u8, u32)>>,
    pub clients: Vec<Client>,
    /// Whether the next request of each client is a return for a reservation.
    pub returns_for_reservation: Vec<bool>,
    pub open: BTreeMap<u32, (u32, Ticket, i64)>,
    pub last_id: u32,
    pub counts: Vec<ClientCounts>,
    pub by_reason: BTreeMap<RejectReason, u64>,
    pub max_queued: usize,
    /// The limit of the routing crate. A request fails at once if this many are in flight.
    pub downstream_limit: usize,
}

impl Model {
    pub(crate) fn new(
        config: AdmissionConfig,
        workers: usize,
        service_time: i64,
        clients: Vec<Client>,
    ) -> Model {
        let events = (0u32..)
            .zip(&clients)
            .map(|(client, _)| Reverse((i64::from(client) * 37 % 5_000, 1, client)))
            .collect();
        Model {
            controller: AdmissionController::new(config, &[CLASS], LIMITS, 5, 0),
            now: 0,
            service_time,
            workers,
            busy: 0,
            queue: VecDeque::new(),
            events,
            returns_for_reservation: vec![false; clients.len()],
            counts: vec![ClientCounts::default(); clients.len()],
            clients,
            open: BTreeMap::new(),
            last_id: 0,
            by_reason: BTreeMap::new(),
            max_queued: 0,
            downstream_limit: usize::MAX,
        }
    }

    pub(crate) fn run(&mut self, until: i64) {
        loop {
            let next = self.events.peek().map(|Reverse((at, ..))| *at);
            let next = [next, self.controller.next_deadline()]
                .into_iter()
                .flatten()
                .min()
                .unwrap_or(until);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            while self
                .events
                .peek()
                .is_some_and(|Reverse((at, ..))| *at <= self.now)
            {
                match self.events.pop() {
                    Some(Reverse((_, 0, id))) => self.complete(id),
                    Some(Reverse((_, _, client))) => self.send_request(client),
                    None => {}
                }
            }
            let mut events = Vec::new();
            self.controller.poll(self.now, &mut events);
            for event in events {
                match event {
                    AdmissionEvent::Admitted { id, .. } => self.start(id),
                    AdmissionEvent::Rejected { id, rejection } => {
                        let Some((client, ..)) = self.open.remove(&id) else {
                            panic!("request {id} is not open")
                        };
                        self.handle_rejection(client, rejection);
                    }
                }
            }
            self.serve();
        }
    }

    fn serve(&mut self) {
        self.max_queued = self.max_queued.max(self.queue.len());
        while self.busy < self.workers {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            self.busy += 1;
            // Service times vary, but are the same in each run.
            let duration = self.service_time * (90 + i64::from(id) * 7919 % 21) / 100;
            self.events.push(Reverse((self.now + duration, 0, id)));
        }
    }

    fn complete(&mut self, id: u32) {
        self.busy -= 1;
        let (client, ticket, sent_at) = self.open.remove(&id).expect("an open request");
        self.controller.complete(
            self.now,
            ticket,
            Completion {
                succeeded: true,
                cache_hit: true,
                size_kb: 1.0,
                abandoned: false,
            },
        );
        let index = client as usize;
        self.counts[index].succeeded += 1;
        self.counts[index].in_budget += u64::from(self.now - sent_at <= BUDGET);
        self.counts[index].admitted_on_return +=
            u64::from(std::mem::take(&mut self.returns_for_reservation[index]));
        self.events.push(Reverse((
            self.now + self.clients[index].think_time.max(1),
            1,
            client,
        )));
        self.serve();
    }

    fn send_request(&mut self, client: u32) {
        self.last_id += 1;
        let index = client as usize;
        let Client {
            tenant, client_id, ..
        } = self.clients[index];
        self.counts[index].requests += 1;
        self.counts[index].returned += u64::from(self.returns_for_reservation[index]);
        let identity = ClientIdentity {
            tenant,
            client: client_id,
            connection: u64::from(client),
            address: "127.0.0.1".parse().unwrap(),
        };
        let expires = self.now + 3_000 * MS;
        let request = AdmissionRequest {
            id: self.last_id,
            identity,
            class: 0,
            size_kb: 0.0,
            bytes: 0,
            expires,
        };
        match self.controller.admit(self.now, request, 0) {
            Decision::Admitted(ticket) => {
                self.open.insert(self.last_id, (client, ticket, self.now));
                self.start(self.last_id);
                self.serve();
            }
            Decision::Queued(ticket) => {
                self.open.insert(self.last_id, (client, ticket, self.now));
            }
            Decision::Rejected(rejection) => self.handle_rejection(client, rejection),
        }
    }

    fn start(&mut self, id: u32) {
        if self.queue.len() + self.busy < self.downstream_limit {
            return self.queue.push_back(id);
        }
        let (client, ticket, _) = self.open.remove(&id).expect("an open request");
        self.controller
            .complete(self.now, ticket, Completion::default());
        let rejection = Rejection {
            reason: RejectReason::RateLimit,
            retry_after: 50 * MS,
            reserved: false,
        };
        self.handle_rejection(client, rejection);
    }

    fn handle_rejection(&mut self, client: u32, rejection: Rejection) {
        let index = client as usize;
        self.counts[index].rejected += 1;
        *self.by_reason.entry(rejection.reason).or_default() += 1;
        self.returns_for_reservation[index] =
            self.clients[index].retry_interval.is_none() && rejection.reserved;
        let pause = self.clients[index]
            .retry_interval
            .unwrap_or(rejection.retry_after);
        self.events
            .push(Reverse((self.now + pause.max(100), 1, client)));
    }

    pub(crate) fn sum(&self, which: impl Fn(&Client) -> bool) -> ClientCounts {
        let mut sum = ClientCounts::default();
        for (_, counts) in self
            .clients
            .iter()
            .zip(&self.counts)
            .filter(|(c, _)| which(c))
        {
            sum.requests += counts.requests;
            sum.succeeded += counts.succeeded;
            sum.in_budget += counts.in_budget;
            sum.rejected += counts.rejected;
            sum.returned += counts.returned;
            sum.admitted_on_return += counts.admitted_on_return;
        }
        sum
    }

    pub(crate) fn reset_counts(&mut self) {
        self.counts.fill(ClientCounts::default());
    }
}
