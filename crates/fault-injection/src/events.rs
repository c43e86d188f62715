//! The distribution of numbered events at the size of a fleet: relays as processes of the program, hollow subscribers on
//! real sockets, faults between them, and checks of what was recorded.
//!
//! The driver ([`run`]) tells purges to a stand-in journal service, which one relay publishes; it asks that relay, again
//! and again, up to where all is done. Each hollow subscriber records when it applied what and when it held a lease. All
//! processes read one clock, so the checks compare the records with what the publisher said.

pub mod check;
pub mod clock;
pub mod costs;
pub mod done;
pub mod faults;
pub mod groups;
pub mod hollow;
pub mod layout;
pub mod numbering;
pub mod outcome;
pub mod protocol;
pub mod record;
pub mod relays;
pub mod run;
pub mod scenario;
pub mod subscribers;
pub mod teller;
