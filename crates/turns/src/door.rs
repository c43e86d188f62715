//! The door: the one place that says who goes in, who waits and who is turned away before the decision module is
//! asked. Each lookup that is offered leaves exactly once: let in, given up, or left by its client.

use crate::buckets::Buckets;
use crate::calendar::Calendar;
use crate::cost::{Costs, Kind};
use crate::fair::{Fair, Talker};
use crate::inside::Inside;
use crate::names::Asker;
use crate::plan::{Order, Plan};
use crate::slab::Slab;
use crate::wheel::Wheel;
use meadowrill_core::interface::Micros;
use std::fmt;

/// Grain of the times at which waiting is given up.
const GRAIN: Micros = 2_000;
/// So many of a flow may wait whatever is booked: what is booked must not keep the door idle if nobody comes.
const UNBOOKED: u32 = 2;
/// What must be left of the calendar before a flow may take more than its even part of it.
const CROWDED: f64 = 0.5;
/// Part of the bound on bytes up to which tenants are not held to their shares of it.
const BYTES_FREE: f64 = 0.5;
/// One in so many places of the host's bounds is kept for booked turns.
const KEPT: usize = 16;
/// Over which time ends are counted, to tell when places come free.
const ENDS: Micros = 200_000;
const ENDS_LEARNT: f64 = 0.3;

/// Why a lookup was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// The bound on lookups.
    Lookups,
    /// The bound on bytes, or a tenant's share of it once half is taken.
    Bytes,
    /// A client's own rate.
    Rate,
    /// Its turn would not come within its latency budget.
    Behind,
    /// It waited, and its latency budget can no longer be met.
    Late,
    /// All places to wait are taken, and its queue is the longest.
    Crowded,
}

impl Why {
    pub const ALL: [Why; 6] = [Why::Lookups, Why::Bytes, Why::Rate, Why::Behind, Why::Late, Why::Crowded];
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Lookups => "lookups",
            Why::Bytes => "bytes",
            Why::Rate => "rate",
            Why::Behind => "behind",
            Why::Late => "late",
            Why::Crowded => "crowded",
        })
    }
}

/// Turned away, with the time to stay away; 0 where nothing may be said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Away {
    pub why: Why,
    pub come_back: Micros,
    /// The time stands for a turn that is kept. Else it is the cap: the honest time lies beyond, or the calendar is
    /// full.
    pub booked: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    In(Ticket),
    Waits(Ticket),
    Away(Away),
}

/// A lookup's place, until it has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u32);

#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The host's name for it.
    pub id: u32,
    pub asker: Asker,
    pub kind: usize,
    /// 0 where it was not told.
    pub size_kb: f64,
    /// What the host holds for it.
    pub bytes: u32,
    pub expires: Micros,
}

/// What became of one that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    In { id: u32, tenant: u16, waited: Micros },
    Away { id: u32, away: Away },
}

/// How a lookup that was let in ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Done {
    pub satisfied: bool,
    /// Out of a cache's own memory.
    pub hit: bool,
    pub size_kb: f64,
    /// Its client waits no longer.
    pub left: bool,
}

/// What the host bounds: lookups that are open, and bytes held for them and for connections.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub lookups: usize,
    pub bytes: usize,
    /// The longest that a client may be told to stay away; 0 where it may be told nothing.
    pub longest_away: Micros,
}

#[derive(Clone, Copy)]
struct Entry {
    id: u32,
    asker: Asker,
    flow: u32,
    /// Went through the queues, and counts in its flow.
    queued: bool,
    kind: u8,
    since: Micros,
    /// None while it waits.
    entered: Option<Micros>,
    charged: f64,
    bytes: u32,
    few: bool,
    counted: bool,
    /// Answered already, its place cools.
    cools: bool,
}

/// What a tenant was given since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub offered: u64,
    pub let_in: u64,
    pub waited: u64,
    pub left: u64,
    pub satisfied: u64,
    /// In the order of [`Why::ALL`].
    pub away: [u64; Why::ALL.len()],
    pub booked: u64,
    /// What those that were let in have cost, in microseconds of a place.
    pub cost: f64,
}

/// A tenant as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    pub name: String,
    pub weight: f64,
    pub waiting: u32,
    pub inside: u32,
    pub tally: Tally,
    pub loudest: Vec<Talker>,
}

