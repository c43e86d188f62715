//! Fleets of fronts under faults: models in one process, and processes of the program with relays between them.

pub mod baselines;
pub mod check;
pub mod fleet;
pub mod model;
pub mod relay;
pub mod script;
pub mod serving;
