//! What an installation configures of the shared state, with the bounds of each setting.

use crate::{Micros, SEC};

/// One second.
pub const SECOND: Micros = SEC;

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faulty {
    /// Its key, below `fleet.replica`.
    pub key: &'static str,
    /// What is wrong with it.
    pub what: String,
}

/// What is done with a keyed lookup whose claim no quorum granted in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unwritten {
    /// It is sent as without a ledger, and may run a second time elsewhere.
    Serve,
    /// It is refused: the client learns that nothing ran.
    #[default]
    Refuse,
}

/// The settings of the shared state.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Hash of the fleet's name, as the membership view has it.
    pub fleet: u64,
    /// This front's zone.
    pub zone: String,
    /// Time between two comparisons with another front.
    pub period: Micros,
    /// Budget for messages in ordinary operation.
    pub bytes_per_s: u64,
    /// Budget for the records handed to fronts that catch up.
    pub catch_up_bytes_per_s: u64,
    /// Most records of each kind.
    pub entries: usize,
    /// Most bytes of names and values of each kind.
    pub bytes: usize,
    /// How long a purge is remembered: as long as an older copy may linger somewhere.
    pub purge_keep: Micros,
    /// How long a machine is remembered, at least.
    pub machine_keep: Micros,
    /// How long observations and usage are remembered.
    pub learned_keep: Micros,
    /// A front reports that it is ready this long after its start, although it has not caught up.
    pub ready_after: Micros,
    /// None: keyed lookups are sent like any other.
    pub ledger: Option<Ledger>,
}

/// The settings of the ledger of effects.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger {
    /// Owners of a key; more than half of them have to grant a claim.
    pub copies: usize,
    /// Part of a lookup's latency budget that having its claim granted may take.
    pub write_part: f64,
    /// What is done where that took too long.
    pub unwritten: Unwritten,
    /// How long a claim is remembered.
    pub keep: Micros,
    /// Fronts that have to be known before any claim is granted: guards against a front that is cut off and does not know
    /// it.
    pub fronts_least: usize,
    /// Longest answer that is kept for a retry; of a longer one only that it ran.
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
    /// Whether all settings are within their bounds.
    pub fn check(&self) -> Result<(), Faulty> {
        let within = |key, value: f64, least: f64, most: f64| {
            let good = (least..=most).contains(&value);
            good.then_some(()).ok_or(Faulty {
                key,
                what: format!("is not within {least} to {most}"),
            })
        };
        within("period_ms", self.period as f64 / 1e3, 50.0, 60_000.0)?;
        within("bytes_per_s", self.bytes_per_s as f64, 2000.0, 1e9)?;
        within(
            "catch_up_bytes_per_s",
            self.catch_up_bytes_per_s as f64,
            2000.0,
            1e9,
        )?;
        within("entries_most", self.entries as f64, 100.0, 1e6)?;
        within("bytes_most", self.bytes as f64, 1e5, 1e9)?;
        within("purge_keep_s", self.purge_keep as f64 / 1e6, 1.0, 86_400.0)?;
        within(
            "learned_keep_s",
            self.learned_keep as f64 / 1e6,
            1.0,
            86_400.0,
        )?;
        within(
            "ready_after_ms",
            self.ready_after as f64 / 1e3,
            0.0,
            60_000.0,
        )?;
        if let Some(ledger) = &self.ledger {
            within("ledger.copies", ledger.copies as f64, 1.0, 9.0)?;
            within("ledger.write_part", ledger.write_part, 0.01, 0.9)?;
            within("ledger.keep_s", ledger.keep as f64 / 1e6, 1.0, 86_400.0)?;
            within(
                "ledger.fronts_least",
                ledger.fronts_least as f64,
                1.0,
                65_536.0,
            )?;
            within("ledger.body_bytes", ledger.body_most as f64, 0.0, 3500.0)?;
        }
        Ok(())
    }
}
