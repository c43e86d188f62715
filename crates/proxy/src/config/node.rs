//! Typed access to a part of the configuration. Errors name the full path of the key.

use super::ConfigError;
use serde_json::Value;
use std::net::SocketAddr;

/// A part of the configuration with its path. The value is `None` if the key is missing.
pub(super) struct Node<'a> {
    pub(super) value: Option<&'a Value>,
    pub(super) path: String,
}

impl<'a> Node<'a> {
    pub(super) fn root(value: &'a Value) -> Node<'a> {
        Node {
            value: Some(value),
            path: String::new(),
        }
    }

    pub(super) fn get(&self, key: &str) -> Node<'a> {
        Node {
            value: self.value.and_then(|value| value.get(key)),
            path: join(&self.path, key),
        }
    }

    /// An item of a list.
    pub(super) fn item(&self, index: usize) -> Node<'a> {
        Node {
            value: self.value.and_then(|value| value.get(index)),
            path: format!("{}.{index}", self.path),
        }
    }

    pub(super) fn error(&self, problem: impl Into<String>) -> ConfigError {
        ConfigError::new(&self.path, problem)
    }

    /// The value, or an error if the key is missing.
    pub(super) fn required(&self) -> Result<&'a Value, ConfigError> {
        self.value.ok_or_else(|| self.error("is missing"))
    }

    pub(super) fn text(&self) -> Result<&'a str, ConfigError> {
        let text = self.required()?.as_str();
        text.ok_or_else(|| self.error("must be a string"))
    }

    pub(super) fn address(&self) -> Result<SocketAddr, ConfigError> {
        let text = self.text()?;
        text.parse()
            .map_err(|_| self.error(format!("{text:?} is not an IP address with a port")))
    }

    /// A number of at least `min`, or `default` if the key is missing.
    pub(super) fn number(&self, default: f64, min: f64) -> Result<f64, ConfigError> {
        let Some(value) = self.value else {
            return Ok(default);
        };
        let number = value
            .as_f64()
            .ok_or_else(|| self.error("must be a number"))?;
        if number >= min {
            Ok(number)
        } else {
            Err(self.error(format!("{number} is less than the minimum of {min}")))
        }
    }

    /// A list of names, or of objects with a name in `field`. The list is empty if the key is missing.
    pub(super) fn names(&self, field: Option<&str>) -> Result<Vec<String>, ConfigError> {
        let Some(value) = self.value else {
            return Ok(Vec::new());
        };
        let items = value
            .as_array()
            .ok_or_else(|| self.error("must be a list"))?;
        let name = |(index, item): (usize, &Value)| {
            let name = field.map_or(Some(item), |field| item.get(field));
            let name = name.and_then(Value::as_str).map(str::to_string);
            name.ok_or_else(|| {
                ConfigError::new(
                    format!("{}.{index}", self.path),
                    "name is missing or is not a string",
                )
            })
        };
        items.iter().enumerate().map(name).collect()
    }

    pub(super) fn is_true(&self) -> bool {
        self.value.is_some_and(|value| value == true)
    }
}

/// Flattens nested settings to names and values for the router. Lists of objects become a count and indexed names, and
/// lists of values are joined by commas.
pub(super) fn flatten(value: &Value, path: &str, pairs: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(value, &join(path, key), pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((format!("{path}.count"), items.len().to_string()));
            for (index, item) in items.iter().enumerate() {
                flatten(item, &format!("{path}.{index}"), pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar).collect();
            pairs.push((path.to_string(), items.join(",")));
        }
        Value::Null => {}
        other => pairs.push((path.to_string(), scalar(other))),
    }
}

fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}
