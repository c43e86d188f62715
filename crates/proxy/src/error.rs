//! The errors that end the program with a failure, as printed on standard error.

use crate::config::ConfigError;
use meadowrill_settings::SettingsError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// The environment variable `BALANCER_CONFIG` is not set.
    NotConfigured,
    /// The configuration or the settings are invalid.
    Config(ConfigError),
    /// The event loop cannot be created.
    EventLoop(io::Error),
    /// Signals cannot be received.
    Signals(io::Error),
    /// The proxy cannot listen on the address for clients.
    Listen {
        address: SocketAddr,
        error: io::Error,
    },
    /// The event loop, or a socket that it needs, failed.
    Io(io::Error),
    /// A file cannot be read, or an operator socket cannot be queried.
    Path { path: PathBuf, error: io::Error },
    /// The configuration passed to `check` is invalid.
    InvalidConfig { file: PathBuf, error: ConfigError },
    /// The settings file passed to `check` is invalid.
    InvalidSettings { file: PathBuf, error: SettingsError },
    /// The demonstration failed.
    Demo(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotConfigured => f.write_str("environment variable BALANCER_CONFIG is not set"),
            Error::Config(error) => error.fmt(f),
            Error::EventLoop(error) => write!(f, "cannot create the event loop: {error}"),
            Error::Signals(error) => write!(f, "cannot receive signals: {error}"),
            Error::Listen { address, error } => write!(f, "cannot listen on {address}: {error}"),
            Error::Io(error) => error.fmt(f),
            Error::Path { path, error } => write!(f, "{}: {error}", path.display()),
            Error::InvalidConfig { file, error } => write!(f, "{}: {error}", file.display()),
            Error::InvalidSettings { file, error } => write!(f, "{}: {error}", file.display()),
            Error::Demo(problem) => f.write_str(problem),
        }
    }
}

impl std::error::Error for Error {}

impl From<ConfigError> for Error {
    fn from(error: ConfigError) -> Error {
        Error::Config(error)
    }
}
