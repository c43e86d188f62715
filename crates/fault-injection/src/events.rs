//! Tests of event distribution at the size of a fleet: relays run as processes of the program, simulated subscribers
//! use real sockets, faults are injected between them, and the records of the subscribers are checked.
//!
//! The driver ([`run`]) issues purges through a test journal service. One relay, the publisher, follows that service.
//! The driver polls the publisher for the number of purges that are done, that is, in force everywhere. Each simulated
//! subscriber records when it applied each purge and when it held a lease. All processes read one clock, so the checks
//! can compare the records with the answers of the publisher.

pub mod check;
pub mod clock;
pub mod costs;
pub mod done;
pub mod faults;
pub mod groups;
pub mod layout;
pub mod numbering;
pub mod outcome;
pub mod protocol;
pub mod purge_generator;
pub mod record;
pub mod relays;
pub mod run;
pub mod scenario;
pub mod simulated_subscriber;
pub mod subscribers;
