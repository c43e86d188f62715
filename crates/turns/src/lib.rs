//! Who is next at the door, who waits there and who is turned away; which cache, which retry and which refusal
//! behind it are the decision module's. No I/O and no clock: moments are handed in, chance comes from a seed.
//!
//! A host asks [`door::Door::offer`] for each lookup that it reads, tells [`door::Door::ended`] or
//! [`door::Door::left`] what became of it, and carries out what [`door::Door::turns`] gives back.

pub mod buckets;
pub mod calendar;
pub mod cost;
pub mod door;
pub mod fair;
pub mod inside;
pub mod names;
pub mod plan;
pub mod slab;
pub mod talkers;
pub mod wheel;