/// The door as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub order: Order,
    pub limit: f64,
    pub inside: usize,
    pub overdue: usize,
    pub waiting: usize,
    pub booked: usize,
    pub kept: u64,
    pub missed: u64,
    pub unbooked: u64,
    pub tenants: Vec<Holding>,
}

pub struct Door {
    plan: Plan,
    bounds: Bounds,
    seed: u64,
    renewals: u64,
    now: Micros,
    entries: Slab<Entry>,
    fair: Fair,
    inside: Inside,
    costs: Costs,
    calendar: Calendar,
    buckets: Buckets,
    /// When waiting ends, and when one inside is overdue.
    limits: Wheel,
    turns: Vec<Turn>,
    tallies: Vec<Tally>,
    ends: (Micros, f64, f64),
}

fn worths(costs: &Costs) -> Vec<f64> {
    // What is worth as much but may be delayed less goes before.
    costs.kinds().map(|k| k.worth.max(0.0) / (k.budget.max(1) as f64)).collect()
}

impl Door {
    /// `plan` must have been checked.
    pub fn new(plan: Plan, kinds: &[Kind], bounds: Bounds, seed: u64, now: Micros) -> Door {
        let costs = Costs::new(kinds, plan.per_kb);
        let budgets: Vec<Micros> = kinds.iter().map(|k| k.budget).collect();
        Door {
            fair: Fair::new(&plan, &worths(&costs), seed, now),
            inside: Inside::new(plan.inside_least, plan.inside_most, &budgets, now),
            buckets: Buckets::new(plan.bucket_per_s, plan.bucket_burst),
            tallies: vec![Tally::default(); plan.tenants.len()],
            costs,
            calendar: Calendar::new(now),
            limits: Wheel::new(GRAIN, now),
            entries: Slab::default(),
            turns: Vec::new(),
            ends: (now, 0.0, 0.0),
            plan,
            bounds,
            seed,
            renewals: 0,
            now,
        }
    }

    /// Other settings: what waits and what is inside stays; who belonged to a tenant that has gone is the default
    /// tenant's. Bookings stay with their clients.
    pub fn renew(&mut self, now: Micros, plan: Plan) {
        let now = self.at(now);
        let place = |name: &str| plan.tenants.iter().position(|t| t.name == name).unwrap_or(0);
        let moved: Vec<u16> = self.plan.tenants.iter().map(|t| place(&t.name) as u16).collect();
        let mut tallies = vec![Tally::default(); plan.tenants.len()];
        for (at, tenant) in plan.tenants.iter().enumerate() {
            if let Some(former) = self.plan.tenants.iter().position(|t| t.name == tenant.name) {
                tallies[at] = self.tallies[former];
            }
        }
        self.tallies = tallies;
        self.renewals += 1;
        let mut order = Vec::new();
        while let Some((item, _)) = self.fair.pop() {
            order.push(item);
        }
        self.fair = Fair::new(&plan, &worths(&self.costs), self.seed ^ self.renewals, now);
        self.calendar.forget_flows();
        self.inside.renew(plan.inside_least, plan.inside_most);
        self.costs.renew(plan.per_kb);
        if (plan.bucket_per_s, plan.bucket_burst) != (self.plan.bucket_per_s, self.plan.bucket_burst) {
            self.buckets = Buckets::new(plan.bucket_per_s, plan.bucket_burst);
        }
        self.plan = plan;
        let inside: Vec<u32> =
            self.entries.held().filter(|(_, e)| e.entered.is_some()).map(|(at, _)| at).collect();
        for at in inside.into_iter().chain(order) {
            let Some(entry) = self.entries.get_mut(at) else { continue };
            entry.asker.tenant = moved.get(usize::from(entry.asker.tenant)).copied().unwrap_or(0);
            entry.flow = self.fair.flow_of(now, entry.asker);
            match entry.entered {
                Some(_) if entry.queued && !entry.cools => self.fair.adopt(entry.flow),
                Some(_) => {}
                None => {
                    let (kind, client) = (usize::from(entry.kind), entry.asker.client);
                    self.fair.push(at, entry.flow, kind, client, entry.charged, entry.bytes);
                }
            }
        }
    }

