//! Fleets of fronts under faults: models in one process, and processes of the program with relays between them.

pub mod model;
