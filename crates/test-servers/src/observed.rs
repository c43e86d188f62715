//! A proxy process with an operator socket, through which a test reads its metrics.

use crate::program::{run_operator_command, Program};
use serde_json::Value;
use std::path::PathBuf;

/// A running proxy whose metrics can be read.
pub struct ObservedProxy {
    pub program: Program,
    socket: PathBuf,
    _folder: tempfile::TempDir,
}

impl ObservedProxy {
    pub fn start(config: &Value) -> ObservedProxy {
        let folder = tempfile::tempdir().unwrap();
        let socket = folder.path().join("operators");
        let settings = format!("operators {{ socket: \"{}\" }}", socket.display());
        ObservedProxy {
            program: Program::with_settings(config, &settings),
            socket,
            _folder: folder,
        }
    }

    /// The value of a metric without labels.
    #[track_caller]
    pub fn metric(&self, name: &str) -> f64 {
        let text = run_operator_command(&self.socket, &["metrics"]).expect("the metrics");
        let value = text.lines().find_map(|line| {
            let (found, value) = line.split_once(' ')?;
            (found == name).then_some(value)
        });
        value.expect("the metric is reported").parse().unwrap()
    }
}
