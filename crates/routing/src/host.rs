//! What every host of the decisions needs, whatever wire it speaks: indices for endpoints, stable ids, units, and a
//! barrier against panics.

use crate::interface::{CacheStatus, EndpointIndex, Micros, Settings};
use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Microseconds in a second, for numbers that come as fractions.
const MICROS_PER_SECOND: f64 = 1e6;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Maps a host's endpoint ids to small indices and back. A released index is given out again.
pub struct EndpointIndices<K> {
    index: HashMap<K, EndpointIndex>,
    names: Vec<K>,
    free: Vec<EndpointIndex>,
}

impl<K> Default for EndpointIndices<K> {
    fn default() -> Self {
        EndpointIndices {
            index: HashMap::new(),
            names: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> EndpointIndices<K> {
    /// The index of an id; a new one where it has none.
    pub fn get_or_insert(&mut self, name: &K) -> EndpointIndex {
        if let Some(index) = self.index.get(name) {
            return *index;
        }
        let index = self.free.pop().unwrap_or(self.names.len());
        if index == self.names.len() {
            self.names.push(name.clone());
        } else {
            self.names[index] = name.clone();
        }
        self.index.insert(name.clone(), index);
        index
    }

    /// The index of an id, if it has one.
    pub fn get(&self, name: &K) -> Option<EndpointIndex> {
        self.index.get(name).copied()
    }

    /// The id of an index that was given out.
    ///
    /// # Panics
    ///
    /// Where the index was never given out.
    pub fn name(&self, index: EndpointIndex) -> &K {
        &self.names[index]
    }

    /// Frees an index, as [`crate::interface::Action::ReleaseEndpoint`] asks.
    ///
    /// # Panics
    ///
    /// Where the index was never given out.
    pub fn release(&mut self, index: EndpointIndex) {
        self.index.remove(&self.names[index]);
        self.free.push(index);
    }
}

/// A stable number for a textual id (64-bit FNV-1a): the same at every proxy and over restarts.
pub fn stable_id(id: &str) -> u64 {
    id.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Seconds as whole microseconds, rounded.
pub fn micros(seconds: f64) -> Micros {
    (seconds * MICROS_PER_SECOND).round() as Micros
}

/// The decisions' settings out of names and values.
pub fn settings<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Settings {
    let trimmed = pairs.map(|(name, value)| (name.trim().to_string(), value.trim().to_string()));
    trimmed.collect()
}

/// The cache status by its number in the platform's order, from 1; 0 where none is told.
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

/// A panic that was caught; it displays as the panic's message.
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

/// Stops a panic: what was being handled ends, the rest goes on.
///
/// # Errors
///
/// Returns the panic, if there was one.
pub fn catch_panic<T>(handle: impl FnOnce() -> T) -> Result<T, CaughtPanic> {
    catch_unwind(AssertUnwindSafe(handle)).map_err(|payload| CaughtPanic::new(payload.as_ref()))
}
