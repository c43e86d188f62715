//! Why the program ends without success, as it tells on standard error.

use crate::config::ConfigError;
use meadowrill_settings::Faulty as SettingsError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// The environment names no configuration.
    NotConfigured,
    /// The configuration or the settings are faulty.
    Config(ConfigError),
    /// The event loop cannot be made.
    EventLoop(io::Error),
    /// Signals cannot be received.
    Signals(io::Error),
    /// The address for clients cannot be listened on.
    Listen {
        address: SocketAddr,
        error: io::Error,
    },
    /// The event loop, or a socket that it needs, failed.
    Io(io::Error),
    /// A file, or a socket of operators, cannot be read.
    Path { path: PathBuf, error: io::Error },
    /// A configuration that was to be checked is faulty.
    FaultyConfig { file: PathBuf, error: ConfigError },
    /// A settings file that was to be checked is faulty.
    FaultySettings { file: PathBuf, error: SettingsError },
    /// The demonstration failed.
    Demo(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotConfigured => f.write_str("BALANCER_CONFIG: is not set"),
            Error::Config(error) => error.fmt(f),
            Error::EventLoop(error) => write!(f, "poller: {error}"),
            Error::Signals(error) => write!(f, "signals: {error}"),
            Error::Listen { address, error } => write!(f, "listen {address}: {error}"),
            Error::Io(error) => error.fmt(f),
            Error::Path { path, error } => write!(f, "{}: {error}", path.display()),
            Error::FaultyConfig { file, error } => write!(f, "{}: {error}", file.display()),
            Error::FaultySettings { file, error } => write!(f, "{}: {error}", file.display()),
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
