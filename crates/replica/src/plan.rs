//! What an installation sets of the shared state, with the bounds of each.

use crate::{Micros, SEC};

pub const SECOND: Micros = SEC;

/// The key that is at fault, below `fleet.replica`, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faulty {
    pub key: &'static str,
    pub what: String,
}

/// What is done with a keyed lookup whose claim could not be written to enough fronts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unwritten {
    /// As without a ledger: it is sent, and may run a second time elsewhere.
    Serve,
    /// It is refused, which tells the client truly that nothing ran.
    #[default]
    Refuse,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Hash of the fleet's name, as the view has it.
    pub fleet: u64,
    pub zone: String,
    /// Between two comparisons with one other front.
    pub period: Micros,
    /// Sent to other fronts in calm, and while one that starts is handed what it lacks.
    pub bytes_per_s: u64,
    pub catch_up_bytes_per_s: u64,
    /// Of each kind.
    pub entries: usize,
    pub bytes: usize,
    /// How long a purge may linger somewhere, and is remembered.
    pub purge_keep: Micros,
    pub machine_keep: Micros,
    pub learned_keep: Micros,
    /// One that starts says that it is ready after so long, though it has not caught up.
    pub ready_after: Micros,
    /// None: lookups are not asked about.
    pub ledger: Option<Ledger>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Ledger {
    /// Fronts that decide on a key; more than half of them have to agree.
    pub copies: usize,
    /// Part of a lookup's latency budget that writing them may take.
    pub write_part: f64,
    pub unwritten: Unwritten,
    /// How long a key is remembered.
    pub keep: Micros,
    /// Fronts that have to be known before any claim goes through: guards against one that is alone and does not know.
    pub fronts_least: usize,
    /// Bytes of an answer that are kept for a second try; of a longer one only that it ran.
    pub body_most: usize,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger {
            copies: 3,
            write_part: 0.4,
            unwritten: Unwritten::Refuse,
            keep: 600 * SEC,
            fronts_least: 1,
            body_most: 2048,
        }
    }
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            fleet: 0,
            zone: String::new(),
            period: SEC / 2,
            bytes_per_s: 20_000,
            catch_up_bytes_per_s: 2_000_000,
            entries: 50_000,
            bytes: 16_000_000,
            purge_keep: 900 * SEC,
            machine_keep: 3600 * SEC,
            learned_keep: 300 * SEC,
            ready_after: 3 * SEC,
            ledger: None,
        }
    }
}

impl Plan {
    pub fn check(&self) -> Result<(), Faulty> {
        let within = |key, value: f64, least: f64, most: f64| {
            let good = (least..=most).contains(&value);
            good.then_some(()).ok_or(Faulty { key, what: format!("is not within {least} to {most}") })
        };
        within("period_ms", self.period as f64 / 1e3, 50.0, 60_000.0)?;
        within("bytes_per_s", self.bytes_per_s as f64, 2000.0, 1e9)?;
        within("catch_up_bytes_per_s", self.catch_up_bytes_per_s as f64, 2000.0, 1e9)?;
        within("entries_most", self.entries as f64, 100.0, 1e6)?;
        within("bytes_most", self.bytes as f64, 1e5, 1e9)?;
        within("purge_keep_s", self.purge_keep as f64 / 1e6, 1.0, 86_400.0)?;
        within("learned_keep_s", self.learned_keep as f64 / 1e6, 1.0, 86_400.0)?;
        within("ready_after_ms", self.ready_after as f64 / 1e3, 0.0, 60_000.0)?;
        if let Some(ledger) = &self.ledger {
            within("ledger.copies", ledger.copies as f64, 1.0, 9.0)?;
            within("ledger.write_part", ledger.write_part, 0.01, 0.9)?;
            within("ledger.keep_s", ledger.keep as f64 / 1e6, 1.0, 86_400.0)?;
            within("ledger.fronts_least", ledger.fronts_least as f64, 1.0, 65_536.0)?;
            within("ledger.body_bytes", ledger.body_most as f64, 0.0, 3500.0)?;
        }
        Ok(())
    }
}