    /// Time never goes back here, whatever the host's clock does.
    fn at(&mut self, now: Micros) -> Micros {
        self.now = self.now.max(now);
        self.now
    }

    /// A lookup was read. `held` is what the host holds in bytes with this one.
    pub fn offer(&mut self, now: Micros, offer: Offer, held: usize) -> Verdict {
        let now = self.at(now);
        let mut asker = offer.asker;
        asker.tenant = asker.tenant.min(self.tallies.len() as u16 - 1);
        let offer = Offer { asker, ..offer };
        self.tallies[usize::from(asker.tenant)].offered += 1;
        let fair = self.plan.order == Order::Fair;
        // Whoever comes at a booked turn uses it up, also where there is room; a part of the bounds is kept for them.
        let booked = self.calendar.redeem(now, &asker);
        booked.into_iter().for_each(|flow| self.fair.booked(flow, -1));
        let most = |bound: usize| if booked.is_some() { bound } else { bound - bound / KEPT };
        if self.open() >= most(self.bounds.lookups) {
            return self.full(now, asker, Why::Lookups);
        }
        if held > most(self.bounds.bytes) {
            return self.full(now, asker, Why::Bytes);
        }
        if self.plan.order == Order::Buckets {
            if let Some(at) = self.buckets.ask(now, asker) {
                let away = self.told(asker, Why::Rate, at - now, true);
                return Verdict::Away(away);
            }
        }
        let cost = self.costs.expected(offer.kind, offer.size_kb);
        let flow = if fair { self.fair.flow_of(now, asker) } else { 0 };
        let entry = Entry {
            id: offer.id,
            asker,
            flow,
            queued: fair,
            kind: offer.kind.min(255) as u8,
            since: now,
            entered: None,
            charged: cost,
            bytes: offer.bytes,
            few: false,
            counted: true,
            cools: false,
        };
        if !fair {
            let at = self.entries.put(entry);
            return Verdict::In(self.enter(at, now));
        }
        let at_once = self.inside.room() && self.fair.waiting() == 0;
        let latest = self.costs.latest(offer.kind, now, offer.expires);
        if !at_once {
            if let Some(why) = self.refused(&entry, held, latest - now, booked.is_some()) {
                return Verdict::Away(self.advise(now, asker, flow, offer.kind, why));
            }
            if self.fair.waiting() >= self.plan.waiting_most {
                let even = self.plan.waiting_most as u32 / self.fair.active_flows().max(1);
                let longest = self.fair.longest();
                let Some(item) = longest.filter(|_| self.fair.waiting_in(flow) < even.max(1)) else {
                    return Verdict::Away(self.advise(now, asker, flow, offer.kind, Why::Crowded));
                };
                self.give_up(now, item, Why::Crowded);
            }
        }
        let at = self.entries.put(entry);
        self.fair.push(at, flow, offer.kind, asker.client, cost, offer.bytes);
        if at_once {
            // Nobody waits, so it is the next.
            let next = self.fair.pop();
            debug_assert_eq!(next, Some((at, flow)));
            return Verdict::In(self.enter(at, now));
        }
        self.limits.set(at, latest);
        self.inside.waited(now);
        self.tallies[usize::from(asker.tenant)].waited += 1;
        Verdict::Waits(Ticket(at))
    }

    /// Why one that would have to wait may not.
    fn refused(&self, entry: &Entry, held: usize, slack: Micros, booked: bool) -> Option<Why> {
        if slack <= 0 {
            return Some(Why::Late);
        }
        let (bytes, share) = self.fair.bytes(entry.flow);
        let free = self.bounds.bytes as f64 * BYTES_FREE;
        if held as f64 > free && (bytes + entry.bytes as usize) as f64 > free * share {
            return Some(Why::Bytes);
        }
        if booked || self.fair.waiting_in(entry.flow) < UNBOOKED {
            return None;
        }
        let ahead = self.fair.ahead(entry.flow, entry.charged);
        (self.span(entry.flow, ahead) > slack as f64).then_some(Why::Behind)
    }

    /// How long a flow needs for work of `cost` with its share of all places.
    fn span(&self, flow: u32, cost: f64) -> f64 {
        cost / (self.inside.limit() * self.fair.share(flow)).max(1e-6)
    }

