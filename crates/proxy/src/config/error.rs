//! Errors in the configuration and in the settings.

use std::fmt;

/// An invalid key with its full path, and the problem with its value.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ConfigError {
    pub(crate) key: String,
    pub(crate) problem: String,
}

impl ConfigError {
    pub(crate) fn new(key: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError {
            key: key.into(),
            problem: problem.into(),
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}
