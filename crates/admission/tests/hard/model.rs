//! A model of a cache behind the controller: so many workers, a queue, and clients that ask in a closed loop.

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
    let tenant = |(at, weight): (usize, &f64)| Tenant {
        name: format!("t{at}"),
        weight: *weight,
        ..Tenant::default()
    };
    AdmissionConfig {
        discipline: QueueDiscipline::Fair,
        tenants: weights.iter().enumerate().map(tenant).collect(),
        ..AdmissionConfig::default()
    }
}

/// One connection: asks again so long after an answer, and when it was turned away.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Client {
    pub tenant: u16,
    pub name: u64,
    pub think: i64,
    /// None: comes back when it was told to.
    pub hammers: Option<i64>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Got {
    pub asked: u64,
    pub satisfied: u64,
    pub in_budget: u64,
    pub rejected: u64,
    pub returned: u64,
    pub got_in: u64,
}

/// The controller, a cache with so many workers behind it, and clients in a closed loop.
pub(crate) struct Model {
    pub controller: AdmissionController,
    pub now: i64,
    pub work: i64,
    pub workers: usize,
    pub busy: usize,
    pub queue: VecDeque<u32>,
    /// What happens when: 0 an answer for a lookup, 1 a client that asks.
    pub due: BinaryHeap<Reverse<(i64, u8, u32)>>,
    pub clients: Vec<Client>,
    pub returns: Vec<bool>,
    pub open: BTreeMap<u32, (u32, Ticket, i64)>,
    pub next: u32,
    pub got: Vec<Got>,
    pub by_reason: BTreeMap<RejectReason, u64>,
    pub most_queued: usize,
    /// The decision module's own limit: a lookup that finds so many in flight fails at once.
    pub gate: usize,
}

impl Model {
    pub(crate) fn new(
        config: AdmissionConfig,
        workers: usize,
        work: i64,
        clients: Vec<Client>,
    ) -> Model {
        let due = (0u32..)
            .zip(&clients)
            .map(|(at, _)| Reverse((i64::from(at) * 37 % 5_000, 1, at)))
            .collect();
        Model {
            controller: AdmissionController::new(config, &[CLASS], LIMITS, 5, 0),
            now: 0,
            work,
            workers,
            busy: 0,
            queue: VecDeque::new(),
            due,
            returns: vec![false; clients.len()],
            got: vec![Got::default(); clients.len()],
            clients,
            open: BTreeMap::new(),
            next: 0,
            by_reason: BTreeMap::new(),
            most_queued: 0,
            gate: usize::MAX,
        }
    }

    pub(crate) fn run(&mut self, until: i64) {
        loop {
            let next = self.due.peek().map(|Reverse((at, ..))| *at);
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
                .due
                .peek()
                .is_some_and(|Reverse((at, ..))| *at <= self.now)
            {
                match self.due.pop() {
                    Some(Reverse((_, 0, id))) => self.answered(id),
                    Some(Reverse((_, _, client))) => self.ask(client),
                    None => {}
                }
            }
            let mut events = Vec::new();
            self.controller.poll(self.now, &mut events);
            for event in events {
                match event {
                    AdmissionEvent::Admitted { id, .. } => self.let_in(id),
                    AdmissionEvent::Rejected { id, rejection } => {
                        let Some((client, ..)) = self.open.remove(&id) else {
                            panic!("{id} was not open")
                        };
                        self.rejected(client, rejection);
                    }
                }
            }
            self.serve();
        }
    }

    fn serve(&mut self) {
        self.most_queued = self.most_queued.max(self.queue.len());
        while self.busy < self.workers {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            self.busy += 1;
            // Not all alike, yet the same each time.
            let work = self.work * (90 + i64::from(id) * 7919 % 21) / 100;
            self.due.push(Reverse((self.now + work, 0, id)));
        }
    }

    fn answered(&mut self, id: u32) {
        self.busy -= 1;
        let (client, ticket, asked) = self.open.remove(&id).expect("open");
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
        let at = client as usize;
        self.got[at].satisfied += 1;
        self.got[at].in_budget += u64::from(self.now - asked <= BUDGET);
        self.got[at].got_in += u64::from(std::mem::take(&mut self.returns[at]));
        self.due.push(Reverse((
            self.now + self.clients[at].think.max(1),
            1,
            client,
        )));
        self.serve();
    }

    fn ask(&mut self, client: u32) {
        self.next += 1;
        let at = client as usize;
        let Client { tenant, name, .. } = self.clients[at];
        self.got[at].asked += 1;
        self.got[at].returned += u64::from(self.returns[at]);
        let identity = ClientIdentity {
            tenant,
            client: name,
            connection: u64::from(client),
            address: "127.0.0.1".parse().unwrap(),
        };
        let expires = self.now + 3_000 * MS;
        let request = AdmissionRequest {
            id: self.next,
            identity,
            class: 0,
            size_kb: 0.0,
            bytes: 0,
            expires,
        };
        match self.controller.admit(self.now, request, 0) {
            Decision::Admitted(ticket) => {
                self.open.insert(self.next, (client, ticket, self.now));
                self.let_in(self.next);
                self.serve();
            }
            Decision::Queued(ticket) => {
                self.open.insert(self.next, (client, ticket, self.now));
            }
            Decision::Rejected(rejection) => self.rejected(client, rejection),
        }
    }

    fn let_in(&mut self, id: u32) {
        if self.queue.len() + self.busy < self.gate {
            return self.queue.push_back(id);
        }
        let (client, ticket, _) = self.open.remove(&id).expect("open");
        self.controller
            .complete(self.now, ticket, Completion::default());
        let rejection = Rejection {
            reason: RejectReason::RateLimit,
            retry_after: 50 * MS,
            reserved: false,
        };
        self.rejected(client, rejection);
    }

    fn rejected(&mut self, client: u32, rejection: Rejection) {
        let at = client as usize;
        self.got[at].rejected += 1;
        *self.by_reason.entry(rejection.reason).or_default() += 1;
        self.returns[at] = self.clients[at].hammers.is_none() && rejection.reserved;
        let pause = self.clients[at].hammers.unwrap_or(rejection.retry_after);
        self.due
            .push(Reverse((self.now + pause.max(100), 1, client)));
    }

    pub(crate) fn sum(&self, which: impl Fn(&Client) -> bool) -> Got {
        let mut sum = Got::default();
        for (_, got) in self.clients.iter().zip(&self.got).filter(|(c, _)| which(c)) {
            sum.asked += got.asked;
            sum.satisfied += got.satisfied;
            sum.in_budget += got.in_budget;
            sum.rejected += got.rejected;
            sum.returned += got.returned;
            sum.got_in += got.got_in;
        }
        sum
    }

    pub(crate) fn forget(&mut self) {
        self.got.fill(Got::default());
    }
}