    /// Turns away, and books the flow's next free turn where it may be told.
    fn advise(&mut self, now: Micros, asker: Asker, flow: u32, kind: usize, why: Why) -> Away {
        let usual = self.costs.expected(kind, 0.0);
        let wait = self.span(flow, self.fair.ahead(flow, usual) + usual);
        self.book(now, asker, flow, wait, why)
    }

    fn book(&mut self, now: Micros, asker: Asker, flow: u32, wait: f64, why: Why) -> Away {
        let cap = self.bounds.longest_away;
        // Told in whole milliseconds, so booked in them.
        let wait = ((wait.min(1e12) as Micros).max(1) + 999) / 1000 * 1000;
        let even = self.calendar.fullness() > CROWDED && {
            let most = crate::calendar::MOST as u32 / self.fair.active_flows().max(1);
            self.fair.booked_in(flow) >= most
        };
        let booked = wait <= cap && !even && self.calendar.book(&asker, flow, now + wait);
        if booked {
            self.fair.booked(flow, 1);
        }
        self.told(asker, why, wait, booked)
    }

    fn told(&mut self, asker: Asker, why: Why, wait: Micros, booked: bool) -> Away {
        let cap = self.bounds.longest_away;
        let booked = booked && wait <= cap;
        let tally = &mut self.tallies[usize::from(asker.tenant)];
        tally.away[why as usize] += 1;
        tally.booked += u64::from(booked);
        let come_back = if cap == 0 { 0 } else { wait.clamp(1000.min(cap), cap) };
        Away { why, come_back, booked }
    }

    /// At the bounds of the host: places come free at the rate of ends.
    fn full(&mut self, now: Micros, asker: Asker, why: Why) -> Verdict {
        let (since, count, rate) = self.ends;
        let seen = count / ((now - since).max(ENDS) as f64);
        let rate = rate.max(seen).max(1e-9);
        let wait = (self.calendar.open + 1) as f64 / rate;
        let flow = if self.plan.order == Order::Fair { self.fair.flow_of(now, asker) } else { 0 };
        Verdict::Away(self.book(now, asker, flow, wait, why))
    }

    fn enter(&mut self, at: u32, now: Micros) -> Ticket {
        let few = self.inside.enter();
        if let Some(entry) = self.entries.get_mut(at) {
            (entry.entered, entry.few) = (Some(now), few);
            self.tallies[usize::from(entry.asker.tenant)].let_in += 1;
            if entry.queued {
                let usual = self.costs.took(usize::from(entry.kind));
                self.limits.set(at, now + self.inside.patience(usual));
            }
        }
        Ticket(at)
    }

    fn give_up(&mut self, now: Micros, at: u32, why: Why) {
        let Some(entry) = self.entries.take(at) else { return };
        self.limits.unset(at);
        self.fair.take_out(at);
        let away = self.advise(now, entry.asker, entry.flow, usize::from(entry.kind), why);
        self.turns.push(Turn::Away { id: entry.id, away });
    }

    /// A lookup that was let in has had its answer.
    pub fn ended(&mut self, now: Micros, ticket: Ticket, done: Done) {
        let now = self.at(now);
        let Some(entry) = self.entries.get(ticket.0).copied() else { return };
        let Some(entered) = entry.entered else { return };
        if entry.cools {
            return;
        }
        self.inside.leave(entry.counted);
        let (kind, took) = (usize::from(entry.kind), now - entered);
        let usual = self.costs.took(kind) as Micros;
        let cools = entry.queued && !done.satisfied && !done.left && took < usual;
        if cools {
            self.inside.cool();
            self.limits.set(ticket.0, entered + usual);
            self.entries.get_mut(ticket.0).into_iter().for_each(|e| e.cools = true);
        } else {
            self.entries.take(ticket.0);
            self.limits.unset(ticket.0);
        }
        // What was not satisfied gets nothing back, or asking for what cannot be had would cost nothing.
        let cost = self.costs.actual(took, done.size_kb);
        let cost = if done.satisfied { cost } else { cost.max(entry.charged) };
        let tally = &mut self.tallies[usize::from(entry.asker.tenant)];
        tally.satisfied += u64::from(done.satisfied);
        tally.cost += cost;
        if entry.queued {
            self.fair.leave(entry.flow, entry.charged, cost);
        }
        if done.satisfied {
            self.costs.learn(kind, took, done.size_kb);
            if done.hit {
                self.inside.seen(now, kind, took, entry.few);
            }
        }
        let (since, count, rate) = self.ends;
        self.ends = if now - since >= ENDS {
            let seen = (count + 1.0) / (now - since) as f64;
            (now, 0.0, rate + ENDS_LEARNT * (seen - rate))
        } else {
            (since, count + 1.0, rate)
        };
    }

