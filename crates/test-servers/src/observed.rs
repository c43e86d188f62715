//! The program with an operators' socket, by which a test reads its metrics.

use crate::program::{operator, Program};
use serde_json::Value;
use std::path::PathBuf;

/// A running proxy whose metrics can be asked for.
pub struct Observed {
    pub program: Program,
    socket: PathBuf,
    _folder: tempfile::TempDir,
}

impl Observed {
    pub fn start(config: &Value) -> Observed {
        let folder = tempfile::tempdir().unwrap();
        let socket = folder.path().join("operators");
        let settings = format!("operators {{ socket: \"{}\" }}", socket.display());
        Observed {
            program: Program::with_settings(config, &settings),
            socket,
            _folder: folder,
        }
    }

    /// The value of a metric without labels.
    #[track_caller]
    pub fn metric(&self, name: &str) -> f64 {
        let text = operator(&self.socket, &["metrics"]).expect("the metrics");
        let value = text.lines().find_map(|line| {
            let (found, value) = line.split_once(' ')?;
            (found == name).then_some(value)
        });
        value.expect("a metric").parse().unwrap()
    }
}
