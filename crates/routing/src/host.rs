//! Helpers for the hosts of a [`crate::router::Router`], independent of their network protocol: indices for endpoints,
//! stable ids, conversion of units, and containment of panics.

use crate::interface::{CacheStatus, EndpointIndex, Micros, Settings};
use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Microseconds in a second, to convert fractional seconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Maps a host's endpoint ids to small indices and back. A released index is reused.
pub struct EndpointIndices<K> {
    index: HashMap<K, EndpointIndex>,
    ids: Vec<K>,
    free: Vec<EndpointIndex>,
}

impl<K> Default for EndpointIndices<K> {
    fn default() -> Self {
        EndpointIndices {
            index: HashMap::new(),
            ids: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> EndpointIndices<K> {
    /// The index of an id; assigns one if the id has none.
    pub fn get_or_insert(&mut self, id: &K) -> EndpointIndex {
        if let Some(index) = self.index.get(id) {
            return *index;
        }
        let index = self.free.pop().unwrap_or(self.ids.len());
        if index == self.ids.len() {
            self.ids.push(id.clone());
        } else {
            self.ids[index] = id.clone();
        }
        self.index.insert(id.clone(), index);
        index
    }

    /// The index of an id, if it has one.
    pub fn get(&self, id: &K) -> Option<EndpointIndex> {
        self.index.get(id).copied()
    }

    /// The id of an assigned index.
    ///
    /// # Panics
    ///
    /// Panics if the index was never assigned.
    pub fn name(&self, index: EndpointIndex) -> &K {
        &self.ids[index]
    }

    /// Frees an index, as requested by [`crate::interface::Action::ReleaseEndpoint`].
    ///
    /// # Panics
    ///
    /// Panics if the index was never assigned.
    pub fn release(&mut self, index: EndpointIndex) {
        self.index.remove(&self.ids[index]);
        self.free.push(index);
    }
}

/// A stable number for a textual id (64-bit FNV-1a): it is the same at every proxy and does not change on restart.
pub fn stable_id(id: &str) -> u64 {
    id.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Converts seconds to microseconds, rounded to the nearest integer.
pub fn micros(seconds: f64) -> Micros {
    (seconds * MICROS_PER_SECOND).round() as Micros
}

/// The router's settings from pairs of name and value; trims both.
pub fn settings<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Settings {
    let trimmed = pairs.map(|(name, value)| (name.trim().to_string(), value.trim().to_string()));
    trimmed.collect()
}

/// The cache status by its number in the platform's order, from 1; 0 if none was reported.
pub fn cache_status(number: usize) -> CacheStatus {
    match number {
        1 => CacheStatus::Hit,
        2 => CacheStatus::FilledFromParent,
        3 => CacheStatus::FilledFromOrigin,
        4 => CacheStatus::JoinedFill,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRejected,
        7 => CacheStatus::SourceUnreachable,
        8 => CacheStatus::SourceMiss,
        9 => CacheStatus::FillLimitReached,
        10 => CacheStatus::OriginFailed,
        _ => CacheStatus::Unknown,
    }
}

/// A caught panic; it displays as the panic's message.
#[derive(Debug)]
pub struct CaughtPanic {
    message: String,
}

impl CaughtPanic {
    fn new(payload: &(dyn Any + Send)) -> CaughtPanic {
        let text = payload.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| payload.downcast_ref::<&str>().copied());
        CaughtPanic {
            message: text.unwrap_or("no message").to_string(),
        }
    }
}

impl fmt::Display for CaughtPanic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CaughtPanic {}

/// Catches a panic of `handle`, so that one failed operation does not end the process.
///
/// # Errors
///
/// Returns the panic if `handle` panicked.
pub fn catch_panic<T>(handle: impl FnOnce() -> T) -> Result<T, CaughtPanic> {
    catch_unwind(AssertUnwindSafe(handle)).map_err(|payload| CaughtPanic::new(payload.as_ref()))
}