    /// Its client waits no longer. True where it was not let in yet: the module has never heard of it.
    pub fn left(&mut self, now: Micros, ticket: Ticket) -> bool {
        let now = self.at(now);
        let Some(entry) = self.entries.get(ticket.0).copied() else { return false };
        if entry.entered.is_some() {
            self.ended(now, ticket, Done { left: true, ..Done::default() });
            return false;
        }
        self.entries.take(ticket.0);
        self.limits.unset(ticket.0);
        self.fair.take_out(ticket.0);
        self.tallies[usize::from(entry.asker.tenant)].left += 1;
        true
    }

    /// Whether it was not let in yet.
    pub fn waits(&self, ticket: &Ticket) -> bool {
        self.entries.get(ticket.0).is_some_and(|entry| entry.entered.is_none())
    }

    /// All that is to be done now: whose wait is over either way.
    pub fn turns(&mut self, now: Micros, out: &mut Vec<Turn>) {
        let now = self.at(now);
        while let Some((flow, count)) = self.calendar.lapsed(now) {
            self.fair.booked(flow, -(count as i32));
        }
        while let Some(at) = self.limits.due(now) {
            match self.entries.get_mut(at) {
                Some(entry) if entry.entered.is_none() => self.give_up(now, at, Why::Late),
                Some(entry) if entry.cools => {
                    self.entries.take(at);
                    self.inside.cooled();
                }
                Some(entry) if entry.counted => entry.counted = !self.inside.give_up_on(),
                _ => {}
            }
        }
        self.inside.judge(now);
        // Where the order was changed, what still waits for a turn goes in.
        while self.room() {
            let Some((at, flow)) = self.fair.pop() else { break };
            self.enter(at, now);
            if let Some(entry) = self.entries.get_mut(at) {
                // Its client may have been given a queue of its own since.
                entry.flow = flow;
                let (id, tenant) = (entry.id, entry.asker.tenant);
                self.turns.push(Turn::In { id, tenant, waited: now - entry.since });
            }
        }
        out.append(&mut self.turns);
    }

    /// When `turns` is to be asked again, if nothing else happens before.
    pub fn next(&self) -> Option<Micros> {
        let waits = (self.fair.waiting() > 0).then(|| self.inside.next()).flatten();
        [self.limits.next(), waits].into_iter().flatten().min()
    }

    pub fn waiting(&self) -> usize {
        self.fair.waiting()
    }

    /// Lookups that wait or are inside.
    pub fn open(&self) -> usize {
        self.entries.len() - self.inside.cooling()
    }

    pub fn room(&self) -> bool {
        self.plan.order != Order::Fair || self.inside.room()
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    pub fn report(&self) -> Report {
        let tenant = |(at, tenant): (usize, &crate::plan::Tenant)| {
            let (waiting, inside) = self.fair.holding(at);
            Holding {
                name: tenant.name.clone(),
                weight: tenant.weight,
                waiting,
                inside,
                tally: self.tallies[at],
                loudest: self.fair.loudest(at),
            }
        };
        Report {
            order: self.plan.order,
            limit: self.inside.limit(),
            inside: self.inside.counted(),
            overdue: self.inside.overdue(),
            waiting: self.fair.waiting(),
            booked: self.calendar.open,
            kept: self.calendar.kept,
            missed: self.calendar.missed,
            unbooked: self.calendar.unbooked,
            tenants: self.plan.tenants.iter().enumerate().map(tenant).collect(),
        }
    }

    /// Bytes that the door holds, all together.
    pub fn size(&self) -> usize {
        size_of::<Door>()
            + self.entries.bytes()
            + self.fair.size()
            + self.calendar.size()
            + self.limits.size()
    }
}
