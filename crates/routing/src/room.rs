//! State and helpers of the decision module, with no decision and no tuned value of their own.

use crate::interface::{Action, EndpointIndex, Micros, Settings};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

const SEC: Micros = 1_000_000;

/// A smoothed figure; none until something was heard.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Smooth {
    pub value: Option<f64>,
    at: Micros,
}

impl Smooth {
    /// Starts from what is taken to hold until something else is seen.
    pub(crate) fn at(value: f64) -> Smooth {
        Smooth {
            value: Some(value),
            at: 0,
        }
    }

    pub(crate) fn add(&mut self, now: Micros, sample: f64, weight: f64) {
        self.value = Some(self.value.map_or(sample, |v| v + weight * (sample - v)));
        self.at = now;
    }

    /// Guards against a peer that is never tried again for what it once was.
    pub(crate) fn drifted(&self, now: Micros, average: f64, drift: f64) -> f64 {
        let idle = (now - self.at) as f64;
        self.value
            .map_or(average, |v| average + (v - average) * (-idle / drift).exp())
    }
}

/// Work a second, over the last while.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    sum: f64,
    at: Micros,
}

impl Rate {
    pub(crate) fn add(&mut self, now: Micros, work: f64, drift: f64) {
        self.sum = self.value(now, drift) * drift / SEC as f64 + work;
        self.at = now;
    }

    pub(crate) fn value(&self, now: Micros, drift: f64) -> f64 {
        self.sum * (-((now - self.at) as f64) / drift).exp() * SEC as f64 / drift
    }
}

/// Places for numbers that were read once, found by where their names stand in the program.
const READ: usize = 256;

pub(crate) struct Rules {
    pub all: Settings,
    /// Each decision asks for a dozen numbers: finding and reading their texts each time was a quarter of a hit.
    numbers: Box<[Cell<(usize, f64)>]>,
    flags: Box<[Cell<(usize, bool)>]>,
}

impl Rules {
    pub(crate) fn new(all: Settings) -> Rules {
        let numbers = (0..READ).map(|_| Cell::new((0, f64::NAN))).collect();
        Rules {
            all,
            numbers,
            flags: (0..READ).map(|_| Cell::new((0, false))).collect(),
        }
    }
}

impl Rules {
    pub(crate) fn text(&self, name: &str) -> &str {
        self.all.get(name).map_or("", String::as_str)
    }

    pub(crate) fn num(&self, name: &'static str, default: f64) -> f64 {
        let number = self.number(name);
        if number.is_finite() {
            number
        } else {
            default
        }
    }

    /// The same for a name that is made up, read each time.
    pub(crate) fn told(&self, name: &str, default: f64) -> f64 {
        self.text(name)
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite())
            .unwrap_or(default)
    }

    /// No number where none is told.
    fn number(&self, name: &'static str) -> f64 {
        Rules::read(&self.numbers, name, || {
            self.text(name).parse().unwrap_or(f64::NAN)
        })
    }

    /// By where the name stands in the program. The same name may stand in several places; each is read once.
    fn read<T: Copy>(
        places: &[Cell<(usize, T)>],
        name: &'static str,
        value: impl FnOnce() -> T,
    ) -> T {
        let here = name.as_ptr() as usize;
        let place =
            &places[here.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (usize::BITS - READ.ilog2())];
        let (whose, known) = place.get();
        // Literals may share their memory, so the length belongs to the place too.
        let whole = here ^ name.len().rotate_right(8);
        if whose == whole {
            return known;
        }
        let value = value();
        place.set((whole, value));
        value
    }

    pub(crate) fn span(&self, name: &'static str, default: f64) -> Micros {
        (self.num(name, default) * SEC as f64) as Micros
    }

    pub(crate) fn is(&self, name: &'static str) -> bool {
        Rules::read(&self.flags, name, || self.text(name) == "true")
    }

    pub(crate) fn item(&self, name: &str, place: usize) -> &str {
        self.text(name).split(',').nth(place).unwrap_or("")
    }

    pub(crate) fn item_num(&self, name: &str, place: usize) -> f64 {
        self.item(name, place).parse().unwrap_or(0.0)
    }
}

/// A memory that is bounded by age and by number, oldest out first.
pub(crate) struct Memory<K, V> {
    known: HashMap<K, (Micros, V)>,
    order: VecDeque<(Micros, K)>,
    life: Micros,
    most: usize,
}

impl<K: Copy + Eq + Hash, V: Copy> Memory<K, V> {
    pub(crate) fn new(life: Micros, most: usize) -> Self {
        Memory {
            known: HashMap::new(),
            order: VecDeque::new(),
            life,
            most,
        }
    }

    /// What was forgotten for want of room before its time, the last of it.
    pub(crate) fn put(&mut self, now: Micros, key: K, value: V) -> Option<V> {
        self.known.insert(key, (now, value));
        self.order.push_back((now, key));
        let mut dropped = None;
        while self.order.front().is_some_and(|f| f.0 + self.life < now)
            || self.order.len() > self.most
        {
            let Some((at, old)) = self.order.pop_front() else {
                break;
            };
            if let Some((_, value)) = self.known.get(&old).copied().filter(|known| known.0 == at) {
                self.known.remove(&old);
                dropped = dropped.or(Some(value).filter(|_| at + self.life >= now));
            }
        }
        dropped
    }

    pub(crate) fn get(&self, now: Micros, key: K) -> Option<V> {
        self.known
            .get(&key)
            .filter(|k| k.0 + self.life >= now)
            .map(|k| k.1)
    }
}

/// What all actors share: clock, settings, inboxes, the way out.
pub(crate) struct Room<N> {
    pub now: Micros,
    pub rules: Rules,
    /// The desk's inbox first, then the peers' by index.
    inboxes: Vec<VecDeque<N>>,
    turns: VecDeque<usize>,
    pub out: Vec<Action>,
    seed: u64,
    draws: u64,
}

impl<N> Room<N> {
    pub(crate) fn new(now: Micros, settings: Settings, seed: u64) -> Self {
        let inboxes = vec![VecDeque::new()];
        Room {
            now,
            rules: Rules::new(settings),
            inboxes,
            turns: VecDeque::new(),
            out: Vec::new(),
            seed,
            draws: 0,
        }
    }

    /// The next note in the order of writing, and whose it is: none for the desk.
    pub(crate) fn next(&mut self) -> Option<(Option<EndpointIndex>, N)> {
        let turn = self.turns.pop_front()?;
        let note = self.inboxes[turn].pop_front()?;
        Some((turn.checked_sub(1), note))
    }

    pub(crate) fn tell_desk(&mut self, note: N) {
        self.post(0, note);
    }

    pub(crate) fn tell(&mut self, peer: EndpointIndex, note: N) {
        self.post(peer + 1, note);
    }

    fn post(&mut self, to: usize, note: N) {
        if self.inboxes.len() <= to {
            self.inboxes.resize_with(to + 1, VecDeque::new);
        }
        self.inboxes[to].push_back(note);
        self.turns.push_back(to);
    }

    /// A number from 0 up to 1, by seed and count.
    pub(crate) fn draw(&mut self) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
